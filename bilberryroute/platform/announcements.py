"""HTTP API at which the worker on the same host announces itself to its agent."""

import operator

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import metrics as metrics_lib
from bilberryroute.agent import batch as agent_batch
from bilberryroute.agent import service as agent_service
from bilberryroute.platform import applications
from bilberryroute.platform import seeds
from bilberryroute.platform import settings as platform_settings
from bilberryroute.platform import workers
from bilberryroute.transport import http as http_lib

# Maximum size of an announcement on the platform.
ANNOUNCEMENT_BYTES = 4 * 1_024 * 1_024


def services(
    place: platform_settings.PlatformSettings,
    role: agent_service.AgentRole,
    metrics: metrics_lib.Metrics,
) -> list[mode.Service]:
    """Returns the agent's HTTP server and what follows changes of the seeds."""
    app = WorkerApi(role.batch).application(metrics)
    limits = place.settings.limits
    server = http_lib.HttpServer(app, place.addresses.control, limits)
    if not place.path:
        return [server]
    by_datagram = operator.attrgetter("datagram")
    set_seeds = role.renewal.set_seeds
    return [server, seeds.SeedWatcher(place, set_seeds, by_datagram)]


class WorkerApi:
    """Handles announcements of the worker on the agent's host."""

    def __init__(self, agent: agent_batch.BatchAgent):
        self._agent = agent

    def application(self, metrics: metrics_lib.Metrics) -> web.Application:
        """Returns the application."""
        app = applications.new_application(metrics, ANNOUNCEMENT_BYTES)
        app.router.add_put("/bilberryroute/instances/{id}", self._announce)
        app.router.add_delete("/bilberryroute/instances/{id}", self._withdraw)
        return app

    async def _announce(self, req: web.Request) -> web.Response:
        body = await api.read_body(req, ANNOUNCEMENT_BYTES)
        announcement = workers.decode_announcement(req.match_info["id"], body)
        self._agent.announce(announcement)
        return web.json_response({})

    async def _withdraw(self, req: web.Request) -> web.Response:
        self._agent.withdraw(req.match_info["id"])
        return web.json_response({})
