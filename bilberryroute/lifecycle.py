"""Probes and drain of one process: `/healthz`, `/readyz`, `/v1/drain`."""

import http
import logging
import signal
from collections.abc import Callable

from aiohttp import web

from bilberryroute import api
from bilberryroute import rights as rights_lib

Check = Callable[[], bool]

_log = logging.getLogger(__name__)


def _raise_sigterm() -> None:
    # An operator's drain takes the same path as the SIGTERM of the platform.
    signal.raise_signal(signal.SIGTERM)


class Lifecycle:
    """Tells the platform whether the process is ready, and lets it leave.

    Args:
      drain: Starts a graceful stop.
    """

    def __init__(self, drain: Callable[[], None] = _raise_sigterm):
        self._drain = drain
        self._checks: dict[str, Check] = {}

    def ready_when(self, name: str, check: Check) -> None:
        """Adds a condition of readiness, such as "knows the leader"."""
        self._checks[name] = check

    def unready(self) -> list[str]:
        """Returns the names of the conditions that do not hold."""
        return [name for name, check in self._checks.items() if not check()]

    def register(self, app: web.Application) -> None:
        """Adds the routes to an application of `api.new_application`."""
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_post("/v1/drain", self._drain_process)

    async def _healthz(self, req: web.Request) -> web.Response:
        return api.json_response({"healthy": True})

    async def _readyz(self, req: web.Request) -> web.Response:
        unready = self.unready()
        return api.json_response(
            {"ready": not unready, "waiting_for": unready},
            status=http.HTTPStatus.SERVICE_UNAVAILABLE
            if unready
            else http.HTTPStatus.OK,
        )

    async def _drain_process(self, req: web.Request) -> web.Response:
        rights_lib.require_operator(req)
        _log.info("drain requested by an operator")
        self._drain()
        return api.json_response(
            {"draining": True}, status=http.HTTPStatus.ACCEPTED
        )
