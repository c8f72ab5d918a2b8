"""Internal HTTP API through which entries dispatch requests to an agent."""

import asyncio
import dataclasses

from aiohttp import web
from mode import Service

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import memory as memory_lib
from bilberryroute.agent import runs
from bilberryroute.routing import protocol

WAIT_MAX_MS = 10_000


class RequestService(Service):
    """Serves the calls of entries; `runs.Runner` executes the requests.

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
        self.metrics = metrics or metrics_lib.Metrics()
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self._runner = runs.Runner(cfg, board, clock, self.metrics)
        self._started_ms = clock.now()

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_post(protocol.DISPATCH_PATH, self._dispatch)
        app.router.add_post(protocol.ATTACH_PATH, self._attach)
        app.router.add_get(protocol.INCARNATION_PATH, self._handle_incarnation)

    async def drain(self) -> None:
        """Announces the drain, waits until entries know, then refuses requests.

        Returns when all requests accepted before have ended.
        """
        self._board.draining.set(True)
        timing = self._cfg.timing
        notice_ms = max(timing.balancer_lag_ms, 3 * timing.renewal_ms)
        await asyncio.sleep(clock_lib.seconds(notice_ms))
        await self._runner.finish()

    async def on_stop(self) -> None:
        """Closes the connections to endpoints."""
        await self._runner.close()

    @Service.task
    async def _watch_announcements(self) -> None:
        cell = self._board.announcements
        while not self.should_stop:
            await cell.changed(cell.version)
            self._runner.slots.grant_all()

    async def _dispatch(self, req: web.Request) -> web.Response:
        dispatch = protocol.decode(
            req.headers.get(protocol.DISPATCH_HEADER), protocol.Dispatch
        )
        body = await api.read_body(req, self._cfg.limits.body_bytes)
        if not dispatch.idempotent and dispatch.incarnation != self.incarnation:
            return self._stale(dispatch.key)
        record = self._runner.get(dispatch.key) or self._runner.begin(
            dispatch, body
        )
        return await self._reply(dispatch.key, record, dispatch.wait_ms)

    async def _handle_incarnation(self, req: web.Request) -> web.Response:
        return self._respond(
            protocol.AgentReply(key="", state=protocol.RequestState.RUNNING)
        )

    async def _attach(self, req: web.Request) -> web.Response:
        attach = protocol.decode(
            req.headers.get(protocol.DISPATCH_HEADER), protocol.Attach
        )
        if attach.incarnation != self.incarnation:
            return self._stale(attach.key)
        record = self._runner.get(attach.key)
        if record is None:
            record = self._runner.fence(
                attach.key, protocol.Reason.NEVER_SEEN, attach.kept_ms
            )
        if attach.offset:
            self._runner.extend_retention(record)
        return await self._reply(
            attach.key, record, attach.wait_ms, attach.offset
        )

    def _stale(self, key: str) -> web.Response:
        reply = protocol.AgentReply(
            key=key,
            state=protocol.RequestState.STALE,
            reason=protocol.Reason.STALE_INCARNATION,
            up_ms=self._clock.now() - self._started_ms,
        )
        return self._respond(reply)

    async def _reply(
        self,
        key: str,
        record: memory_lib.RequestRecord,
        wait_ms: int,
        offset: int = 0,
    ) -> web.Response:
        await self._runner.wait(key, min(wait_ms, WAIT_MAX_MS))
        segment = record.body[offset : offset + protocol.SEGMENT_BYTES]
        return self._respond(record.reply, segment)

    def _respond(
        self, reply: protocol.AgentReply, body: bytes = b""
    ) -> web.Response:
        reply = dataclasses.replace(reply, incarnation=self.incarnation)
        headers = {protocol.REPLY_HEADER: protocol.encode(reply)}
        return web.Response(body=body, headers=headers)
