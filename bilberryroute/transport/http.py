"""HTTP server of a process, shared by its roles."""

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import settings

STOP_SECONDS = 60.0


class HttpServer(mode.Service):
    """Serves one application on one address.

    Attributes:
      app: Roles add their routes to it before the server starts.
      port: The port listened on, once started.
    """

    def __init__(
        self, app: web.Application, address: str, limits: settings.Limits
    ):
        super().__init__()
        self.app = app
        self.port = 0
        self._address = address
        self._limits = limits
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        self._runner = api.new_runner(
            self.app, self._limits, shutdown_timeout=STOP_SECONDS
        )
        await self._runner.setup()
        ip, port = self._address.rsplit(":", 1)
        site = web.TCPSite(self._runner, ip, int(port))
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops listening and lets running handlers finish."""
        if self._runner is not None:
            await self._runner.cleanup()
