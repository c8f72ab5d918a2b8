"""The scheduler's view of one job, and of all jobs."""

import dataclasses

from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class JobEntry:
    """One job that has not ended.

    Attributes:
      job: The job as submitted.
      phase: Where it stands, as far as decided.
      attempt: Counts placements; 0 before the first.
      assignments: Tasks of the present attempt.
      units: Room held, by worker, with padding.
      protected: Whether it lies within its account's guarantee.
      progress_ms: Work kept, in milliseconds of run time.
      waits_since_ms: Clock reading since which it waits for a place.
      started_ms: Clock reading of the present start; None before.
      late: Whether it waited so long that it makes way for owners only.
      stops: How often it was stopped after a start.
      failed_on: Workers on which a task of it failed.
      over_limit: How often a worker's guard stopped it.
      memory_mb: Memory to expect beside each accelerator; 0 if as declared.
      lot: Number shared by jobs that fit or misfit together.
      memory_known: Whether its use of memory was learned from.
    """

    job: jobs.Job
    phase: jobs.JobPhase = jobs.JobPhase.QUEUED
    attempt: int = 0
    assignments: tuple[jobs.Assignment, ...] = ()
    units: dict[str, int] = dataclasses.field(default_factory=dict)
    protected: bool = False
    progress_ms: int = 0
    waiting_since_ms: int = 0
    started_ms: int | None = None
    overdue: bool = False
    stop_count: int = 0
    failed_on: set[str] = dataclasses.field(default_factory=set)
    over_limit: int = 0
    memory_mb: int = 0
    memory_learned: bool = False
    class_number: int = 0

    @property
    def placed(self) -> bool:
        """Whether it is reserved or running, and not yet told to stop."""
        return self.phase in (jobs.JobPhase.RESERVED, jobs.JobPhase.RUNNING)

    @property
    def width(self) -> int:
        """Room held on all workers, with padding."""
        return sum(self.units.values())

    @property
    def need(self) -> capacity.Need:
        """What each accelerator needs beside it, raised by a guard's stops."""
        factor = 2**self.over_limit
        memory_mb = self.memory_mb or self.job.memory_mb_per_accelerator
        return capacity.Need(
            cores=self.job.cores_per_accelerator * factor,
            memory_mb=memory_mb * factor,
        )

    def ran_ms(self, now_ms: int) -> int:
        """Returns the work done, kept or not, in milliseconds of run time."""
        if self.started_ms is None:
            return self.progress_ms
        return self.progress_ms + max(0, now_ms - self.started_ms)
