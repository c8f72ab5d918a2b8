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
      address: Where it listens, `ip:port`.
    """

    def __init__(
        self, app: web.Application, address: str, limits: settings.Limits
    ):
        super().__init__()
        self.app = app
        self.address = address
        self._limits = limits
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        self._runner = api.new_runner(
            self.app, self._limits, shutdown_timeout=STOP_SECONDS
        )
        await self._runner.setup()
        ip, port = self.address.rsplit(":", 1)
        site = web.TCPSite(self._runner, ip, int(port))
        await site.start()

    async def on_stop(self) -> None:
        """Stops listening and lets running handlers finish."""
        if self._runner is not None:
            await self._runner.cleanup()
