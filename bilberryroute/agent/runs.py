"""Executes requests by key; a run outlives the entry's connection."""

import asyncio
import dataclasses
import logging

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import admission
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import endpoint_client
from bilberryroute.agent import memory as memory_lib
from bilberryroute.agent import slots
from bilberryroute.routing import protocol

IDEMPOTENT_KEPT_MS = 10_000

_log = logging.getLogger(__name__)


class Runner:
    """Admits, executes and records requests, each key at most once."""

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.AgentBoard,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self.slots = slots.SlotCounter(board, clock)
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self._metrics = metrics
        self._memory = memory_lib.RequestRecordStore()
        self._client = endpoint_client.EndpointClient(cfg.timing, clock)
        self._runs: dict[str, asyncio.Task[None]] = {}
        self._accepting = True

    async def close(self) -> None:
        """Closes the connections to endpoints."""
        await self._client.close()

    async def finish(self) -> None:
        """Refuses new requests and waits until all runs have ended."""
        self._accepting = False
        while self._runs:
            await asyncio.wait(list(self._runs.values()))

    def get(self, key: str) -> memory_lib.RequestRecord | None:
        """Returns the record of a key, or None if it was never seen."""
        return self._memory.get(key, self._clock.now())

    def extend_retention(self, record: memory_lib.RequestRecord) -> None:
        """Extends the retention of an answer that is being read."""
        until = self._clock.now() + IDEMPOTENT_KEPT_MS
        self._memory.extend_retention(record, until)

    async def wait(self, key: str, wait_ms: int) -> None:
        """Waits until a run ends, at most `wait_ms`."""
        run = self._runs.get(key)
        if run is not None:
            await asyncio.wait({run}, timeout=clock_lib.seconds(wait_ms))

    def begin(
        self, dispatch: protocol.Dispatch, body: bytes
    ) -> memory_lib.RequestRecord:
        """Starts the run of a new key, or records its refusal."""
        if self._may_be_forgotten(dispatch):
            return memory_lib.RequestRecord(reply=_expired(dispatch.key))
        refusal = self._check_admission(dispatch)
        if refusal is None:
            record = self._memory.start(
                dispatch.key, claimed=not dispatch.idempotent
            )
            self._runs[dispatch.key] = asyncio.create_task(
                self._run(dispatch, body)
            )
            return record
        self._metrics.refused(refusal.reason)
        if dispatch.idempotent:
            return memory_lib.RequestRecord(
                reply=_not_run(dispatch.key, refusal.reason)
            )
        # The entry may run the request under its next claim, so a duplicate of
        # this dispatch must not run.
        return self.fence(dispatch.key, refusal.reason, dispatch.kept_ms)

    def fence(
        self, key: str, reason: str, kept_ms: int
    ) -> memory_lib.RequestRecord:
        """Fences a key never seen, so that it never runs."""
        until = self._clock.now() + kept_ms
        return self._memory.fence(key, _not_run(key, reason), until)

    def _may_be_forgotten(self, dispatch: protocol.Dispatch) -> bool:
        if dispatch.idempotent or dispatch.fresh:
            return False
        return self._memory.has_forgotten

    def _check_admission(
        self, dispatch: protocol.Dispatch
    ) -> admission.AdmissionRefusal | None:
        if not self._accepting:
            return admission.AdmissionRefusal(reason=protocol.Reason.DRAINING)
        if self._memory.is_full():
            return admission.AdmissionRefusal(
                reason=protocol.Reason.MEMORY_FULL
            )
        refusal = self._check_start(dispatch)
        if refusal is not None:
            return refusal
        if self.slots.is_full(dispatch.endpoint):
            return admission.AdmissionRefusal(reason=protocol.Reason.NO_SLOT)
        return None

    def _check_start(
        self, dispatch: protocol.Dispatch
    ) -> admission.AdmissionRefusal | None:
        return admission.check_start(
            self._board,
            self._cfg.failure_domain,
            dispatch.endpoint,
            self._clock.now(),
        )

    async def _run(self, dispatch: protocol.Dispatch, body: bytes) -> None:
        deadline = self._clock.now() + dispatch.time_left_ms
        try:
            outcome = await self._run_in_slot(dispatch, body, deadline)
        except Exception:
            _log.exception("run of %s failed", dispatch.key)
            outcome = endpoint_client.EndpointFailure(
                reason=protocol.Reason.AGENT_ERROR, ran=True
            )
        finally:
            del self._runs[dispatch.key]
        self._record_end(dispatch, outcome)

    async def _run_in_slot(
        self, dispatch: protocol.Dispatch, body: bytes, deadline: int
    ) -> endpoint_client.EndpointAnswer | endpoint_client.EndpointFailure:
        async with self.slots.slot(dispatch, dispatch.time_left_ms) as granted:
            if not granted:
                return _failure(protocol.Reason.NO_SLOT)
            # The wait may have outlasted the lease or the announcement.
            refusal = self._check_start(dispatch)
            if refusal is not None:
                return _failure(refusal.reason)
            left_ms = deadline - self._clock.now()
            if left_ms <= 0:
                return _failure(protocol.Reason.DEADLINE)
            updated = dataclasses.replace(dispatch, time_left_ms=left_ms)
            announced = self._board.announcements.get()[dispatch.endpoint]
            bound = admission.connections_of(self._board, announced)
            bounded = dataclasses.replace(announced, connections=bound)
            outcome = await self._client.call(bounded, updated, body)
            if isinstance(outcome, endpoint_client.EndpointAnswer):
                self.slots.record_answered(dispatch.request_id)
            return outcome

    def _record_end(
        self,
        dispatch: protocol.Dispatch,
        outcome: (
            endpoint_client.EndpointAnswer | endpoint_client.EndpointFailure
        ),
    ) -> None:
        body = b""
        match outcome:
            case endpoint_client.EndpointAnswer():
                body = outcome.body
                reply = _done(dispatch.key, outcome)
            case endpoint_client.EndpointFailure(ran=False):
                self._metrics.refused(outcome.reason)
                reply = _not_run(dispatch.key, outcome.reason)
            case endpoint_client.EndpointFailure():
                self._metrics.failed(outcome.reason)
                reply = protocol.AgentReply(
                    key=dispatch.key,
                    state=protocol.RequestState.UNKNOWN,
                    reason=outcome.reason,
                )
        now = self._clock.now()
        self._memory.end(
            dispatch.key,
            reply,
            body,
            answer_until=now + self._answer_kept_ms(dispatch),
            key_until=now + dispatch.kept_ms,
        )

    def _answer_kept_ms(self, dispatch: protocol.Dispatch) -> int:
        if dispatch.idempotent:
            return IDEMPOTENT_KEPT_MS
        service = admission.service_of(self._board, dispatch.service)
        return service.answer_kept_ms


def _failure(reason: str) -> endpoint_client.EndpointFailure:
    return endpoint_client.EndpointFailure(reason=reason, ran=False)


def _not_run(key: str, reason: str) -> protocol.AgentReply:
    return protocol.AgentReply(
        key=key, state=protocol.RequestState.NOT_RUN, reason=reason
    )


def _expired(key: str) -> protocol.AgentReply:
    return protocol.AgentReply(
        key=key,
        state=protocol.RequestState.EXPIRED,
        reason=protocol.Reason.EXPIRED,
    )


def _done(
    key: str, answer: endpoint_client.EndpointAnswer
) -> protocol.AgentReply:
    return protocol.AgentReply(
        key=key,
        state=protocol.RequestState.DONE,
        status=answer.status,
        length=len(answer.body),
        content_type=answer.content_type,
        content_encoding=answer.content_encoding,
    )
