"""Renews the agent's lease by datagram.

Sends renewals to the leader and publishes what `lease_keeper` decides on the
blackboard.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

from mode import Service

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import lease_keeper
from bilberryroute.agent import worker_life
from bilberryroute.model import wire
from bilberryroute.transport import codec
from bilberryroute.transport import datagrams

# Changes within this time are reported in one renewal.
COALESCE_MS = 10
LOSS_CHECK_MS = 250
# Without an answer in this fraction of the renewal interval, the next replica
# is tried.
ANSWER_TIMEOUT_DIVISOR = 3
# Ends of each worker in a renewal that would be too large with all of them. The
# others follow once these are committed.
SHORT_ENDS = 200
EPOCH_BITS = 50
ANY_ADDRESS = "0.0.0.0:0"

T = TypeVar("T")

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentIdentity:
    """Identity of this agent process.

    Attributes:
      incarnation: Differs at every start of the process.
    """

    agent: str
    incarnation: str
    failure_domain: str


def _local_address(cfg: settings.Settings) -> str:
    # A replica in the same process listens on the datagram address itself.
    if settings.ProcessRole.REPLICA in cfg.roles or not cfg.listen.datagram:
        return ANY_ADDRESS
    return cfg.listen.datagram


class RenewalService(Service):
    """Keeps the lease renewed and the desired state current.

    Attributes:
      board: The agent's blackboard.
      sent: Renewals sent.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        board: board_lib.AgentBoard,
        identity: AgentIdentity,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._metrics = metrics
        self.sent = 0
        self._cfg = cfg
        self._clock = env.clock
        self.board = board
        self._identity = identity
        self._keeper = lease_keeper.LeaseKeeper(
            epoch=(1 << EPOCH_BITS) + env.rng.getrandbits(EPOCH_BITS),
            desired=board.desired.get(),
            keep_ms=2 * cfg.timing.agent_lease_ms,
        )
        self._decoder = codec.Decoder(wire.Grant)
        self._configured = {r.id: r.datagram for r in cfg.replicas}
        self._reported: dict[str, str] = {}
        self._seeds: frozenset[str] = frozenset()
        self._addresses = self._configured
        self._ids = sorted(self._configured)
        self._target = 0
        self._answered = True
        self._leader = ""
        self._wake = asyncio.Event()
        self._socket = datagrams.DatagramSocket(
            lambda message, _: self.receive(message), metrics
        )

    async def on_start(self) -> None:
        """Opens the datagram socket."""
        await self._socket.open(split_address(_local_address(self._cfg)))

    async def on_stop(self) -> None:
        """Closes the datagram socket."""
        self._socket.close()

    @Service.task
    async def _renew(self) -> None:
        renewal_ms = self._cfg.timing.renewal_ms
        answer_timeout_ms = renewal_ms // ANSWER_TIMEOUT_DIVISOR
        while not self.should_stop:
            self._wake.clear()
            self._send()
            woken = await self._wait_for_wake(answer_timeout_ms)
            if not woken and not self._answered:
                self._target += 1
                continue
            if not woken:
                woken = await self._wait_for_wake(
                    renewal_ms - answer_timeout_ms
                )
            if woken:
                await asyncio.sleep(clock_lib.seconds(COALESCE_MS))

    async def _wait_for_wake(self, timeout_ms: int) -> bool:
        try:
            async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
                return await self._wake.wait()
        except TimeoutError:
            return False

    @Service.task
    async def _watch_endpoints(self) -> None:
        await self._watch(self.board.endpoints, _without_load)

    @Service.task
    async def _watch_workers(self) -> None:
        await self._watch(self.board.workers, dict)

    @Service.task
    async def _watch_tasks(self) -> None:
        await self._watch(self.board.tasks, _without_progress)

    @Service.task
    async def _watch_batch(self) -> None:
        await self._watch(self.board.batch, _batch_without_progress)

    @Service.task
    async def _watch_draining(self) -> None:
        await self._watch(self.board.draining, bool)

    async def _watch(
        self, cell: blackboard.Cell[T], projection: Callable[[T], object]
    ) -> None:
        """Renews at once when the projection of a cell changes."""
        seen = cell.version
        reported = projection(cell.get())
        while not self.should_stop:
            seen = await cell.changed(seen)
            present = projection(cell.get())
            if present != reported:
                reported = present
                self._wake.set()

    def _send(self) -> None:
        renewal = self.renewal()
        target = split_address(self._addresses[self._target_id()])
        self._answered = False
        self.sent += 1
        if not self._socket.send(codec.encode(renewal), target):
            self._socket.send(codec.encode(_shortened(renewal)), target)

    def renewal(self) -> wire.Renewal:
        """Returns the renewal to send now and records its echo."""
        board = self.board
        return wire.Renewal(
            agent=self._identity.agent,
            incarnation=self._identity.incarnation,
            failure_domain=self._identity.failure_domain,
            sent_ms=self._keeper.record_renewal(
                self._clock.now(), self._reported_names()
            ),
            term=self._keeper.term,
            desired_version=self._keeper.desired.version,
            revision=self._keeper.desired.revision,
            http=self._cfg.listen.http,
            draining=board.draining.get(),
            endpoints=tuple(board.endpoints.get().values()),
            workers=tuple(board.workers.get().values()),
            tasks=tuple(board.tasks.get().values()),
            batch=board.batch.get(),
            payloads=tuple(board.payloads.get()),
        )

    def _reported_names(self) -> frozenset[str]:
        """Returns the workers that a renewal sent now reports.

        A desired state made by a leader that knows all of them is complete.
        """
        names = set(self.board.workers.get())
        for report in self.board.batch.get():
            names.add(worker_life.incarnation_name(report.name, report.born))
        return frozenset(names)

    def receive(self, payload: bytes) -> None:
        """Handles one message."""
        try:
            grant = self._decoder.decode(payload)
        except errors.MalformedInput:
            self._metrics.dropped(lease_keeper.DropReason.MALFORMED)
            return
        verdict = self._keeper.accept(grant)
        match verdict:
            case lease_keeper.Renewed(
                lease=lease, desired=desired, covered=covered
            ):
                self._answered = True
                self._log_leader_change(grant)
                self._update_replicas(grant.replicas)
                self._apply_batch(grant)
                self._apply_desired(desired)
                if covered != self.board.covered.get():
                    self.board.covered.set(covered)
                self.board.lease.set(lease)
            case lease_keeper.Pushed(desired=desired):
                self._apply_batch(grant)
                self._apply_desired(desired)
            case lease_keeper.Redirected(leader_id=leader_id):
                self._update_replicas(grant.replicas)
                self._redirect(leader_id)
            case lease_keeper.Dropped(reason=reason):
                self._metrics.dropped(reason)

    def _log_leader_change(self, grant: wire.Grant) -> None:
        """Logs a change of leader, and a lease regained after a loss."""
        now = self._clock.now()
        lost_ms = now - self.board.lease.get().expires
        if grant.leader_id != self._leader or lost_ms > 0:
            logger.info(
                "leased",
                extra={
                    "leader": grant.leader_id,
                    "term": grant.term,
                    "without_lease_ms": max(0, lost_ms) if self._leader else 0,
                },
            )
            self._leader = grant.leader_id

    @Service.task
    async def _watch_loss(self) -> None:
        """Logs each expiry of the lease once."""
        held = False
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(LOSS_CHECK_MS))
            holds = self.board.lease.get().left(self._clock.now()) > 0
            if held and not holds:
                logger.warning("lease lost", extra={"leader": self._leader})
            held = holds

    def _apply_batch(self, grant: wire.Grant) -> None:
        """Updates the payloads and the committed ends.

        Precedes the update of the desired state, whose runs need the payloads.
        """
        desired = grant.desired or self.board.desired.get()
        jobs = {run.task.job_id for run in desired.runs}
        payloads = self.board.payloads.get() | grant.payloads
        payloads = {job: p for job, p in payloads.items() if job in jobs}
        if payloads.keys() != self.board.payloads.get().keys():
            self.board.payloads.set(payloads)
            self._wake.set()
        known = self.board.committed.get()
        committed = {(c.worker, c.born): c.number for c in grant.committed}
        if any(number > known.get(key, 0) for key, number in committed.items()):
            self.board.committed.set(
                {k: max(v, known.get(k, 0)) for k, v in committed.items()}
            )

    def _apply_desired(self, desired: wire.Desired | None) -> None:
        if desired is None:
            return
        self.board.desired.set(desired)
        self.board.services.set({s.name: s for s in desired.services})
        self._wake.set()

    def _update_replicas(self, replicas: dict[str, str]) -> None:
        """Updates the replicas; configured addresses take precedence."""
        if replicas:
            self._reported = replicas
            self._update_addresses()

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Sets seeds that the settings name since the start, by address."""
        self._seeds = frozenset(addresses)
        self._update_addresses()

    def _update_addresses(self) -> None:
        current = self._target_id()
        known = {**self._reported, **self._configured}
        new_seeds = self._seeds.difference(known.values())
        known |= {address: address for address in new_seeds}
        self._addresses = known
        self._ids = sorted(known)
        self._target = self._ids.index(current) if current in known else 0

    def _target_id(self) -> str:
        return self._ids[self._target % len(self._ids)]

    def _redirect(self, leader_id: str) -> None:
        if leader_id not in self._addresses:
            return
        if leader_id == self._target_id():
            return
        self._target = self._ids.index(leader_id)
        self._answered = True
        self._wake.set()


def _shortened(renewal: wire.Renewal) -> wire.Renewal:
    """Returns a renewal that keeps the lease where a whole one is too large.

    Checkpoints and ends are reported again in the next one.
    """
    return dataclasses.replace(
        renewal,
        batch=tuple(
            dataclasses.replace(
                report,
                running=tuple(
                    dataclasses.replace(run, saved="") for run in report.running
                ),
                ends=report.ends[:SHORT_ENDS],
                tails=(),
            )
            for report in renewal.batch
        ),
    )


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _batch_without_progress(
    reports: tuple[wire.WorkerReport, ...],
) -> list[wire.WorkerReport]:
    """Returns the reports without fields whose change can wait."""
    return [
        dataclasses.replace(
            report,
            remaining_ms=0,
            tails=(),
            running=tuple(
                dataclasses.replace(run, saved="", percent=0)
                for run in report.running
            ),
        )
        for report in reports
    ]


def _without_load(
    endpoints: dict[str, wire.EndpointReport],
) -> list[wire.EndpointReport]:
    return [dataclasses.replace(e, in_flight=0) for e in endpoints.values()]


def _without_progress(
    tasks: dict[tuple[str, str, int], wire.TaskReport],
) -> list[wire.TaskReport]:
    return [dataclasses.replace(t, progress_ms=0) for t in tasks.values()]
