"""HTTP connections whose memory and time are accounted for.

Load: clients that send without end, slowly or ahead, and do not read. Beyond
`aiohttp`'s own bounds, each connection reports what it holds to the intake of
the process and is closed when the intake gives it up.
"""

import asyncio
import logging

from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import intake as intake_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings

# A body beyond is paused until the handler reads on.
READ_BUFFER_BYTES = 65_536
# An answer is a few KB; a client that reads never fills this.
WRITE_BUFFER_BYTES = 65_536
# How long the rest of a refused body is read, so that its client sees why.
LINGER_S = 2.0
# The parser's bound on one header field is as high; see `api.PARSER_FACTOR`.
HEAD_FACTOR = 4
# A piece of a body that is kept until the handler reads it.
PIECE_BYTES = 64
SWEEP_MS = clock_lib.Millis(500)
# One line a reason and this time, however many connections are closed.
LOG_MS = clock_lib.Millis(1_000)

_log = logging.getLogger(__name__)


class Door:
    """Applies the intake's decisions to the connections of one server."""

    def __init__(
        self,
        intake: intake_lib.Intake,
        address: str,
        limits: settings.Limits,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics | None = None,
    ):
        """Initializes the door.

        Args:
          intake: The account, shared by the servers of a process.
          address: Address of the server.
          limits: Bounds on headers and on requests sent ahead.
          clock: The process's clock.
          metrics: Counts closed connections, by reason.
        """
        self.intake = intake
        self.address = address
        self.max_head_bytes = HEAD_FACTOR * limits.header_bytes
        self.requests_ahead = limits.requests_ahead
        self.clock = clock
        self._metrics = metrics
        self._swept_ms = clock.now()
        self._logged_ms: dict[intake_lib.Reason, clock_lib.Millis] = {}
        self._unlogged: dict[intake_lib.Reason, int] = {}

    def admit(self, conn: "Connection") -> None:
        """Takes in a connection, or closes it or another."""
        self.intake.open(conn.holding)
        victims = self.intake.too_many(conn.holding)
        self._give_up(victims, intake_lib.Reason.CONNECTIONS)

    def bound_bytes(self) -> None:
        """Closes connections if too many bytes are held."""
        self._give_up(self.intake.too_much(), intake_lib.Reason.BYTES)

    def sweep(self) -> None:
        """Closes connections whose client is too slow."""
        now = self.clock.now()
        late_ms = now - self._swept_ms - SWEEP_MS
        self._swept_ms = now
        if late_ms > SWEEP_MS:
            # This process was suspended; what arrived is yet to be read.
            self.intake.excuse(self.address, late_ms)
        for holding, reason in self.intake.overdue(self.address, now):
            self._give_up([holding], reason)

    def give_up(self, conn: "Connection", reason: intake_lib.Reason) -> None:
        """Closes one connection."""
        self._give_up([conn.holding], reason)

    def _give_up(
        self, holdings: list[intake_lib.Holding], reason: intake_lib.Reason
    ) -> None:
        for holding in holdings:
            self.intake.close(holding)
            holding.conn.abort()
            self._record(holding, reason)

    def _record(
        self, holding: intake_lib.Holding, reason: intake_lib.Reason
    ) -> None:
        if self._metrics is not None:
            self._metrics.refused(reason)
        now = self.clock.now()
        count = self._unlogged.get(reason, 0) + 1
        last_ms = self._logged_ms.get(reason)
        if last_ms is not None and now - last_ms < LOG_MS:
            self._unlogged[reason] = count
            return
        self._unlogged[reason] = 0
        self._logged_ms[reason] = now
        _log.warning(
            "connections closed: %s",
            reason,
            extra={
                "closed": count,
                "last_client": holding.client,
                "last_stage": holding.stage.name,
                "last_bytes": holding.bytes,
                "held_bytes": self.intake.bytes,
                "bound_bytes": self.intake.bounds.bytes,
                "server": self.address,
            },
        )


class Connection(web.RequestHandler):
    """One HTTP connection that reports what it holds.

    Attributes:
      holding: Its entry in the account.
    """

    __slots__ = ("holding", "_door", "_payload", "_answering", "_writable")

    def __init__(self, manager: "Server", **kwargs: object):
        super().__init__(manager, **kwargs)
        self._door = manager.door
        self._payload = None
        self._answering = False
        self._writable: asyncio.Event | None = None
        now = self._door.clock.now()
        self.holding = intake_lib.Holding(
            server=self._door.address,
            client="",
            since_ms=now,
            moved_ms=now,
            conn=self,
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes in the connection."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self.holding.client = peer[0] if peer else ""
        self._door.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Takes the connection off the account."""
        self._door.intake.close(self.holding)
        if self._writable is not None:
            self._writable.set()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Closes the connection without flushing what is unsent."""
        transport = self.transport
        if transport is not None:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Passes on what has arrived, and accounts for it."""
        if self.holding.stage is intake_lib.Stage.BODY and not self._answering:
            # The rest of a refused body, which is read and dropped.
            super().data_received(data)
            if self.transport is not None:
                self.holding.moved_ms = self._door.clock.now()
                self._update_stage()
            return
        super().data_received(data)
        if not data or self.transport is None:
            return
        self.holding.moved_ms = self._door.clock.now()
        self._door.intake.charge(self.holding, len(data) + PIECE_BYTES)
        self._update_stage()
        if (
            self.holding.stage is intake_lib.Stage.HEAD
            and self.holding.bytes > self._door.max_head_bytes
        ):
            self._door.give_up(self, intake_lib.Reason.HEAD_SIZE)
        elif len(self._messages) > self._door.requests_ahead:
            self._door.give_up(self, intake_lib.Reason.AHEAD)
        else:
            self._door.bound_bytes()

    def pause_writing(self) -> None:
        """Notes that the client does not read."""
        super().pause_writing()
        self._writable = asyncio.Event()
        self.holding.unread_ms = self._door.clock.now()

    def resume_writing(self) -> None:
        """Notes that the client reads again."""
        super().resume_writing()
        self._writable.set()
        self._writable = None
        self.holding.unread_ms = None

    def begin_request(self, payload: object) -> None:
        """Notes that a request is about to be handled."""
        self._payload = payload
        self._answering = True
        self._update_stage()

    async def finish_response(self, *args: object) -> object:
        """Sends an answer; waits while the client does not read."""
        result = await super().finish_response(*args)
        self._answering = False
        if not self._messages:
            self._door.intake.charge(self.holding, -self.holding.bytes)
        self._update_stage()
        if self._writable is not None and self.transport is not None:
            await self._writable.wait()
        return result

    def reserve(self, size: int) -> None:
        """Reserves memory until the present request is answered.

        Raises:
          errors.IntakeFull: If the account does not have so much left.
        """
        if not self._door.intake.fits(size):
            raise errors.IntakeFull(
                f"the request needs {size} bytes once it is decoded",
                retry_after_ms=clock_lib.SECOND,
            )
        self._door.intake.charge(self.holding, size)

    def _update_stage(self) -> None:
        stage = self._stage()
        if stage is not self.holding.stage:
            self.holding.stage = stage
            self.holding.since_ms = self._door.clock.now()

    def _stage(self) -> intake_lib.Stage:
        if self._payload is not None and not self._payload.is_eof():
            return intake_lib.Stage.BODY
        if self._answering or self._messages:
            return intake_lib.Stage.COMPLETE
        if self.holding.bytes:
            return intake_lib.Stage.HEAD
        return intake_lib.Stage.IDLE


class Server(web.Server):
    """Makes the connections of one server.

    Attributes:
      door: Where they report.
    """

    def __init__(self, plain: web.Server, door: Door):
        """Initializes the server.

        Args:
          plain: Server of an application, which this one replaces.
          door: Where its connections report.
        """
        self.door = door
        self._make_plain = plain.request_factory
        super().__init__(
            plain.request_handler,
            request_factory=self._begin_request,
            loop=plain._loop,
            **plain._kwargs,
        )

    def __call__(self) -> Connection:
        """Returns the protocol of a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)

    def _begin_request(self, message, payload, protocol, writer, task):
        protocol.begin_request(payload)
        return self._make_plain(message, payload, protocol, writer, task)


class Runner(web.AppRunner):
    """Runs an application behind a door."""

    __slots__ = ("_door",)

    def __init__(self, app: web.Application, door: Door, **kwargs: object):
        super().__init__(
            app,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_S,
            **kwargs,
        )
        self._door = door

    async def _make_server(self) -> Server:
        return Server(await super()._make_server(), self._door)
