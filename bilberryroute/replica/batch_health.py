"""Tracks which workers have recently failed the runs placed on them."""

import dataclasses
import logging
from collections.abc import Collection

from bilberryroute import clock as clock_lib
from bilberryroute.model import batch
from bilberryroute.model import wire
from bilberryroute.scheduling.batch import views

# How long a failure counts as recent.
RECENT_FAILURE_MS = 10 * clock_lib.SECOND

# How long after a crash a worker is chosen last for suspect units.
CRASH_MEMORY_MS = clock_lib.MINUTE

# How long after its last failure a worker that is gone is remembered.
ABSENT_MEMORY_MS = clock_lib.MINUTE

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
      failed: Ids of the jobs that failed.
      crashed: Ids of the jobs whose runs a crash ended, by the incarnation
        that crashed.
      last_ms: Time of the last failure.
      longest_ms: How long the longest of the failed runs took.
    """

    failed: set[str] = dataclasses.field(default_factory=set)
    crashed: dict[batch.WorkerRef, set[str]] = dataclasses.field(
        default_factory=dict
    )
    last_ms: int = 0
    longest_ms: int = 0

    @property
    def jobs(self) -> set[str]:
        """Ids of all jobs that failed or were hit by a crash."""
        return self.failed.union(*self.crashed.values())

    def one_job_may_be_the_cause(self) -> bool:
        """Returns whether a single job was part of all failures."""
        events = [{job_id} for job_id in self.failed]
        events += self.crashed.values()
        return bool(set.intersection(*events))


class BatchWorkerHealth:
    """Counts consecutive failures by worker; a success resets the count."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._streaks: dict[str, _FailureStreak] = {}
        self._crashed_ms: dict[str, int] = {}

    def record_end(
        self,
        worker: str,
        end: wire.EndReport,
        ran_ms: int,
        ran_on: batch.WorkerRef,
    ) -> None:
        """Updates a worker's failures from the end of a run.

        Args:
          worker: Name of the worker that reports the end.
          end: How the run ended.
          ran_ms: Time since the run was placed, in milliseconds.
          ran_on: Incarnation on which the run was placed.
        """
        job_id = end.task.job_id
        if end.outcome == batch.RunOutcome.DONE:
            self._record_success(worker, self._clock.now() - ran_ms)
        elif end.cause == batch.LossCause.CRASHED:
            self._crashed_ms[worker] = self._clock.now()
            self._record_failure(worker, job_id, ran_ms, crashed=ran_on)
        elif end.outcome in _FAILURES:
            self._record_failure(worker, job_id, ran_ms)

    def forget_absent(self, present: Collection[str]) -> None:
        """Forgets the workers that are gone and have not failed lately."""
        now = self._clock.now()
        for name, streak in list(self._streaks.items()):
            old = now - streak.last_ms >= ABSENT_MEMORY_MS
            if old and name not in present:
                del self._streaks[name]
        for name in list(self._crashed_ms):
            if not self.has_crashed(name):
                del self._crashed_ms[name]

    def has_crashed(self, worker: str) -> bool:
        """Returns whether a worker has crashed recently."""
        crashed_ms = self._crashed_ms.get(worker)
        if crashed_ms is None:
            return False
        return self._clock.now() - crashed_ms < CRASH_MEMORY_MS

    def _record_failure(
        self,
        worker: str,
        job_id: str,
        ran_ms: int,
        crashed: batch.WorkerRef | None = None,
    ) -> None:
        before = self.assess(worker)
        streak = self._streaks.setdefault(worker, _FailureStreak())
        if crashed is None:
            streak.failed.add(job_id)
        else:
            streak.crashed.setdefault(crashed, set()).add(job_id)
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
        if streak.one_job_may_be_the_cause():
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
