"""How long runs are expected to go on, from the progress they report.

What submitters estimate is often far off; progress is not.
"""

import dataclasses
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.replica import board as board_lib

# Two reports must be this far apart before a speed is read off them.
MIN_SPAN_MS = 400
ALL_PERCENT = 100
# Share of a new run time in the average: one in four follows a change of
# load within some runs.
LEARNING_DIVISOR = 4

RunKey = tuple[batch.TaskId, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Track:
    """First and last report of one run: monotonic instant and percent."""

    first_ms: int
    first: int
    last_ms: int
    last: int

    def left_ms(self, now: int) -> int | None:
        """Returns the time left, or None as long as no speed is known."""
        span_ms = self.last_ms - self.first_ms
        gained = self.last - self.first
        if span_ms < MIN_SPAN_MS or gained <= 0:
            return None
        whole_ms = (ALL_PERCENT - self.last) * span_ms // gained
        return whole_ms - (now - self.last_ms)


class Forecasts:
    """Follows the progress of all runs that agents report."""

    def __init__(self):
        self._tracks: dict[RunKey, _Track] = {}

    def note(self, workers: Iterable[board_lib.BatchWorker]) -> None:
        """Takes in the newest reports; runs not in them are forgotten."""
        tracks: dict[RunKey, _Track] = {}
        for worker in workers:
            for run in worker.report.running:
                key = (run.task, run.run)
                tracks[key] = self._followed(key, run.percent, worker.heard_ms)
        self._tracks = tracks

    def _followed(self, key: RunKey, percent: int, heard_ms: int) -> _Track:
        track = self._tracks.get(key)
        if track is None:
            return _Track(
                first_ms=heard_ms, first=percent, last_ms=heard_ms, last=percent
            )
        if percent != track.last:
            track.last_ms = heard_ms
            track.last = percent
        return track

    def left_ms(self, now: int) -> dict[RunKey, int]:
        """Returns the time left of each run with a known speed, in ms."""
        found = {key: each.left_ms(now) for key, each in self._tracks.items()}
        return {key: left for key, left in found.items() if left is not None}


class TypicalTimes:
    """How long the tasks of each queue take: a moving average.

    Attributes:
      by_queue: Milliseconds by the queue's name.
    """

    def __init__(self):
        self.by_queue: dict[str, int] = {}

    def note(self, queue: str, took_ms: int) -> None:
        """Takes in one run."""
        known = self.by_queue.setdefault(queue, took_ms)
        self.by_queue[queue] = known + (took_ms - known) // LEARNING_DIVISOR
