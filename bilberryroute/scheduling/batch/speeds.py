"""Learns how fast each worker is from the progress of what runs there.

Answers pools whose workers run at unequal speed, which nothing announces: an
urgent job is late on a slow worker, and a gang ends with its slowest member.

How long a task takes at nominal speed isn't known either. So runs of one step
on different workers are compared, and else those of one queue: the logarithm of
a run's rate is its worker's speed minus its step's work, plus noise. Each update
does one sweep of that two-way fit from where the last one ended, so that it
takes a bounded time. Speeds are relative to the mean of the worker's pool.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Generator
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute.scheduling.batch import speed_fit

UNKNOWN = 1.0
# The least speed that is told, as durations are divided by it.
MIN_SPEED = 0.01
# Progress and time over which a rate is measured: percent are whole, so fewer
# would be off by more than the tasks of a step differ.
MIN_GAIN_PERCENT = 4
MIN_SPAN_MS = 400
# A run's rate is measured anew after this time, so that a change of speed shows
# in runs that began before it. A tenth of the minute in which it is to be known.
SEGMENT_MS = 5 * clock_lib.SECOND
# After this time a rate counts half: a changed speed is believed in a minute.
HALF_LIFE_MS = 20 * clock_lib.SECOND
# After so many half-lives a rate is dropped, as it says next to nothing.
RATE_HALF_LIVES = 5
# Rates at most, the newest ones, and members of a gang: one sweep takes some
# milliseconds of the leader's core.
MAX_RATES = 1_000
MAX_GANG_WORKERS = 16
# Runs noted between two slices: a fraction of a millisecond.
SLICE = 64
# By how much slower members of a gang must be to bear its whole slowness.
GANG_SHARPNESS = 0.15
# How far a sweep goes: workers that are compared with each other would else
# swap their errors for ever.
DAMPING = 0.5
# A speed is believed once it differs from the believed one by this many standard
# errors, and by this much: less hardly moves a job's end. A false belief costs
# no more than a worker that is chosen late.
CERTAIN_ERRORS = 1.0
MIN_CHANGE = 0.08
# Half-life of what is known of a worker on which nothing runs, and how much it
# weighs, in runs, once something does: less than the runs of half a minute.
MEMORY_HALF_LIFE_MS = 10 * clock_lib.MINUTE
MEMORY_RUNS = 2
# A worker that is gone for longer, or comes back under its name, starts anew.
ABSENT_MEMORY_MS = 5 * clock_lib.MINUTE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunProgress:
    """How far a run has come; one for a whole gang.

    Attributes:
      key: The same in each report of the run.
      step: Job and index of the step, whose tasks take about as long.
      queue: Queue and index of the step, whose runs are comparable.
      workers: Names of the workers that it runs on, each once.
      slowdown: How many times longer it takes for where its data or its other
        members are.
      percent: Work done, 0 to 100.
      at_ms: Monotonic time of the report.
      estimate_ms: Its submitter's estimate, which may be far off.
    """

    key: Hashable
    step: Hashable
    queue: Hashable
    workers: tuple[str, ...]
    slowdown: float
    percent: int
    at_ms: int
    estimate_ms: int = 1

    @property
    def estimate(self) -> float:
        """Logarithm of the estimate."""
        return math.log(max(1, self.estimate_ms))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """What is known of one worker.

    Attributes:
      speed: Believed speed, relative to the mean of its pool.
      error: Standard error of the newest estimate's logarithm.
      at_ms: When runs last said something about it, monotonic.
    """

    speed: float
    error: float
    at_ms: int


@dataclasses.dataclass(slots=True)
class _Rate:
    """Rate of one run: logarithm of percent per millisecond at no slowdown."""

    run: RunProgress
    since_ms: int
    since_percent: int
    at_ms: int
    rate: float | None = None

    def on(self, level: speed_fit.Level) -> float:
        """Returns the rate as a queue's level counts it."""
        return self.rate + (self.run.estimate if level.by_estimate else 0.0)


@dataclasses.dataclass(slots=True)
class _Worker:
    """Estimate for one worker, in logarithms.

    Attributes:
      estimate: Newest estimate.
      information: Its inverse variance.
      believed: What callers are told.
      known: Estimate when most was known of it.
      known_information: Its inverse variance.
      at_ms: When a run last said something.
      seen_ms: When it was last present.
    """

    estimate: float = 0.0
    information: float = 0.0
    believed: float = 0.0
    known: float = 0.0
    known_information: float = 0.0
    at_ms: int = 0
    seen_ms: int = 0


class SpeedEstimator:
    """Estimates the speed of each worker from the progress of runs."""

    def __init__(self):
        self._rates: dict[Hashable, _Rate] = {}
        self._workers: dict[str, _Worker] = {}

    def update(self, *args) -> dict[str, tuple[float, float]]:
        """Does what `update_in_slices` does, in one go."""
        slices = self.update_in_slices(*args)
        while True:
            try:
                next(slices)
            except StopIteration as stop:
                return stop.value

    def update_in_slices(
        self,
        runs: Iterable[RunProgress],
        pools: Mapping[str, str],
        now_ms: int,
    ) -> Generator[None, None, dict[str, tuple[float, float]]]:
        """Takes the newest progress of all runs and does one sweep.

        Args:
          runs: Runs in progress; others have ended.
          pools: Pool of each worker that is present, by the worker's name.
          now_ms: Monotonic time in milliseconds.

        Returns:
          Believed speed before and after, of each worker where it changed.
        """
        for number, run in enumerate(runs):
            self._note(run)
            if number % SLICE == SLICE - 1:
                yield
        yield
        self._forget(pools, now_ms)
        for name in pools:
            self._workers.setdefault(name, _Worker()).seen_ms = now_ms
        yield
        yield from self._sweep(pools, now_ms)
        return self._believe(pools)

    def note_ended(self, run: RunProgress, took_ms: int) -> None:
        """Takes the time of a whole run that has ended.

        Args:
          run: The run, with the time of its end.
          took_ms: Time that it took, in milliseconds.
        """
        known = self._rates.get(run.key)
        if took_ms < MIN_SPAN_MS or (known and known.rate is not None):
            return
        rate = math.log(run.percent / took_ms * run.slowdown)
        self._rates.pop(run.key, None)
        self._rates[run.key] = _Rate(
            run, run.at_ms - took_ms, 0, run.at_ms, rate
        )
        while len(self._rates) > 2 * MAX_RATES:
            self._rates.pop(next(iter(self._rates)))

    def speed(self, name: str) -> float:
        """Returns the believed speed of a worker; 1 if none is known."""
        worker = self._workers.get(name)
        return UNKNOWN if worker is None else _rounded(worker.believed)

    def known(self) -> dict[str, Speed]:
        """Returns what is known of each worker of which runs told something."""
        return {
            name: Speed(
                speed=_rounded(worker.believed),
                error=worker.information**-0.5,
                at_ms=worker.at_ms,
            )
            for name, worker in self._workers.items()
            if worker.information > 0
        }

    def _note(self, run: RunProgress) -> None:
        rate = self._rates.get(run.key)
        if rate is None and len(self._rates) >= 2 * MAX_RATES:
            return
        if rate is None or run.percent < rate.since_percent:
            self._rates[run.key] = _Rate(run, run.at_ms, run.percent, run.at_ms)
            return
        span_ms = run.at_ms - rate.since_ms
        gained = run.percent - rate.since_percent
        if span_ms < MIN_SPAN_MS or gained < MIN_GAIN_PERCENT:
            return
        rate.rate = math.log(gained / span_ms * run.slowdown)
        rate.at_ms = run.at_ms
        if span_ms >= SEGMENT_MS:
            rate.since_ms = run.at_ms
            rate.since_percent = run.percent

    def _forget(self, pools: Mapping[str, str], now_ms: int) -> None:
        """Drops rates that say little and workers that are gone."""
        oldest_ms = now_ms - RATE_HALF_LIVES * HALF_LIFE_MS
        kept = [
            (key, rate)
            for key, rate in self._rates.items()
            if rate.at_ms >= oldest_ms
        ]
        begun = [item for item in kept if item[1].rate is None]
        measured = [item for item in kept if item[1].rate is not None]
        measured.sort(key=lambda item: item[1].at_ms)
        self._rates = dict(begun[:MAX_RATES] + measured[-MAX_RATES:])
        for name in self._workers.keys() - pools.keys():
            if now_ms - self._workers[name].seen_ms > ABSENT_MEMORY_MS:
                del self._workers[name]

    def _sweep(
        self, pools: Mapping[str, str], now_ms: int
    ) -> Generator[None, None, None]:
        """Improves all estimates once, given the others."""
        rates = [
            rate
            for rate in self._rates.values()
            if rate.rate is not None
            and all(name in pools for name in rate.run.workers)
        ]
        yield
        levels = self._levels(rates)
        yield
        cells, gangs = self._cells(rates, levels, now_ms)
        yield
        estimates = {n: w.estimate for n, w in self._workers.items()}
        found: dict[str, speed_fit.Findings] = collections.defaultdict(
            speed_fit.Findings
        )
        for (queue, _), cell in cells.items():
            speed_fit.compare(cell, levels[queue], estimates, found)
        yield
        for rate, weight in gangs:
            self._share(rate, weight, levels[rate.run.queue], found)
        yield
        for rate in rates:
            for name in rate.run.workers:
                worker = self._workers[name]
                worker.at_ms = max(worker.at_ms, rate.at_ms)
        yield
        for name in pools:
            self._improve(self._workers[name], found[name], now_ms)
        yield
        self._center(pools)

    def _cells(
        self,
        rates: list[_Rate],
        levels: Mapping[Hashable, speed_fit.Level],
        now_ms: int,
    ) -> tuple[
        dict[Hashable, dict[str, speed_fit.Sum]], list[tuple[_Rate, float]]
    ]:
        """Returns sums of rates by step and worker, and rates of gangs."""
        cells: dict[Hashable, dict[str, speed_fit.Sum]] = {}
        gangs = []
        for rate in rates:
            fresh = 0.5 ** ((now_ms - rate.at_ms) / HALF_LIFE_MS)
            run = rate.run
            if len(run.workers) > 1:
                gangs.append((rate, fresh))
                continue
            cell = cells.setdefault((run.queue, run.step), {})
            name = run.workers[0]
            cell.setdefault(name, speed_fit.Sum()).add(
                fresh / speed_fit.TASK_DEVIATION**2, rate.on(levels[run.queue])
            )
        return cells, gangs

    def _levels(self, rates: list[_Rate]) -> dict[Hashable, speed_fit.Level]:
        """Returns the typical rate at nominal speed, by queue.

        All runs of a step count as one, as a wide step says little more.
        """
        by_step: dict[Hashable, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        for rate in rates:
            run = rate.run
            slowest = min(self._workers[n].estimate for n in run.workers)
            by_step[run.queue, run.step].append(
                (rate.rate - slowest, run.estimate)
            )
        by_queue: dict[Hashable, list[tuple[float, float]]] = (
            collections.defaultdict(list)
        )
        for (queue, _), runs in by_step.items():
            mean = statistics.fmean(rate for rate, _ in runs)
            by_queue[queue].append((mean, runs[0][1]))
        return {q: speed_fit.level(steps) for q, steps in by_queue.items()}

    def _share(
        self,
        rate: _Rate,
        weight: float,
        level: speed_fit.Level,
        found: dict[str, speed_fit.Findings],
    ) -> None:
        """Attributes the rate of a gang that is as fast as its slowest member.

        Each member is at least as fast as the gang. That it isn't faster is
        attributed to those that are believed to be the slowest.
        """
        names = rate.run.workers
        if len(names) > MAX_GANG_WORKERS:
            return
        estimates = [self._workers[n].estimate for n in names]
        slowest = min(estimates)
        blame = [math.exp((slowest - e) / GANG_SHARPNESS) for e in estimates]
        speed = rate.on(level) - level.rate
        weight /= level.deviation**2 + speed_fit.TASK_DEVIATION**2
        for name, each, estimate in zip(names, blame, estimates, strict=True):
            residual = speed - estimate
            share = 1.0 if residual > 0 else each / sum(blame)
            found[name].add(weight * share, estimate + residual)

    def _improve(
        self, worker: _Worker, found: speed_fit.Findings, now_ms: int
    ) -> None:
        """Moves an estimate towards what was found."""
        idle_ms = now_ms - worker.at_ms
        left = worker.known_information * 0.5 ** (idle_ms / MEMORY_HALF_LIFE_MS)
        if found.weight >= left or found.weight > _MEMORY_INFORMATION:
            prior, mean = 1 / speed_fit.WORKER_DEVIATION**2, 0.0
        else:
            prior, mean = min(left, _MEMORY_INFORMATION), worker.known
        worker.information = found.weight + prior
        target = (
            found.weight * found.center() + prior * mean
        ) / worker.information
        worker.estimate += DAMPING * (target - worker.estimate)
        if found.weight >= left:
            worker.known = worker.estimate
            worker.known_information = found.weight

    def _center(self, pools: Mapping[str, str]) -> None:
        """Makes the mean speed of each pool 1."""
        by_pool: dict[str, list[_Worker]] = collections.defaultdict(list)
        for name, pool in pools.items():
            by_pool[pool].append(self._workers[name])
        for workers in by_pool.values():
            speeds = [math.exp(worker.estimate) for worker in workers]
            shift = DAMPING * math.log(statistics.fmean(speeds))
            for worker in workers:
                worker.estimate -= shift
                worker.known -= shift

    def _believe(
        self, pools: Mapping[str, str]
    ) -> dict[str, tuple[float, float]]:
        changed = {}
        for name in pools:
            worker = self._workers[name]
            error = worker.information**-0.5 if worker.information else 1.0
            needed = max(MIN_CHANGE, CERTAIN_ERRORS * error)
            if abs(worker.estimate - worker.believed) <= needed:
                continue
            before = _rounded(worker.believed)
            worker.believed = worker.estimate
            if _rounded(worker.believed) != before:
                changed[name] = (before, _rounded(worker.believed))
        return changed


_MEMORY_INFORMATION = MEMORY_RUNS / speed_fit.TASK_DEVIATION**2


def _rounded(logarithm: float) -> float:
    return max(MIN_SPEED, round(math.exp(logarithm), 2))
