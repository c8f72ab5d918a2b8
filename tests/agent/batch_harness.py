"""A batch agent with a fake worker port, for its tests."""

import asyncio
import dataclasses

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
CAPACITY_AGE_MS = 3_000
FAR_FUTURE = clock_lib.Millis(10**9)
TASK = batches.task()


class FakePort:
    """Fake worker that answers with the listing and verdict set by a test.

    Attributes:
      calls: Calls carried out, each as its name, task and run.
      attempts: Names of all calls on runs, answered or not.
      lease_orders: Long polls carried out, oldest first.
      unanswered: Names of the calls that get no answer.
      down: Whether connections are refused.
      mute: Whether polls are carried out without an answer.
      unanswered_polls: Number of such polls.
      holds_polls: Whether each long poll lasts for as long as it may.
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
        self.mute = False
        self.unanswered_polls = 0
        self.holds_polls = False
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
        if self.holds_polls:
            await asyncio.sleep(clock_lib.seconds(order.wait_ms))
        if self.down:
            self.refused += 1
            raise worker_port.WorkerDown("refused")
        self.lease_orders.append(order)
        if self.mute:
            self.unanswered_polls += 1
            raise errors.Unavailable("no answer")
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
        """Grants a lease for the worker and its later incarnations."""
        end = clock_lib.Millis(expires)
        names = (worker_life.incarnation_name("w1", born) for born in (1, 2))
        self.board.lease.set(
            board_lib.Lease(
                term=3, expires=end, workers=dict.fromkeys(names, end)
            )
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


def desired(born: int = 1, stop: bool = False, run: int = 1):
    return wire.DesiredRun(
        task=TASK, run=run, worker=batches.ref("w1", born), stop=stop
    )


async def loss_causes(harness: Harness) -> list[str]:
    """Returns why runs were lost, as the second incarnation reports it."""
    await harness.until(
        lambda: harness.board.batch.get()
        and harness.board.batch.get()[0].born == 2
    )
    return [end.cause for end in harness.board.batch.get()[0].ends]


async def restart_worker(harness: Harness) -> None:
    harness.port.running.clear()
    harness.port.born = 2
    harness.port.clock_ms = 0
    harness.announce(born=2)
