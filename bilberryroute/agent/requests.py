"""Runs requests on endpoints and remembers what became of them.

The run of a key goes on whatever becomes of the connection that asked for
it. Whoever asks for the same key again joins that run.
"""

import asyncio
import dataclasses

from aiohttp import web
from mode import Service

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import admission
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import endpoint_client
from bilberryroute.agent import memory as memory_lib
from bilberryroute.agent import waiting
from bilberryroute.routing import protocol

IDEMPOTENT_KEPT_MS = 10_000
WAIT_MAX_MS = 10_000


class RequestService(Service):
    """Internal API that entries call.

    Attributes:
      incarnation: Changes with every start of this process.
      metrics: Counters of the process.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.AgentBoard,
        clock: clock_lib.Clock,
        incarnation: str,
        metrics: metrics_lib.Metrics | None = None,
    ):
        super().__init__()
        self.incarnation = incarnation
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self.metrics = metrics or metrics_lib.Metrics()
        self._memory = memory_lib.Memory()
        self._client = endpoint_client.EndpointClient()
        self._runs: dict[str, asyncio.Task[None]] = {}
        self._slots = waiting.SlotRooms(board)
        self._started = clock.now()
        self._accepting = True

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_post(protocol.DISPATCH_PATH, self._dispatch)
        app.router.add_post(
            protocol.DISPATCH_PATH + "/{id}/attach", self._attach
        )

    async def drain(self) -> None:
        """Takes nothing new after the entries had time to notice; finishes."""
        self._board.draining.set(True)
        await asyncio.sleep(clock_lib.seconds(self._notice_ms()))
        self._accepting = False
        while self._runs:
            await asyncio.wait(self._runs.values())

    async def on_stop(self) -> None:
        """Closes the connections to endpoints."""
        await self._client.close()

    def _notice_ms(self) -> int:
        timing = self._cfg.timing
        return max(timing.balancer_lag_ms, 2 * timing.renewal_ms)

    async def _dispatch(self, req: web.Request) -> web.StreamResponse:
        order = protocol.decode(
            req.headers.get(protocol.DISPATCH_HEADER), protocol.Dispatch
        )
        body = await api.read_body(req, self._cfg.limits.body_bytes)
        if not order.idempotent and order.incarnation != self.incarnation:
            return self._respond(self._stale(order.key))
        record = self._memory.get(order.key, self._clock.now())
        if record is None:
            record = self._begin(order, body)
        return await self._reply(order.key, record, order.wait_ms)

    async def _attach(self, req: web.Request) -> web.StreamResponse:
        ask = protocol.decode(
            req.headers.get(protocol.DISPATCH_HEADER), protocol.Attach
        )
        if ask.incarnation and ask.incarnation != self.incarnation:
            return self._respond(self._stale(ask.key))
        record = self._memory.get(ask.key, self._clock.now())
        if record is None and ask.fence:
            record = self._fence(ask.key, "never_seen", ask.kept_ms)
        if record is None:
            return self._respond(self._not_run(ask.key, "never_seen"))
        return await self._reply(ask.key, record, ask.wait_ms, ask.offset)

    def _begin(
        self, order: protocol.Dispatch, body: bytes
    ) -> memory_lib.Record:
        refusal = self._check(order)
        if refusal is None:
            record = self._memory.start(order.key)
            self._runs[order.key] = asyncio.create_task(self._run(order, body))
            return record
        self.metrics.refused(refusal.reason)
        if order.idempotent:
            reply = self._not_run(order.key, refusal.reason)
            return memory_lib.Record(reply=reply)
        return self._fence(order.key, refusal.reason, order.kept_ms)

    def _check(self, order: protocol.Dispatch) -> admission.Refusal | None:
        if not self._accepting:
            return admission.Refusal(reason="draining")
        if self._memory.is_full():
            return admission.Refusal(reason="memory_full")
        refusal = admission.check_start(
            self._board,
            self._cfg.failure_domain,
            order.endpoint,
            self._clock.now(),
        )
        if refusal is not None:
            return refusal
        if self._slots.is_full(order.endpoint):
            return admission.Refusal(reason="no_slot")
        return None

    async def _run(self, order: protocol.Dispatch, body: bytes) -> None:
        deadline = self._clock.now() + order.time_left_ms
        try:
            ended = await self._run_in_slot(order, body, deadline)
        except Exception:
            self.log.exception("run of %s failed", order.key)
            ended = endpoint_client.Failure(reason="agent_error", ran=True)
        finally:
            self._runs.pop(order.key, None)
        self._record_end(order, ended)

    async def _run_in_slot(
        self, order: protocol.Dispatch, body: bytes, deadline: int
    ) -> endpoint_client.Answer | endpoint_client.Failure:
        left_ms = deadline - self._clock.now()
        async with self._slots.slot(order, left_ms) as granted:
            if not granted:
                return endpoint_client.Failure(reason="no_slot", ran=False)
            now = self._clock.now()
            # The wait may have outlasted the lease or the announcement.
            refusal = admission.check_start(
                self._board, self._cfg.failure_domain, order.endpoint, now
            )
            if refusal is not None:
                return endpoint_client.Failure(reason=refusal.reason, ran=False)
            left = dataclasses.replace(
                order, time_left_ms=max(1, deadline - now)
            )
            announced = self._board.announcements.get()[order.endpoint]
            return await self._client.call(announced, left, body)

    def _record_end(
        self,
        order: protocol.Dispatch,
        ended: endpoint_client.Answer | endpoint_client.Failure,
    ) -> None:
        body = b""
        match ended:
            case endpoint_client.Answer():
                body = ended.body
                reply = protocol.Reply(
                    key=order.key,
                    state=protocol.State.DONE,
                    status=ended.status,
                    length=len(body),
                    content_type=ended.content_type,
                    content_encoding=ended.content_encoding,
                )
            case endpoint_client.Failure(ran=False):
                self.metrics.refused(ended.reason)
                reply = self._not_run(order.key, ended.reason)
            case endpoint_client.Failure():
                self.metrics.failed(ended.reason)
                reply = protocol.Reply(
                    key=order.key,
                    state=protocol.State.UNKNOWN,
                    reason=ended.reason,
                )
        now = self._clock.now()
        service = admission.service_of(self._board, order.service)
        answer_kept_ms = service.answer_kept_ms
        if order.idempotent:
            answer_kept_ms = IDEMPOTENT_KEPT_MS
        self._memory.end(
            order.key,
            reply,
            body,
            answer_until=now + answer_kept_ms,
            key_until=now + order.kept_ms,
        )

    def _fence(self, key: str, reason: str, kept_ms: int) -> memory_lib.Record:
        until = self._clock.now() + kept_ms
        return self._memory.end(
            key,
            self._not_run(key, reason),
            b"",
            answer_until=until,
            key_until=until,
        )

    def _not_run(self, key: str, reason: str) -> protocol.Reply:
        return protocol.Reply(
            key=key, state=protocol.State.NOT_RUN, reason=reason
        )

    def _stale(self, key: str) -> protocol.Reply:
        return protocol.Reply(
            key=key,
            state=protocol.State.STALE,
            reason="stale_incarnation",
            up_ms=self._clock.now() - self._started,
        )

    async def _reply(
        self,
        key: str,
        record: memory_lib.Record,
        wait_ms: int,
        offset: int = 0,
    ) -> web.StreamResponse:
        run = self._runs.get(key)
        if run is not None:
            timeout = clock_lib.seconds(min(wait_ms, WAIT_MAX_MS))
            await asyncio.wait({run}, timeout=timeout)
        return self._respond(record.reply, record.body[offset:])

    def _respond(
        self, reply: protocol.Reply, body: bytes = b""
    ) -> web.StreamResponse:
        reply = dataclasses.replace(reply, incarnation=self.incarnation)
        headers = {protocol.REPLY_HEADER: protocol.encode(reply)}
        return web.Response(body=body, headers=headers)
