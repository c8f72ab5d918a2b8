"""Distributions of run times, learned from runs that ended, without I/O.

Answers a load in which a few runs take many times as long as their like, and
estimates are good for some queues and far off for others: one long run must not
shift what is expected of the next ones, and a run that is overdue is not about
to end.
"""

import bisect
import dataclasses
import itertools
import math
import statistics
from collections.abc import Hashable
from collections.abc import Iterable
from typing import Protocol

# Queues of which run times are kept; the one with the oldest end goes first.
# Configurations have a few for each client account.
MAX_QUEUES = 256
# Steps of a queue whose ends are kept, by their last end. One that is dropped weighs
# a sixteenth of the newest.
MAX_STEPS = 24
# Ends kept of one step; a step of hundreds of tasks is thinned out evenly.
MAX_ENDS_PER_STEP = 8
# What a step weighs halves with each `HALF_WEIGHT_STEPS` that ended since, and
# with each `HALF_WEIGHT_MS`: work that changed is believed after seven steps, or
# after three once two minutes have passed, as callers decide anew within minutes.
HALF_WEIGHT_STEPS = 6
HALF_WEIGHT_MS = 60_000
# What a forecast takes of the estimate: all, half (the geometric mean with the
# usual time), or nothing.
ESTIMATE_SHARES = (1.0, 0.5, 0.0)
# Steps that must have ended until their spread is believed. Fewer may all be among
# the few that take many times as long, so that estimates count for half.
MIN_STEPS = 3
# Standard deviation of the logarithm of the time over the expected one until then:
# two of three runs take 0.6 to 1.65 times as long as expected.
PRIOR_SIGMA = 0.5
# A run that has lasted longer than expected goes on for at least this share of
# the excess: most of these are a little late, a few are several times as long.
OVERDUE_SHARE = 0.5


class _Distribution(Protocol):
    """Distribution of a positive quantity."""

    def quantile(self, q: float) -> float:
        """Returns the value that a share q of the runs stays below."""

    def share_below(self, value: float) -> float:
        """Returns the share of the runs that end by a value."""


# Largest share for which a quantile is told; that of 1 is infinite.
MAX_SHARE = 1 - 1e-9


class _Prior:
    """Distribution around a median while the spread is not known."""

    def __init__(self, median: float = 1.0):
        self._log = statistics.NormalDist(math.log(median), PRIOR_SIGMA)

    def quantile(self, q: float) -> float:
        return math.exp(self._log.inv_cdf(min(q, MAX_SHARE)))

    def share_below(self, value: float) -> float:
        return self._log.cdf(math.log(value)) if value > 0 else 0.0


class _Empirical:
    """Distribution of weighted samples."""

    def __init__(self, samples: Iterable[tuple[float, float]]):
        """Sorts pairs of a value and its weight."""
        ordered = sorted(samples)
        self._values = [value for value, _ in ordered]
        self._weights = list(
            itertools.accumulate(weight for _, weight in ordered)
        )
        self._total = self._weights[-1]

    def quantile(self, q: float) -> float:
        at = bisect.bisect_left(self._weights, q * self._total)
        return self._values[min(at, len(self._values) - 1)]

    def share_below(self, value: float) -> float:
        at = bisect.bisect_right(self._values, value)
        return self._weights[at - 1] / self._total if at else 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Model:
    """What is known of a queue's run times.

    Attributes:
      distribution: Of time as a multiple of `unit`.
      estimate_share: One of `ESTIMATE_SHARES`.
      error: Median relative error of the expectation, as a logarithm.
    """

    distribution: _Distribution
    estimate_share: float
    error: float

    def unit(self, estimate_ms: int, steps: int = 1) -> float:
        """Returns what the values of the distribution are multiples of."""
        share = self.estimate_share
        return max(1, estimate_ms) ** share * steps ** (1 - share)


_PRIOR_ERROR = PRIOR_SIGMA * statistics.NormalDist().inv_cdf(0.75)
_PRIOR = _Model(distribution=_Prior(), estimate_share=1.0, error=_PRIOR_ERROR)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _End:
    """An ended run, in milliseconds."""

    estimate_ms: int
    took_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class _StepEnds:
    """Ends of a step's tasks, thinned out: each `stride`-th is kept."""

    last_ms: int = 0
    ends: list[_End] = dataclasses.field(default_factory=list)
    seen: int = 0
    stride: int = 1

    def add(self, end: _End, now_ms: int) -> None:
        self.last_ms = now_ms
        if self.seen % self.stride == 0:
            self.ends.append(end)
        self.seen += 1
        if len(self.ends) > MAX_ENDS_PER_STEP:
            self.ends = self.ends[::2]
            self.stride *= 2


class _QueueRunTimes:
    """The ended runs of one queue."""

    def __init__(self):
        self._steps: dict[Hashable, _StepEnds] = {}
        self._model: _Model | None = None

    def add(self, step: Hashable, end: _End, now_ms: int) -> None:
        ends = self._steps.pop(step, None) or _StepEnds()
        ends.add(end, now_ms)
        self._steps[step] = ends
        if len(self._steps) > MAX_STEPS:
            del self._steps[next(iter(self._steps))]
        self._model = None

    def model(self) -> _Model:
        """Returns what is known; computed anew after an end."""
        if self._model is None:
            self._model = self._fit()
        return self._model

    def _fit(self) -> _Model:
        ends = list(self._weighted_ends())
        if len(self._steps) < MIN_STEPS:
            usual_ms = _fitted(ends, 0.0).distribution.quantile(0.5)
            return _Model(
                distribution=_Prior(math.sqrt(usual_ms)),
                estimate_share=0.5,
                error=_PRIOR_ERROR,
            )
        models = [_fitted(ends, share) for share in ESTIMATE_SHARES]
        return min(models, key=lambda model: model.error)

    def _weighted_ends(self) -> Iterable[tuple[_End, float]]:
        """Yields ends and weights; the tasks of a step share its weight."""
        newest_ms = max(ends.last_ms for ends in self._steps.values())
        for newer, ends in enumerate(reversed(self._steps.values())):
            age = newer / HALF_WEIGHT_STEPS
            age += (newest_ms - ends.last_ms) / HALF_WEIGHT_MS
            for end in ends.ends:
                yield end, 0.5**age / len(ends.ends)


def _fitted(
    ends: Iterable[tuple[_End, float]], estimate_share: float
) -> _Model:
    samples = [
        (end.took_ms / end.estimate_ms**estimate_share, weight)
        for end, weight in ends
    ]
    distribution = _Empirical(samples)
    typical = distribution.quantile(0.5)
    errors = _Empirical(
        (abs(math.log(value / typical)), weight) for value, weight in samples
    )
    return _Model(
        distribution=distribution,
        estimate_share=estimate_share,
        error=errors.quantile(0.5),
    )


class RunTimes:
    """Forecasts of run times by queue.

    For each queue the estimates, corrected by the median of time over estimate,
    the median time, or what lies between them is the expectation: whichever was
    closest to the recent ends. A queue without history has its estimates.
    """

    def __init__(self):
        self._queues: dict[str, _QueueRunTimes] = {}

    def add(
        self,
        queue: str,
        step: Hashable,
        estimate_ms: int,
        took_ms: int,
        now_ms: int,
    ) -> None:
        """Adds a run that was done.

        Args:
          queue: Name of its queue.
          step: Key of its step; all tasks of a step count as one.
          estimate_ms: What its submitter expected.
          took_ms: Time from its placement to its end.
          now_ms: Instant of its end, on the clock of the other ends.
        """
        run_times = self._queues.pop(queue, None) or _QueueRunTimes()
        self._queues[queue] = run_times
        end = _End(estimate_ms=max(1, estimate_ms), took_ms=max(1, took_ms))
        run_times.add(step, end, now_ms)
        if len(self._queues) > MAX_QUEUES:
            del self._queues[next(iter(self._queues))]

    def expected_ms(self, queue: str, estimate_ms: int) -> int:
        """Returns the time that a run typically takes: half take longer."""
        return self.path_ms(queue, estimate_ms, steps=1)

    def path_ms(self, queue: str, estimate_ms: int, steps: int) -> int:
        """Returns the time of steps in sequence, by their summed estimates."""
        model = self._model(queue)
        unit = model.unit(estimate_ms, steps)
        return round(model.distribution.quantile(0.5) * unit)

    def quantile_ms(self, queue: str, estimate_ms: int, q: float) -> int:
        """Returns the time within which a share q of the runs ends."""
        model = self._model(queue)
        unit = model.unit(estimate_ms)
        return round(model.distribution.quantile(q) * unit)

    def remaining_ms(self, queue: str, estimate_ms: int, ran_ms: int) -> int:
        """Returns what is left of a run that has not ended yet.

        That is the median of those that lasted as long. It grows with what the
        run is overdue once none or few have.
        """
        model = self._model(queue)
        unit = model.unit(estimate_ms)
        lasting = 1 - model.distribution.share_below(ran_ms / unit)
        total_ms = model.distribution.quantile(1 - lasting / 2) * unit
        excess_ms = ran_ms - model.distribution.quantile(0.5) * unit
        return max(
            0, round(total_ms - ran_ms), round(OVERDUE_SHARE * excess_ms)
        )

    def error(self, queue: str) -> float:
        """Returns the median relative error of `expected_ms` (0.1 is 10%)."""
        return math.expm1(self._model(queue).error)

    def _model(self, queue: str) -> _Model:
        run_times = self._queues.get(queue)
        return _PRIOR if run_times is None else run_times.model()
