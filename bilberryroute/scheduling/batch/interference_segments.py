"""Divides runs into segments by what ran beside them, for `interference`.

Answers workers on which runs come and go: a run is measured anew whenever its
neighbours change, so that it can be compared with itself.
"""

import dataclasses
import math
from collections.abc import Hashable

from bilberryroute import clock as clock_lib
from bilberryroute.scheduling.batch import interference_fit as fit

# Progress and time over which a rate is measured: percent are whole numbers, so
# fewer are off by more than what has to be found.
MIN_GAIN_PERCENT = 4
MIN_SPAN_MS = 400
# Standard error of the difference of two rounded numbers.
ROUNDING_ERROR = 0.41
# Reports of a tail latency that are averaged at least: one alone is noisy.
MIN_TAILS = 3
TAIL_ERROR = 0.2
# Below this share of its target a serving run isn't hurt, however its tail
# latency varies: there, pacing gives fill runs more.
HARMLESS_TAIL_RATIO = 0.65
# A segment is closed after this time, so that a long run tells what it has met
# before it ends.
SEGMENT_MS = 10 * clock_lib.SECOND


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A run as the newest report shows it.

    Attributes:
      run: The same in each report of the run.
      victim: Its image.
      step: The same for runs of one step.
      worker: Name of its worker.
      neighbours: Images of the other runs on the worker.
      work: Estimated run time at average speed, times how much longer it takes
        for where its data is, in milliseconds.
      percent: Work done, 0 to 100; unused for a serving run.
      tail_ratio: Tail latency over its target; None for a run that ends.
      at_ms: Monotonic time of the report.
    """

    run: Hashable
    victim: str
    step: Hashable
    worker: str
    neighbours: frozenset[str]
    work: float
    percent: int = 0
    tail_ratio: float | None = None
    at_ms: int


@dataclasses.dataclass(slots=True)
class _Open:
    """Segment that goes on, from its first to its newest observation."""

    first: Observation
    last: Observation
    tails: int = 0
    tail_total: float = 0.0

    def add(self, seen: Observation) -> None:
        self.last = seen
        if seen.tail_ratio is not None:
            self.tails += 1
            ratio = max(HARMLESS_TAIL_RATIO, seen.tail_ratio)
            self.tail_total -= math.log(ratio)

    def closed(self) -> fit.Segment | None:
        """Returns the segment, or None if it was too short."""
        first, last = self.first, self.last
        span_ms = last.at_ms - first.at_ms
        gained = last.percent - first.percent
        if first.tail_ratio is not None:
            if self.tails < MIN_TAILS:
                return None
            value, error = self.tail_total / self.tails, TAIL_ERROR
        else:
            if span_ms < MIN_SPAN_MS or gained < MIN_GAIN_PERCENT:
                return None
            value = math.log(gained / span_ms * max(1.0, first.work))
            error = ROUNDING_ERROR / gained
        return fit.Segment(
            victim=first.victim,
            step=first.step,
            run=first.run,
            worker=first.worker,
            neighbours=first.neighbours,
            value=value,
            error=error,
            at_ms=last.at_ms,
        )


class Segments:
    """Segments of the runs that go on."""

    def __init__(self):
        self._open: dict[Hashable, _Open] = {}
        self._seen: set[Hashable] = set()

    def observe(self, seen: Observation) -> fit.Segment | None:
        """Takes a run's newest report; returns the segment that it closes."""
        self._seen.add(seen.run)
        current = self._open.get(seen.run)
        if current is None:
            self._begin(seen)
            return None
        if seen.at_ms <= current.last.at_ms:
            return None
        went_on = seen.neighbours == current.first.neighbours and (
            seen.percent >= current.last.percent
        )
        if went_on:
            current.add(seen)
            if seen.at_ms - current.first.at_ms < SEGMENT_MS:
                return None
        closed = current.closed()
        if closed is not None or not went_on:
            self._begin(seen)
        return closed

    def end_absent(self) -> list[fit.Segment]:
        """Returns the last segments of the runs not observed since called."""
        ended = [self._open.pop(run) for run in self._open.keys() - self._seen]
        self._seen.clear()
        closed = [each.closed() for each in ended]
        return [segment for segment in closed if segment is not None]

    def _begin(self, seen: Observation) -> None:
        # A run that is being prepared makes no progress, whoever is beside it.
        if seen.percent or seen.tail_ratio is not None:
            self._open[seen.run] = _Open(seen, seen)
        else:
            self._open.pop(seen.run, None)
