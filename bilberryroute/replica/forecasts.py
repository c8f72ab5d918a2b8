"""Remaining time of runs, extrapolated from the progress they report.

The estimates of submitters are often far off; progress is not.
"""

import dataclasses
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.replica import board as board_lib

# Minimum time between two reports from which a speed is computed.
MIN_SPAN_MS = 400
COMPLETE_PERCENT = 100
# A new run time has a weight of 1 / 4 in the average, so that the average
# follows a change of load within a few runs.
AVERAGE_DIVISOR = 4

RunKey = tuple[batch.TaskId, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class _ProgressSamples:
    """Monotonic instant and percent of a run's first and last progress."""

    first_ms: int
    first: int
    last_ms: int
    last: int

    def left_ms(self, now: int) -> int | None:
        """Returns the remaining time, or None while the speed is unknown."""
        span_ms = self.last_ms - self.first_ms
        gained = self.last - self.first
        if span_ms < MIN_SPAN_MS or gained <= 0:
            return None
        left_at_report_ms = (COMPLETE_PERCENT - self.last) * span_ms // gained
        return left_at_report_ms - (now - self.last_ms)


class Forecasts:
    """Tracks the progress of all runs that agents report."""

    def __init__(self):
        self._progress: dict[RunKey, _ProgressSamples] = {}

    def update(self, workers: Iterable[board_lib.BatchWorker]) -> None:
        """Replaces the tracked runs by those in the newest reports."""
        progress: dict[RunKey, _ProgressSamples] = {}
        for worker in workers:
            for run in worker.report.running:
                key = (run.task, run.run)
                progress[key] = self._updated(
                    key, run.percent, worker.last_seen_ms
                )
        self._progress = progress

    def _updated(
        self, key: RunKey, percent: int, last_seen_ms: int
    ) -> _ProgressSamples:
        run_progress = self._progress.get(key)
        if run_progress is None:
            return _ProgressSamples(
                first_ms=last_seen_ms,
                first=percent,
                last_ms=last_seen_ms,
                last=percent,
            )
        if percent != run_progress.last:
            run_progress.last_ms = last_seen_ms
            run_progress.last = percent
        return run_progress

    def left_ms(self, now: int) -> dict[RunKey, int]:
        """Returns the remaining time in ms of each run with a known speed."""
        remaining = {
            key: run_progress.left_ms(now)
            for key, run_progress in self._progress.items()
        }
        return {
            key: left for key, left in remaining.items() if left is not None
        }


class AverageRunTimes:
    """Moving average of the run times of each queue's tasks.

    Attributes:
      by_queue: Milliseconds by the queue's name.
    """

    def __init__(self):
        self.by_queue: dict[str, int] = {}

    def add(self, queue: str, took_ms: int) -> None:
        """Adds the run time of a task to its queue's average."""
        average = self.by_queue.setdefault(queue, took_ms)
        self.by_queue[queue] = average + (took_ms - average) // AVERAGE_DIVISOR
