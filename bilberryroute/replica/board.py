"""Blackboard of the replica role: what agents and entries report.

None of it is in the replicated log.
"""

import dataclasses

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute.model import batch
from bilberryroute.model import wire

DatagramAddress = tuple[str, int]
TaskKey = tuple[str, int, str]
WorkerIncarnationKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DownWorker:
    """A worker that its agent stopped to report without notice of its end.

    Attributes:
      born: Identifies the incarnation of the worker.
      agent_incarnation: Incarnation of the agent that went on without it.
    """

    born: int
    agent_incarnation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentRecord:
    """The last report of an agent to this leader.

    Attributes:
      renewal: Its last renewal, in the order in which it sent them.
      address: Source address of its datagrams.
      last_seen_ms: Monotonic instant of the last renewal.
      incarnation_since_ms: Monotonic instant of the incarnation's first
        renewal.
      tasks: Its task reports by job, attempt and worker.
      down_worker: Its worker that was reported before and is no more, or None.
    """

    renewal: wire.Renewal
    address: DatagramAddress
    last_seen_ms: clock_lib.Millis
    incarnation_since_ms: clock_lib.Millis
    tasks: dict[TaskKey, wire.TaskReport]
    down_worker: DownWorker | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryRecord:
    """The last report of an entry, received on its watch.

    Attributes:
      revision: Configuration revision in force there.
      last_seen_ms: Monotonic instant of its last report.
    """

    revision: int
    last_seen_ms: clock_lib.Millis


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaderTerm:
    """The term that this replica leads; number 0 while it leads none.

    Attributes:
      began: Monotonic instant at which this replica had applied all that was
        committed in earlier terms.
    """

    number: int = 0
    began: clock_lib.Millis = clock_lib.Millis(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchWorker:
    """The last report of a batch worker in this term.

    Attributes:
      last_seen_ms: Monotonic instant of the last report.
      largest_capacity: Largest capacity that it has reported in this term.
    """

    agent: str
    report: wire.WorkerReport
    last_seen_ms: clock_lib.Millis
    largest_capacity: batch.Resources = batch.NO_RESOURCES


@dataclasses.dataclass(slots=True)
class ReplicaBoard:
    """What the leader observes; empty at the beginning of a term.

    Attributes:
      term: The term that this replica leads.
      agents: Agents by name; the version increases when a report changes in
        more than load and progress.
      entries: Entries by name.
      changed_agents: Names of the agents whose reports changed since the job
        controller last read them.
      worker_agent: Name of the agent that reports each worker.
      worker_last_seen: Monotonic instant of the last report of each worker.
      endpoints: Endpoints that entries receive on their watch.
      applied: Touched after every applied command.
      batch_workers: Batch workers by name; the version increases when a
        report changes in more than progress.
      committed_ends: Number of the last committed end, by worker and its
        incarnation.
    """

    term: blackboard.Cell[LeaderTerm]
    agents: blackboard.Cell[dict[str, AgentRecord]]
    entries: blackboard.Cell[dict[str, EntryRecord]]
    changed_agents: set[str]
    worker_agent: dict[str, str]
    worker_last_seen: dict[str, clock_lib.Millis]
    endpoints: blackboard.Cell[tuple[wire.EndpointView, ...]]
    applied: blackboard.Cell[int]
    batch_workers: blackboard.Cell[dict[str, BatchWorker]]
    committed_ends: dict[WorkerIncarnationKey, int]

    def agent_of(self, worker: str) -> AgentRecord | None:
        """Returns the agent that reports a worker, or None."""
        return self.agents.get().get(self.worker_agent.get(worker, ""))

    def drop_silent(self, since: int) -> None:
        """Drops agents and entries whose last report is before an instant."""
        for cell in (self.agents, self.entries):
            reports = cell.get()
            silent = [
                n
                for n, report in reports.items()
                if report.last_seen_ms < since
            ]
            for name in silent:
                del reports[name]
                self.changed_agents.discard(name)

    def drop_reports(self) -> None:
        """Drops all reports of an earlier term."""
        self.changed_agents.clear()
        self.worker_agent.clear()
        self.worker_last_seen.clear()
        self.entries.set({})
        self.endpoints.set(())
        self.agents.set({})
        self.committed_ends.clear()
        self.batch_workers.set({})


def new_board() -> ReplicaBoard:
    """Returns the board of a replica without any reports."""
    return ReplicaBoard(
        term=blackboard.Cell(LeaderTerm()),
        agents=blackboard.Cell({}),
        entries=blackboard.Cell({}),
        changed_agents=set(),
        worker_agent={},
        worker_last_seen={},
        endpoints=blackboard.Cell(()),
        applied=blackboard.Cell(0),
        batch_workers=blackboard.Cell({}),
        committed_ends={},
    )
