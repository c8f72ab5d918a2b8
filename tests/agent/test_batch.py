"""Tests of the batch agent with a fake worker port."""

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
from bilberryroute.agent import worker_view
from bilberryroute.model import batch
from bilberryroute.model import wire
from tests.utils import batches
from tests.utils import environment

RUN_LEASE_MS = 6_000
CAPACITY_AGE_MS = 3_000
FAR_FUTURE = clock_lib.Millis(10**9)
TASK = batches.task()


class FakePort:
    """Fake worker that answers with the listing and verdict set by a test.

    Attributes:
      calls: Calls carried out, each as its name, task and run.
      attempts: Names of all calls on runs, answered or not.
      lease_orders: Long polls answered, oldest first.
      unanswered: Names of the calls that get no answer.
      down: Whether connections are refused.
    """

    def __init__(self):
        self.calls: list[tuple] = []
        self.attempts: list[str] = []
        self.lease_orders: list[worker_port.ExtendLeaseOrder] = []
        self.born = 1
        self.clock_ms = 100
        self.running: dict = {}
        self.ends: list[wire.EndReport] = []
        self.verdict = worker_port.StartVerdict.STARTED
        self.unanswered: set[str] = set()
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
        self.lease_orders.append(order)
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
        self.attempts.append(name)
        if name in self.unanswered:
            raise errors.Unavailable("no answer")
        self.calls.append((name, task, run))


class Harness:
    """A batch agent with its lease, board and fake port.

    Attributes:
      clock: The agent's clock, which only a test advances.
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
            timing=settings.Timing(
                run_lease_ms=RUN_LEASE_MS, capacity_age_ms=CAPACITY_AGE_MS
            ),
        )
        self.agent = batch_lib.BatchAgent(
            cfg, env, self.board, self.port, metrics_lib.Metrics()
        )
        self.lease(FAR_FUTURE)

    def lease(self, expires: int) -> None:
        self.board.lease.set(
            board_lib.Lease(term=3, expires=clock_lib.Millis(expires))
        )

    def announce(self, born: int = 1, sequence: int = 1, **more) -> None:
        defaults = {
            "name": "w1",
            "clock_ms": self.port.clock_ms,
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
async def harness():
    harness = Harness()
    await harness.agent.start()
    yield harness
    await harness.agent.stop()


def desired(born: int = 1, stop: bool = False, run: int = 1):
    return wire.DesiredRun(
        task=TASK, run=run, worker=batches.ref("w1", born), stop=stop
    )


async def test_desired_run_is_started_once_and_reported(harness):
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: harness.board.batch.get())
    await harness.until(lambda: harness.board.batch.get()[0].running)
    assert harness.port.calls == [("start", TASK, 1)]


async def test_unanswered_start_is_repeated_with_its_run_number(harness):
    harness.port.unanswered = {"start"}
    harness.announce()
    harness.desire(desired())
    await asyncio.sleep(0.1)
    harness.port.unanswered = set()
    await harness.until(lambda: harness.port.calls)
    assert harness.port.calls == [("start", TASK, 1)]


async def test_without_a_lease_nothing_starts_and_nothing_is_extended(harness):
    harness.lease(0)
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: len(harness.port.lease_orders) > 3)
    assert harness.port.calls == []
    assert all(order.until_ms is None for order in harness.port.lease_orders)


async def test_lease_is_extended_on_the_workers_clock(harness):
    harness.announce()
    await harness.until(lambda: len(harness.port.lease_orders) > 3)
    seen_ms = harness.port.clock_ms
    harness.clock.advance(700)
    count = len(harness.port.lease_orders)
    await harness.until(lambda: len(harness.port.lease_orders) > count + 1)
    # Last known worker clock, plus the time since then, plus the lease.
    lease_ends = {order.until_ms for order in harness.port.lease_orders}
    assert any(
        seen_ms <= until_ms - RUN_LEASE_MS <= seen_ms + 710
        for until_ms in lease_ends - {None}
    )
    longest = max(lease_ends - {None})
    assert longest <= harness.port.clock_ms + 700 + RUN_LEASE_MS


async def test_lease_is_extended_once_more_before_the_agent_lease_ends(harness):
    """Without a leader, runs continue for as long as possible."""
    harness.announce()
    await harness.until(lambda: len(harness.port.lease_orders) > 3)
    harness.port.lease_orders.clear()
    harness.lease(harness.clock.now() + 600)
    await harness.until(lambda: len(harness.port.lease_orders) > 3)
    assert (
        harness.port.lease_orders[-1].wait_ms
        == 600 - batch_lib.LAST_POLL_LEAD_MS
    )
    harness.clock.advance(600 - batch_lib.LAST_POLL_LEAD_MS)
    harness.port.lease_orders.clear()
    await harness.until(lambda: len(harness.port.lease_orders) > 1)
    assert all(
        order.until_ms is not None for order in harness.port.lease_orders
    )


async def test_nothing_starts_in_an_evacuated_domain(harness):
    harness.announce()
    harness.desire(desired(), evacuated=("apapa",))
    await harness.until(lambda: harness.board.batch.get()[0:1])
    await harness.until(
        lambda: [e.outcome for e in harness.board.batch.get()[0].ends]
        == ["absent"]
    )
    assert ("start", TASK, 1) not in harness.port.calls


async def test_start_waits_for_the_capacity_that_was_announced_last(
    harness, caplog
):
    caplog.set_level("INFO")
    need = batches.task_need(1)
    harness.announce(capacity=need)
    await harness.until(lambda: harness.board.batch.get())
    harness.announce(sequence=2, capacity=batches.task_need(0))
    harness.desire(dataclasses.replace(desired(), need=need))
    await asyncio.sleep(2.5 * clock_lib.seconds(batch_lib.PLAN_INTERVAL_MS))
    assert harness.port.calls == []
    assert caplog.text.count("start waits for capacity") == 1
    harness.announce(sequence=3, capacity=need)
    await harness.until(lambda: harness.port.calls)
    assert harness.port.calls == [("start", TASK, 1)]


async def test_restarted_worker_starts_nothing_before_its_own_announcement(
    harness,
):
    """It may have less capacity than before."""
    need = batches.task_need(1)
    harness.announce(sequence=5, capacity=need)
    await harness.until(lambda: harness.board.batch.get())
    harness.port.born = 2
    await harness.until(
        lambda: [each.born for each in harness.board.batch.get()] == [2]
    )
    harness.desire(dataclasses.replace(desired(born=2), need=need))
    await asyncio.sleep(0.1)
    assert harness.port.calls == []
    harness.announce(born=2, sequence=0, capacity=need)
    await harness.until(lambda: harness.port.calls)
    assert harness.port.calls == [("start", TASK, 1)]


async def test_restarted_worker_is_not_reported_with_its_former_labels(harness):
    """The leader would place runs there that need them, or that don't fit."""
    need = batches.task_need(1)
    harness.announce(sequence=5, capacity=need)
    await harness.until(lambda: harness.board.batch.get())
    harness.port.born = 2
    await harness.until(
        lambda: [each.born for each in harness.board.batch.get()] == [2]
    )
    (report,) = harness.board.batch.get()
    assert (report.labels, report.capacity) == ((), batch.NO_RESOURCES)
    harness.announce(born=2, sequence=1, labels=("b",), capacity=need)
    (report,) = harness.board.batch.get()
    assert (report.labels, report.capacity) == (("b",), need)


async def test_nothing_starts_while_announcements_are_lost(harness):
    """They may have said that the capacity has shrunk."""
    need = batches.task_need(1)
    harness.announce(sequence=5, capacity=need)
    await harness.until(lambda: harness.board.batch.get())
    harness.port.clock_ms += CAPACITY_AGE_MS + 1
    await harness.until(
        lambda: harness.board.batch.get()[0].capacity == batch.NO_RESOURCES
    )
    harness.desire(dataclasses.replace(desired(), need=need))
    await asyncio.sleep(2.5 * clock_lib.seconds(batch_lib.PLAN_INTERVAL_MS))
    assert harness.port.calls == []
    harness.announce(sequence=6, capacity=need)
    await harness.until(lambda: harness.port.calls)
    assert harness.port.calls == [("start", TASK, 1)]


async def test_late_announcement_counts_from_when_it_was_sent(harness):
    need = batches.task_need(1)
    harness.port.clock_ms = 20_000
    harness.announce(clock_ms=20_000 - CAPACITY_AGE_MS - 1, capacity=need)
    harness.desire(dataclasses.replace(desired(), need=need))
    await harness.until(lambda: harness.board.batch.get())
    await asyncio.sleep(0.1)
    assert harness.port.calls == []


async def test_nothing_starts_on_a_draining_worker(harness):
    harness.announce(draining=True)
    harness.desire(desired())
    await harness.until(lambda: harness.port.calls)
    assert harness.port.calls == [("stop", TASK, 1)]


async def test_refused_run_is_barred_and_reported(harness):
    harness.port.verdict = worker_port.StartVerdict.NO_ROOM
    harness.announce()
    harness.desire(desired())
    await harness.until(
        lambda: harness.board.batch.get() and harness.board.batch.get()[0].ends
    )
    (end,) = harness.board.batch.get()[0].ends
    assert end.outcome == batch.RunOutcome.REJECTED
    assert ("stop", TASK, 1) in harness.port.calls


async def test_new_incarnation_is_reported_once_earlier_runs_are_barred(
    harness,
):
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: harness.port.calls)
    harness.port.unanswered = {"stop"}
    harness.port.running.clear()
    harness.port.born = 2
    harness.announce(born=2)
    await asyncio.sleep(0.1)
    assert harness.board.batch.get() == ()
    harness.port.unanswered = set()
    await harness.until(lambda: harness.board.batch.get())
    assert harness.board.batch.get()[0].born == 2
    assert ("stop", TASK, 1) in harness.port.calls


async def test_late_announcement_of_an_earlier_incarnation_is_dropped(harness):
    harness.port.born = 2
    harness.announce(born=2, sequence=5)
    await harness.until(lambda: harness.board.batch.get())
    harness.announce(born=1, sequence=9)
    harness.announce(born=2, sequence=4, draining=True)
    assert harness.board.batch.get()[0].born == 2
    assert not harness.board.batch.get()[0].draining


async def test_undesired_run_is_stopped_once_the_leader_covers_the_worker(
    harness,
):
    harness.port.running[TASK] = 4
    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    await asyncio.sleep(0.05)
    assert harness.port.calls == []
    harness.board.covered.set(
        frozenset({worker_life.incarnation_name("w1", 1)})
    )
    harness.desire()
    await harness.until(lambda: harness.port.calls == [("stop", TASK, 4)])


async def test_committed_ends_are_passed_on_to_the_worker(harness):
    harness.announce()
    harness.board.committed.set({("w1", 1): 7})
    await harness.until(
        lambda: harness.port.lease_orders
        and harness.port.lease_orders[-1].committed == 7
    )


async def test_withdrawn_worker_that_refuses_connections_has_ended(harness):
    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    harness.port.down = True
    harness.agent.withdraw("w1")
    await harness.until(lambda: harness.port.refused > 1)
    assert not harness.board.batch.get()[0].over
    harness.clock.advance(batch_lib.DOWN_MS)
    await harness.until(
        lambda: harness.board.batch.get() and harness.board.batch.get()[0].over
    )


async def test_silent_worker_is_not_reported(harness):
    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    harness.port.down = True
    harness.clock.advance(worker_view.SILENT_MS + 1)
    await harness.until(lambda: harness.board.batch.get() == ())


async def test_worker_that_refuses_connections_is_not_reported(harness):
    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    harness.port.down = True
    await harness.until(lambda: harness.board.batch.get() == ())
    harness.port.down = False
    await harness.until(lambda: harness.board.batch.get())


async def loss_causes(harness) -> list[str]:
    """Returns why runs were lost, as the second incarnation reports it."""
    await harness.until(
        lambda: harness.board.batch.get()
        and harness.board.batch.get()[0].born == 2
    )
    return [end.cause for end in harness.board.batch.get()[0].ends]


async def restart_worker(harness):
    harness.port.running.clear()
    harness.port.born = 2
    harness.port.clock_ms = 0
    harness.announce(born=2)


async def test_run_on_a_crashed_worker_is_reported_as_crashed(harness):
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: harness.port.calls)
    await restart_worker(harness)
    assert await loss_causes(harness) == ["crashed"]


async def test_crash_report_tells_how_long_the_run_had_run(harness):
    """The restart of the worker is not part of it."""
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: harness.port.calls)
    harness.clock.advance(300)
    harness.port.down = True
    await harness.until(lambda: harness.port.refused)
    harness.clock.advance(500)
    harness.port.down = False
    await restart_worker(harness)
    assert await loss_causes(harness) == ["crashed"]
    (end,) = harness.board.batch.get()[0].ends
    assert end.down_after_ms == 300


async def test_start_that_crashes_the_worker_unanswered_is_reported(harness):
    harness.port.unanswered = {"start"}
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: harness.port.attempts)
    await restart_worker(harness)
    assert await loss_causes(harness) == ["crashed"]


async def test_run_on_a_worker_that_withdrew_has_not_crashed_it(harness):
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: harness.port.calls)
    harness.agent.withdraw("w1")
    await restart_worker(harness)
    assert await loss_causes(harness) == []


async def test_start_that_may_have_crashed_the_worker_is_not_repeated(harness):
    """The restarted worker accepts it, as it has the same name."""
    port, start_run = harness.port, harness.port.start_run

    async def crash(address, order):
        port.attempts.append("start")
        port.down = True
        port.start_run = start_run
        raise errors.Unavailable("no answer")

    port.start_run = crash
    harness.announce()
    harness.desire(desired())
    await harness.until(lambda: port.attempts)
    await asyncio.sleep(0.3)
    await restart_worker(harness)
    port.down = False
    assert await loss_causes(harness) == ["crashed"]
    assert ("start", TASK, 1) not in port.calls


async def test_poll_sent_before_an_unanswered_start_does_not_let_it_repeat(
    harness,
):
    """Its listing was made before the start may have crashed the worker."""
    port = harness.port
    listed, released, starts = asyncio.Event(), asyncio.Event(), []
    list_runs = port.extend_lease

    async def list_late(address, order):
        listing = await list_runs(address, order)
        listed.set()
        await released.wait()
        return listing

    async def refuse(address, order):
        await asyncio.sleep(0.005)
        raise worker_port.WorkerDown("refused")

    async def crash(address, order):
        port.extend_lease = refuse
        starts.append(order.run)
        raise errors.Unavailable("no answer")

    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    port.start_run = crash
    port.extend_lease = list_late
    await listed.wait()
    harness.desire(desired())
    await harness.until(lambda: starts)
    await asyncio.sleep(0.2)
    released.set()
    await asyncio.sleep(0.3)
    assert starts == [1]
