"""Tells bad workers from bad jobs; quarantines workers and probes them."""

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
    """How one worker has served of late.

    Attributes:
      failed: Jobs that failed since the last one that was done.
      until_ms: Clock reading at which a quarantined worker is probed.
      backoff_ms: How long the next quarantine lasts.
    """

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    until_ms: int | None = None
    backoff_ms: int = _BACKOFF_MS


class WorkerHealth:
    """What is known of each worker, by name."""

    def __init__(self):
        self._histories: dict[str, FailureHistory] = {}

    def _history(self, name: str) -> FailureHistory:
        return self._histories.setdefault(name, FailureHistory())

    def record_success(self, name: str) -> bool:
        """Clears a worker on which a task was done.

        Returns:
          Whether it was quarantined or probed before.
        """
        history = self._history(name)
        suspect = history.until_ms is not None
        self._histories[name] = FailureHistory()
        return suspect

    def record_failure(self, name: str, job_id: str, now_ms: int) -> bool:
        """Notes a task that failed.

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
        """Returns whether a job fails where others do not."""
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
        """Takes back what a bad job has said about its workers."""
        for history in self._histories.values():
            history.failed_jobs.discard(job_id)

    def forget(self, name: str) -> None:
        """Drops what is known of a worker that was lost."""
        self._histories.pop(name, None)

    def due_probes(self, now_ms: int) -> list[str]:
        """Returns the quarantined workers that may be tried again."""
        return [
            name
            for name, history in self._histories.items()
            if history.until_ms is not None and history.until_ms <= now_ms
        ]
