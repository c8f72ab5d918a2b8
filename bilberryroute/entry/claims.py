"""Runs non-idempotent requests at most once by means of claims in the log.

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
CONCURRENT_CLOSES_MAX = 128
RETRY_AFTER_MS = 1_000


class ClaimProposer(Protocol):
    """Commits claims to the replicated log."""

    async def propose(self, command: object) -> commands.Result:
        """Commits a command and returns its result.

        Raises:
          errors.Unavailable: If the command was not committed.
          errors.CommitUnknown: If it may or may not have been committed.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommittedClaim:
    """A claim as committed in the log.

    Attributes:
      result: The log's result for the claim.
      generation: Position of the claim in the chain of its request.
      started_ms: Monotonic time at which this entry began to propose it.
    """

    result: commands.ClaimHeld
    generation: int
    started_ms: int


Target = dispatching.DispatchTarget
RunFunction = Callable[
    [Target, protocol.Dispatch, calls.Call], Awaitable[forward.Exchange]
]


class ClaimRunner:
    """Follows the chain of claims of a request until its outcome is known."""

    def __init__(
        self,
        dispatcher: dispatching.RequestDispatcher,
        proposer: ClaimProposer,
        rng: random.Random,
    ):
        self._dispatcher = dispatcher
        self._proposer = proposer
        self._rng = rng
        self._closes_in_progress = 0

    async def run(
        self, call: calls.Call, service_config: config.Service
    ) -> calls.CallAnswer:
        """Runs a call and returns its answer.

        Raises:
          errors.Refused: If it was not run; `call.proved_not_run` tells
            whether that is proved.
          errors.OutcomeUnknown: If it may have run.
          errors.AnswerExpired: If it ran but its answer is no longer kept.
        """
        generation = 1
        try:
            while generation <= outcomes.GENERATIONS_MAX:
                view = await self._acquire_responsive_endpoint(
                    call, service_config
                )
                answer = await self._run_generation(call, view, generation)
                if answer is not None:
                    return answer
                await self._back_off(call, generation)
                generation += 1
            raise errors.NotRun(
                "no agent accepted the request", retry_after_ms=RETRY_AFTER_MS
            )
        except errors.Refused as exc:
            if call.proved_not_run or call.may_have_run:
                raise
            return await self._close_request(call, generation, exc)

    async def refuse(
        self, call: calls.Call, cause: errors.Refused
    ) -> calls.CallAnswer:
        """Refuses a call and, if possible, closes it so that it never runs.

        Returns the answer if an earlier send of the id was accepted.

        Raises:
          errors.Refused: The given cause.
          errors.OutcomeUnknown: If an earlier send may have run.
        """
        return await self._close_request(call, 1, cause)

    async def _acquire_responsive_endpoint(
        self, call: calls.Call, service_config: config.Service
    ) -> wire.EndpointView:
        """Acquires an endpoint whose agent has just replied.

        The outcome of a claim on a lost agent could never be determined.
        """
        avoid: set[str] = set()
        while True:
            view = await self._dispatcher.acquire(call, service_config, avoid)
            try:
                incarnation = await self._incarnation(view)
                return dataclasses.replace(view, incarnation=incarnation)
            except calls.ReplyError as exc:
                self._dispatcher.record_result(view.name, exc.reason)
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

    async def _back_off(self, call: calls.Call, attempts: int) -> None:
        wait_ms = retries.backoff_ms(attempts, self._rng)
        if wait_ms >= call.left_ms(self._dispatcher.clock.now()):
            raise errors.DeadlineExceeded(
                "no agent accepted the request in time"
            )
        await asyncio.sleep(clock_lib.seconds(wait_ms))

    async def _run_generation(
        self, call: calls.Call, view: wire.EndpointView, generation: int
    ) -> calls.CallAnswer | None:
        try:
            claim = await self._commit_claim(call, generation, view)
        except BaseException:
            self._dispatcher.release(view)
            raise
        if (claim.result.agent, claim.result.endpoint) == (
            view.agent,
            view.name,
        ):
            run = self._dispatcher.run
        else:
            self._dispatcher.release(view)
            run = self._run_without_slot
        return await self._run_claim(call, claim, run)

    async def _run_without_slot(
        self, target: Target, dispatch: protocol.Dispatch, call: calls.Call
    ) -> forward.Exchange:
        return await self._dispatcher.agents.run(target.http, dispatch, call)

    async def _run_claim(
        self, call: calls.Call, claim: CommittedClaim, run: RunFunction
    ) -> calls.CallAnswer | None:
        """Runs a claim; returns the answer, or None if it is proved not run."""
        result = claim.result
        if outcomes.closes_request(result):
            call.proved_not_run = True
            raise errors.NotRun(
                "the request was closed without being run",
                remedy=outcomes.NEW_ID_REMEDY,
            )
        address = self._dispatcher.agent_address(result.agent)
        if address is None:
            raise self._outcome_unknown(call, protocol.Reason.AGENT_GONE)
        target = Target(
            name=result.endpoint,
            service=call.service,
            incarnation=result.incarnation,
            http=address,
        )
        call.attempts += 1
        key = outcomes.claim_key(call.account, call.id, claim.generation)
        fresh = result.first or outcomes.id_timestamp_ms(call.id) is not None
        dispatch = self._dispatcher.new_dispatch(call, target, key, fresh=fresh)
        try:
            exchange = await run(target, dispatch, call)
        except calls.ReplyError as exc:
            self._dispatcher.record_result(target.name, exc.reason)
            raise self._outcome_unknown(call, exc.reason) from exc
        self._dispatcher.record_result(target.name, exchange.reason)
        return self._interpret_reply(
            call, claim, exchange.answer(address, dispatch)
        )

    def _interpret_reply(
        self,
        call: calls.Call,
        claim: CommittedClaim,
        answer: calls.CallAnswer,
    ) -> calls.CallAnswer | None:
        reply = answer.reply
        since_ms = self._dispatcher.clock.now() - claim.started_ms
        if outcomes.proves_not_run(claim.result, reply, since_ms):
            self._dispatcher.metrics.retried(reply.reason)
            return None
        match reply.state:
            case protocol.RequestState.DONE:
                return answer
            case protocol.RequestState.EXPIRED:
                call.may_have_run = True
                raise errors.AnswerExpired(
                    "the answer is no longer kept by the agent"
                )
            case _:
                raise self._outcome_unknown(call, reply.reason)

    def _outcome_unknown(
        self, call: calls.Call, reason: str
    ) -> errors.OutcomeUnknown:
        call.may_have_run = True
        return errors.OutcomeUnknown(
            f"the request may have run: {reason}",
            remedy=outcomes.SAME_ID_REMEDY,
        )

    async def _commit_claim(
        self, call: calls.Call, generation: int, view: wire.EndpointView | None
    ) -> CommittedClaim:
        """Commits a claim, or returns the one already committed for the id.

        Without a view, the claim names no agent and closes the request.

        Raises:
          errors.RequestConflict: If the id was used with different content.
          errors.Unavailable: If the claim was not committed in time.
          errors.OutcomeUnknown: If it may have been committed.
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
        started_ms = self._dispatcher.clock.now()
        result = await self._propose(call, command)
        match result:
            case commands.ClaimHeld():
                return CommittedClaim(
                    result=result, generation=generation, started_ms=started_ms
                )
            case commands.ClaimRefused():
                call.proved_not_run = True
                raise errors.RequestConflict(result.message)
            case _:
                raise errors.Unavailable(f"unexpected result {result!r}")

    async def _propose(
        self, call: calls.Call, command: commands.ClaimRequest
    ) -> commands.Result:
        attempts = 0
        may_be_committed = False
        while True:
            try:
                return await self._proposer.propose(command)
            except (errors.Unavailable, errors.CommitUnknown) as exc:
                may_be_committed |= isinstance(exc, errors.CommitUnknown)
                # Claims are idempotent, so proposing the same one again is safe.
                attempts += 1
                wait_ms = retries.backoff_ms(attempts, self._rng)
                left_ms = call.left_ms(self._dispatcher.clock.now())
                if wait_ms >= left_ms and may_be_committed:
                    raise self._outcome_unknown(
                        call, protocol.Reason.COMMIT_UNKNOWN
                    ) from exc
                if wait_ms >= left_ms:
                    raise errors.Unavailable(
                        "the claim was not committed in time"
                    ) from exc
                self._dispatcher.metrics.retried(exc.kind)
                await asyncio.sleep(clock_lib.seconds(wait_ms))

    async def _close_request(
        self, call: calls.Call, generation: int, cause: errors.Refused
    ) -> calls.CallAnswer:
        """Closes a refused request, so that it never runs.

        Returns the answer if an earlier send of the id was accepted.

        Raises:
          errors.Refused: The given cause; `call.proved_not_run` is set if the
            request is closed.
          errors.OutcomeUnknown: If an earlier send of the id may have run.
        """
        if call.sent_once:
            call.proved_not_run = True
            raise cause
        for generation_to_close in range(
            generation, outcomes.GENERATIONS_MAX + 2
        ):
            claim = await self._commit_closing_claim(
                call, generation_to_close, cause
            )
            if outcomes.closes_request(claim.result):
                call.proved_not_run = True
                cause.remedy = outcomes.NEW_ID_REMEDY
                raise cause
            # An earlier send of the id was accepted, so return its answer.
            answer = await self._run_claim(call, claim, self._run_without_slot)
            if answer is not None:
                return answer
        raise cause

    async def _commit_closing_claim(
        self, call: calls.Call, generation: int, cause: errors.Refused
    ) -> CommittedClaim:
        if self._closes_in_progress >= CONCURRENT_CLOSES_MAX:
            raise cause
        self._closes_in_progress += 1
        try:
            async with asyncio.timeout(clock_lib.seconds(CLOSE_TIMEOUT_MS)):
                return await self._commit_claim(call, generation, None)
        except (TimeoutError, errors.Unavailable, errors.OutcomeUnknown):
            raise cause from None
        finally:
            self._closes_in_progress -= 1
