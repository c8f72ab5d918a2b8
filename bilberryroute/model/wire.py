"""Datagrams between agents and replicas, and the watch stream of entries.

An agent renews its lease with a `Renewal`; the leader answers with a `Grant`,
which carries the agent's whole desired state whenever its version differs
from the one that the agent reported. Both are idempotent, so loss,
duplication and reordering need no more than the next renewal.
"""

import dataclasses

from bilberryroute.model import batch
from bilberryroute.model import config
from bilberryroute.model import jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReport:
    """One endpoint as its agent sees it.

    Attributes:
      leaving: True once the endpoint has announced that it leaves.
      healthy: False while the agent ejects it.
    """

    name: str
    service: str
    slots: int
    in_flight: int
    leaving: bool = False
    healthy: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskReport:
    """One task as its worker reports it.

    Attributes:
      state: `reserved`, `running`, or a `TaskResult` once it ended.
      progress_ms: Work done and kept so far, in milliseconds of run time.
    """

    job_id: str
    attempt: int
    worker: str
    state: str
    progress_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunReport:
    """One run on a worker.

    Attributes:
      saved: Newest checkpoint, or empty.
      percent: Work done, 0 to 100.
    """

    task: batch.TaskId
    run: int
    saved: str = ""
    percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TailReport:
    """Tail latency of a serving run, in milliseconds."""

    task: batch.TaskId
    run: int
    tail_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndReport:
    """The end of a run, listed until the leader has committed it.

    Attributes:
      number: Counts the ends of one life of a worker, from 1; 0 for an end
        that the agent found out by itself.
      cause: Why the run was lost, if the agent knows.
      down_after_ms: For a crash, time from the start of the run until the
        worker was down, in milliseconds; None if unknown.
    """

    number: int
    task: batch.TaskId
    run: int
    outcome: batch.RunOutcome
    saved: str = ""
    cause: batch.LossCause | None = None
    down_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReport:
    """A worker of batch jobs as its agent sees it.

    Attributes:
      born: Start time that this incarnation of the worker reports.
      draining: Whether the worker leaves and takes nothing new.
      remaining_ms: While it drains, for how long it goes on at least.
      over: Whether this incarnation has ended, with all its runs.
      tails: Tail latencies of its serving runs, if settings ask for them.
    """

    name: str
    born: int
    pool: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    capacity: batch.Resources
    draining: bool = False
    remaining_ms: int = 0
    over: bool = False
    running: tuple[RunReport, ...] = ()
    ends: tuple[EndReport, ...] = ()
    tails: tuple[TailReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renewal:
    """An agent renews its lease and reports its observed state.

    Attributes:
      sent_ms: The agent's monotonic clock at sending; echoed in the grant.
      desired_version: Version of the desired state the agent holds.
      revision: Configuration revision in force at the agent.
      http: Address of the agent's HTTP server, `ip:port`.
      draining: True once the agent leaves.
      batch: Workers of batch jobs beside the agent.
      payloads: Batch jobs whose payload the agent holds.
    """

    agent: str
    incarnation: str
    failure_domain: str
    sent_ms: int
    term: int
    desired_version: int
    revision: int
    http: str
    draining: bool
    endpoints: tuple[EndpointReport, ...]
    workers: tuple[jobs.Worker, ...]
    tasks: tuple[TaskReport, ...]
    batch: tuple[WorkerReport, ...] = ()
    payloads: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DesiredRun:
    """One run that a worker should execute or stop.

    Attributes:
      worker: The life of the worker that it was placed on.
      stop: Whether it is to end.
      saved: Checkpoint to resume from, or empty.
      permit: Permit of an advisory service, or empty.
      tail_target_ms: Bound of the tail latency within which the run serves;
        0 for none.
      fills: Whether the run takes only the processors that others leave.
      need: Resources that the run is counted with; none from older leaders.
    """

    task: batch.TaskId
    run: int
    worker: batch.WorkerRef
    stop: bool
    saved: str = ""
    permit: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    need: batch.Resources = batch.NO_RESOURCES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DesiredTask:
    """What one task on one worker should be.

    Attributes:
      state: `reserved`, `running` or `stopped`.
      checkpoint: Whether to save progress before stopping.
      progress_ms: Work kept by earlier attempts, to start from.
    """

    job_id: str
    attempt: int
    worker: str
    accelerators: tuple[int, ...]
    state: str
    checkpoint: bool = False
    progress_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Desired:
    """The whole desired state of one agent.

    Attributes:
      version: Rises with every change, within and across terms.
      revision: Configuration revision that it was made from.
      domains_in_service: Failure domains where work may start.
      services: Services with their limits.
      tasks: Tasks on the agent's workers; any other task is to stop.
      runs: Runs of batch jobs there; any other run is to stop.
      evacuated: Failure domains in which no run may start.
    """

    version: int
    revision: int
    domains_in_service: tuple[str, ...]
    services: tuple[config.Service, ...]
    tasks: tuple[DesiredTask, ...]
    runs: tuple[DesiredRun, ...] = ()
    evacuated: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommittedEnds:
    """Highest end report of a worker incarnation committed with all before."""

    worker: str
    born: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """The leader's answer to a renewal.

    Attributes:
      term: Term of the leader; an agent refuses a lower one than it has seen.
      echo_ms: `sent_ms` of the renewal; the lease counts from it. 0 in a push
        that renews nothing.
      lease_ms: Length of the lease in milliseconds; 0 grants none.
      leader_id: The leading replica, as far as the sender knows.
      replicas: Datagram addresses of all replicas, by id.
      desired: Whole desired state, or None if the agent's is current.
      committed: Ends of runs that the worker may forget.
      payloads: Payloads by batch job that the agent needs and lacks.
    """

    term: int
    echo_ms: int
    lease_ms: int
    leader_id: str
    replicas: dict[str, str]
    desired: Desired | None
    committed: tuple[CommittedEnds, ...] = ()
    payloads: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointView:
    """One endpoint as the leader shows it to entries."""

    name: str
    service: str
    agent: str
    incarnation: str
    http: str
    failure_domain: str
    slots: int
    in_flight: int
    leaving: bool
    healthy: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchRequest:
    """An entry subscribes to changes.

    Attributes:
      revision: Configuration revision the entry holds.
    """

    entry: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaContact:
    """Addresses of one replica.

    Attributes:
      grpc: For entries.
      datagram: For agents.
    """

    id: str
    grpc: str
    datagram: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """One message of the watch stream.

    Attributes:
      term: Term of the leader; an entry ignores a lower one than it has seen.
      configuration: Whole configuration, or None if the entry's is current.
      endpoints: All endpoints, or None if they have not changed.
      replicas: The group as the leader knows it.
    """

    term: int
    leader_id: str
    configuration: config.Configuration | None
    endpoints: tuple[EndpointView, ...] | None
    replicas: tuple[ReplicaContact, ...] = ()
