"""Fake of the control client: a state machine without log or network."""

from bilberryroute import errors
from bilberryroute.entry import board as board_lib
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.model import membership
from bilberryroute.model import queries
from bilberryroute.state import machine as machine_lib
from bilberryroute.transport import proposals

WORKER = jobs.Worker(
    name="w1",
    incarnation="1",
    agent="a1",
    rack="rack-1",
    failure_domain="local",
    accelerators=8,
    cores=30,
    memory_mb=65_536,
)


class FakeControl:
    """Applies proposals at once and answers queries from the state.

    Attributes:
      machine: The state machine.
      proposed: All commands proposed.
      changes: All changes of the group of replicas.
      status: Answer to `GetStatus`.
      fault: Raised by all calls, if set.
    """

    def __init__(self, board: board_lib.EntryBoard):
        self._board = board
        self.machine = machine_lib.StateMachine()
        self.proposed: list[commands.Command] = []
        self.changes: list[membership.MembershipChange] = []
        self.status = queries.StatusView(
            term=3,
            leader_id="r1",
            revision=0,
            now_ms=100_000,
            replicas=(
                queries.ReplicaView(
                    id="r1", grpc="127.0.0.1:1", role="leader", match_index=7
                ),
            ),
            jobs=(queries.PhaseCount(phase=jobs.JobPhase.QUEUED, jobs=1),),
            workers=(queries.WorkerView(worker=WORKER, free=8),),
        )
        self.fault: errors.BilberryrouteError | None = None

    async def propose(self, command):
        if self.fault is not None:
            raise self.fault
        self.proposed.append(command)
        payload = proposals.COMMANDS.encode(command)
        result = self.machine.apply(len(self.proposed), 1, payload)
        self._board.configuration.set(self.machine.state.configuration)
        return result

    async def change_members(self, change):
        if self.fault is not None:
            raise self.fault
        self.changes.append(change)
        return membership.Members(replicas=self.status.replicas)

    async def query(self, query):
        if self.fault is not None:
            raise self.fault
        state = self.machine.state
        match query:
            case queries.GetTicket(number=number):
                return self._ticket(number)
            case queries.GetJob(job_id=job_id):
                if job_id not in state.jobs:
                    raise errors.NotFound(f"there is no job {job_id!r}")
                return queries.JobView(
                    record=state.jobs[job_id], explanation="waits for a worker"
                )
            case queries.ListJobs(account=account):
                return queries.JobList(
                    records=tuple(
                        record
                        for record in state.jobs.values()
                        if account in ("", record.job.account)
                    )
                )
        return self.status

    def _ticket(self, number):
        record = self.machine.state.tickets.get(number)
        if record is None:
            raise errors.NotFound(f"there is no ticket {number}")
        return queries.TicketView(
            number=number,
            digest=record.digest,
            ticket=record.ticket,
            accepted_at_ms=record.accepted_ms,
            applied_by=("agent a1",),
            pending=("agent a2",),
        )
