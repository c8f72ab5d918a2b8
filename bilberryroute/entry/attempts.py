"""Runs idempotent requests with retries, within the retry budget."""

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
class AttemptResult:
    """Result of one attempt.

    Attributes:
      reason: Why it failed; empty if it succeeded.
      answer: The endpoint's answer, including an error response.
    """

    reason: str
    answer: calls.CallAnswer | None = None


class IdempotentRunner:
    """Retries a request until it succeeds or the retry policy gives up."""

    def __init__(
        self,
        dispatcher: dispatching.RequestDispatcher,
        entry_token: str,
        rng: random.Random,
    ):
        self._dispatcher = dispatcher
        self._entry_token = entry_token
        self._rng = rng
        self._budget = retries.RetryBudget()

    async def run(
        self, call: calls.Call, service_config: config.Service
    ) -> calls.CallAnswer:
        """Runs a call and returns its answer.

        Raises:
          errors.Refused: If no endpoint was available in time, or no attempt
            can have run.
          errors.OutcomeUnknown: If all attempts failed and one may have run.
        """
        self._budget.deposit()
        avoid: set[str] = set()
        while True:
            view = await self._dispatcher.acquire(call, service_config, avoid)
            result = await self._attempt(call, view)
            self._dispatcher.record_result(view.name, result.reason)
            if result.answer is not None and not result.reason:
                return result.answer
            avoid.add(view.name)
            if not await self._should_retry(call, result.reason):
                return _final_answer(call, result)

    async def _attempt(
        self, call: calls.Call, view: wire.EndpointView
    ) -> AttemptResult:
        call.attempts += 1
        key = outcomes.attempt_key(
            call.account, call.id, self._entry_token, call.attempts
        )
        target = dispatching.target_for(view)
        dispatch = self._dispatcher.new_dispatch(call, target, key)
        try:
            exchange = await self._dispatcher.run(target, dispatch, call)
        except calls.ReplyError as exc:
            call.may_have_run |= exc.may_have_arrived
            return AttemptResult(reason=exc.reason)
        reply = exchange.reply
        match reply.state:
            case protocol.RequestState.DONE:
                return AttemptResult(
                    reason=exchange.reason,
                    answer=exchange.answer(target.http, dispatch),
                )
            case protocol.RequestState.NOT_RUN:
                return AttemptResult(reason=reply.reason)
            case _:
                call.may_have_run = True
                return AttemptResult(reason=reply.reason)

    async def _should_retry(self, call: calls.Call, reason: str) -> bool:
        left_ms = call.left_ms(self._dispatcher.clock.now())
        decision = retries.decide(
            call.attempts, left_ms, self._budget, self._rng
        )
        metrics = self._dispatcher.metrics
        match decision:
            case retries.Retry():
                metrics.retried(reason)
                await asyncio.sleep(clock_lib.seconds(decision.after_ms))
                return True
            case retries.GiveUp():
                metrics.failed(f"gave_up_{decision.reason}")
                return False


def _final_answer(call: calls.Call, result: AttemptResult) -> calls.CallAnswer:
    if result.answer is not None:
        # The endpoint's error response is passed on to the caller.
        return result.answer
    message = f"{call.attempts} attempts failed, the last: {result.reason}"
    if call.may_have_run:
        raise errors.OutcomeUnknown(message, remedy=outcomes.SAME_ID_REMEDY)
    raise errors.NotRun(message, retry_after_ms=RETRY_AFTER_MS)
