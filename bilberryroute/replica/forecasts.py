"""Remaining time of runs, extrapolated from the progress they report.

The estimates of submitters are often far off; progress is not.
"""

import dataclasses
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.replica import board as board_lib

# Minimum time between two reports from which a speed is computed.
MIN_SPAN_MS = 400
ALL_PERCENT = 100
# Weight of a new run time in the average is 1 / 4: follows a change of load
# within a few runs.
AVERAGE_DIVISOR = 4

RunKey = tuple[batch.TaskId, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class _RunProgress:
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
        left_at_report_ms = (ALL_PERCENT - self.last) * span_ms // gained
        return left_at_report_ms - (now - self.last_ms)


class Forecasts:
    """Tracks the progress of all runs that agents report."""

    def __init__(self):
        self._tracks: dict[RunKey, _RunProgress] = {}

    def update(self, workers: Iterable[board_lib.BatchWorker]) -> None:
        """Replaces the tracked runs by those in the newest reports."""
        tracks: dict[RunKey, _RunProgress] = {}
        for worker in workers:
            for run in worker.report.running:
                key = (run.task, run.run)
                tracks[key] = self._updated(
                    key, run.percent, worker.last_seen_ms
                )
        self._tracks = tracks

    def _updated(
        self, key: RunKey, percent: int, last_seen_ms: int
    ) -> _RunProgress:
        track = self._tracks.get(key)
        if track is None:
            return _RunProgress(
                first_ms=last_seen_ms,
                first=percent,
                last_ms=last_seen_ms,
                last=percent,
            )
        if percent != track.last:
            track.last_ms = last_seen_ms
            track.last = percent
        return track

    def left_ms(self, now: int) -> dict[RunKey, int]:
        """Returns the remaining time in ms of each run with a known speed."""
        remaining = {
            key: track.left_ms(now) for key, track in self._tracks.items()
        }
        return {
            key: left for key, left in remaining.items() if left is not None
        }


class TypicalTimes:
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
