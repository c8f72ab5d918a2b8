"""Queries to the leading replica and their typed answers.

A query changes nothing and is answered under the leader's lease.
"""

import dataclasses

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import config
from bilberryroute.model import jobs


class Query:
    """Base of the queries, tagged by class name on the wire."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetTicket(Query):
    """Asks for one accepted ticket; `NotFound` if there is none."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetJob(Query):
    """Asks for one job; `NotFound` if there is none."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListJobs(Query):
    """Asks for the jobs of an account; empty for all accounts."""

    account: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetStatus(Query):
    """Asks for the state of the whole system."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LookUpBatch(Query):
    """Asks where a batch job stands, or how many of a queue wait."""

    address: catalog_model.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetCatalog(Query):
    """Asks for the catalog in force; `Unavailable` if there is none."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetEvacuation(Query):
    """Asks for the evacuation of a failure domain, known or not."""

    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GetBatch(Query):
    """Asks for a batch job with its tasks; `Gone` if there is none."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListBatches(Query):
    """Asks for all batch jobs that are remembered."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchDetail:
    """A batch job and the decisions made about it."""

    record: batch.BatchRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchSummary:
    """A batch job in one line: its tasks by where they stand."""

    id: str
    queue: str
    account: str
    result: jobs.JobResult | None
    begun: bool
    done: int
    active: int
    failed: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchList:
    """Batch jobs in the order of acceptance."""

    jobs: tuple[BatchSummary, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchView:
    """Progress of a batch job.

    Attributes:
      result: How it ended; None before.
      begun: Whether a task was ever placed.
    """

    job_id: str
    result: jobs.JobResult | None
    begun: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingView:
    """How many accepted jobs of a queue have not begun."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationView:
    """The evacuation of a failure domain.

    Attributes:
      last_order: Number of the last acknowledged order; 0 for none.
    """

    evacuated: bool
    last_order: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CatalogView:
    """The catalog in force, as the operator sent it."""

    version: int
    document: bytes
    queues: tuple[catalog_model.Queue, ...] = ()
    accounts: tuple[catalog_model.BatchAccount, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketView:
    """An accepted ticket and where it is in force.

    Attributes:
      number: The ticket's number.
      digest: Digest of its canonical form.
      ticket: Its content.
      accepted_at_ms: Unix time of its commit, in milliseconds.
      applied_by: Agents and entries in whose process it is in force.
      pending: Agents and entries with a lease or watch, but not yet in force.
    """

    number: int
    digest: str
    ticket: config.Ticket
    accepted_at_ms: int
    applied_by: tuple[str, ...] = ()
    pending: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobView:
    """A job and the reason for its current phase.

    Attributes:
      record: The job with all decisions about it.
      explanation: The scheduler's reason in one sentence, or empty.
    """

    record: jobs.JobRecord
    explanation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobList:
    """Jobs in the order of submission."""

    records: tuple[jobs.JobRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaView:
    """One replica as the leader sees it.

    Attributes:
      role: `leader`, `voter` or `learner`.
      match_index: Last log index known to be durable there.
      heard_ms_ago: Milliseconds since it last answered; 0 for the leader.
    """

    id: str
    grpc: str
    role: str
    match_index: int = 0
    heard_ms_ago: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentView:
    """One agent as the leader sees it.

    Attributes:
      revision: Configuration revision in force there.
      lease_left_ms: Milliseconds left of its lease, by the leader's clock.
    """

    name: str
    incarnation: str
    failure_domain: str
    revision: int
    lease_left_ms: int
    draining: bool = False
    endpoints: int = 0
    workers: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryView:
    """One entry that watches the configuration."""

    name: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainView:
    """One failure domain.

    Attributes:
      in_service: False while operators have taken it out.
      since_ms: Unix time of the ticket that last set it, in milliseconds.
    """

    name: str
    in_service: bool
    since_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerView:
    """One worker as the leader sees it.

    Attributes:
      free: Accelerators that hold no reservation.
      in_service: False while it, or its failure domain, is taken out.
      quarantined: True while it gets no work because its tasks fail.
    """

    worker: jobs.Worker
    free: int
    in_service: bool = True
    quarantined: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GangView:
    """A placed job and what the agents report of its tasks.

    Attributes:
      phase_since_ms: Unix time of the last change of phase, milliseconds.
      failure_domains: Where its tasks are placed.
      tasks: Number of its tasks.
      running: Tasks last reported as running.
      ended: Tasks last reported as ended.
    """

    job_id: str
    account: str
    attempt: int
    phase: jobs.JobPhase
    phase_since_ms: int
    failure_domains: tuple[str, ...]
    tasks: int
    running: int = 0
    ended: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PhaseCount:
    """Number of jobs in one phase."""

    phase: jobs.JobPhase
    jobs: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchQueueView:
    """A queue of batch jobs.

    Attributes:
      priority: 0 goes first.
      pending: Accepted jobs that have not begun.
      open: Jobs that have not ended, the pending ones among them.
    """

    name: str
    pool: str
    priority: int
    pending: int
    open: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchAccountView:
    """A client account of the catalog.

    Attributes:
      keys: How many keys are in force.
      guaranteed: Accelerators that are its own for urgent jobs.
      accelerators: Accelerators that its runs hold now.
    """

    name: str
    keys: int
    guaranteed: int
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusView:
    """The whole system as the leader sees it.

    Attributes:
      now_ms: Unix time of the answer in milliseconds.
      revision_since_ms: Unix time of the last ticket, in milliseconds.
      membership_version: Number of changes of the group of replicas.
      shortfalls: Guarantees that the workers in service cannot hold, each in
        one sentence.
      violations: Invariants that the scheduler finds broken, each in one
        sentence.
    """

    term: int
    leader_id: str
    revision: int
    now_ms: int
    revision_since_ms: int = 0
    replicas: tuple[ReplicaView, ...] = ()
    membership_version: int = 0
    agents: tuple[AgentView, ...] = ()
    entries: tuple[EntryView, ...] = ()
    failure_domains: tuple[DomainView, ...] = ()
    workers: tuple[WorkerView, ...] = ()
    jobs: tuple[PhaseCount, ...] = ()
    gangs: tuple[GangView, ...] = ()
    batch_queues: tuple[BatchQueueView, ...] = ()
    batch_accounts: tuple[BatchAccountView, ...] = ()
    shortfalls: tuple[str, ...] = ()
    violations: tuple[str, ...] = ()


Answer = (
    TicketView
    | JobView
    | JobList
    | StatusView
    | BatchView
    | PendingView
    | CatalogView
    | EvacuationView
    | BatchDetail
    | BatchList
)
