"""What the scheduler is told: configuration, workers, and lives of jobs."""

import dataclasses

from bilberryroute.model import config
from bilberryroute.model import jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """A ticket was accepted: the whole configuration in force from now on."""

    configuration: config.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerJoined:
    """A worker announced itself, newly or with a new incarnation."""

    worker: jobs.Worker


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerLost:
    """A worker's lease ended: nothing runs on it any more."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobQueued:
    """A job was accepted and waits to be placed."""

    record: jobs.JobRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRemoved:
    """A job left the queue unplaced: cancelled, refused or failed."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStarted:
    """Every member of the attempt holds its reservation and was started."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStopping:
    """A stop that the scheduler did not decide, such as a cancellation."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobReleased:
    """All members are stopped or fenced: the accelerators are free.

    Attributes:
      progress_ms: Work kept, in milliseconds of run time.
      requeued: Whether the job waits again, or has ended for good.
    """

    job_id: str
    attempt: int
    progress_ms: int
    requeued: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskEnded:
    """One member of a gang ended on its worker.

    Attributes:
      ran_ms: How long the task ran in this attempt, in milliseconds.
    """

    job_id: str
    attempt: int
    worker: str
    result: jobs.TaskResult
    ran_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRestored:
    """A record in any phase, given to a new leader's scheduler."""

    record: jobs.JobRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReported:
    """What a task had done when its worker last reported.

    Attributes:
      progress_ms: Work done, in milliseconds of run time.
      memory_mb: Most memory taken beside each accelerator; 0 if not reported.
    """

    worker: str
    job_id: str
    progress_ms: int
    memory_mb: int = 0


Event = (
    ConfigurationChanged
    | WorkerJoined
    | WorkerLost
    | JobQueued
    | JobRemoved
    | JobStarted
    | JobStopping
    | JobReleased
    | TaskEnded
    | JobRestored
    | UsageReported
)
