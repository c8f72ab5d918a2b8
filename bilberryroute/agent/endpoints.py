"""Registry of the endpoints that announce themselves to an agent.

An endpoint posts its announcement about once a second, which renews its lease.
It is dropped when the lease ends or on DELETE.
"""

import asyncio
import dataclasses

from aiohttp import web
from mode import Service

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.agent import admission
from bilberryroute.agent import board as board_lib
from bilberryroute.model import endpoints
from bilberryroute.model import wire

REFRESH_MS = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointAnnouncementReply:
    """Answer to an announcement.

    Attributes:
      lease_ms: Time within which to announce again, in milliseconds.
    """

    lease_ms: int


class EndpointService(Service):
    """Tracks the endpoints that announce themselves to this agent."""

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.AgentBoard,
        clock: clock_lib.Clock,
    ):
        super().__init__()
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self._expires: dict[str, int] = {}

    def register(self, app: web.Application) -> None:
        """Adds the routes."""
        app.router.add_post("/v1/endpoints", self._announce)
        app.router.add_delete("/v1/endpoints/{name}", self._withdraw)

    def refresh(self) -> None:
        """Drops ended leases and writes the reports to the blackboard."""
        now = self._clock.now()
        for name in [n for n, end in self._expires.items() if end <= now]:
            self._drop(name)
        reports = {
            name: self._report(announced)
            for name, announced in self._board.announcements.get().items()
        }
        if reports != self._board.endpoints.get():
            self._board.endpoints.set(reports)

    @Service.task
    async def _refresh_periodically(self) -> None:
        while not self.should_stop:
            self.refresh()
            await asyncio.sleep(clock_lib.seconds(REFRESH_MS))

    async def _announce(self, req: web.Request) -> web.Response:
        announced = await api.read_json(
            req, endpoints.Announcement, self._cfg.limits.header_bytes
        )
        _check_announcement(announced)
        lease_ms = self._cfg.timing.worker_lease_ms
        self._expires[announced.name] = self._clock.now() + lease_ms
        self._record_leaving(announced)
        known = self._board.announcements.get()
        if known.get(announced.name) != announced:
            self._board.announcements.set(known | {announced.name: announced})
            self.refresh()
        return api.json_response(EndpointAnnouncementReply(lease_ms=lease_ms))

    async def _withdraw(self, req: web.Request) -> web.Response:
        name = req.match_info["name"]
        if name not in self._expires:
            raise errors.NotFound(f"no endpoint {name!r} is announced here")
        self._drop(name)
        self.refresh()
        return web.Response(status=204)

    def _record_leaving(self, announced: endpoints.Announcement) -> None:
        leaving = self._board.leaving.get()
        if not announced.leaving:
            leaving.pop(announced.name, None)
        elif announced.name not in leaving:
            leaving[announced.name] = self._clock.now()

    def _drop(self, name: str) -> None:
        del self._expires[name]
        self._board.leaving.get().pop(name, None)
        known = dict(self._board.announcements.get())
        known.pop(name, None)
        self._board.announcements.set(known)

    def _report(self, announced: endpoints.Announcement) -> wire.EndpointReport:
        return wire.EndpointReport(
            name=announced.name,
            service=announced.service,
            slots=admission.slots_of(self._board, announced.name),
            in_flight=self._board.running.get().get(announced.name, 0),
            leaving=announced.leaving,
        )


def _check_announcement(announced: endpoints.Announcement) -> None:
    if announced.slots < 1 or announced.connections < 1:
        raise errors.MalformedInput("slots and connections must be at least 1")
    host, _, port = announced.address.rpartition(":")
    if not host or not port.isdecimal():
        raise errors.MalformedInput(
            f"address {announced.address!r} is not of the form ip:port"
        )
