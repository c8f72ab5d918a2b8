"""The scheduler's entry for one job."""

import dataclasses

from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class JobEntry:
    """A job that has not ended.

    Attributes:
      job: The job as submitted.
      phase: Its phase, as decided by the scheduler.
      attempt: Number of placements so far.
      assignments: Accelerators of the current attempt.
      units: Capacity allocated, by worker, with padding.
      protected: Whether it runs within its account's guarantee.
      progress_ms: Checkpointed work, in milliseconds of run time.
      waiting_since_ms: Time since which it has been queued, in milliseconds.
      started_ms: Time at which the current attempt started, if it has.
      overdue: Whether it waited so long that only urgent jobs and owners of
        guarantees may preempt it.
      stop_count: How often it was stopped after a start.
      failed_on: Workers on which one of its tasks failed.
      over_limit_count: How often a worker stopped it for exceeding its limits.
      memory_mb: Expected memory per accelerator; 0 to use the declared size.
      class_number: Number of its job class, see queueing.JobClass.
      memory_recorded: Whether its memory use is among the estimator's samples.
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
    over_limit_count: int = 0
    memory_mb: int = 0
    memory_recorded: bool = False
    class_number: int = 0

    @property
    def placed(self) -> bool:
        """Whether it is reserved or running, and no stop was decided."""
        return self.phase in (jobs.JobPhase.RESERVED, jobs.JobPhase.RUNNING)

    @property
    def width(self) -> int:
        """Capacity allocated on all workers, with padding."""
        return sum(self.units.values())

    @property
    def need(self) -> capacity.Need:
        """Need per accelerator, doubled for each stop over the limit."""
        factor = 2**self.over_limit_count
        memory_mb = self.memory_mb or self.job.memory_mb_per_accelerator
        return capacity.Need(
            cores=self.job.cores_per_accelerator * factor,
            memory_mb=memory_mb * factor,
        )

    def ran_ms(self, now_ms: int) -> int:
        """Returns the work done, checkpointed or not, in ms of run time."""
        if self.started_ms is None:
            return self.progress_ms
        return self.progress_ms + max(0, now_ms - self.started_ms)
