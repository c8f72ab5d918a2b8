"""Tells faulty workers from faulty jobs, and times quarantines.

A worker is quarantined once several jobs in a row failed on it. A job is faulty
if it failed on several workers on which no other job failed, or on many workers
of any kind.
"""

import dataclasses

from bilberryroute import clock
from bilberryroute.scheduling import table

_QUARANTINE_THRESHOLD = 3
_MIN_GOOD_WORKERS = 3
_MAX_FAILED_WORKERS = 10
_BACKOFF_MS = 5 * clock.MINUTE
_MAX_BACKOFF_MS = 2 * clock.HOUR


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """The recent failures of one worker.

    Attributes:
      failed_jobs: Jobs that failed since the last success.
      until_ms: End of the quarantine, in milliseconds; None if it had none
        since the last success.
      backoff_ms: Duration of the next quarantine.
    """

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    until_ms: int | None = None
    backoff_ms: int = _BACKOFF_MS


class WorkerHealth:
    """Tracks failures by worker."""

    def __init__(self):
        self._histories: dict[str, FailureHistory] = {}

    def _history(self, name: str) -> FailureHistory:
        return self._histories.setdefault(name, FailureHistory())

    def record_success(self, name: str) -> bool:
        """Clears the history of a worker on which a task succeeded.

        Returns:
          Whether it was quarantined or probed before.
        """
        history = self._history(name)
        suspect = history.until_ms is not None
        self._histories[name] = FailureHistory()
        return suspect

    def record_failure(self, name: str, job_id: str, now_ms: int) -> bool:
        """Records a failed task.

        Returns:
          Whether the worker is to be quarantined from now on.
        """
        history = self._history(name)
        history.failed_jobs.add(job_id)
        again = history.until_ms is not None
        if not again and len(history.failed_jobs) < _QUARANTINE_THRESHOLD:
            return False
        history.until_ms = now_ms + history.backoff_ms
        history.backoff_ms = min(2 * history.backoff_ms, _MAX_BACKOFF_MS)
        return True

    def is_faulty_job(self, entry: table.JobEntry) -> bool:
        """Returns whether a job fails on workers where others do not."""
        good = [
            name
            for name in entry.failed_on
            if self._history(name).until_ms is None
            and self._history(name).failed_jobs <= {entry.job.id}
        ]
        return len(good) >= _MIN_GOOD_WORKERS or (
            len(entry.failed_on) >= _MAX_FAILED_WORKERS
        )

    def discard_failures_of(self, job_id: str) -> None:
        """Removes the failures of a faulty job from all workers."""
        for history in self._histories.values():
            history.failed_jobs.discard(job_id)

    def remove_worker(self, name: str) -> None:
        """Drops the history of a lost worker."""
        self._histories.pop(name, None)

    def due_probes(self, now_ms: int) -> list[str]:
        """Returns the workers whose quarantine has ended."""
        return [
            name
            for name, history in self._histories.items()
            if history.until_ms is not None and history.until_ms <= now_ms
        ]
