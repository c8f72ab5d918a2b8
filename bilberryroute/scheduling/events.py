"""Events that the scheduler observes."""

import dataclasses

from bilberryroute.model import config
from bilberryroute.model import jobs


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """A ticket was accepted; carries the whole new configuration."""

    configuration: config.Configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerJoined:
    """A worker announced itself for the first time or after a restart."""

    worker: jobs.Worker


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerLost:
    """A worker's lease expired: nothing runs on it any more."""

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
    """All tasks of the attempt were started."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobStopping:
    """A stop that the scheduler did not decide, such as a cancellation."""

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobReleased:
    """All tasks of an attempt are stopped or fenced: its accelerators are free.

    Attributes:
      progress_ms: Checkpointed work, in milliseconds of run time.
      requeued: Whether the job is queued again; if not, it has ended.
    """

    job_id: str
    attempt: int
    progress_ms: int
    requeued: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskEnded:
    """One task of an attempt ended on its worker.

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
    """A job record in any phase, passed to a new leader's scheduler."""

    record: jobs.JobRecord


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UsageReported:
    """The progress and memory use of a task, as last reported.

    Attributes:
      progress_ms: Work done, in milliseconds of run time.
      memory_mb: Peak memory per accelerator; 0 if not reported.
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
