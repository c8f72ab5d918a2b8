"""An agent and the worker beside it, over a port that a test scripts."""

import asyncio
import dataclasses

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import batch as batch_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import worker_life
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire
from tests.utils import batches
from tests.utils import environment

RUN_LEASE_MS = 6_000
FAR = clock_lib.Millis(10**9)
TASK = batches.task()


class FakePort:
    """Answers as a worker with the lists that a test sets.

    Attributes:
      calls: Names of the orders carried out, with what they concern.
      mute: Orders that get no answer.
    """

    def __init__(self):
        self.calls: list[tuple] = []
        self.holds: list[worker_port.ExtendLeaseOrder] = []
        self.born = 1
        self.clock_ms = 100
        self.running: dict = {}
        self.ends: list[wire.EndReport] = []
        self.verdict = worker_port.StartVerdict.STARTED
        self.mute: set[str] = set()
        self.down = False
        self.refused = 0
        self.loads: dict = {}

    async def start_run(self, address, order):
        self._answer("start", order.task, order.run)
        if self.verdict == worker_port.StartVerdict.STARTED:
            self.running[order.task] = order.run
        return worker_port.StartAnswer(
            verdict=self.verdict, clock_ms=self._tick()
        )

    async def stop_run(self, address, task, run, fence):
        self._answer("stop", task, run)
        self.running.pop(task, None)
        return self._tick()

    async def pace_run(self, address, task, run, percent, fence):
        self._answer(f"pace {percent}", task, run)

    async def extend_lease(self, address, order):
        await asyncio.sleep(0.005)
        if self.down:
            self.refused += 1
            raise worker_port.WorkerDown("refused")
        self.holds.append(order)
        return worker_port.Listing(
            born=self.born,
            clock_ms=self._tick(),
            running=tuple(
                wire.RunReport(task=task, run=run)
                for task, run in self.running.items()
            ),
            ends=tuple(self.ends),
            loads=self.loads,
        )

    def _tick(self) -> int:
        self.clock_ms += 1
        return self.clock_ms

    def _answer(self, name, task, run):
        if name in self.mute:
            raise errors.Unavailable("no answer")
        self.calls.append((name, task, run))


class Rig:
    """An agent with a lease, its board and its port.

    Attributes:
      clock: The agent's; it stands still unless a test moves it.
    """

    def __init__(self):
        self.board = board_lib.new_board()
        self.port = FakePort()
        env = environment.fake_environment()
        self.clock = clock_lib.ManualClock(start=10_000)
        env.clock = self.clock
        cfg = settings.Settings(
            host="a-w1",
            failure_domain="apapa",
            roles=(settings.ProcessRole.AGENT,),
            timing=settings.Timing(run_lease_ms=RUN_LEASE_MS),
        )
        self.agent = batch_lib.BatchAgent(
            cfg, env, self.board, self.port, metrics_lib.Metrics()
        )
        self.lease(FAR)

    def lease(self, expires: int) -> None:
        self.board.lease.set(
            board_lib.Lease(term=3, expires=clock_lib.Millis(expires))
        )

    def announce(self, born: int = 1, sequence: int = 1, **more) -> None:
        defaults = {
            "name": "w1",
            "address": "x:1",
            "pool": "pool",
            "failure_domain": "apapa",
            "rack": "r1",
            "labels": ("a",),
            "capacity": batch.NO_RESOURCES,
        }
        self.agent.announce(
            worker_port.BatchWorkerAnnouncement(
                born=born, sequence=sequence, **(defaults | more)
            )
        )

    def desire(self, *runs: wire.DesiredRun, evacuated=()) -> None:
        known = self.board.desired.get()
        self.board.payloads.set({"j1": "text"})
        self.board.desired.set(
            dataclasses.replace(
                known,
                version=known.version + 1,
                runs=runs,
                evacuated=evacuated,
            )
        )

    async def until(self, condition) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


@pytest.fixture
async def rig():
    made = Rig()
    await made.agent.start()
    yield made
    await made.agent.stop()


def desired(born: int = 1, stop: bool = False, run: int = 1):
    return wire.DesiredRun(
        task=TASK, run=run, worker=batches.ref("w1", born), stop=stop
    )


async def test_desired_run_is_started_once_and_reported(rig):
    rig.announce()
    rig.desire(desired())
    await rig.until(lambda: rig.board.batch.get())
    await rig.until(lambda: rig.board.batch.get()[0].running)
    assert rig.port.calls == [("start", TASK, 1)]


async def test_unanswered_start_is_repeated_under_its_number(rig):
    rig.port.mute = {"start"}
    rig.announce()
    rig.desire(desired())
    await asyncio.sleep(0.1)
    rig.port.mute = set()
    await rig.until(lambda: rig.port.calls)
    assert rig.port.calls == [("start", TASK, 1)]


async def test_without_a_lease_nothing_starts_and_nothing_is_extended(rig):
    rig.lease(0)
    rig.announce()
    rig.desire(desired())
    await rig.until(lambda: len(rig.port.holds) > 3)
    assert rig.port.calls == []
    assert all(order.until_ms is None for order in rig.port.holds)


async def test_lease_is_extended_on_the_workers_clock(rig):
    rig.announce()
    await rig.until(lambda: len(rig.port.holds) > 3)
    seen_ms = rig.port.clock_ms
    rig.clock.advance(700)
    count = len(rig.port.holds)
    await rig.until(lambda: len(rig.port.holds) > count + 1)
    # Its last reading, the time since then, and the lease.
    extended = {order.until_ms for order in rig.port.holds}
    assert any(
        seen_ms <= until_ms - RUN_LEASE_MS <= seen_ms + 710
        for until_ms in extended - {None}
    )
    longest = max(extended - {None})
    assert longest <= rig.port.clock_ms + 700 + RUN_LEASE_MS


async def test_lease_is_extended_once_more_before_the_own_one_ends(rig):
    """What runs survives as long as it can without a leader."""
    rig.announce()
    await rig.until(lambda: len(rig.port.holds) > 3)
    rig.port.holds.clear()
    rig.lease(rig.clock.now() + 600)
    await rig.until(lambda: len(rig.port.holds) > 3)
    assert rig.port.holds[-1].wait_ms == 600 - batch_lib.LAST_POLL_LEAD_MS
    rig.clock.advance(600 - batch_lib.LAST_POLL_LEAD_MS)
    rig.port.holds.clear()
    await rig.until(lambda: len(rig.port.holds) > 1)
    assert all(order.until_ms is not None for order in rig.port.holds)


async def test_nothing_starts_in_an_evacuated_domain(rig):
    rig.announce()
    rig.desire(desired(), evacuated=("apapa",))
    await rig.until(lambda: rig.board.batch.get()[0:1])
    await rig.until(
        lambda: [e.outcome for e in rig.board.batch.get()[0].ends] == ["absent"]
    )
    assert ("start", TASK, 1) not in rig.port.calls


async def test_nothing_starts_on_a_draining_worker(rig):
    rig.announce(draining=True)
    rig.desire(desired())
    await rig.until(lambda: rig.port.calls)
    assert rig.port.calls == [("stop", TASK, 1)]


async def test_refused_run_is_barred_and_reported(rig):
    rig.port.verdict = worker_port.StartVerdict.NO_ROOM
    rig.announce()
    rig.desire(desired())
    await rig.until(
        lambda: rig.board.batch.get() and rig.board.batch.get()[0].ends
    )
    (end,) = rig.board.batch.get()[0].ends
    assert end.outcome == batch.RunOutcome.REJECTED
    assert ("stop", TASK, 1) in rig.port.calls


async def test_new_life_is_reported_only_once_the_old_orders_are_barred(rig):
    rig.announce()
    rig.desire(desired())
    await rig.until(lambda: rig.port.calls)
    rig.port.mute = {"stop"}
    rig.port.running.clear()
    rig.port.born = 2
    rig.announce(born=2)
    await asyncio.sleep(0.1)
    assert rig.board.batch.get() == ()
    rig.port.mute = set()
    await rig.until(lambda: rig.board.batch.get())
    assert rig.board.batch.get()[0].born == 2
    assert ("stop", TASK, 1) in rig.port.calls


async def test_late_announcement_of_an_earlier_life_changes_nothing(rig):
    rig.port.born = 2
    rig.announce(born=2, sequence=5)
    await rig.until(lambda: rig.board.batch.get())
    rig.announce(born=1, sequence=9)
    rig.announce(born=2, sequence=4, draining=True)
    assert rig.board.batch.get()[0].born == 2
    assert not rig.board.batch.get()[0].draining


async def test_run_of_nobody_is_stopped_once_the_leader_knows_this_life(rig):
    rig.port.running[TASK] = 4
    rig.announce()
    await rig.until(lambda: rig.board.batch.get())
    await asyncio.sleep(0.05)
    assert rig.port.calls == []
    rig.board.covered.set(frozenset({worker_life.incarnation_name("w1", 1)}))
    rig.desire()
    await rig.until(lambda: rig.port.calls == [("stop", TASK, 4)])


async def test_committed_ends_are_passed_on(rig):
    rig.announce()
    rig.board.committed.set({("w1", 1): 7})
    await rig.until(
        lambda: rig.port.holds and rig.port.holds[-1].committed == 7
    )


async def test_worker_that_withdrew_and_listens_no_more_is_over(rig):
    rig.announce()
    await rig.until(lambda: rig.board.batch.get())
    rig.port.down = True
    rig.agent.withdraw("w1")
    await rig.until(lambda: rig.port.refused > 1)
    assert not rig.board.batch.get()[0].over
    rig.clock.advance(batch_lib.DOWN_MS)
    await rig.until(
        lambda: rig.board.batch.get() and rig.board.batch.get()[0].over
    )


async def test_silent_worker_is_not_reported(rig):
    rig.announce()
    await rig.until(lambda: rig.board.batch.get())
    rig.port.down = True
    rig.clock.advance(batch_lib.SILENT_MS + 1)
    await rig.until(lambda: rig.board.batch.get() == ())
