"""Runs idempotent requests: attempt after attempt, within a budget."""

import asyncio
import dataclasses
import random

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.entry import calls
from bilberryroute.entry import dispatching
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol
from bilberryroute.routing import retries

RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """How one attempt ended.

    Attributes:
      reason: Why it failed; empty if it did not.
      answered: The endpoint's answer, also if it is an error.
    """

    reason: str
    answered: calls.Answered | None = None


class IdempotentRunner:
    """Runs a request until an endpoint answers it or a verdict ends it."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        entry_token: str,
        rng: random.Random,
    ):
        self._dispatcher = dispatcher
        self._entry_token = entry_token
        self._rng = rng
        self._budget = retries.Budget()

    async def run(
        self, call: calls.Call, limits: config.Service
    ) -> calls.Answered:
        """Returns the whole answer.

        Raises:
          errors.Refused: If no endpoint was found in time.
          errors.OutcomeUnknown: If all attempts failed.
        """
        self._budget.earn()
        avoid: set[str] = set()
        while True:
            view = await self._dispatcher.acquire(call, limits, avoid)
            attempt = await self._attempt(call, view)
            self._dispatcher.observe(view.name, attempt.reason)
            if attempt.answered is not None and not attempt.reason:
                return attempt.answered
            avoid.add(view.name)
            if not await self._goes_on(call, attempt.reason):
                return _give_up(call, attempt)

    async def _attempt(
        self, call: calls.Call, view: wire.EndpointView
    ) -> Attempt:
        call.attempts += 1
        key = outcomes.attempt_key(
            call.account, call.id, self._entry_token, call.attempts
        )
        bound = dispatching.bound_to(view)
        order = self._dispatcher.order(call, bound, key)
        try:
            exchange = await self._dispatcher.run(bound, order, call)
        except calls.ReplyError as exc:
            call.may_have_run |= exc.sent
            return Attempt(reason=exc.reason)
        reply = exchange.reply
        match reply.state:
            case protocol.RequestState.DONE:
                return Attempt(
                    reason=exchange.reason,
                    answered=exchange.answered(bound.http, order),
                )
            case protocol.RequestState.NOT_RUN:
                return Attempt(reason=reply.reason)
            case _:
                call.may_have_run = True
                return Attempt(reason=reply.reason)

    async def _goes_on(self, call: calls.Call, reason: str) -> bool:
        left_ms = call.left_ms(self._dispatcher.clock.now())
        verdict = retries.judge(call.attempts, left_ms, self._budget, self._rng)
        metrics = self._dispatcher.metrics
        match verdict:
            case retries.Retry():
                metrics.retried(reason)
                await asyncio.sleep(clock_lib.seconds(verdict.after_ms))
                return True
            case retries.GiveUp():
                metrics.failed(f"gave_up_{verdict.reason}")
                return False


def _give_up(call: calls.Call, attempt: Attempt) -> calls.Answered:
    if attempt.answered is not None:
        # An endpoint's own error is the whole answer to this request.
        return attempt.answered
    message = f"{call.attempts} attempts failed, the last: {attempt.reason}"
    if call.may_have_run:
        raise errors.OutcomeUnknown(message, remedy=outcomes.SAME_ID_REMEDY)
    raise errors.NotRun(message, retry_after_ms=RETRY_AFTER_MS)
