"""Decisions, shortfalls, violations and explanations of the scheduler."""

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
    """Stops all tasks of a placed attempt.

    Attributes:
      checkpoint: Whether tasks save their progress before they stop.
      requeue: Whether the job is requeued afterwards.
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
    """Ends a placed job as failed."""

    job_id: str
    attempt: int
    reason: str


Decision = PlaceAttempt | StopAttempt | Refuse | Fail


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shortfall:
    """A guarantee that the workers in service cannot satisfy.

    Attributes:
      account: The account that owns it.
      shape: The missing shape; `copies` is the number missing.
    """

    account: str
    shape: config.Shape


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A violated invariant of the scheduler's state."""

    invariant: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Why a job is in its phase, as text for its owner.

    Attributes:
      waits_for: What the job waits for; empty if it is not queued.
      since_ms: Time since which it has been queued, in milliseconds.
      freed_by: What would let it start.
    """

    job_id: str
    phase: jobs.JobPhase
    waits_for: str
    since_ms: int
    freed_by: str
