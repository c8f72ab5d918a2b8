"""Tells bad workers from bad jobs; quarantines workers and probes them."""

import dataclasses

from bilberryroute import clock
from bilberryroute.scheduling import table

_FAILURES_IN_A_ROW = 3
_GOOD_WORKERS = 3
_FAILURES_AT_MOST = 10
_BACKOFF_MS = 5 * clock.MINUTE
_BACKOFF_MOST_MS = 2 * clock.HOUR


@dataclasses.dataclass(slots=True)
class Record:
    """How one worker has served of late.

    Attributes:
      failed: Jobs that failed since the last one that was done.
      until_ms: Clock reading at which a quarantined worker is probed.
      backoff_ms: How long the next quarantine lasts.
    """

    failed: set[str] = dataclasses.field(default_factory=set)
    until_ms: int | None = None
    backoff_ms: int = _BACKOFF_MS


class Health:
    """What is known of each worker, by name."""

    def __init__(self):
        self._records: dict[str, Record] = {}

    def _record(self, name: str) -> Record:
        return self._records.setdefault(name, Record())

    def succeeded(self, name: str) -> bool:
        """Clears a worker on which a task was done.

        Returns:
          Whether it was quarantined or probed before.
        """
        record = self._record(name)
        suspect = record.until_ms is not None
        self._records[name] = Record()
        return suspect

    def failed(self, name: str, job_id: str, now_ms: int) -> bool:
        """Notes a task that failed.

        Returns:
          Whether the worker is to be quarantined from now on.
        """
        record = self._record(name)
        record.failed.add(job_id)
        again = record.until_ms is not None
        if not again and len(record.failed) < _FAILURES_IN_A_ROW:
            return False
        record.until_ms = now_ms + record.backoff_ms
        record.backoff_ms = min(2 * record.backoff_ms, _BACKOFF_MOST_MS)
        return True

    def is_bad(self, entry: table.JobEntry) -> bool:
        """Returns whether a job fails where others do not."""
        good = [
            name
            for name in entry.failed_on
            if self._record(name).until_ms is None
            and self._record(name).failed <= {entry.job.id}
        ]
        return len(good) >= _GOOD_WORKERS or (
            len(entry.failed_on) >= _FAILURES_AT_MOST
        )

    def acquit(self, job_id: str) -> None:
        """Takes back what a bad job has said about its workers."""
        for record in self._records.values():
            record.failed.discard(job_id)

    def forget(self, name: str) -> None:
        """Drops what is known of a worker that was lost."""
        self._records.pop(name, None)

    def due_probes(self, now_ms: int) -> list[str]:
        """Returns the quarantined workers that may be tried again."""
        return [
            name
            for name, record in self._records.items()
            if record.until_ms is not None and record.until_ms <= now_ms
        ]
