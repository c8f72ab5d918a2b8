"""Answers agents' renewals by datagram and pushes changes to them."""

import asyncio
import logging
from collections.abc import Iterable

import mode

from bilberryroute import errors
from bilberryroute.model import batch_commands
from bilberryroute.model import commands
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.transport import codec

# Room for payloads beside the desired state in one datagram of 64 KB.
PAYLOAD_BYTES = 24_000

logger = logging.getLogger(__name__)

_renewals = codec.Decoder(wire.Renewal)


class LeaseService(mode.Service):
    """Grants leases to agents while this replica leads.

    A lease starts when the agent sent the renewal, which was before this
    replica checked that it leads; so no later leader can have accepted a
    change before that instant.
    """

    def __init__(self, parts: parts_lib.ReplicaParts):
        super().__init__()
        self._cfg = parts.cfg
        self._board = parts.board
        self._group = parts.group
        self._machine = parts.machine
        self._clock = parts.clock
        self._desired = parts.desired
        self._leadership = parts.leadership
        self._transport: asyncio.DatagramTransport | None = None
        self._behind: set[str] = set()
        self._news = asyncio.Event()
        parts.machine.listeners.append(self._on_applied)

    async def on_start(self) -> None:
        """Opens the datagram socket."""
        ip, port = self._cfg.listen.datagram.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self.on_datagram), local_addr=(ip, int(port))
        )

    async def on_stop(self) -> None:
        """Closes the datagram socket."""
        if self._transport is not None:
            self._transport.close()

    def on_datagram(
        self, payload: bytes, address: board_lib.DatagramAddress
    ) -> None:
        """Handles one datagram of an agent."""
        try:
            renewal = _renewals.decode(payload)
        except errors.MalformedInput as exc:
            logger.warning("malformed renewal from %s: %s", address[0], exc)
            return
        if not self._leadership.active():
            self._send(self._referral(renewal), address)
            return
        if not self._record(renewal, address):
            return
        self._send(self._grant(renewal), address)

    def _record(
        self, renewal: wire.Renewal, address: board_lib.DatagramAddress
    ) -> bool:
        """Stores the report; returns False for one that arrived late."""
        agents = self._board.agents.get()
        known = agents.get(renewal.agent)
        if known is not None and _is_older(renewal, known.renewal):
            return False
        now = self._clock.now()
        restarted = (
            known is None or known.renewal.incarnation != renewal.incarnation
        )
        agents[renewal.agent] = board_lib.AgentView(
            renewal=renewal,
            address=address,
            heard_ms=now,
            since_ms=now if restarted else known.since_ms,
            tasks={(t.job_id, t.attempt, t.worker): t for t in renewal.tasks},
        )
        for worker in renewal.workers:
            self._board.worker_heard[worker.name] = now
            self._board.worker_agent[worker.name] = renewal.agent
        self._record_batch(renewal, known, now)
        if known is None or _differs(renewal, known.renewal):
            self._board.changed_agents.add(renewal.agent)
            self._board.agents.touch()
        return True

    def _record_batch(
        self,
        renewal: wire.Renewal,
        known: board_lib.AgentView | None,
        now: int,
    ) -> None:
        """Notes the workers of batch jobs beside an agent."""
        cell = self._board.batch_workers
        for report in renewal.batch:
            last = cell.get().get(report.name)
            if last is not None and last.report.born > report.born:
                continue
            cell.get()[report.name] = board_lib.BatchWorker(
                agent=renewal.agent, report=report, heard_ms=now
            )
        before = () if known is None else known.renewal.batch
        if _batch_essence(before) != _batch_essence(renewal.batch):
            cell.touch()

    def _grant(self, renewal: wire.Renewal) -> wire.Grant:
        wanted = self._wanted(renewal)
        current = wanted.version == renewal.desired_version
        return wire.Grant(
            term=self._group.term,
            echo_ms=renewal.sent_ms,
            lease_ms=self._cfg.timing.agent_lease_ms,
            leader_id=self._cfg.replica_id,
            replicas=self._replica_addresses(),
            desired=None if current else wanted,
            committed=self._committed(renewal),
            payloads=self._payloads(renewal, wanted),
        )

    def _committed(
        self, renewal: wire.Renewal
    ) -> tuple[wire.CommittedEnds, ...]:
        """Returns up to where the ends on an agent's workers are committed."""
        known = self._board.committed_ends
        return tuple(
            wire.CommittedEnds(
                worker=report.name,
                born=report.born,
                number=known[report.name, report.born],
            )
            for report in renewal.batch
            if (report.name, report.born) in known
        )

    def _payloads(
        self, renewal: wire.Renewal, wanted: wire.Desired
    ) -> dict[str, str]:
        """Returns payloads that an agent needs and does not hold.

        As many as a datagram has room for; the agent renews once it holds
        them, and is sent the next ones.
        """
        jobs = self._machine.state.batch.jobs
        chosen: dict[str, str] = {}
        size = 0
        for run in wanted.runs:
            job_id = run.task.job_id
            if run.stop or job_id in renewal.payloads or job_id in chosen:
                continue
            payload = jobs[job_id].content.payload
            size += len(payload.encode())
            if chosen and size > PAYLOAD_BYTES:
                break
            chosen[job_id] = payload
        return chosen

    def push_to(self, agents: Iterable[str]) -> None:
        """Sends agents their desired state and committed ends soon."""
        self._behind.update(agents)
        self._news.set()

    def _referral(self, renewal: wire.Renewal) -> wire.Grant:
        """Tells an agent where the leader is, granting nothing."""
        return wire.Grant(
            term=self._group.term,
            echo_ms=renewal.sent_ms,
            lease_ms=0,
            leader_id=self._group.leader_id or "",
            replicas=self._replica_addresses(),
            desired=None,
        )

    def _wanted(self, renewal: wire.Renewal) -> wire.Desired:
        names = tuple(w.name for w in renewal.workers)
        return self._desired.desired(
            self._machine.state, self._group.applied_index, renewal.agent, names
        )

    def _replica_addresses(self) -> dict[str, str]:
        addresses = (m.address for m in self._group.members())
        return {each.id: each.datagram for each in addresses}

    def _on_applied(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        """Notes which agents the command concerns."""
        del result
        match command:
            case commands.ApplyTicket():
                self._behind.update(self._board.agents.get())
            case commands.PlaceJob(job_id=job_id):
                self._behind.update(self._agents_of(job_id))
            case commands.StartJob(job_id=job_id):
                self._behind.update(self._agents_of(job_id))
            case commands.StopJob(job_id=job_id):
                self._behind.update(self._agents_of(job_id))
            case commands.CancelJobs(job_ids=job_ids):
                for job_id in job_ids:
                    self._behind.update(self._agents_of(job_id))
            case (
                batch_commands.PlaceRuns()
                | batch_commands.StopRuns()
                | batch_commands.EndRuns()
                | batch_commands.CancelBatch()
                | batch_commands.SetEvacuated()
            ):
                # A push is sent only to those whose desired state changed.
                self._behind.update(self._board.agents.get())
        if self._behind:
            self._news.set()

    def _agents_of(self, job_id: str) -> list[str]:
        record = self._machine.state.jobs.get(job_id)
        if record is None:
            return []
        names = [
            self._board.worker_agent.get(part.worker, "")
            for part in record.assignments
        ]
        return [name for name in names if name in self._board.agents.get()]

    @mode.Service.task
    async def _push_changes(self) -> None:
        """Sends changed desired states at once, not only at renewals."""
        while not self.should_stop:
            await self._news.wait()
            self._news.clear()
            behind = self._behind
            self._behind = set()
            if self._leadership.active():
                for name in sorted(behind):
                    self._push(name)

    def _push(self, name: str) -> None:
        view = self._board.agents.get().get(name)
        if view is None:
            return
        wanted = self._wanted(view.renewal)
        committed = self._committed(view.renewal)
        current = wanted.version == view.renewal.desired_version
        if current and not committed:
            return
        push = wire.Grant(
            term=self._group.term,
            echo_ms=0,
            lease_ms=0,
            leader_id=self._cfg.replica_id,
            replicas={},
            desired=None if current else wanted,
            committed=committed,
            payloads=self._payloads(view.renewal, wanted),
        )
        self._send(push, view.address)

    def _send(
        self, grant: wire.Grant, address: board_lib.DatagramAddress
    ) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(codec.encode(grant), address)


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to a callback."""

    def __init__(self, callback):
        self._callback = callback

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        self._callback(data, addr)

    def error_received(self, exc: Exception) -> None:
        logger.debug("datagram error: %s", exc)


def _is_older(renewal: wire.Renewal, known: wire.Renewal) -> bool:
    same = renewal.incarnation == known.incarnation
    return same and renewal.sent_ms < known.sent_ms


def _differs(renewal: wire.Renewal, known: wire.Renewal) -> bool:
    """Says whether a report changed in more than load and progress."""
    return _essence(renewal) != _essence(known)


def _essence(renewal: wire.Renewal) -> tuple:
    return (
        renewal.incarnation,
        renewal.desired_version,
        renewal.revision,
        renewal.http,
        renewal.draining,
        renewal.workers,
        [
            (e.name, e.service, e.slots, e.leaving, e.healthy)
            for e in renewal.endpoints
        ],
        [(t.job_id, t.attempt, t.worker, t.state) for t in renewal.tasks],
    )


def _batch_essence(reports: tuple[wire.WorkerReport, ...]) -> tuple:
    """Returns what the planner needs to know at once."""
    return tuple(
        (
            report.name,
            report.born,
            report.pool,
            report.draining,
            report.over,
            [(run.task, run.run) for run in report.running],
            [(end.task, end.run) for end in report.ends],
        )
        for report in reports
    )
