"""Records of the state that the replicated log builds up."""

import dataclasses

from bilberryroute.model import batch as batch_model
from bilberryroute.model import config
from bilberryroute.model import jobs as job_model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketRecord:
    """An accepted ticket.

    Attributes:
      accepted_ms: Unix time of acceptance in milliseconds.
      short_guarantees: Accounts whose guarantees no longer fit
        after the change.
    """

    ticket: config.Ticket
    digest: str
    accepted_ms: int
    short_guarantees: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRecord:
    """The agent with the exclusive right to run one request.

    Attributes:
      expires_ms: Unix time in milliseconds until which the claim is kept.
    """

    request_id: str
    account: str
    service: str
    fingerprint: str
    agent: str
    incarnation: str
    endpoint: str
    expires_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class ReplicatedState:
    """State of the whole system; identical on all replicas at a log index.

    Attributes:
      index: Log index of the last command applied.
      scheduling_index: Log index of the last command that may have changed an
        agent's desired state; claims, catalogs and checkpoints don't raise it.
      at_ms: Highest `at_ms` of the commands applied; the clock of the state
        machine.
      tickets: Accepted tickets by number; the oldest are pruned.
      workers: Workers that have joined and are not lost, by name.
      jobs: Jobs by id; the oldest ended ones are pruned.
      ended: Ids of ended jobs, oldest first.
      closed_job_ids: Ids that no job may take (see `state.closed_ids`).
      held: Id of the job that occupies each accelerator, by worker and
        accelerator index.
      claims: Claims by account and request id, oldest first.
      batch: Batch jobs, their queues and accounts.
    """

    index: int = 0
    scheduling_index: int = 0
    at_ms: int = 0
    configuration: config.Configuration = dataclasses.field(
        default_factory=config.Configuration
    )
    tickets: dict[int, TicketRecord] = dataclasses.field(default_factory=dict)
    workers: dict[str, job_model.Worker] = dataclasses.field(
        default_factory=dict
    )
    jobs: dict[str, job_model.JobRecord] = dataclasses.field(
        default_factory=dict
    )
    ended: list[str] = dataclasses.field(default_factory=list)
    closed_job_ids: dict[str, int] = dataclasses.field(default_factory=dict)
    held: dict[str, dict[int, str]] = dataclasses.field(default_factory=dict)
    claims: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)
    batch: batch_model.BatchState = dataclasses.field(
        default_factory=batch_model.BatchState
    )
