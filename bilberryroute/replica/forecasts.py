"""Remaining time of runs, extrapolated from the progress they report.

The estimates of submitters are often far off; progress is not.
"""

import dataclasses
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.replica import board as board_lib
from bilberryroute.scheduling.batch import run_times as run_times_lib

# Minimum time between two reports from which a speed is computed.
MIN_SPAN_MS = 400
COMPLETE_PERCENT = 100
# A run stands still once it has gained nothing for this many times what a percent
# took it so far, and for at least the time below: reports come less often.
STALL_FACTOR = 3
MIN_STALL_MS = 1_000
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

    def stalled_left_ms(self, now: int) -> int | None:
        """Returns the remaining time of a run that stands still, or None.

        What it has gained is taken to have lasted until now, so that the result
        grows, also at 100 percent.
        """
        gained = self.last - self.first
        span_ms = self.last_ms - self.first_ms
        if span_ms < MIN_SPAN_MS or gained <= 0:
            return None
        usual_ms = max(MIN_STALL_MS, STALL_FACTOR * span_ms // gained)
        if now - self.last_ms <= usual_ms:
            return None
        left = max(1, COMPLETE_PERCENT - self.last)
        return left * (now - self.first_ms) // gained


class Forecasts:
    """Tracks the progress of all runs that agents report."""

    def __init__(self, *, extends_stalled: bool = False):
        """Starts without runs.

        Args:
          extends_stalled: Whether a run that stands still is forecast anew;
            else it is forecast to end at once.
        """
        self._extends_stalled = extends_stalled
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
            key: self._left_ms(run_progress, now)
            for key, run_progress in self._progress.items()
        }
        return {
            key: left for key, left in remaining.items() if left is not None
        }

    def _left_ms(self, run_progress: _ProgressSamples, now: int) -> int | None:
        stalled_ms = None
        if self._extends_stalled:
            stalled_ms = run_progress.stalled_left_ms(now)
        return run_progress.left_ms(now) if stalled_ms is None else stalled_ms


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


class RunHistory:
    """What a leader learns from the runs that end.

    Attributes:
      average: Average by queue.
      run_times: Distribution by queue.
    """

    def __init__(self):
        self.average = AverageRunTimes()
        self.run_times = run_times_lib.RunTimes()

    def add(
        self,
        record: batch.BatchRecord,
        task: batch.TaskId,
        took_ms: int,
        now_ms: int,
    ) -> None:
        """Adds a run that was done at the first try, and ends now."""
        self.average.add(record.queue, took_ms)
        self.run_times.add(
            record.queue,
            (task.job_id, task.occurrence, task.step),
            record.content.steps[task.step].estimate_ms,
            took_ms,
            now_ms,
        )
