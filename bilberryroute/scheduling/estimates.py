"""Estimates run times and memory from finished jobs and declared values.

Errors of declared values are multiplicative, so samples are kept as
logarithms, by client account and kind of job.
"""

import collections
import dataclasses
import math
import statistics

from bilberryroute.model import jobs

_Group = tuple[str, jobs.JobKind]

_PRIOR_ERROR_VARIANCE = 1.0
_PRIOR_RUN_TIME_VARIANCE = 2.0
_PRIOR_COUNT = 2.0
_MAX_MEMORY_SAMPLES = 8
_MIN_MEMORY_SAMPLES = 3
_OVERRUN_SHARE = 0.5
_MIN_REMAINING_MS = 10_000


@dataclasses.dataclass(slots=True)
class _Moments:
    """Running mean and variance of a series; the variance has a prior."""

    prior_variance: float
    count: int = 0
    mean: float = 0.0
    squared_deviations: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        deviation = value - self.mean
        self.mean += deviation / self.count
        self.squared_deviations += deviation * (value - self.mean)

    @property
    def variance(self) -> float:
        """Predictive variance of the next value."""
        weight = _PRIOR_COUNT + self.count
        spread = _PRIOR_COUNT * self.prior_variance + self.squared_deviations
        return spread / weight * (1 + 1 / (self.count + 0.5))


class JobEstimator:
    """Estimates run time and memory per account and kind of job.

    Args:
      correcting: Whether to correct declared values or to return them as
        they are.
    """

    def __init__(self, correcting: bool):
        self._correcting = correcting
        self._errors: dict[_Group, _Moments] = {}
        self._run_times: dict[_Group, _Moments] = {}
        self._memory_errors: dict[_Group, collections.deque[float]] = {}

    def record_run_time(self, job: jobs.Job, ran_ms: int) -> None:
        """Adds a sample: the whole run time of a finished job."""
        group = (job.account, job.kind)
        actual = math.log(max(1, ran_ms))
        declared = math.log(max(1, job.declared_ms))
        errors = self._errors.setdefault(group, _Moments(_PRIOR_ERROR_VARIANCE))
        errors.add(actual - declared)
        run_times = self._run_times.setdefault(
            group, _Moments(_PRIOR_RUN_TIME_VARIANCE)
        )
        run_times.add(actual)

    def record_memory(self, job: jobs.Job, memory_mb: int) -> None:
        """Adds a sample: the memory that a job uses per accelerator."""
        group = (job.account, job.kind)
        samples = self._memory_errors.setdefault(
            group, collections.deque(maxlen=_MAX_MEMORY_SAMPLES)
        )
        declared_mb = max(1, job.memory_mb_per_accelerator)
        samples.append(math.log(memory_mb / declared_mb))

    def total_ms(self, job: jobs.Job) -> int:
        """Returns the expected run time of a whole job in milliseconds.

        Combines two estimates, weighted by the inverse of their variances: the
        declared time corrected by its mean error, and the mean run time.
        """
        group = (job.account, job.kind)
        errors = self._errors.get(group)
        if not self._correcting or errors is None:
            return max(1, job.declared_ms)
        shrunk_error = (
            errors.count / (errors.count + _PRIOR_COUNT) * errors.mean
        )
        declared = math.log(max(1, job.declared_ms)) + shrunk_error
        run_times = self._run_times[group]
        weight = run_times.variance / (run_times.variance + errors.variance)
        log_estimate = weight * declared + (1 - weight) * run_times.mean
        return max(1, int(math.exp(log_estimate)))

    def remaining_ms(self, job: jobs.Job, ran_ms: int) -> int:
        """Returns the expected remaining run time after `ran_ms`.

        A job that overran its estimate is expected to take another fixed share
        of the time it has run.
        """
        remaining_ms = self.total_ms(job) - ran_ms
        return max(
            remaining_ms, int(ran_ms * _OVERRUN_SHARE), _MIN_REMAINING_MS
        )

    def memory_mb(self, job: jobs.Job) -> int:
        """Returns the expected memory per accelerator."""
        declared_mb = job.memory_mb_per_accelerator
        samples = self._memory_errors.get((job.account, job.kind), ())
        if not self._correcting or len(samples) < _MIN_MEMORY_SAMPLES:
            return declared_mb
        mean = statistics.fmean(samples)
        spread = statistics.stdev(samples)
        return int(declared_mb * math.exp(mean + spread))
