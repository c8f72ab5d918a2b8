"""HTTP API for callers' batch jobs, and the load balancer's readiness probe."""

from collections.abc import Callable

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import batch as entry_batch
from bilberryroute.entry import service as entry_service
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import queries
from bilberryroute.platform import applications
from bilberryroute.platform import jobs
from bilberryroute.platform import seeds
from bilberryroute.platform import settings as platform_settings
from bilberryroute.transport import http as http_lib
from bilberryroute.transport import listening

# Deadline of a call that carries none.
DEFAULT_DEADLINE_MS = 3_000
DEADLINE_HEADER = "X-Deadline-Ms"
# Share of the time left after which a call fails for want of a leader. The rest
# lets the caller try another entry; an election takes about a second.
LEADER_WAIT_SHARE = 0.5
# Least wait for a leader: one exchange with it, also between failure domains.
ONE_TRY_MS = 200


def services(
    place: platform_settings.PlatformSettings,
    role: entry_service.EntryRole,
    env: context.Environment,
    metrics: metrics_lib.Metrics,
) -> list[mode.Service]:
    """Returns the HTTP servers of an entry and what follows changes of the seeds."""
    limits = place.settings.limits
    backlog = listening.Backlog(env.clock)
    callers_api = CallersApi(
        role.batch, limits, role.board.draining.get, backlog.longest_wait_ms
    )
    probe = readiness(role.ready_for_batch)
    watchers = []
    if place.path:
        watchers.append(seeds.SeedWatcher(place, role.control.set_seeds))
    return [
        *watchers,
        http_lib.HttpServer(
            callers_api.application(metrics),
            place.addresses.callers,
            limits,
            backlog,
        ),
        http_lib.HttpServer(probe, place.addresses.readiness, limits),
    ]


def readiness(ready: Callable[[], bool]) -> web.Application:
    """Returns the application that the load balancer probes."""

    async def answer(req: web.Request) -> web.Response:
        del req
        return web.Response(status=200 if ready() else 503)

    app = web.Application()
    app.router.add_get("/bilberryroute/readyz", answer)
    return app


class CallersApi:
    """Serves callers' batch jobs."""

    def __init__(
        self,
        client: entry_batch.BatchClient,
        limits: settings.Limits,
        draining: Callable[[], bool],
        waited_ms: Callable[[], clock_lib.Millis],
    ):
        """Initializes the API.

        Args:
          client: Calls the leader.
          limits: Bounds on bodies.
          draining: Returns whether this process is about to stop.
          waited_ms: Returns how long a request that is read now may have
            waited for this process.
        """
        self._client = client
        self._limits = limits
        self._draining = draining
        self._waited_ms = waited_ms

    def application(self, metrics: metrics_lib.Metrics) -> web.Application:
        """Returns the application; any path may belong to a queue."""
        app = applications.new_application(metrics, self._limits.body_bytes)
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    async def _answer(self, req: web.Request) -> web.StreamResponse:
        address = _address(req)
        within_ms = self._leader_wait_ms(req)
        match req.method:
            case "POST":
                body = await api.read_body(req, self._limits.body_bytes)
                api.reserve_decoded(req, body)
                content = jobs.decode(body)
                await self._client.submit(address, content, within_ms)
                resp = web.json_response({})
            case "GET":
                found = await self._client.look_up(address, within_ms)
                resp = web.json_response(_state(found))
            case "DELETE":
                await self._client.cancel(address, within_ms)
                resp = web.json_response({})
            case _:
                raise api.MethodNotAllowed(f"{req.method} is not allowed here")
        if self._draining():
            resp.force_close()
        return resp

    def _leader_wait_ms(self, req: web.Request) -> clock_lib.Millis:
        text = req.headers.get(DEADLINE_HEADER, "")
        deadline = int(text) if text.isdecimal() else DEFAULT_DEADLINE_MS
        left_ms = deadline - self._waited_ms()
        return clock_lib.Millis(
            max(ONE_TRY_MS, int(left_ms * LEADER_WAIT_SHARE))
        )


def _address(req: web.Request) -> catalog_model.Address:
    scheme, _, key = req.headers.get("Authorization", "").partition(" ")
    return catalog_model.Address(
        host=req.host.rsplit(":", 1)[0],
        path=req.path,
        key=key if scheme == "Bearer" else "",
    )


def _state(
    found: queries.BatchView | queries.PendingView,
) -> dict[str, object]:
    match found:
        case queries.PendingView(count=count):
            return {"pending": count}
        case queries.BatchView(result=result, begun=begun):
            return {"state": jobs.state_of(result, begun=begun)}
    raise TypeError(f"unexpected answer {found!r}")
