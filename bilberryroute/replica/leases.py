"""Answers agents' lease renewals and pushes changes to them, by datagram."""

import asyncio
import dataclasses
import logging
from collections.abc import Iterable

import mode

from bilberryroute import errors
from bilberryroute.model import batch_commands
from bilberryroute.model import commands
from bilberryroute.model import wire
from bilberryroute.replica import batch_ends
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.transport import codec
from bilberryroute.transport import datagrams

# Payloads in one message. The agent asks for the next ones once it has them.
MAX_PAYLOAD_BYTES = 24_000

logger = logging.getLogger(__name__)

_renewal_decoder = codec.Decoder(wire.Renewal)


class LeaseService(mode.Service):
    """Grants leases to agents while this replica leads.

    A lease counts from the instant at which the agent sent the renewal. This
    replica checks after that instant that it leads, so no later leader can
    have accepted a change before that instant.
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
        self._metrics = parts.metrics
        self._socket = datagrams.DatagramSocket(self.on_datagram, parts.metrics)
        self._agents_to_push: set[str] = set()
        self._push_requested = asyncio.Event()
        parts.machine.listeners.append(self._on_applied)

    async def on_start(self) -> None:
        """Opens the datagram socket."""
        ip, port = self._cfg.listen.datagram.rsplit(":", 1)
        await self._socket.open((ip, int(port)))

    async def on_stop(self) -> None:
        """Closes the datagram socket."""
        self._socket.close()

    def on_datagram(
        self, payload: bytes, address: board_lib.DatagramAddress
    ) -> None:
        """Handles one message from an agent."""
        try:
            renewal = _renewal_decoder.decode(payload)
        except errors.MalformedInput as exc:
            self._metrics.dropped("malformed_renewal")
            logger.warning("malformed renewal from %s: %s", address[0], exc)
            return
        if not self._leadership.active():
            self._send(self._redirect(renewal), address)
            return
        if not self._store_renewal(renewal, address):
            return
        self._send(self._grant(renewal), address)

    def _store_renewal(
        self, renewal: wire.Renewal, address: board_lib.DatagramAddress
    ) -> bool:
        """Stores a renewal; returns False if a newer one was stored before."""
        agents = self._board.agents.get()
        previous = agents.get(renewal.agent)
        if previous is not None and _is_older(renewal, previous.renewal):
            return False
        now = self._clock.now()
        restarted = (
            previous is None
            or previous.renewal.incarnation != renewal.incarnation
        )
        agents[renewal.agent] = board_lib.AgentRecord(
            renewal=renewal,
            address=address,
            last_seen_ms=now,
            incarnation_since_ms=now
            if restarted
            else previous.incarnation_since_ms,
            tasks={(t.job_id, t.attempt, t.worker): t for t in renewal.tasks},
            down_worker=batch_ends.down_worker(renewal, previous),
        )
        for worker in renewal.workers:
            self._board.worker_last_seen[worker.name] = now
            self._board.worker_agent[worker.name] = renewal.agent
        self._store_batch_reports(renewal, previous, now)
        if previous is None or _changed_significantly(
            renewal, previous.renewal
        ):
            self._board.changed_agents.add(renewal.agent)
            self._board.agents.touch()
        return True

    def _store_batch_reports(
        self,
        renewal: wire.Renewal,
        previous: board_lib.AgentRecord | None,
        now: int,
    ) -> None:
        """Stores the reports of the batch workers in a renewal."""
        cell = self._board.batch_workers
        for report in renewal.batch:
            stored = cell.get().get(report.name)
            if stored is not None and stored.report.born > report.born:
                continue
            largest = report.capacity
            if stored is not None:
                largest = largest.largest(stored.largest_capacity)
            cell.get()[report.name] = board_lib.BatchWorker(
                agent=renewal.agent,
                report=report,
                last_seen_ms=now,
                largest_capacity=largest,
            )
        previous_reports = () if previous is None else previous.renewal.batch
        if _significant_batch_fields(
            previous_reports
        ) != _significant_batch_fields(renewal.batch):
            cell.touch()

    def _grant(self, renewal: wire.Renewal) -> wire.Grant:
        desired = self._desired_for(renewal)
        up_to_date = desired.version == renewal.desired_version
        return wire.Grant(
            term=self._group.term,
            echo_ms=renewal.sent_ms,
            lease_ms=self._cfg.timing.agent_lease_ms,
            leader_id=self._cfg.replica_id,
            replicas=self._replica_addresses(),
            desired=None if up_to_date else desired,
            committed=self._committed_ends(renewal),
            payloads=self._payloads(renewal, desired),
        )

    def _committed_ends(
        self, renewal: wire.Renewal
    ) -> tuple[wire.CommittedEnds, ...]:
        """Returns the last committed end of each batch worker of an agent."""
        committed = self._board.committed_ends
        return tuple(
            wire.CommittedEnds(
                worker=report.name,
                born=report.born,
                number=committed[report.name, report.born],
            )
            for report in renewal.batch
            if (report.name, report.born) in committed
        )

    def _payloads(
        self, renewal: wire.Renewal, desired: wire.Desired
    ) -> dict[str, str]:
        """Returns payloads that an agent needs and does not have.

        Limited, as the loss of one datagram loses all of them; the agent renews
        once it has them and then receives the next ones.
        """
        jobs = self._machine.state.batch.jobs
        selected: dict[str, str] = {}
        size = 0
        for run in desired.runs:
            job_id = run.task.job_id
            if run.stop or job_id in renewal.payloads or job_id in selected:
                continue
            payload = jobs[job_id].content.payload
            size += len(payload.encode())
            if selected and size > MAX_PAYLOAD_BYTES:
                break
            selected[job_id] = payload
        return selected

    def push_to(self, agents: Iterable[str]) -> None:
        """Schedules a push of desired state and committed ends to agents."""
        self._agents_to_push.update(agents)
        self._push_requested.set()

    def _redirect(self, renewal: wire.Renewal) -> wire.Grant:
        """Returns a reply without a lease that names the leader."""
        return wire.Grant(
            term=self._group.term,
            echo_ms=renewal.sent_ms,
            lease_ms=0,
            leader_id=self._group.leader_id or "",
            replicas=self._replica_addresses(),
            desired=None,
        )

    def _desired_for(self, renewal: wire.Renewal) -> wire.Desired:
        worker_names = tuple(w.name for w in renewal.workers)
        return self._desired.desired(
            self._machine.state,
            self._group.applied_index,
            renewal.agent,
            worker_names,
        )

    def _replica_addresses(self) -> dict[str, str]:
        addresses = (m.address for m in self._group.members())
        return {address.id: address.datagram for address in addresses}

    def _on_applied(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        """Schedules pushes to the agents that a command affects."""
        del result
        match command:
            case commands.ApplyTicket():
                self._agents_to_push.update(self._board.agents.get())
            case commands.PlaceJob(job_id=job_id):
                self._agents_to_push.update(self._agents_of(job_id))
            case commands.StartJob(job_id=job_id):
                self._agents_to_push.update(self._agents_of(job_id))
            case commands.StopJob(job_id=job_id):
                self._agents_to_push.update(self._agents_of(job_id))
            case commands.CancelJobs(job_ids=job_ids):
                for job_id in job_ids:
                    self._agents_to_push.update(self._agents_of(job_id))
            case (
                batch_commands.PlaceRuns()
                | batch_commands.StopRuns()
                | batch_commands.EndRuns()
                | batch_commands.CancelBatch()
                | batch_commands.SetEvacuated()
            ):
                # `_push` skips the agents whose desired state is unchanged.
                self._agents_to_push.update(self._board.agents.get())
        if self._agents_to_push:
            self._push_requested.set()

    def _agents_of(self, job_id: str) -> list[str]:
        record = self._machine.state.jobs.get(job_id)
        if record is None:
            return []
        agent_names = [
            self._board.worker_agent.get(assignment.worker, "")
            for assignment in record.assignments
        ]
        return [
            name for name in agent_names if name in self._board.agents.get()
        ]

    @mode.Service.task
    async def _push_changes(self) -> None:
        """Pushes changed desired states without waiting for renewals."""
        while not self.should_stop:
            await self._push_requested.wait()
            self._push_requested.clear()
            agents = self._agents_to_push
            self._agents_to_push = set()
            if self._leadership.active():
                for name in sorted(agents):
                    self._push(name)
                    await asyncio.sleep(0)

    def _push(self, name: str) -> None:
        agent = self._board.agents.get().get(name)
        if agent is None:
            return
        desired = self._desired_for(agent.renewal)
        committed = self._committed_ends(agent.renewal)
        up_to_date = desired.version == agent.renewal.desired_version
        if up_to_date and not committed:
            return
        push = wire.Grant(
            term=self._group.term,
            echo_ms=0,
            lease_ms=0,
            leader_id=self._cfg.replica_id,
            replicas={},
            desired=None if up_to_date else desired,
            committed=committed,
            payloads=self._payloads(agent.renewal, desired),
        )
        self._send(push, agent.address)

    def _send(
        self, grant: wire.Grant, address: board_lib.DatagramAddress
    ) -> None:
        """Sends a grant; without the desired state if that is too large.

        The agent then keeps its lease and what runs there, and starts nothing
        new.
        """
        sent = self._socket.send(codec.encode(grant), address)
        if not sent and grant.desired is not None and grant.lease_ms:
            lease_only = dataclasses.replace(grant, desired=None, payloads={})
            self._socket.send(codec.encode(lease_only), address)


def _is_older(renewal: wire.Renewal, previous: wire.Renewal) -> bool:
    same_incarnation = renewal.incarnation == previous.incarnation
    return same_incarnation and renewal.sent_ms < previous.sent_ms


def _changed_significantly(
    renewal: wire.Renewal, previous: wire.Renewal
) -> bool:
    """Returns whether a report changed in more than load and progress."""
    return _significant_fields(renewal) != _significant_fields(previous)


def _significant_fields(renewal: wire.Renewal) -> tuple:
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


def _significant_batch_fields(reports: tuple[wire.WorkerReport, ...]) -> tuple:
    """Returns the fields whose change the planner must see immediately."""
    return tuple(
        (
            report.name,
            report.born,
            report.pool,
            report.capacity,
            report.draining,
            report.over,
            [(run.task, run.run) for run in report.running],
            [(end.task, end.run) for end in report.ends],
        )
        for report in reports
    )
