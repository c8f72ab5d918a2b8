"""Jobs, the tasks that they consist of, and the workers that run them."""

import dataclasses
import enum

from bilberryroute.model import config


class JobKind(enum.StrEnum):
    """How soon a job is wanted."""

    URGENT = "urgent"
    PLANNED = "planned"
    NIGHTLY = "nightly"


class JobPhase(enum.StrEnum):
    """Phase of the job lifecycle."""

    QUEUED = "queued"
    RESERVED = "reserved"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class JobResult(enum.StrEnum):
    """How a job ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


class TaskResult(enum.StrEnum):
    """How one task ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    OVER_LIMIT = "over_limit"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """What a client account asks to have run.

    Attributes:
      id: Unique id, chosen by the submitter or by the entry.
      account: Client account that pays for it.
      kind: How soon it is wanted.
      shape: One block of adjacent accelerators (`copies` is 1).
      declared_ms: Expected run time in milliseconds, often far off.
      cores_per_accelerator: Processors needed beside each accelerator.
      memory_mb_per_accelerator: Memory needed beside each accelerator.
      submitted_ms: Unix time of acceptance in milliseconds.
    """

    id: str
    account: str
    kind: JobKind
    shape: config.Shape
    declared_ms: int
    cores_per_accelerator: int = 1
    memory_mb_per_accelerator: int = 1_024
    submitted_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """A machine with accelerators, as it announced itself.

    Attributes:
      name: Unique name.
      incarnation: Changes with every restart of the worker.
      agent: Name of the agent that it announced itself to.
      rack: Rack within the failure domain.
      failure_domain: Failure domain.
      accelerators: Number of accelerators; adjacent in index order.
      cores: Number of processors.
      memory_mb: Memory in MiB.
    """

    name: str
    incarnation: str
    agent: str
    rack: str
    failure_domain: str
    accelerators: int
    cores: int
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """One task of a gang: the accelerators it holds on one worker.

    Attributes:
      worker: Worker's name.
      accelerators: Indexes on that worker, ascending.
    """

    worker: str
    accelerators: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobRecord:
    """A job and the decisions made about it.

    Attributes:
      job: The job as submitted.
      phase: Current phase.
      attempt: Counts placements; 0 before the first.
      assignments: Tasks of the present attempt.
      result: How it ended; None before.
      reason: Why it was last stopped, refused or failed.
      progress_ms: Work kept by checkpoints, in milliseconds of run time.
      phase_since_ms: Unix time of the last change of phase, milliseconds.
      requeue: Whether a stopping job goes back to the queue.
      checkpoint: Whether a stopping job's members save their progress.
    """

    job: Job
    phase: JobPhase = JobPhase.QUEUED
    attempt: int = 0
    assignments: tuple[Assignment, ...] = ()
    result: JobResult | None = None
    reason: str = ""
    progress_ms: int = 0
    phase_since_ms: int = 0
    requeue: bool = False
    checkpoint: bool = False
