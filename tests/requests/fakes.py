"""Fake endpoint and claim log; agents and entries served on loopback."""

import asyncio
import collections
import dataclasses
import random

import aiohttp
from aiohttp import web

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute.agent import admission
from bilberryroute.agent import board as agent_board
from bilberryroute.agent import endpoints as agent_endpoints
from bilberryroute.agent import requests as agent_requests
from bilberryroute.entry import board as entry_board
from bilberryroute.entry import requests as entry_requests
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import endpoints
from bilberryroute.model import wire

DOMAIN = "apapa"
SERVICE = "gang-alloc"
LEASE_MS = 3_600_000


class FakeLog:
    """In-memory stand-in for the replicated log of claims.

    Attributes:
      claims: First claim of each account and request id.
      failures: Errors to raise, taken from the end; `CommitUnknown` is raised
        after the claim is stored.
      delay_ms: Delay of each proposal.
      proposals: Number of proposals received.
    """

    def __init__(self):
        self.claims: dict[tuple[str, str], commands.ClaimRequest] = {}
        self.failures: list[Exception] = []
        self.delay_ms = 0
        self.proposals = 0

    async def propose(self, command: commands.ClaimRequest) -> commands.Result:
        """Stores a claim, or raises the next of `failures`."""
        self.proposals += 1
        await asyncio.sleep(clock_lib.seconds(self.delay_ms))
        failure = self.failures.pop() if self.failures else None
        if isinstance(failure, errors.Unavailable):
            raise failure
        key = (command.account, command.request_id)
        stored = self.claims.setdefault(key, command)
        if failure is not None:
            raise failure
        if stored.fingerprint != command.fingerprint:
            return commands.ClaimRefused(
                request_id=command.request_id, message="other content"
            )
        return commands.ClaimHeld(
            request_id=stored.request_id,
            fingerprint=stored.fingerprint,
            agent=stored.agent,
            incarnation=stored.incarnation,
            endpoint=stored.endpoint,
            first=stored is command,
        )


class AppServer:
    """Serves one aiohttp application on loopback, by default on a free port."""

    def __init__(self, app: web.Application):
        self.app = app
        self.address = ""
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Starts listening and returns the address."""
        self._runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    def connections(self) -> int:
        """Returns the number of open connections."""
        return sum(
            conn.transport is not None
            for conn in self._runner.server.connections
        )

    def abort(self) -> None:
        """Resets all connections."""
        if self._runner is not None and self._runner.server is not None:
            for conn in self._runner.server.connections:
                if conn.transport is not None:
                    conn.transport.abort()

    async def stop(self) -> None:
        """Stops the server."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class RecordingEndpoint:
    """Fake endpoint that counts the runs of each request.

    Attributes:
      run_counts: Number of runs by request id.
      answers: Answer by run; empty while it is running.
      fenced: Runs that were probed before they arrived and must not start.
    """

    def __init__(
        self, name: str, run_counts: collections.Counter, run_ms: int = 0
    ):
        self.name = name
        self.run_counts = run_counts
        self.run_ms = run_ms
        self.status = 200
        self.active = 0
        self.peak = 0
        self.peak_connections = 0
        self.answers: dict[str, bytes] = {}
        self.fenced: set[str] = set()
        self.incarnation = 1
        self.padding = b""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/", self.handle)
        app.router.add_get("/requests/{id}", self.probe)
        self.server = AppServer(app)

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Runs one request and counts the run."""
        request_id = req.headers["Bilberryroute-Request-Id"]
        body = await req.read()
        run = req.headers["Bilberryroute-Run"]
        if run in self.fenced:
            return web.Response(status=409)
        self.run_counts[request_id] += 1
        self.answers[run] = b""
        self.active += 1
        self.peak = max(self.peak, self.active)
        self.record_connections()
        try:
            await asyncio.sleep(clock_lib.seconds(self.run_ms))
        finally:
            self.active -= 1
        answer = b"%s:%s%s" % (request_id.encode(), body, self.padding)
        self.answers[run] = answer
        return web.Response(
            body=answer,
            status=self.status,
            headers={"Bilberryroute-Request-Id": request_id},
        )

    def record_connections(self) -> None:
        """Updates the peak number of open connections."""
        self.peak_connections = max(
            self.peak_connections, self.server.connections()
        )

    async def kill(self) -> None:
        """Stops abruptly and loses all state, as a killed process would."""
        self.server.abort()
        await self.server.stop()
        self.answers.clear()
        self.fenced.clear()
        self.incarnation += 1

    async def probe(self, req: web.Request) -> web.Response:
        """Returns the state of a run; fences a run it has never seen."""
        request_id = req.match_info["id"]
        self.record_connections()
        run = req.headers["Bilberryroute-Run"]
        answer = self.answers.get(run)
        state = "done" if answer else "running"
        if answer is None:
            self.fenced.add(run)
            state = "not_run"
        return web.Response(
            body=answer or b"",
            headers={
                "Bilberryroute-State": state,
                "Bilberryroute-Incarnation": str(self.incarnation),
                "Bilberryroute-Request-Id": request_id,
            },
        )


def make_settings(host: str, **timing: int) -> settings.Settings:
    return settings.Settings(
        host=host,
        failure_domain=DOMAIN,
        roles=(),
        timing=settings.Timing(**timing),
    )


class AgentProcess:
    """An agent's request path with its own blackboard."""

    def __init__(self, name: str, incarnation: str = "1", **timing: int):
        cfg = make_settings(name, **timing)
        clock = clock_lib.SystemClock()
        self.name = name
        self.incarnation = incarnation
        self.board = agent_board.new_board()
        expires = clock_lib.Millis(clock.now() + LEASE_MS)
        self.board.lease.set(agent_board.Lease(term=1, expires=expires))
        self.board.desired.set(
            dataclasses.replace(
                self.board.desired.get(), domains_in_service=(DOMAIN,)
            )
        )
        self.endpoints = agent_endpoints.EndpointService(cfg, self.board, clock)
        self.requests = agent_requests.RequestService(
            cfg, self.board, clock, incarnation
        )
        app = api.new_application(cfg.limits, self.requests.metrics)
        self.endpoints.register(app)
        self.requests.register(app)
        self.server = AppServer(app)

    async def start(self, port: int = 0) -> None:
        """Starts the request service and the server."""
        await self.requests.start()
        await self.server.start(port)

    def announce(self, endpoint: RecordingEndpoint, **fields: object) -> None:
        """Announces an endpoint as if it had called `POST /v1/endpoints`."""
        details = {"address": endpoint.server.address} | fields
        announced = endpoints.Announcement(
            name=endpoint.name, service=SERVICE, **details
        )
        known = self.board.announcements.get()
        self.board.announcements.set(known | {endpoint.name: announced})

    def views(self, address: str = "") -> list[wire.EndpointView]:
        """Returns the endpoint views that the leader would send to entries."""
        return [
            wire.EndpointView(
                name=announced.name,
                service=announced.service,
                agent=self.name,
                incarnation=self.incarnation,
                http=address or self.server.address,
                failure_domain=DOMAIN,
                slots=admission.slots_of(self.board, announced.name),
                in_flight=0,
                leaving=announced.leaving,
                healthy=True,
            )
            for announced in self.board.announcements.get().values()
        ]

    async def stop(self) -> None:
        """Stops the server and the request service."""
        await self.server.stop()
        await self.requests.stop()

    async def kill(self) -> None:
        """Stops abruptly, as a killed process would."""
        self.server.abort()
        for run in list(self.requests._runner._runs.values()):
            run.cancel()
        await self.stop()


class EntryProcess:
    """An entry's request path with its own blackboard."""

    def __init__(self, name: str, log: FakeLog, seed: int, **timing: int):
        cfg = make_settings(name, **timing)
        self.board = entry_board.new_board()
        self.service = config.Service(name=SERVICE)
        self.configure(self.service)
        self.requests = entry_requests.RequestService(
            cfg,
            self.board,
            log,
            clock_lib.SystemClock(),
            random.Random(seed),
        )
        app = api.new_application(
            cfg.limits, self.requests.metrics, rights_lib.Rights()
        )
        self.requests.register(app)
        self.server = AppServer(app)

    def configure(self, service: config.Service) -> None:
        """Applies a configuration with one service."""
        self.board.configuration.set(
            config.Configuration(revision=1, services={SERVICE: service})
        )

    def publish_endpoints(self, *views: wire.EndpointView) -> None:
        """Sets the endpoints on the blackboard."""
        self.board.endpoints.set(tuple(views))

    async def start(self, port: int = 0) -> None:
        """Starts the service and its server."""
        await self.requests.start()
        await self.server.start(port)

    async def stop(self) -> None:
        """Stops the server and the request service."""
        await self.server.stop()
        await self.requests.stop()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerResponse:
    """Response that a caller received."""

    status: int
    outcome: str
    request_id: str
    attempts: int
    body: bytes
    headers: dict[str, str]


async def send(
    session: aiohttp.ClientSession,
    entry: EntryProcess,
    request_id: str = "",
    body: bytes = b"x",
    **kwargs: object,
) -> CallerResponse:
    """Sends one request and reads the whole response; see `post`."""
    async with await post(session, entry, request_id, body, **kwargs) as resp:
        return CallerResponse(
            status=resp.status,
            outcome=resp.headers["Bilberryroute-Outcome"],
            request_id=resp.headers.get("Bilberryroute-Request-Id", ""),
            attempts=int(resp.headers.get("Bilberryroute-Attempts", "0")),
            body=await resp.read(),
            headers=dict(resp.headers),
        )


async def post(
    session: aiohttp.ClientSession,
    entry: EntryProcess,
    request_id: str = "",
    body: bytes = b"x",
    idempotent: bool = False,
    account: str = "trust",
    **headers: str,
) -> aiohttp.ClientResponse:
    """Sends one request; `deadline_ms="5"` sets Bilberryroute-Deadline-Ms."""
    request_headers = {
        "Bilberryroute-Account": account,
        "Bilberryroute-Idempotent": str(idempotent).lower(),
    }
    if request_id:
        request_headers["Bilberryroute-Request-Id"] = request_id
    for name, value in headers.items():
        title = name.replace("_", "-").title()
        request_headers[f"Bilberryroute-{title}"] = value
    url = f"http://{entry.server.address}/v1/services/{SERVICE}/requests"
    return await session.post(url, data=body, headers=request_headers)
