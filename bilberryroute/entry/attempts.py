"""Runs idempotent requests: attempt after attempt, within a budget."""

import asyncio
import random

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.entry import calls
from bilberryroute.entry import dispatching
from bilberryroute.entry import forward
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol
from bilberryroute.routing import retries


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
            exchange, reason = await self._attempt(call, view)
            if exchange is not None and not reason:
                return calls.Answered(reply=exchange.reply, body=exchange.body)
            avoid.add(view.name)
            if not await self._goes_on(call, reason):
                return _give_up(call, exchange, reason)

    async def _attempt(
        self, call: calls.Call, view: wire.EndpointView
    ) -> tuple[forward.Exchange | None, str]:
        call.attempts += 1
        key = outcomes.attempt_key(
            call.account, call.id, self._entry_token, call.attempts
        )
        order = self._dispatcher.order(call, view, key)
        try:
            bound = dispatching.Bound(
                name=view.name,
                service=view.service,
                incarnation=view.incarnation,
                http=view.http,
            )
            exchange = await self._dispatcher.run(bound, order, call)
        except calls.ReplyError as exc:
            call.may_have_run |= exc.sent
            return None, exc.reason
        match exchange.reply.state:
            case protocol.State.DONE:
                failed = exchange.reply.status >= 500
                return exchange, "endpoint_error" if failed else ""
            case protocol.State.NOT_RUN:
                return None, exchange.reply.reason
            case _:
                call.may_have_run = True
                return None, exchange.reply.reason or "agent_lost"

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


def _give_up(
    call: calls.Call, exchange: forward.Exchange | None, reason: str
) -> calls.Answered:
    if exchange is not None:
        # An endpoint's own error is the whole answer to this request.
        return calls.Answered(reply=exchange.reply, body=exchange.body)
    raise errors.OutcomeUnknown(
        f"{call.attempts} attempts failed, the last by {reason}",
        remedy=outcomes.SAME_ID_REMEDY,
    )
