"""Registry of the workers that announce themselves to an agent.

A worker announces itself every second; one that stops doing so is dropped.
Every announcement carries the worker's monotonic clock. The agent expresses
deadlines on that clock, so that they apply however late a call arrives.
"""

import dataclasses

import msgspec
from aiohttp import web
from mode import Service

from bilberryroute import api
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.model import jobs

SWEEPS_PER_LEASE = 10
ANNOUNCE_MS = 1_000


class WorkerAnnouncement(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Announcement of a worker.

    Attributes:
      name: Unique name.
      incarnation: Changes with every restart of the worker.
      address: Address of the worker's own HTTP server, `ip:port`.
      clock_ms: The worker's monotonic clock in milliseconds.
    """

    name: str
    incarnation: str
    address: str
    rack: str
    failure_domain: str
    accelerators: int
    cores: int
    memory_mb: int
    clock_ms: int


class WorkerAnnouncementReply(msgspec.Struct, frozen=True):
    """Answer to an announcement.

    Attributes:
      announce_ms: When to announce again, in milliseconds.
    """

    announce_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerContact:
    """Address of a worker, and its clock relative to the agent's.

    Attributes:
      announced_ms: Agent's clock when the last announcement arrived.
      clock_ms: Worker's clock in that announcement.
    """

    name: str
    incarnation: str
    address: str
    announced_ms: int
    clock_ms: int

    def to_worker_clock(self, instant: int) -> int:
        """Returns an instant of the agent's clock on the worker's clock.

        The announcement took time to arrive, so the worker's clock reaches
        the result at or before the given instant.
        """
        return self.clock_ms + instant - self.announced_ms


class WorkerService(Service):
    """Handles announcements and drops workers whose announcements stop.

    Attributes:
      board: The agent's blackboard.
      contacts: Contacts of the workers on the board, by name.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        board: board_lib.AgentBoard,
    ):
        super().__init__()
        self.contacts: dict[str, WorkerContact] = {}
        self._cfg = cfg
        self._clock = env.clock
        self.board = board
        self._swept_ms = env.clock.now()

    def register(self, app: web.Application) -> None:
        """Adds the handler to the agent's HTTP server."""
        app.router.add_post("/v1/workers", self._handle_announcement)

    async def _handle_announcement(self, req: web.Request) -> web.Response:
        limit = self._cfg.limits.header_bytes
        self.announce(await api.read_json(req, WorkerAnnouncement, limit))
        return api.json_response(
            WorkerAnnouncementReply(announce_ms=ANNOUNCE_MS)
        )

    def announce(self, announcement: WorkerAnnouncement) -> None:
        """Handles one announcement.

        Raises:
          errors.MalformedInput: If a size is out of bounds.
        """
        check_sizes(announcement)
        self.contacts[announcement.name] = WorkerContact(
            name=announcement.name,
            incarnation=announcement.incarnation,
            address=announcement.address,
            announced_ms=self._clock.now(),
            clock_ms=announcement.clock_ms,
        )
        worker = jobs.Worker(
            name=announcement.name,
            incarnation=announcement.incarnation,
            agent=self._cfg.host,
            rack=announcement.rack,
            failure_domain=announcement.failure_domain,
            accelerators=announcement.accelerators,
            cores=announcement.cores,
            memory_mb=announcement.memory_mb,
        )
        workers = self.board.workers.get()
        if workers.get(worker.name) != worker:
            self.board.workers.set({**workers, worker.name: worker})

    @Service.task
    async def _drop_silent(self) -> None:
        interval = self._cfg.timing.worker_lease_ms // SWEEPS_PER_LEASE
        while not self.should_stop:
            self.sweep(interval)
            await self.sleep(clock_lib.seconds(interval))

    def sweep(self, interval: int) -> None:
        """Drops the workers whose lease has ended.

        After a pause of the process, announcements may still be unread, so a
        late sweep extends every lease by the duration of the pause.
        """
        now = self._clock.now()
        paused_ms = max(0, now - self._swept_ms - 2 * interval)
        self._swept_ms = now
        if paused_ms:
            self.contacts = {
                name: dataclasses.replace(
                    contact,
                    announced_ms=contact.announced_ms + paused_ms,
                    clock_ms=contact.clock_ms + paused_ms,
                )
                for name, contact in self.contacts.items()
            }
        lease_ms = self._cfg.timing.worker_lease_ms
        silent = {
            name
            for name, contact in self.contacts.items()
            if contact.announced_ms + lease_ms <= now
        }
        if not silent:
            return
        for name in silent:
            del self.contacts[name]
        workers = self.board.workers.get()
        self.board.workers.set(
            {name: w for name, w in workers.items() if name not in silent}
        )


def check_sizes(announcement: WorkerAnnouncement) -> None:
    """Checks a worker's sizes.

    Raises:
      errors.MalformedInput: If one is not positive or a name is empty.
    """
    sizes = (
        announcement.accelerators,
        announcement.cores,
        announcement.memory_mb,
    )
    if min(sizes) < 1:
        raise errors.MalformedInput(
            "accelerators, cores and memory_mb must be positive"
        )
    if not announcement.name or not announcement.incarnation:
        raise errors.MalformedInput("name and incarnation must not be empty")
