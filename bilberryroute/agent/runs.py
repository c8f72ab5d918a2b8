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

    def prolong(self, record: memory_lib.RequestRecord) -> None:
        """Extends the retention of an answer that is being read."""
        until = self._clock.now() + IDEMPOTENT_KEPT_MS
        self._memory.prolong(record, until)

    async def wait(self, key: str, wait_ms: int) -> None:
        """Waits until a run ends, at most `wait_ms`."""
        run = self._runs.get(key)
        if run is not None:
            await asyncio.wait({run}, timeout=clock_lib.seconds(wait_ms))

    def begin(
        self, order: protocol.Dispatch, body: bytes
    ) -> memory_lib.RequestRecord:
        """Starts the run of a new key, or records its refusal."""
        if self._may_be_forgotten(order):
            return memory_lib.RequestRecord(reply=_expired(order.key))
        refusal = self._check(order)
        if refusal is None:
            record = self._memory.start(order.key, claimed=not order.idempotent)
            self._runs[order.key] = asyncio.create_task(self._run(order, body))
            return record
        self._metrics.refused(refusal.reason)
        if order.idempotent:
            return memory_lib.RequestRecord(
                reply=_not_run(order.key, refusal.reason)
            )
        # The caller may retry under another claim, so this key must never run.
        return self.fence(order.key, refusal.reason, order.kept_ms)

    def fence(
        self, key: str, reason: str, kept_ms: int
    ) -> memory_lib.RequestRecord:
        """Fences a key never seen, so that it never runs."""
        until = self._clock.now() + kept_ms
        return self._memory.fence(key, _not_run(key, reason), until)

    def _may_be_forgotten(self, order: protocol.Dispatch) -> bool:
        if order.idempotent or order.fresh:
            return False
        return self._memory.has_forgotten

    def _check(
        self, order: protocol.Dispatch
    ) -> admission.AdmissionRefusal | None:
        if not self._accepting:
            return admission.AdmissionRefusal(reason=protocol.Reason.DRAINING)
        if self._memory.is_full():
            return admission.AdmissionRefusal(
                reason=protocol.Reason.MEMORY_FULL
            )
        refusal = self._check_start(order)
        if refusal is not None:
            return refusal
        if self.slots.is_full(order.endpoint):
            return admission.AdmissionRefusal(reason=protocol.Reason.NO_SLOT)
        return None

    def _check_start(
        self, order: protocol.Dispatch
    ) -> admission.AdmissionRefusal | None:
        return admission.check_start(
            self._board,
            self._cfg.failure_domain,
            order.endpoint,
            self._clock.now(),
        )

    async def _run(self, order: protocol.Dispatch, body: bytes) -> None:
        deadline = self._clock.now() + order.time_left_ms
        try:
            ended = await self._run_in_slot(order, body, deadline)
        except Exception:
            _log.exception("run of %s failed", order.key)
            ended = endpoint_client.EndpointFailure(
                reason=protocol.Reason.AGENT_ERROR, ran=True
            )
        finally:
            del self._runs[order.key]
        self._record_end(order, ended)

    async def _run_in_slot(
        self, order: protocol.Dispatch, body: bytes, deadline: int
    ) -> endpoint_client.EndpointAnswer | endpoint_client.EndpointFailure:
        async with self.slots.slot(order, order.time_left_ms) as granted:
            if not granted:
                return _failure(protocol.Reason.NO_SLOT)
            # The wait may have outlasted the lease or the announcement.
            refusal = self._check_start(order)
            if refusal is not None:
                return _failure(refusal.reason)
            left_ms = deadline - self._clock.now()
            if left_ms <= 0:
                return _failure(protocol.Reason.DEADLINE)
            left = dataclasses.replace(order, time_left_ms=left_ms)
            announced = self._board.announcements.get()[order.endpoint]
            bound = admission.connections_of(self._board, announced)
            bounded = dataclasses.replace(announced, connections=bound)
            ended = await self._client.call(bounded, left, body)
            if isinstance(ended, endpoint_client.EndpointAnswer):
                self.slots.finish(order.request_id)
            return ended

    def _record_end(
        self,
        order: protocol.Dispatch,
        ended: endpoint_client.EndpointAnswer | endpoint_client.EndpointFailure,
    ) -> None:
        body = b""
        match ended:
            case endpoint_client.EndpointAnswer():
                body = ended.body
                reply = _done(order.key, ended)
            case endpoint_client.EndpointFailure(ran=False):
                self._metrics.refused(ended.reason)
                reply = _not_run(order.key, ended.reason)
            case endpoint_client.EndpointFailure():
                self._metrics.failed(ended.reason)
                reply = protocol.AgentReply(
                    key=order.key,
                    state=protocol.RequestState.UNKNOWN,
                    reason=ended.reason,
                )
        now = self._clock.now()
        self._memory.end(
            order.key,
            reply,
            body,
            answer_until=now + self._answer_kept_ms(order),
            key_until=now + order.kept_ms,
        )

    def _answer_kept_ms(self, order: protocol.Dispatch) -> int:
        if order.idempotent:
            return IDEMPOTENT_KEPT_MS
        service = admission.service_of(self._board, order.service)
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
