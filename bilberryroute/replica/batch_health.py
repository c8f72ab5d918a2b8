"""Tracks which workers have recently failed the runs placed on them."""

import dataclasses
import logging

from bilberryroute import clock as clock_lib
from bilberryroute.model import batch
from bilberryroute.model import wire
from bilberryroute.scheduling.batch import views

# Number of distinct jobs that must fail in a row on a worker: a single job
# may itself be the cause.
SUSPECT_AFTER_JOBS = 2
# How long a failure counts as recent.
RECENT_FAILURE_MS = 10 * clock_lib.SECOND

# How long after a crash a worker is chosen last for suspect units.
CRASH_MEMORY_MS = clock_lib.MINUTE

# How many times longer than the failed runs a run must last to show that its
# worker has recovered: runs fail, and are reported, with different delays.
PROBE_FACTOR = 2
# Longest time that a run must last to show it. Workers that take longer to fail
# don't attract work.
MAX_PROBE_MS = 2 * clock_lib.SECOND

logger = logging.getLogger(__name__)

_FAILURES = (batch.RunOutcome.FAILED, batch.RunOutcome.REJECTED)


@dataclasses.dataclass(slots=True)
class _FailureStreak:
    """Failures on a worker since the last success.

    Attributes:
      jobs: Ids of the jobs that failed.
      last_ms: Time of the last failure.
      longest_ms: How long the longest of the failed runs took.
    """

    jobs: set[str] = dataclasses.field(default_factory=set)
    last_ms: int = 0
    longest_ms: int = 0


class BatchWorkerHealth:
    """Counts consecutive failures by worker; a success resets the count."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._streaks: dict[str, _FailureStreak] = {}
        self._crashed_ms: dict[str, int] = {}

    def record_end(self, worker: str, end: wire.EndReport, ran_ms: int) -> None:
        """Updates a worker's failures from the end of a run.

        Args:
          worker: Name of the worker.
          end: How the run ended.
          ran_ms: Time since the run was placed, in milliseconds.
        """
        if end.outcome == batch.RunOutcome.DONE:
            self._record_success(worker, self._clock.now() - ran_ms)
        crashed = end.cause == batch.LossCause.CRASHED
        if crashed:
            self._crashed_ms[worker] = self._clock.now()
        if crashed or end.outcome in _FAILURES:
            self._record_failure(worker, end.task.job_id, ran_ms)

    def has_crashed(self, worker: str) -> bool:
        """Returns whether a worker has crashed recently."""
        crashed_ms = self._crashed_ms.get(worker)
        if crashed_ms is None:
            return False
        return self._clock.now() - crashed_ms < CRASH_MEMORY_MS

    def _record_failure(self, worker: str, job_id: str, ran_ms: int) -> None:
        before = self.assess(worker)
        streak = self._streaks.setdefault(worker, _FailureStreak())
        streak.jobs.add(job_id)
        streak.last_ms = self._clock.now()
        streak.longest_ms = max(streak.longest_ms, ran_ms)
        health = self.assess(worker)
        if health != before:
            logger.info(
                "worker fails runs",
                extra={
                    "worker": worker,
                    "job_id": job_id,
                    "health": health.name.lower(),
                    "failed_jobs": len(streak.jobs),
                },
            )

    def _record_success(self, worker: str, placed_ms: int) -> None:
        """Ends a streak, unless the run began before its last failure.

        A worker that fails all it starts may still finish older runs.
        """
        streak = self._streaks.get(worker)
        if streak is not None and placed_ms >= streak.last_ms:
            del self._streaks[worker]
            logger.info("worker succeeds again", extra={"worker": worker})

    def assess(self, worker: str) -> views.WorkerHealth:
        """Returns what recent runs say about a worker."""
        streak = self._streaks.get(worker)
        if streak is None:
            return views.WorkerHealth.SOUND
        if self._clock.now() - streak.last_ms >= RECENT_FAILURE_MS:
            return views.WorkerHealth.UNPROVEN
        if len(streak.jobs) < SUSPECT_AFTER_JOBS:
            return views.WorkerHealth.DOUBTFUL
        return views.WorkerHealth.SUSPECT

    def probation(self, worker: str) -> views.Probation | None:
        """Returns what a worker has to show if its last runs failed."""
        streak = self._streaks.get(worker)
        if streak is None:
            return None
        return views.Probation(
            failed_ago_ms=self._clock.now() - streak.last_ms,
            probe_ms=min(PROBE_FACTOR * streak.longest_ms, MAX_PROBE_MS),
        )
