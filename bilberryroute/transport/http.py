"""HTTP server of a process, shared by its roles."""

import asyncio
import functools

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import intake as intake_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.transport import doors
from bilberryroute.transport import listening

STOP_SECONDS = 60.0
# Descriptors that a turn of the event loop may take before the intake has
# counted them. More connections wait in the backlog of the socket.
ACCEPTS_PER_TURN = 16


class HttpServer(mode.Service):
    """Serves one application on one address.

    Attributes:
      app: Roles add their routes to it before the server starts.
      address: Where it listens, `ip:port`. Takes over a socket that the
        process opened there early.
    """

    def __init__(
        self,
        app: web.Application,
        address: str,
        limits: settings.Limits,
        backlog: listening.Backlog | None = None,
    ):
        super().__init__()
        self.app = app
        self.address = address
        self._limits = limits
        self._backlog = backlog
        self._intake = intake_lib.Intake(limits)
        self._clock: clock_lib.Clock = clock_lib.SystemClock()
        self._metrics: metrics_lib.Metrics | None = None
        self._runner: web.AppRunner | None = None

    def share(
        self,
        intake: intake_lib.Intake,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Joins the account of the process instead of one of its own."""
        self._intake = intake
        self._clock = clock
        self._metrics = metrics

    async def on_start(self) -> None:
        """Starts to listen."""
        door = doors.Door(
            self._intake, self.address, self._limits, self._clock, self._metrics
        )
        self._runner = api.new_runner(
            self.app,
            self._limits,
            functools.partial(doors.Runner, door=door),
            shutdown_timeout=STOP_SECONDS,
            keepalive_timeout=clock_lib.seconds(self._limits.idle_ms),
        )
        await self._runner.setup()
        opened = listening.take(self.address)
        sock = listening.listen(self.address) if opened is None else opened.sock
        await web.SockSite(self._runner, sock, backlog=ACCEPTS_PER_TURN).start()
        sock.listen(listening.BACKLOG_CONNECTIONS)
        self.add_future(self._sweep(door))
        if self._backlog is not None and opened is not None:
            self._backlog.record_served(opened)
            self.add_future(self._backlog.follow_first_turns())

    async def _sweep(self, door: doors.Door) -> None:
        while True:
            await asyncio.sleep(clock_lib.seconds(doors.SWEEP_MS))
            door.sweep()

    async def on_stop(self) -> None:
        """Stops listening and lets running handlers finish."""
        if self._runner is not None:
            await self._runner.cleanup()
