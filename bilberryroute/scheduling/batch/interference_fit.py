"""Compares runs beside one image with runs apart from it, for `interference`.

Answers noise and uneven workers: tasks of one step differ by a third, and a slow
worker must not be taken for a bad neighbour of what runs there.
"""

import collections
import dataclasses
import itertools
from collections.abc import Hashable
from collections.abc import Mapping

# Standard deviations of logarithms: segments of one run, runs of one step, and
# steps of one image relative to their estimates, which are rough.
SEGMENT_DEVIATION = 0.2
RUN_DEVIATION = 0.3
STEP_DEVIATION = 0.5
# What remains of a worker's speed once it is corrected, or between two runs on
# one worker. However often a pair meets there, it tells no more than this.
WORKER_DEVIATION = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """Part of a run during which the same images were beside it.

    Attributes:
      victim: Image of the run.
      step: The same for runs of one step.
      run: The same for all segments of one run.
      worker: Name of its worker.
      neighbours: Images of the other runs on the worker.
      value: Logarithm of the rate, corrected for where the data and the other
        members are; of a serving run, of the target over the tail latency.
      error: Standard error of the value for how it was measured.
      at_ms: When it ended, monotonic.
    """

    victim: str
    step: Hashable
    run: Hashable
    worker: str
    neighbours: frozenset[str]
    value: float
    error: float
    at_ms: int


@dataclasses.dataclass(slots=True)
class Row:
    """One segment as it counts now."""

    segment: Segment
    value: float
    fresh: float


@dataclasses.dataclass(slots=True)
class _Sum:
    """Weighted sum of values."""

    weight: float = 0.0
    total: float = 0.0

    def add(self, weight: float, value: float) -> None:
        self.weight += weight
        self.total += weight * value

    @property
    def mean(self) -> float:
        return self.total / self.weight


# Runs apart and beside, by step and worker.
_Cells = dict[tuple[Hashable, str], tuple[_Sum, _Sum]]


def compare(
    rows: list[Row], name: str, cost: float, speeds: Mapping[str, float]
) -> tuple[float, float]:
    """Returns information on the cost of one neighbour, and that cost.

    What can be compared with less doubt is not compared with more.
    """
    result = _Sum()
    runs: dict[Hashable, tuple[_Sum, _Sum]] = {}
    kept: dict[Hashable, Segment] = {}
    for row in rows:
        segment = row.segment
        beside = name in segment.neighbours
        sums = runs.get(segment.run)
        if sums is None:
            sums = runs[segment.run] = (_Sum(), _Sum())
            kept[segment.run] = segment
        weight = row.fresh / (SEGMENT_DEVIATION**2 + segment.error**2)
        sums[beside].add(weight, row.value - (cost if beside else 0.0))
    cells: _Cells = {}
    for run, (apart, beside) in runs.items():
        if apart.weight and beside.weight:
            _add_difference(result, apart, beside)
            continue
        segment = kept[run]
        whole = beside if beside.weight else apart
        # However long a run is, its task differs from others.
        weight = 1 / (RUN_DEVIATION**2 + 1 / whole.weight)
        cell = cells.setdefault(
            (segment.step, segment.worker), (_Sum(), _Sum())
        )
        cell[beside.weight > 0].add(weight, whole.mean)
    found: dict[str, _Sum] = collections.defaultdict(_Sum)
    cells = _compare_on_worker(cells, found)
    cells = _compare_across_workers(cells, speeds, found)
    cells = _by_image(cells)
    cells = _compare_on_worker(cells, found)
    _compare_across_workers(cells, speeds, found)
    for each in found.values():
        result.add(_beyond(each, WORKER_DEVIATION), each.mean)
    return result.weight, result.mean if result.weight else 0.0


def _compare_on_worker(cells: _Cells, found: dict[str, _Sum]) -> _Cells:
    """Compares runs on one worker; returns the cells with only one kind."""
    left: _Cells = {}
    for (step, worker), (apart, beside) in cells.items():
        if apart.weight and beside.weight:
            _add_difference(found[worker], apart, beside)
        else:
            left[step, worker] = (apart, beside)
    return left


def _compare_across_workers(
    cells: _Cells, speeds: Mapping[str, float], found: dict[str, _Sum]
) -> _Cells:
    """Compares runs on workers of known speed; returns the other cells."""
    steps: dict[Hashable, tuple[_Sum, _Sum]] = {}
    for (step, worker), sums in cells.items():
        if worker in speeds:
            both = steps.setdefault(step, (_Sum(), _Sum()))
            for total, each in zip(both, sums, strict=True):
                if each.weight:
                    total.add(_beyond(each, WORKER_DEVIATION), each.mean)
    left: _Cells = {}
    for (step, worker), sums in cells.items():
        apart, beside = steps.get(step, (_Sum(), _Sum()))
        if worker not in speeds or not (apart.weight and beside.weight):
            left[step, worker] = sums
        elif sums[True].weight:
            share = apart.weight / (apart.weight + beside.weight)
            weight = sums[True].weight * share
            found[worker].add(weight, apart.mean - sums[True].mean)
    return left


def _by_image(cells: _Cells) -> _Cells:
    """Takes the cells of all steps together."""
    result: _Cells = {}
    for (_, worker), sums in cells.items():
        both = result.setdefault((None, worker), (_Sum(), _Sum()))
        for total, each in zip(both, sums, strict=True):
            if each.weight:
                total.add(_beyond(each, STEP_DEVIATION), each.mean)
    return result


def _beyond(found: _Sum, deviation: float) -> float:
    """Returns the information left by an error that all of it shares."""
    return 1 / (1 / found.weight + deviation**2)


def _add_difference(result: _Sum, apart: _Sum, beside: _Sum) -> None:
    weight = apart.weight * beside.weight / (apart.weight + beside.weight)
    result.add(weight, apart.mean - beside.mean)


def confounding(rows: list[Row]) -> dict[str, float]:
    """Returns the share of what is seen of each image that another explains.

    The squared correlation with the image whose presence agrees most with it.
    """
    total = len(rows)
    present: collections.Counter[str] = collections.Counter()
    together: collections.Counter[tuple[str, str]] = collections.Counter()
    for row in rows:
        names = sorted(row.segment.neighbours)
        present.update(names)
        together.update(itertools.combinations(names, 2))
    explained: dict[str, float] = dict.fromkeys(present, 0.0)
    shares = {name: count / total for name, count in present.items()}
    for one, other in itertools.combinations(sorted(present), 2):
        share, rate = shares[one], shares[other]
        variance = share * (1 - share) * rate * (1 - rate)
        if variance <= 0:
            continue
        covariance = together[one, other] / total - share * rate
        squared = min(1.0, covariance**2 / variance)
        explained[one] = max(explained[one], squared)
        explained[other] = max(explained[other], squared)
    return explained
