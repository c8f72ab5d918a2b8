"""How long the leader's event loop is held up by one computation.

The rows of `docs/design/turns.md`.
"""

import asyncio
import itertools
import time

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch_ends
from bilberryroute.replica import batch_upkeep
from bilberryroute.replica import desired
from bilberryroute.replica import turns
from bilberryroute.scheduling.batch import planner
from bilberryroute.transport import codec
from tests.utils import batches

NEED = batch.Resources(cpu_millis=2_000, memory_mb=1_000)
TOO_LARGE = batch.Resources(cpu_millis=64_000, memory_mb=64)
# The largest body holds about so many of the shortest steps.
LARGEST_STEPS = 20_000

LOADS = {
    "largest body": [
        [batches.step(need=batch.NO_RESOURCES)] * LARGEST_STEPS,
    ],
    "largest body, impossible": [[batches.step(need=TOO_LARGE)] * 5_000],
    "widest step": [[batches.step(1 << 53, need=NEED)]],
    "longest path": [
        [
            batches.step(need=NEED, depends_on=tuple(range(max(0, n - 200), n)))
            for n in range(600)
        ]
    ],
    "middling jobs": [[batches.step(2, need=NEED)] * 30] * 300,
    "many jobs": [[batches.step(10, need=NEED)]] * 1_000,
}


class Stopwatch:
    """Keeps the longest time that anything took."""

    def __init__(self):
        self.longest_ms = 0

    def call(self, function, *args):
        """Returns the result of a call that is made in one turn."""
        began = time.perf_counter()
        try:
            return function(*args)
        finally:
            took = time.perf_counter() - began
            self.longest_ms = max(self.longest_ms, int(1_000 * took))

    def exhaust(self, slices):
        """Returns the result of a computation in slices."""
        while True:
            try:
                self.call(next, slices)
            except StopIteration as stop:
                return stop.value


@pytest.mark.serial
@pytest.mark.parametrize("load", LOADS)
def test_no_turn_of_the_leader_lasts_as_long_as_its_lease(load):
    """Planning, checking, applying and encoding, over three rounds."""
    log = batches.Log()
    watch = Stopwatch()
    workers = [
        batches.worker(f"w{number}", rack=f"r{number // 4}")
        for number in range(11)
    ]
    for number, steps in enumerate(LOADS[load]):
        watch.call(log.submit, f"{number:016x}", batches.content(*steps))
    states = desired.DesiredStates()
    for _ in range(3):
        log.now += 50
        watch.call(batch_upkeep.required_stops, log.held, {}, {})
        plan = watch.exhaust(
            planner.plan_in_slices(log.held, workers, {}, log.now)
        )
        watch.call(log.place, *plan.units)
        for worker in workers:
            watch.call(_encoded_state, states, log, worker.ref.agent)
    watch.call(log.machine.snapshot)
    ends = [
        batching.RunEnd(task=task_id, run=1, outcome=batch.RunOutcome.DONE)
        for task_id in itertools.chain(*log.held.placed.values())
    ]
    for part in batch_ends.divide(ends, log.held):
        command = batching.EndRuns(ends=tuple(part), at_ms=log.now)
        watch.call(log.apply, command)
    assert watch.longest_ms < settings.Timing().leader_lease_ms


def _encoded_state(states, log, agent):
    return codec.encode(states.desired(log.machine.state, log.index, agent, ()))


async def test_others_have_their_turns_during_a_long_computation():
    clock = clock_lib.SystemClock()
    others_turns = 0

    async def others():
        nonlocal others_turns
        while True:
            others_turns += 1
            await asyncio.sleep(0)

    def slices():
        until = clock.now() + 20 * turns.TURN_MS
        while clock.now() < until:
            yield
        return "done"

    task = asyncio.create_task(others())
    assert await turns.run(slices(), lambda: True, clock) == "done"
    task.cancel()
    assert others_turns >= 10


async def test_computation_ends_once_its_result_is_not_wanted():
    wanted = iter([True, True, False])

    def endless():
        while True:
            yield

    result = await turns.run(
        endless(), lambda: next(wanted), clock_lib.SystemClock()
    )
    assert result is None


def test_ends_of_one_worker_are_committed_together():
    log = batches.Log()
    count = batch_ends.MAX_ENDS - 1
    for name in ("w1", "w2"):
        step = batches.step(count, need=batch.NO_RESOURCES)
        log.submit(name, batches.content(step))
        log.place(batches.unit(name, *[batches.ref(name)] * count))
    ends = [
        batching.RunEnd(task=task_id, run=1, outcome=batch.RunOutcome.DONE)
        for task_id in itertools.chain(*log.held.placed.values())
    ]
    parts = batch_ends.divide(ends, log.held)
    assert [len(part) for part in parts] == [count, count]
