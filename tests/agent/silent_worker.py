"""Simulated batch worker that carries out calls and leaves them unanswered."""

import asyncio
import enum
from collections.abc import Callable

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from tests.agent import unguarded_worker

RUN_MS = (2_000, 20_000)
# Calls may be carried out later than any lease lasts.
LATE_MS = (0, 15_000)


class Silence(enum.StrEnum):
    """What happens to calls that get no answer."""

    CARRIED_OUT = "carried_out"
    CARRIED_OUT_LATE = "carried_out_late"
    IGNORED = "ignored"


class SilentWorker(unguarded_worker.UnguardedWorker):
    """A worker that is silent at times, and notes what its leases allow.

    Attributes:
      late_for_earlier: Whether calls that were meant for an earlier incarnation
        are carried out late by a later one of the same name.
      silence: What it does with calls now; None while it answers.
      done: Tasks that may not start again, with the loop's time of their end
        as done: that was noted, and the lease held in between.
    """

    def __init__(
        self,
        host: str,
        *,
        on_start: Callable[[str, batch.TaskId, int], None],
        **options,
    ):
        super().__init__(host, **options)
        self._on_start = on_start
        self._answered_born = 0
        self.late_for_earlier = False
        self.run_ms = RUN_MS
        self.silence: Silence | None = None
        self.done: dict[batch.TaskId, float] = {}

    def holds(self, task: batch.TaskId, run: int) -> bool:
        """Returns whether a run goes on here."""
        self.end_lapsed()
        known = self.running.get(task)
        return known is not None and known.number == run

    def runs(self, task: batch.TaskId) -> bool:
        """Returns whether any run of a task goes on here."""
        self.end_lapsed()
        return task in self.running

    async def extend_lease(
        self, address: str, order: worker_port.ExtendLeaseOrder
    ) -> worker_port.Listing:
        """Extends the lease; silent ones don't return the listing."""
        if self.silence is not None:
            await self._leave_unanswered(
                lambda: self._carry_out_poll(order),
                order.wait_ms + unguarded_worker.POLL_MARGIN_MS,
            )
        self._note_done(order)
        listing = await super().extend_lease(address, order)
        if self.silence is not None:
            raise errors.Unavailable("no answer")
        self._answered_born = self._born
        return listing

    async def _call(self, carry_out) -> object:
        if self.silence is not None:
            await self._leave_unanswered(
                carry_out, unguarded_worker.CALL_TIMEOUT_MS
            )
        result = await super()._call(carry_out)
        if self.silence is not None:
            raise errors.Unavailable("no answer")
        return result

    async def _leave_unanswered(self, carry_out, timeout_ms: int) -> None:
        await self._travel()
        meant_for = self._answered_born
        match self.silence:
            case Silence.CARRIED_OUT:
                carry_out()
            case Silence.CARRIED_OUT_LATE:
                asyncio.get_running_loop().call_later(
                    clock_lib.seconds(self._rng.randint(*LATE_MS)),
                    self._carry_out_late,
                    carry_out,
                    meant_for,
                )
        await asyncio.sleep(clock_lib.seconds(timeout_ms))
        raise errors.Unavailable("no answer")

    def _carry_out_late(self, carry_out, meant_for: int) -> None:
        if self._up and (meant_for == self._born or self.late_for_earlier):
            carry_out()

    def _carry_out_poll(self, order: worker_port.ExtendLeaseOrder) -> None:
        if not self._is_current(order.fence):
            return
        self._note_done(order)
        if order.until_ms is not None:
            self._extend(order.until_ms)
        self._ends = [e for e in self._ends if e.number > order.committed]

    def _note_done(self, order: worker_port.ExtendLeaseOrder) -> None:
        self.end_lapsed()
        for end in self._ends:
            if (
                end.number <= order.committed
                and end.outcome == batch.RunOutcome.DONE
                and end.number > self._lapsed_up_to
            ):
                self.done[end.task] = self._ended_s[end.number]

    def _extend(self, until_ms: int) -> None:
        # A lease far too long is on the clock of an earlier incarnation. Others
        # are not shortened, so that the agent has to count right.
        self.end_lapsed()
        longest_ms = unguarded_worker.MAX_LEASE_MS
        if until_ms > self._now() + 2 * longest_ms:
            until_ms = self._now() + longest_ms
        self._lease_end_ms = max(self._lease_end_ms, until_ms)

    def _start(self, order, sending) -> worker_port.StartVerdict:
        known = self.running.get(order.task)
        verdict = super()._start(order, sending)
        if known is None and order.task in self.running:
            self._on_start(self._host, order.task, order.run)
        return verdict

    def begin(self, capacity: batch.Resources) -> None:
        """Begins a new incarnation."""
        super().begin(capacity)
        self._lapsed_up_to = 0
        self._ended_s: dict[int, float] = {}

    def end(self, task: batch.TaskId, outcome: batch.RunOutcome) -> None:
        """Ends a run."""
        super().end(task, outcome)
        loop = asyncio.get_running_loop()
        self._ended_s[self._end_count] = loop.time()

    def end_lapsed(self) -> None:
        """Ends all runs once their lease has ended."""
        super().end_lapsed()
        if self._up and self._now() >= self._lease_end_ms:
            self._lapsed_up_to = self._end_count
