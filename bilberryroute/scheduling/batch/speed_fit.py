"""Arithmetic of the fit that `speeds` does, robust against tasks of long tails."""

import bisect
import dataclasses
import itertools
import statistics
from collections.abc import Iterable
from collections.abc import Mapping

# Deviations of logarithms: between tasks of a step, which differ by 30%; between
# steps of a queue; and between workers, before anything is known.
TASK_DEVIATION = 0.2
STEP_DEVIATION = 0.4
WORKER_DEVIATION = 0.35
# The least that is believed of the deviation between steps, and the steps from
# which it is measured: a few may agree by chance.
MIN_STEP_DEVIATION = 0.15
MIN_STEPS = 4
# Standard deviation of a normal distribution over its median deviation.
DEVIATION_OVER_MEDIAN = 1.4826
# Residual at which a rate counts half: a task of the long tail says next to
# nothing of its worker.
HALF_WEIGHT_RESIDUAL = 0.4
# Logarithm of a speed of which half of the reports are believed before others
# say the same: less than half the mean speed.
PLAUSIBLE = 0.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Level:
    """Rate of a queue's runs at nominal speed, in logarithms.

    Attributes:
      rate: Typical rate of a step; of its rate times its estimate if
        `by_estimate`.
      deviation: Between steps.
      by_estimate: Whether the steps' estimates tell their work better than that
        they are of one queue.
    """

    rate: float
    deviation: float = STEP_DEVIATION
    by_estimate: bool = False


def level(steps: Iterable[tuple[float, float]]) -> Level:
    """Returns the level of a queue.

    Args:
      steps: Of each step its rate and its estimated duration, in logarithms.
    """
    steps = list(steps)
    rates = [rate for rate, _ in steps]
    if len(steps) < MIN_STEPS:
        return Level(rate=statistics.median(rates))
    works = [rate + estimate for rate, estimate in steps]
    by_estimate = _spread(works) < _spread(rates)
    chosen = works if by_estimate else rates
    return Level(
        rate=statistics.median(chosen),
        deviation=min(STEP_DEVIATION, max(MIN_STEP_DEVIATION, _spread(chosen))),
        by_estimate=by_estimate,
    )


def _spread(values: list[float]) -> float:
    center = statistics.median(values)
    return DEVIATION_OVER_MEDIAN * statistics.median(
        abs(value - center) for value in values
    )


@dataclasses.dataclass(slots=True)
class Sum:
    """Weighted sum of rates."""

    weight: float = 0.0
    total: float = 0.0

    def add(self, weight: float, value: float) -> None:
        """Adds a value."""
        self.weight += weight
        self.total += weight * value


class Findings:
    """What the runs of one worker say about its speed, with weights."""

    def __init__(self):
        self.weight = 0.0
        self._values: list[tuple[float, float]] = []

    def add(self, weight: float, value: float) -> None:
        """Adds a value, which counts less the less plausible it is."""
        weight /= 1 + (value / PLAUSIBLE) ** 4
        self.weight += weight
        self._values.append((value, weight))

    def center(self) -> float:
        """Returns the mean of the values that lie near their median.

        Tasks of the long tail, and those before a change of speed, say little
        as long as they are fewer than the others.
        """
        if not self._values:
            return 0.0
        values = sorted(self._values)
        sums = list(itertools.accumulate(weight for _, weight in values))
        median = values[bisect.bisect_left(sums, self.weight / 2)][0]
        near = Sum()
        for value, weight in self._values:
            near.add(weight * _trust(value - median), value)
        return near.total / near.weight


def compare(
    cell: dict[str, Sum],
    level: Level,
    estimates: Mapping[str, float],
    found: dict[str, Findings],
) -> None:
    """Compares each worker with the others that ran a step, and its queue."""
    step = Sum()
    step.add(level.deviation**-2, level.rate)
    trusted = {}
    for name, each in cell.items():
        work = each.total / each.weight - estimates[name]
        trusted[name] = each.weight * _trust(work - level.rate)
        step.add(trusted[name], work)
    for name, own in cell.items():
        mean = own.total / own.weight
        estimate = estimates[name]
        others_weight = step.weight - trusted[name]
        others = step.total - trusted[name] * (mean - estimate)
        residual = mean - others / others_weight - estimate
        weight = 1 / (1 / own.weight + 1 / others_weight)
        found[name].add(weight, estimate + residual)


def _trust(residual: float) -> float:
    """Returns the weight of a rate that is so far from what was expected."""
    return 1 / (1 + (residual / HALF_WEIGHT_RESIDUAL) ** 2)
