"""Explores how long runs of silent workers go on, in virtual time.

No run may be counted as over while it may go on, and none may be held for good.
`SILENCE_SEEDS=first:count` selects other seeds.
"""

import asyncio
import os
import random

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.model import batch
from bilberryroute.replica import batch_ends
from tests.agent import capacity_site
from tests.agent import silence_site
from tests.agent import silent_worker
from tests.utils import batches
from tests.utils import virtual_time

pytestmark = pytest.mark.usefixtures("ordered_services")

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("SILENCE_SEEDS", "0:8").split(":")
)
_MUTANT_SEEDS = range(12)
_LATE_CALL_SEEDS = (212, 225)
TROUBLE_MS = 60_000
CALM_MS = 5 * clock_lib.MINUTE
EVENT_PAUSE_MS = (100, 2_000)
SILENCE_MS = (500, 25_000)
DOWN_MS = (100, 12_000)
CUT_MS = (100, 6_000)
CONTENTS = (
    batches.content(batches.step(1, 4)),
    batches.content(batches.step(3, 2)),
    batches.content(batches.step(2, 6, gang=True)),
)


class Exploration:
    """Plays one seed on a `silence_site.SilenceSite`."""

    def __init__(self, seed: int, loop: virtual_time.VirtualTimeLoop):
        self.site = silence_site.SilenceSite(seed, loop)
        self._rng = random.Random(seed)
        self._job_count = 0
        self._repairs: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Plays random events, then lets all jobs end without faults."""
        await self.site.start()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + clock_lib.seconds(TROUBLE_MS)
        while loop.time() < end_s:
            await self._pause(EVENT_PAUSE_MS)
            events = self._events()
            (event,) = self._rng.choices(list(events), list(events.values()))
            event(self._rng.choice(self.site.HOSTS))
        await asyncio.gather(*self._repairs)
        self.site.network.loss = 0.0
        end_s = loop.time() + clock_lib.seconds(CALM_MS)
        while loop.time() < end_s and self.unfinished():
            await asyncio.sleep(0.5)
        await self.site.stop()

    def unfinished(self) -> list[str]:
        """Returns the jobs that have not ended."""
        jobs = self.site.batch_state.jobs.values()
        return [job.id for job in jobs if job.result is None]

    def _events(self) -> dict:
        """Returns the events with their relative frequency."""
        return {
            self._submit: 5,
            self._fall_silent: 5,
            self._restart_agent: 1,
            self._change_leader: 1,
            self._restart_worker: 0.5,
            self._cut_off: 1.5,
            self._lose_datagrams: 1,
        }

    async def _pause(self, bounds: tuple[int, int]) -> None:
        await asyncio.sleep(clock_lib.seconds(self._rng.randint(*bounds)))

    def _begin(self, trouble) -> None:
        task = asyncio.create_task(trouble)
        self._repairs.add(task)
        task.add_done_callback(self._repairs.discard)

    def _submit(self, host: str) -> None:
        self._job_count += 1
        self.site.submit(
            f"j{self._job_count}", self._rng.choice(CONTENTS), "planned"
        )

    def _fall_silent(self, host: str) -> None:
        worker = self.site.workers[host]
        if worker.silence is None:
            worker.silence = self._rng.choice(list(silent_worker.Silence))
            self._begin(self._answer_later(worker))

    async def _answer_later(self, worker: silent_worker.SilentWorker) -> None:
        await self._pause(SILENCE_MS)
        worker.silence = None

    def _restart_agent(self, host: str) -> None:
        if host in self.site.agents:
            self._begin(self._replace_agent(host))

    async def _replace_agent(self, host: str) -> None:
        await self.site.stop_agent(host)
        await self._pause(DOWN_MS)
        await self.site.start_agent(host)

    def _change_leader(self, host: str) -> None:
        if self.site.leader is not None:
            self._begin(self.site.change_leader(self._rng.randint(*DOWN_MS)))

    def _restart_worker(self, host: str) -> None:
        worker = self.site.workers[host]
        if worker.up:
            worker.crash()
            self._begin(self._begin_worker(worker))

    async def _begin_worker(self, worker: silent_worker.SilentWorker) -> None:
        await self._pause(DOWN_MS)
        worker.begin(capacity_site.CAPACITIES[0])

    def _cut_off(self, host: str) -> None:
        self._begin(self._reach_later(self.site.cuts[host]))

    async def _reach_later(self, cut: silence_site.Cut) -> None:
        cut.renewals = self._rng.random() < 0.6
        cut.grants = self._rng.random() < 0.6
        await self._pause(CUT_MS)
        cut.renewals = cut.grants = False

    def _lose_datagrams(self, host: str) -> None:
        self.site.network.loss = self._rng.choice((0, 0, 0.1, 0.4))


def play(seed: int, *, late_for_earlier: bool = False) -> Exploration:
    """Plays a seed and returns what it has found."""
    with asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop) as runner:
        exploration = Exploration(seed, runner.get_loop())
        for worker in exploration.site.workers.values():
            worker.late_for_earlier = late_for_earlier
        runner.run(exploration.run())
    return exploration


@pytest.mark.parametrize("seed", range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT))
def test_no_run_goes_on_after_its_end_and_none_is_held_for_good(seed):
    exploration = play(seed)
    assert exploration.site.faults == []
    assert exploration.site.repeated() == []
    assert exploration.site.held_runs() == []
    assert exploration.unfinished() == []


@pytest.mark.parametrize("seed", _LATE_CALL_SEEDS)
def test_late_call_to_an_earlier_incarnation_does_not_run_a_task_twice(seed):
    """A worker that restarts under its name takes the call as its own."""
    site = play(seed, late_for_earlier=True).site
    assert (site.faults, site.repeated()) == ([], [])


async def play_silence(
    seed: int, silence_ms: int, run_ms: int
) -> silence_site.SilenceSite:
    """Plays one job whose worker leaves calls unanswered for a while."""
    site = silence_site.SilenceSite(seed, asyncio.get_running_loop())
    await site.start()
    for worker in site.workers.values():
        worker.run_ms = (run_ms, run_ms)
    await asyncio.sleep(5)
    site.submit("j1", batches.content(batches.step(1, 4)), "planned")
    await asyncio.sleep(clock_lib.seconds(1_000 + site.rng.randint(0, 2_000)))
    (worker,) = (w for w in site.workers.values() if w.running)
    worker.silence = silent_worker.Silence.CARRIED_OUT
    await asyncio.sleep(clock_lib.seconds(silence_ms))
    worker.silence = None
    await asyncio.sleep(clock_lib.seconds(2 * run_ms + 10_000))
    await site.stop()
    return site


def play_silence_alone(*arguments) -> silence_site.SilenceSite:
    with asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop) as runner:
        return runner.run(play_silence(*arguments))


@pytest.mark.parametrize("seed", range(3))
def test_task_does_not_run_twice_while_its_worker_answers_no_call(seed):
    """The worker carries calls out meanwhile, so its runs go on."""
    site = play_silence_alone(seed, 20_000, 60_000)
    assert site.faults == []
    assert site.lost == [batch.LossCause.SILENT]


@pytest.mark.parametrize("seed", range(2))
def test_done_task_is_not_run_again_if_its_worker_answers_too_late(seed):
    site = play_silence_alone(seed, 20_000, 8_000)
    assert (site.faults, site.repeated()) == ([], [])


@pytest.mark.parametrize("seed", range(6))
def test_worker_that_is_silent_for_6_5_seconds_keeps_its_runs(seed):
    site = play_silence_alone(seed, 6_500, 20_000)
    assert (site.faults, site.lost) == ([], [])
    assert [w.start_count for w in site.workers.values() if w.start_count] == [
        1
    ]


def _extend_unreported_workers(patch):
    patch.setattr(
        board_lib.Lease, "left_for", lambda lease, worker, now: lease.left(now)
    )


def _expect_leases_to_end_early(patch):
    patch.setattr(
        batch_ends, "run_fence_ms", lambda timing: timing.run_lease_ms
    )


@pytest.mark.parametrize(
    "mutant",
    [_extend_unreported_workers, _expect_leases_to_end_early],
    ids=lambda mutant: mutant.__name__,
)
def test_exploration_fails_without(mutant, monkeypatch):
    mutant(monkeypatch)
    assert any(play(seed).site.faults for seed in _MUTANT_SEEDS)
