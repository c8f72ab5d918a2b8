"""HTTP server of a process, shared by its roles."""

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import settings
from bilberryroute.transport import listening

STOP_SECONDS = 60.0


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
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        self._runner = api.new_runner(
            self.app, self._limits, shutdown_timeout=STOP_SECONDS
        )
        await self._runner.setup()
        opened = listening.take(self.address)
        if opened is None:
            ip, port = self.address.rsplit(":", 1)
            site = web.TCPSite(self._runner, ip, int(port))
        else:
            site = web.SockSite(self._runner, opened.sock)
        await site.start()
        if self._backlog is not None and opened is not None:
            self._backlog.record_served(opened)
            self.add_future(self._backlog.follow_first_turns())

    async def on_stop(self) -> None:
        """Stops listening and lets running handlers finish."""
        if self._runner is not None:
            await self._runner.cleanup()
