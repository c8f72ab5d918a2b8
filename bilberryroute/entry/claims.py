"""Runs requests that are not idempotent: at most once, by claims.

See `routing.outcomes` for the chain of claims.
"""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.entry import calls
from bilberryroute.entry import dispatching
from bilberryroute.entry import forward
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.routing import outcomes
from bilberryroute.routing import protocol
from bilberryroute.routing import retries

CLOSE_TIMEOUT_MS = 2_000
CLOSES_MAX = 128
RETRY_AFTER_MS = 1_000


class Proposer(Protocol):
    """Commits commands in the replicated log."""

    async def propose(self, command: object) -> commands.Result:
        """Returns the committed result.

        Raises:
          errors.Unavailable: Nothing was changed.
          errors.CommitUnknown: It may or may not have been committed.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """A claim as the log holds it, and when this entry began to make it."""

    held: commands.ClaimHeld
    generation: int
    began: int


Bound = dispatching.Bound
Run = Callable[
    [Bound, protocol.Dispatch, calls.Call], Awaitable[forward.Exchange]
]


class ClaimRunner:
    """Follows the chain of claims of a request to its end."""

    def __init__(
        self,
        dispatcher: dispatching.Dispatcher,
        proposer: Proposer,
        rng: random.Random,
    ):
        self._dispatcher = dispatcher
        self._proposer = proposer
        self._rng = rng
        self._closing = 0

    async def run(
        self, call: calls.Call, limits: config.Service
    ) -> calls.Answered:
        """Returns the whole answer.

        Raises:
          errors.Refused: If it was not run; see `call.unspent` for a proof.
          errors.OutcomeUnknown: If it may have run.
          errors.AnswerExpired: If it has ended and its answer is gone.
        """
        generation = 1
        try:
            while generation <= outcomes.GENERATIONS_MAX:
                view = await self._acquire_live(call, limits)
                answered = await self._run_generation(call, view, generation)
                if answered is not None:
                    return answered
                await self._back_off(call, generation)
                generation += 1
            raise errors.NotRun(
                "no agent would run it", retry_after_ms=RETRY_AFTER_MS
            )
        except errors.Refused as exc:
            if call.unspent or call.may_have_run:
                raise
            return await self._close(call, generation, exc)

    async def refuse(
        self, call: calls.Call, cause: errors.Refused
    ) -> calls.Answered:
        """Refuses a call, with a proof if possible.

        Returns the answer if an earlier send of the id was accepted.

        Raises:
          errors.Refused: The cause.
          errors.OutcomeUnknown: If an earlier send may have run.
        """
        return await self._close(call, 1, cause)

    async def _acquire_live(
        self, call: calls.Call, limits: config.Service
    ) -> wire.EndpointView:
        """Returns an endpoint whose agent answered a moment ago.

        A claim on an agent that is gone could not be settled any more.
        """
        avoid: set[str] = set()
        while True:
            view = await self._dispatcher.acquire(call, limits, avoid)
            try:
                incarnation = await self._incarnation(view)
                return dataclasses.replace(view, incarnation=incarnation)
            except calls.ReplyError as exc:
                self._dispatcher.observe(view.name, exc.reason)
                self._dispatcher.metrics.retried(exc.reason)
                self._dispatcher.release(view)
                avoid.add(view.name)
                await self._back_off(call, len(avoid))
            except BaseException:
                self._dispatcher.release(view)
                raise

    async def _incarnation(self, view: wire.EndpointView) -> str:
        agents = self._dispatcher.agents
        recent = agents.recent_incarnation(view.http)
        return recent or await agents.incarnation(view.http)

    async def _back_off(self, call: calls.Call, tries: int) -> None:
        wait_ms = retries.backoff_ms(tries, self._rng)
        if wait_ms >= call.left_ms(self._dispatcher.clock.now()):
            raise errors.DeadlineExceeded("no agent took it in time")
        await asyncio.sleep(clock_lib.seconds(wait_ms))

    async def _run_generation(
        self, call: calls.Call, view: wire.EndpointView, generation: int
    ) -> calls.Answered | None:
        try:
            claim = await self._claim(call, generation, view)
        except BaseException:
            self._dispatcher.release(view)
            raise
        if (claim.held.agent, claim.held.endpoint) == (view.agent, view.name):
            run = self._dispatcher.run
        else:
            self._dispatcher.release(view)
            run = self._run_elsewhere
        return await self._follow(call, claim, run)

    async def _run_elsewhere(
        self, bound: Bound, order: protocol.Dispatch, call: calls.Call
    ) -> forward.Exchange:
        return await self._dispatcher.agents.run(bound.http, order, call)

    async def _follow(
        self, call: calls.Call, claim: Claim, run: Run
    ) -> calls.Answered | None:
        """Returns the answer under a claim, or None if it is unspent."""
        held = claim.held
        if outcomes.is_closed(held):
            call.unspent = True
            raise errors.NotRun(
                "the request was closed without a run",
                remedy=outcomes.NEW_ID_REMEDY,
            )
        address = self._dispatcher.locate(held.agent)
        if address is None:
            raise self._unknown(call, protocol.Reason.AGENT_GONE)
        bound = Bound(
            name=held.endpoint,
            service=call.service,
            incarnation=held.incarnation,
            http=address,
        )
        call.attempts += 1
        key = outcomes.claim_key(call.account, call.id, claim.generation)
        fresh = held.first or outcomes.made_at(call.id) is not None
        order = self._dispatcher.order(call, bound, key, fresh=fresh)
        try:
            exchange = await run(bound, order, call)
        except calls.ReplyError as exc:
            self._dispatcher.observe(bound.name, exc.reason)
            raise self._unknown(call, exc.reason) from exc
        self._dispatcher.observe(bound.name, exchange.reason)
        return self._conclude(call, claim, exchange.answered(address, order))

    def _conclude(
        self, call: calls.Call, claim: Claim, answered: calls.Answered
    ) -> calls.Answered | None:
        reply = answered.reply
        since_ms = self._dispatcher.clock.now() - claim.began
        if outcomes.proves_unspent(claim.held, reply, since_ms):
            self._dispatcher.metrics.retried(reply.reason)
            return None
        match reply.state:
            case protocol.RequestState.DONE:
                return answered
            case protocol.RequestState.EXPIRED:
                call.may_have_run = True
                raise errors.AnswerExpired("the answer is no longer kept")
            case _:
                raise self._unknown(call, reply.reason)

    def _unknown(self, call: calls.Call, reason: str) -> errors.OutcomeUnknown:
        call.may_have_run = True
        return errors.OutcomeUnknown(
            f"the request may have run: {reason}",
            remedy=outcomes.SAME_ID_REMEDY,
        )

    async def _claim(
        self, call: calls.Call, generation: int, view: wire.EndpointView | None
    ) -> Claim:
        """Commits a claim, or learns whose it is; no view closes the chain.

        Raises:
          errors.RequestConflict: If the id was used with other content.
          errors.Unavailable: If the log cannot be reached in time.
        """
        command = commands.ClaimRequest(
            request_id=outcomes.claim_id(call.id, generation),
            account=call.account,
            service=call.service,
            fingerprint=call.fingerprint,
            agent=view.agent if view else "",
            incarnation=view.incarnation if view else "",
            endpoint=view.name if view else "",
            keep_ms=call.retention_ms,
            at_ms=self._dispatcher.clock.wall(),
        )
        began = self._dispatcher.clock.now()
        result = await self._propose(call, command)
        match result:
            case commands.ClaimHeld():
                return Claim(held=result, generation=generation, began=began)
            case commands.ClaimRefused():
                call.unspent = True
                raise errors.RequestConflict(result.message)
            case _:
                raise errors.Unavailable(f"unexpected result {result!r}")

    async def _propose(
        self, call: calls.Call, command: commands.ClaimRequest
    ) -> commands.Result:
        tries = 0
        in_doubt = False
        while True:
            try:
                return await self._proposer.propose(command)
            except (errors.Unavailable, errors.CommitUnknown) as exc:
                in_doubt |= isinstance(exc, errors.CommitUnknown)
                # The same claim again is answered alike, so resending is safe.
                tries += 1
                wait_ms = retries.backoff_ms(tries, self._rng)
                left_ms = call.left_ms(self._dispatcher.clock.now())
                if wait_ms >= left_ms and in_doubt:
                    raise self._unknown(
                        call, protocol.Reason.COMMIT_UNKNOWN
                    ) from exc
                if wait_ms >= left_ms:
                    raise errors.Unavailable(
                        "the request could not be claimed in time"
                    ) from exc
                self._dispatcher.metrics.retried(exc.kind)
                await asyncio.sleep(clock_lib.seconds(wait_ms))

    async def _close(
        self, call: calls.Call, generation: int, cause: errors.Refused
    ) -> calls.Answered:
        """Proves that a refused request never runs, or finds out that it may.

        Raises:
          errors.Refused: The cause, with `call.unspent` set by the proof.
          errors.OutcomeUnknown: If an earlier send of the id may have run.
        """
        if call.sent_once:
            call.unspent = True
            raise cause
        for closing in range(generation, outcomes.GENERATIONS_MAX + 2):
            claim = await self._close_one(call, closing, cause)
            if outcomes.is_closed(claim.held):
                call.unspent = True
                cause.remedy = outcomes.NEW_ID_REMEDY
                raise cause
            # An earlier send of the id was accepted: its run is this one's.
            answered = await self._follow(call, claim, self._run_elsewhere)
            if answered is not None:
                return answered
        raise cause

    async def _close_one(
        self, call: calls.Call, generation: int, cause: errors.Refused
    ) -> Claim:
        if self._closing >= CLOSES_MAX:
            raise cause
        self._closing += 1
        try:
            async with asyncio.timeout(clock_lib.seconds(CLOSE_TIMEOUT_MS)):
                return await self._claim(call, generation, None)
        except (TimeoutError, errors.Unavailable, errors.OutcomeUnknown):
            raise cause from None
        finally:
            self._closing -= 1
