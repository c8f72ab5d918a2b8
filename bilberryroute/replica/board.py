"""Blackboard of the replica role: what the leader hears, beside the log."""

import dataclasses

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute.model import wire

DatagramAddress = tuple[str, int]
TaskKey = tuple[str, int, str]
LifeKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentView:
    """An agent as the leader last heard it.

    Attributes:
      renewal: Its last renewal, by its own order of sending.
      address: Where its datagrams come from.
      heard_ms: Monotonic instant of the last renewal.
      since_ms: Monotonic instant of the first renewal of this incarnation.
      tasks: Its task reports by job, attempt and worker.
    """

    renewal: wire.Renewal
    address: DatagramAddress
    heard_ms: clock_lib.Millis
    since_ms: clock_lib.Millis
    tasks: dict[TaskKey, wire.TaskReport]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryView:
    """An entry as its watch last reported it.

    Attributes:
      revision: Configuration revision in force there.
      heard_ms: Monotonic instant of its last report.
    """

    revision: int
    heard_ms: clock_lib.Millis


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaderTerm:
    """The term that this replica leads; number 0 while it leads none.

    Attributes:
      began: Monotonic instant from which it has applied all committed before.
    """

    number: int = 0
    began: clock_lib.Millis = clock_lib.Millis(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchWorker:
    """A worker of batch jobs as its agent last reported it in this term.

    Attributes:
      heard_ms: Monotonic instant of the last report.
    """

    agent: str
    report: wire.WorkerReport
    heard_ms: clock_lib.Millis


@dataclasses.dataclass(slots=True)
class ReplicaBoard:
    """What the leader observes; a new leader starts with nothing.

    Attributes:
      term: The term that this replica leads.
      agents: By name; its version rises when a report changes.
      entries: By name.
      changed_agents: Agents whose reports changed since they were last read.
      worker_agent: Agent that reports each worker.
      worker_heard: Monotonic instant at which each worker was last reported.
      endpoints: Endpoints shown to entries.
      applied: Touched after every applied command.
      batch_workers: Workers of batch jobs by name; its version rises when
        a report changes in more than progress.
      committed_ends: Number of the last committed end, by worker and life.
    """

    term: blackboard.Cell[LeaderTerm]
    agents: blackboard.Cell[dict[str, AgentView]]
    entries: blackboard.Cell[dict[str, EntryView]]
    changed_agents: set[str]
    worker_agent: dict[str, str]
    worker_heard: dict[str, clock_lib.Millis]
    endpoints: blackboard.Cell[tuple[wire.EndpointView, ...]]
    applied: blackboard.Cell[int]
    batch_workers: blackboard.Cell[dict[str, BatchWorker]]
    committed_ends: dict[LifeKey, int]

    def agent_of(self, worker: str) -> AgentView | None:
        """Returns the agent that reports a worker, if one is heard."""
        return self.agents.get().get(self.worker_agent.get(worker, ""))

    def forget_silent(self, since: int) -> None:
        """Drops agents and entries last heard before an instant."""
        for cell in (self.agents, self.entries):
            heard = cell.get()
            silent = [n for n, view in heard.items() if view.heard_ms < since]
            for name in silent:
                del heard[name]
                self.changed_agents.discard(name)

    def forget_reports(self) -> None:
        """Drops what was heard in an earlier term."""
        self.changed_agents.clear()
        self.worker_agent.clear()
        self.worker_heard.clear()
        self.entries.set({})
        self.endpoints.set(())
        self.agents.set({})
        self.committed_ends.clear()
        self.batch_workers.set({})


def new_board() -> ReplicaBoard:
    """Returns the board of a replica that has heard nobody yet."""
    return ReplicaBoard(
        term=blackboard.Cell(LeaderTerm()),
        agents=blackboard.Cell({}),
        entries=blackboard.Cell({}),
        changed_agents=set(),
        worker_agent={},
        worker_heard={},
        endpoints=blackboard.Cell(()),
        applied=blackboard.Cell(0),
        batch_workers=blackboard.Cell({}),
        committed_ends={},
    )
