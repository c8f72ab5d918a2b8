"""Simulated batch worker that starts whatever it is told to start.

Its capacity changes while it runs. Every start is compared with the capacities
that it had of late.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire

ANNOUNCE_MS = 1_500
# A smaller capacity applies to starts this long after the worker has shrunk, or
# once its agent has heard of it.
SHRINK_GRACE_MS = 3_000 + ANNOUNCE_MS
MAX_LEASE_MS = 6_000
STOP_MS = (20, 400)
DELAY_MS = (1, 30)
LATE_MS = (500, 8_000)
RUN_MS = (400, 4_000)
CALL_TIMEOUT_MS = 500
POLL_MARGIN_MS = 700
# A run begun by an order to an earlier incarnation counts from when the agent
# has listed it.
STRAY_LISTED_MS = 2_000


@dataclasses.dataclass(slots=True)
class Chaos:
    """Share of calls and announcements that go wrong.

    Attributes:
      late_calls: Calls that get no answer and are carried out later.
      lost_answers: Calls that are carried out and get no answer.
      lost_announcements: Announcements that never arrive.
      late_announcements: Announcements that arrive seconds later.
    """

    late_calls: float = 0.0
    lost_answers: float = 0.0
    lost_announcements: float = 0.0
    late_announcements: float = 0.0


@dataclasses.dataclass(slots=True)
class _Run:
    """A run on the worker."""

    number: int
    counts_from_ms: int = 0
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Sending:
    """When an agent sent a start, and to which incarnation.

    Attributes:
      at_ms: When it was sent.
      born: Incarnation that it was sent to.
      capacities_from_ms: The capacities since then may be used up.
    """

    at_ms: int
    born: int
    capacities_from_ms: int


class UnguardedWorker:
    """A worker on one host, through all its incarnations.

    Implements `worker_port.WorkerPort`.

    Attributes:
      excesses: Descriptions of the starts beyond the capacity.
      start_count: Number of starts carried out.
      run_ms: Bounds of the duration of a run.
      name: Name of the present incarnation.
      running: Runs by task.
      draining: Whether the worker announces that it is about to end.
      heard_from_ms: When the worker got the newest capacity that its agent has
        heard of.
    """

    def __init__(
        self,
        host: str,
        rack: str,
        capacity: batch.Resources,
        rng: random.Random,
        clock: clock_lib.Clock,
        chaos: Chaos,
        need_of: Callable[[batch.TaskId], batch.Resources],
    ):
        self.excesses: list[str] = []
        self.start_count = 0
        self.run_ms = RUN_MS
        self.announce_to: Callable[
            [worker_port.BatchWorkerAnnouncement], bool
        ] = lambda announcement: False
        self._host = host
        self._rack = rack
        self._rng = rng
        self._clock = clock
        self._chaos = chaos
        self._need_of = need_of
        self.name = f"{host}-0"
        self._up = False
        self.draining = False
        self._born = 0
        self.begin(capacity)

    def begin(self, capacity: batch.Resources) -> None:
        """Begins a new incarnation, often under the same name."""
        if self._rng.random() < 0.3:
            self.name = f"{self._host}-{self._clock.now()}"
        self._up = True
        self.draining = False
        self._born = max(self._born + 1, self._clock.wall())
        self._began_ms = self._clock.now()
        self._sequence = 0
        self._fence = 0
        self._lease_end_ms = 0
        self._barred: dict[batch.TaskId, int] = {}
        self._ends: list[wire.EndReport] = []
        self._end_count = 0
        self._ended = asyncio.Event()
        self.running: dict[batch.TaskId, _Run] = {}
        self._capacities = [(self._clock.now(), capacity)]
        self.heard_from_ms = 0

    def crash(self) -> None:
        """Ends all runs; calls are refused until `begin`."""
        self._up = False
        self.running.clear()
        self._ended.set()

    @property
    def up(self) -> bool:
        """Whether the worker serves calls."""
        return self._up

    @property
    def capacity(self) -> batch.Resources:
        """Present capacity."""
        return self._capacities[-1][1]

    def resize(self, capacity: batch.Resources) -> None:
        """Changes the capacity; runs go on."""
        self._capacities.append((self._clock.now(), capacity))

    # Announcements.

    async def announce_forever(self) -> None:
        """Announces the worker at intervals; some announcements get lost."""
        while True:
            if self._up:
                self._announce()
            jitter = self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(clock_lib.seconds(ANNOUNCE_MS * jitter))

    def _announce(self) -> None:
        self._sequence += 1
        announcement = worker_port.BatchWorkerAnnouncement(
            name=self.name,
            born=self._born,
            sequence=self._sequence,
            clock_ms=self._now(),
            address=self._host,
            pool="pool",
            failure_domain="apapa",
            rack=self._rack,
            labels=(self._rack,),
            capacity=self.capacity,
            draining=self.draining,
        )
        if self._rng.random() < self._chaos.lost_announcements:
            return
        bounds = DELAY_MS
        if self._rng.random() < self._chaos.late_announcements:
            bounds = LATE_MS
        asyncio.get_running_loop().call_later(
            clock_lib.seconds(self._rng.randint(*bounds)),
            self._deliver,
            announcement,
            self._capacities[-1][0],
        )

    def _deliver(
        self, announcement: worker_port.BatchWorkerAnnouncement, from_ms: int
    ) -> None:
        if self.announce_to(announcement) and announcement.born == self._born:
            self.heard_from_ms = max(self.heard_from_ms, from_ms)

    # Calls of the agent.

    async def start_run(
        self, address: str, order: worker_port.StartOrder
    ) -> worker_port.StartAnswer:
        """Starts a run, perhaps late or without an answer."""
        now = self._clock.now()
        sending = _Sending(
            at_ms=now,
            born=self._born,
            capacities_from_ms=max(now - SHRINK_GRACE_MS, self.heard_from_ms),
        )
        verdict = await self._call(lambda: self._start(order, sending))
        return worker_port.StartAnswer(verdict=verdict, clock_ms=self._now())

    async def stop_run(
        self, address: str, task: batch.TaskId, run: int, fence: int
    ) -> int:
        """Stops a run after a moment, perhaps late or without an answer."""
        if not await self._call(lambda: self._stop(task, run, fence)):
            raise errors.Unavailable("a newer leader is known")
        return self._now()

    async def pace_run(
        self, address: str, task: batch.TaskId, run: int, percent: int, fence
    ) -> None:
        """Accepts any pace."""

    async def extend_lease(
        self, address: str, order: worker_port.ExtendLeaseOrder
    ) -> worker_port.Listing:
        """Extends the lease and lists the runs, if asked after an end."""
        born = self._born
        await self._travel()
        if not self._is_current(order.fence):
            raise errors.Unavailable("a newer leader is known")
        if order.until_ms is not None:
            self._extend(order.until_ms)
        self._ends = [e for e in self._ends if e.number > order.committed]
        if not self._ends and order.wait_ms:
            self._ended.clear()
            try:
                async with asyncio.timeout(clock_lib.seconds(order.wait_ms)):
                    await self._ended.wait()
            except TimeoutError:
                pass
        if not self._up or self._born != born:
            raise errors.Unavailable("the worker has crashed")
        listing = self._listing()
        if self._rng.random() < self._chaos.lost_answers:
            await asyncio.sleep(clock_lib.seconds(POLL_MARGIN_MS))
            raise errors.Unavailable("no answer")
        await self._travel()
        return listing

    async def _call(self, carry_out: Callable[[], object]) -> object:
        """Carries a call out and returns its result, or raises an error."""
        await self._travel()
        chance = self._rng.random()
        if chance < self._chaos.late_calls:
            late_ms = self._rng.randint(*LATE_MS)
            asyncio.get_running_loop().call_later(
                clock_lib.seconds(late_ms),
                lambda: self._up and carry_out(),
            )
            await asyncio.sleep(clock_lib.seconds(CALL_TIMEOUT_MS))
            raise errors.Unavailable("no answer")
        result = carry_out()
        if chance < self._chaos.late_calls + self._chaos.lost_answers:
            await asyncio.sleep(clock_lib.seconds(CALL_TIMEOUT_MS))
            raise errors.Unavailable("no answer")
        return result

    async def _travel(self) -> None:
        if not self._up:
            raise worker_port.WorkerDown("refused")
        await asyncio.sleep(clock_lib.seconds(self._rng.randint(*DELAY_MS)))
        if not self._up:
            raise worker_port.WorkerDown("refused")

    def _now(self) -> int:
        return self._clock.now() - self._began_ms + 1

    def _is_current(self, fence: int) -> bool:
        self._fence = max(self._fence, fence)
        return fence >= self._fence

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._now() + MAX_LEASE_MS)
        self._lease_end_ms = max(self._lease_end_ms, until_ms)

    def _start(
        self, order: worker_port.StartOrder, sending: _Sending
    ) -> worker_port.StartVerdict:
        verdicts = worker_port.StartVerdict
        if order.worker != self.name:
            return verdicts.BUSY
        if not self._is_current(order.fence):
            return verdicts.FENCED
        self._extend(order.until_ms)
        known = self.running.get(order.task)
        if known is not None and known.number == order.run:
            return verdicts.STARTED
        if known is not None or order.run <= self._barred.get(order.task, 0):
            return verdicts.OLD
        if order.until_ms <= self._now():
            return verdicts.LATE
        self.running[order.task] = run = _Run(order.run)
        self.start_count += 1
        if sending.born == self._born:
            self._check_capacity(order, sending)
        else:
            run.counts_from_ms = self._clock.now() + STRAY_LISTED_MS
        asyncio.get_running_loop().call_later(
            clock_lib.seconds(self._rng.randint(*self.run_ms)),
            self._finish,
            order.task,
            order.run,
            self._born,
        )
        return verdicts.STARTED

    def _check_capacity(
        self, order: worker_port.StartOrder, sending: _Sending
    ) -> None:
        """Records a start beyond every capacity that may still apply."""
        total = batch.NO_RESOURCES
        for task, run in self.running.items():
            if run.counts_from_ms <= sending.at_ms:
                total = total.plus(self._need_of(task))
        ends_ms = [began for began, _ in self._capacities[1:]]
        applicable = [
            capacity
            for (_, capacity), until_ms in zip(
                self._capacities, [*ends_ms, self._clock.now() + 1], strict=True
            )
            if until_ms > sending.capacities_from_ms
        ]
        if not any(capacity.holds(total) for capacity in applicable):
            self.excesses.append(
                f"{self._clock.now()} ms: {order.task} on {self.name}:"
                f" {total} of {applicable[-1]}"
            )

    def _finish(self, task: batch.TaskId, number: int, born: int) -> None:
        run = self.running.get(task)
        if run is None or run.number != number or self._born != born:
            return
        failed = self._rng.random() < 0.02
        outcomes = batch.RunOutcome
        self.end(task, outcomes.FAILED if failed else outcomes.DONE)

    def _stop(self, task: batch.TaskId, number: int, fence: int) -> bool:
        if not self._is_current(fence):
            return False
        self._barred[task] = max(number, self._barred.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            born = self._born
            asyncio.get_running_loop().call_later(
                clock_lib.seconds(self._rng.randint(*STOP_MS)),
                lambda: self._born == born
                and self.running.get(task) is run
                and self.end(task, batch.RunOutcome.STOPPED),
            )
        return True

    def end(self, task: batch.TaskId, outcome: batch.RunOutcome) -> None:
        """Ends a run."""
        run = self.running.pop(task)
        self._barred[task] = max(run.number, self._barred.get(task, 0))
        self._end_count += 1
        self._ends.append(
            wire.EndReport(
                number=self._end_count,
                task=task,
                run=run.number,
                outcome=outcome,
            )
        )
        self._ended.set()

    def end_lapsed(self) -> None:
        """Ends all runs once their lease has ended."""
        if self._up and self._now() >= self._lease_end_ms:
            for task in list(self.running):
                self.end(task, batch.RunOutcome.LAPSED)

    def _listing(self) -> worker_port.Listing:
        return worker_port.Listing(
            born=self._born,
            clock_ms=self._now(),
            running=tuple(
                wire.RunReport(task=task, run=run.number)
                for task, run in self.running.items()
            ),
            ends=tuple(self._ends),
        )
