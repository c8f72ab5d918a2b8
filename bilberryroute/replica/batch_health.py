"""Which workers have failed what ran on them lately."""

import dataclasses

from bilberryroute import clock as clock_lib
from bilberryroute.model import batch
from bilberryroute.model import wire

# Distinct jobs that must fail in a row on a worker: one alone may be at
# fault itself.
DOUBTFUL_JOBS = 2
# How long a worker is chosen last, before it is tried like the others.
DOUBTFUL_MS = 10 * clock_lib.SECOND

_BAD = (batch.RunOutcome.FAILED, batch.RunOutcome.REJECTED)


@dataclasses.dataclass(slots=True)
class _Record:
    """Jobs that failed since the last success, and the last such time."""

    jobs: set[str] = dataclasses.field(default_factory=set)
    last_ms: int = 0


class Health:
    """Counts failures by worker; a success clears them."""

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def note(self, worker: str, end: wire.EndReport) -> None:
        """Takes in the end of a run."""
        if end.outcome == batch.RunOutcome.DONE:
            self._records.pop(worker, None)
        elif end.outcome in _BAD:
            record = self._records.setdefault(worker, _Record())
            record.jobs.add(end.task.job_id)
            record.last_ms = self._clock.now()

    def doubtful(self, worker: str) -> bool:
        """Says whether a worker should be chosen last."""
        record = self._records.get(worker)
        if record is None or len(record.jobs) < DOUBTFUL_JOBS:
            return False
        return self._clock.now() - record.last_ms < DOUBTFUL_MS
