"""HTTP API that every replica serves to operators: catalog and evacuations."""

import asyncio
from collections.abc import Iterable

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import batch as entry_batch
from bilberryroute.entry import board as entry_board
from bilberryroute.entry import control as control_client
from bilberryroute.entry import referrals
from bilberryroute.platform import applications
from bilberryroute.platform import catalog
from bilberryroute.platform import seeds
from bilberryroute.platform import settings as platform_settings
from bilberryroute.replica import service as replica_service
from bilberryroute.transport import http as http_lib

# Operators try another host after 1 s without a response.
LEADER_WAIT_MS = clock_lib.Millis(900)
# By then the event loop has also read that an operator has closed a connection
# whose request it has just read.
CLOSE_NOTICE_MS = clock_lib.Millis(5)


class CallerGone(errors.Unavailable):
    """The caller of an order has given it up; nothing was changed."""

    kind = "caller_gone"


def services(
    place: platform_settings.PlatformSettings,
    role: mode.Service,
    env: context.Environment,
    metrics: metrics_lib.Metrics,
) -> list[mode.Service]:
    """Returns the services behind the operators' API.

    These are its HTTP server, a watcher of the seeds in the settings file, and
    a client of the leader unless the role already runs one.
    """
    cfg = place.settings
    control, new_services = _control_client(cfg, role, env, metrics)
    client = entry_batch.BatchClient(control, cfg.timing, env.clock, metrics)
    operators_api = OperatorsApi(client, cfg.limits)
    server = http_lib.HttpServer(
        operators_api.application(metrics), place.addresses.control, cfg.limits
    )
    receivers = [control.set_seeds]
    if isinstance(role, replica_service.ReplicaRole):
        receivers.append(role.parts.group.set_seeds)

    def set_seeds(addresses: Iterable[str]) -> None:
        for receive in receivers:
            receive(addresses)

    if place.path:
        new_services.append(seeds.SeedWatcher(place, set_seeds))
    return [*new_services, server]


def _control_client(
    cfg: settings.Settings,
    role: mode.Service,
    env: context.Environment,
    metrics: metrics_lib.Metrics,
) -> tuple[control_client.ControlClient, list[mode.Service]]:
    """Returns the client of the leader, and the services to start for it."""
    if isinstance(role, referrals.ReferralRole):
        return role.control, []
    control = control_client.ControlClient(
        cfg, entry_board.new_board(), env.clock, env.rng, metrics
    )
    return control, [control]


class OperatorsApi:
    """Serves operators' configurations and evacuations."""

    def __init__(
        self, client: entry_batch.BatchClient, limits: settings.Limits
    ):
        self._client = client
        self._limits = limits

    def application(self, metrics: metrics_lib.Metrics) -> web.Application:
        """Returns the application."""
        app = applications.new_application(metrics, self._limits.ticket_bytes)
        router = app.router
        router.add_put("/bilberryroute/config", self._put_config)
        router.add_get("/bilberryroute/config", self._get_config)
        router.add_post(
            "/bilberryroute/evacuate/{zone}", self._start_evacuation
        )
        router.add_delete(
            "/bilberryroute/evacuate/{zone}", self._end_evacuation
        )
        return app

    async def _put_config(self, req: web.Request) -> web.Response:
        body = await api.read_body(req, self._limits.ticket_bytes)
        new_catalog = catalog.decode(body)
        await self._client.apply_catalog(new_catalog, LEADER_WAIT_MS)
        return web.json_response({})

    async def _get_config(self, req: web.Request) -> web.Response:
        del req
        held = await self._client.catalog(LEADER_WAIT_MS)
        return web.Response(body=held.document, content_type="application/json")

    async def _start_evacuation(self, req: web.Request) -> web.Response:
        await _require_caller(req)
        zone = req.match_info["zone"]
        await self._client.set_evacuated(zone, True, LEADER_WAIT_MS)
        return web.json_response({})

    async def _end_evacuation(self, req: web.Request) -> web.Response:
        await _require_caller(req)
        zone = req.match_info["zone"]
        await self._client.set_evacuated(zone, False, LEADER_WAIT_MS)
        return web.json_response({})


async def _require_caller(req: web.Request) -> None:
    """Checks that the caller still waits for an answer.

    A suspended host reads an order long after its caller has turned to another
    one, and perhaps has given the opposite order since. Nothing in an order
    tells which of two is newer.

    Raises:
      CallerGone: If the caller has closed the connection.
    """
    await asyncio.sleep(clock_lib.seconds(CLOSE_NOTICE_MS))
    if req.transport is None or req.transport.is_closing():
        raise CallerGone("the caller of the order has gone")
