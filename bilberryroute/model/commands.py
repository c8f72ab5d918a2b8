"""Commands of the replicated log and the typed results of applying them.

Every command carries `at_ms`, Unix time read by the leader that proposed it:
the state machine itself reads no clock.
"""

import dataclasses

from bilberryroute.model import config
from bilberryroute.model import jobs


class Command:
    """Base of the commands, tagged by class name on the wire."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyTicket(Command):
    """An operator's ticket with the digest of its canonical form."""

    ticket: config.Ticket
    digest: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitJob(Command):
    """Queues a job; the same id with the same content changes nothing."""

    job: jobs.Job
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelJobs(Command):
    """Cancels jobs: queued ones end, placed ones stop."""

    job_ids: tuple[str, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefuseJob(Command):
    """Ends a queued job that can never run, or fails wherever it runs."""

    job_id: str
    reason: str
    at_ms: int
    result: jobs.JobResult = jobs.JobResult.REFUSED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlaceJob(Command):
    """Reserves all accelerators of one attempt; runs nothing yet."""

    job_id: str
    attempt: int
    assignments: tuple[jobs.Assignment, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartJob(Command):
    """Every member holds its reservation: the gang may start."""

    job_id: str
    attempt: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopJob(Command):
    """Stops a reserved or running attempt on all members.

    Attributes:
      checkpoint: Whether members save progress before they stop.
      requeue: Whether the job goes back to the queue afterwards.
    """

    job_id: str
    attempt: int
    reason: str
    checkpoint: bool
    requeue: bool
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReleaseJob(Command):
    """All members of an attempt are stopped or fenced: accelerators are free.

    Attributes:
      progress_ms: Work kept, in milliseconds of run time.
      result: How the job ended; None if it is requeued.
    """

    job_id: str
    attempt: int
    progress_ms: int
    result: jobs.JobResult | None
    reason: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JoinWorker(Command):
    """A worker announced itself, newly or with a new incarnation."""

    worker: jobs.Worker
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoseWorker(Command):
    """A worker's lease ended: nothing runs on it any more."""

    name: str
    incarnation: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRequest(Command):
    """Binds one request that is not idempotent to one agent, for good.

    Attributes:
      request_id: The caller's id, unique within the account.
      fingerprint: Digest of the request's content.
      agent: Agent that may run it.
      incarnation: Incarnation of that agent; a later one refuses the claim.
      endpoint: Endpoint chosen.
      keep_ms: How long the claim is remembered, in milliseconds.
    """

    request_id: str
    account: str
    service: str
    fingerprint: str
    agent: str
    incarnation: str
    endpoint: str
    keep_ms: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketAccepted:
    """The ticket is durable on a majority.

    Attributes:
      short_guarantees: Accounts whose guarantees the change leaves short.
    """

    number: int
    digest: str
    short_guarantees: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TicketRefused:
    """Nothing was changed.

    Attributes:
      kind: Kind of the error that the caller gets.
      winner_digest: Digest of the ticket that holds the number, or empty.
      next_number: Next free number.
    """

    number: int
    kind: str
    message: str
    winner_digest: str
    next_number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimHeld:
    """The claim that binds this request id, whoever made it first."""

    request_id: str
    fingerprint: str
    agent: str
    incarnation: str
    endpoint: str
    first: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRefused:
    """The request id was used before with other content."""

    request_id: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobAccepted:
    """The job is durable; `first` is False for a resend."""

    job_id: str
    first: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRefused:
    """The job was not taken; `kind` names the error that the caller gets."""

    job_id: str
    kind: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changed:
    """The command changed the state; `revision` counts all such changes."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unchanged:
    """The command did not apply to the present state."""

    reason: str


Result = (
    TicketAccepted
    | TicketRefused
    | ClaimHeld
    | ClaimRefused
    | JobAccepted
    | JobRefused
    | Changed
    | Unchanged
)
