"""What the scheduler answers: decisions, shortfalls, violations, reasons."""

import dataclasses

from bilberryroute.model import config
from bilberryroute.model import jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlaceAttempt:
    """Reserves all accelerators of one attempt at once."""

    job_id: str
    attempt: int
    assignments: tuple[jobs.Assignment, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopAttempt:
    """Stops a placed attempt on all its members.

    Attributes:
      checkpoint: Whether members save progress before they stop.
      requeue: Whether the job goes back to the queue afterwards.
    """

    job_id: str
    attempt: int
    reason: str
    checkpoint: bool
    requeue: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Ends a queued job that can never run."""

    job_id: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fail:
    """Ends a job that keeps failing on workers that serve others."""

    job_id: str
    attempt: int
    reason: str


Decision = PlaceAttempt | StopAttempt | Refuse | Fail


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shortfall:
    """A guarantee that the workers in service cannot hold.

    Attributes:
      shape: One missing shape, with `copies` the number missing.
    """

    account: str
    shape: config.Shape


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """An invariant that the scheduler's state breaks."""

    invariant: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Why a job is where it is, in words for its owner.

    Attributes:
      waits_for: What the job waits for; empty if it does not wait.
      since_ms: Clock reading from which it has waited, in milliseconds.
      freed_by: What would let it start.
    """

    job_id: str
    phase: jobs.JobPhase
    waits_for: str
    since_ms: int
    freed_by: str
