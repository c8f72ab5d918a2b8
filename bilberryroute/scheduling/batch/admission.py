"""Refuses jobs that surely can earn nothing any more, without I/O.

Answers bursts in which more work waits than the pool can serve before it loses
its value: callers of hopeless jobs learn it at once, and their work takes no
room from others. What is doubtful is accepted.
"""

import bisect
import dataclasses
import math
import statistics
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.scheduling.batch import paths as paths_lib
from bilberryroute.scheduling.batch import readiness

# Bounds of Retry-After: an exchange sooner would meet the same backlog, and a
# forecast beyond tells a caller little.
MIN_RETRY_MS = 1_000
MAX_RETRY_MS = 30_000

# Core, memory and accelerator time, each in milliseconds of the whole pool.
Work = tuple[float, float, float]
NO_WORK: Work = (0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accept:
    """The job may still earn something, or is never refused for room."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """The job surely earns nothing.

    Attributes:
      reason: What is in the way: `own_backlog`, the guaranteed work and that
        of its account; `backlog`, that of others too; or `expired`: it returned
        too late.
      retry_after_ms: When a new job like it is expected to earn something.
      start_in_ms: Earliest start, if all work ahead packs perfectly.
      last_start_in_ms: Latest start with which it would earn something.
      own_ms: Work of its account ahead, in milliseconds of the whole pool.
      ahead: Number of jobs ahead.
    """

    reason: str
    retry_after_ms: int
    start_in_ms: int
    last_start_in_ms: int
    own_ms: int
    ahead: int


Verdict = Accept | Refuse
ACCEPT = Accept()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """A job's work and the times that bound its value.

    Attributes:
      order: Sort key: 0 for guaranteed jobs, else 1 and the queue's priority;
        then the deadline.
      work: What is left of it at least.
      in_time_ms: Latest Unix time of a start with which it meets its objective.
      last_ms: Latest Unix time of a start with which it earns anything.
    """

    order: tuple[int, int]
    account: str
    work: Work
    in_time_ms: float
    last_ms: float


class Backlog:
    """The work that waits or runs in one pool, by rank, at one time."""

    def __init__(self, demands: Iterable[Demand], at_ms: int):
        """Sorts the demands.

        Args:
          demands: Of the jobs that have not ended.
          at_ms: Unix time at which they were counted.
        """
        self._at_ms = at_ms
        self._demands = sorted(demands, key=lambda d: d.order)
        self._total = NO_WORK
        for each in self._demands:
            self._total = plus(self._total, each.work)

    def __len__(self) -> int:
        """Returns the number of jobs."""
        return len(self._demands)

    def add(self, demand: Demand) -> None:
        """Adds a job that was accepted since."""
        bisect.insort(self._demands, demand, key=lambda d: d.order)
        self._total = plus(self._total, demand.work)

    def verdict(self, job: Demand, wall_ms: int) -> Verdict:
        """Returns whether a new job can still earn anything.

        It takes time linear in the jobs ahead, but none while even the whole
        backlog would let the job start early enough.
        """
        if self._at_ms + max(self._total) <= job.last_ms:
            return ACCEPT
        if self._served_before(job, in_time=True).start_ms <= job.in_time_ms:
            return ACCEPT
        served = self._served_before(job, in_time=False)
        if served.start_ms <= job.last_ms:
            return ACCEPT
        excess_ms = math.ceil(served.start_ms - max(wall_ms, job.last_ms))
        reason = "backlog"
        if wall_ms > job.last_ms:
            reason = "expired"
        elif self._at_ms + served.own_ms > job.last_ms:
            reason = "own_backlog"
        return Refuse(
            reason=reason,
            retry_after_ms=min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess_ms)),
            start_in_ms=math.ceil(served.start_ms - wall_ms),
            last_start_in_ms=math.floor(job.last_ms - wall_ms),
            own_ms=math.floor(served.own_ms),
            ahead=served.count,
        )

    def _served_before(self, job: Demand, *, in_time: bool) -> "_Served":
        """Returns what the pool serves before a job at the least.

        Jobs that would have lost their value by their turn are left out, as
        they are not served then. So are those that would be late if the new
        job is still in time (`in_time`), as it overtakes them. Of the work of
        each other account as much counts as the job's own account has ahead of
        it and in it, or the median account has, so that a flood of one account
        costs the others nothing. Guaranteed work counts in full.
        """
        total = guaranteed = NO_WORK
        by_account: dict[str, Work] = {}
        count = 0
        for each in self._demands:
            if each.order >= job.order:
                break
            same_band = each.order[0] == job.order[0]
            limit_ms = (
                each.in_time_ms if in_time and same_band else each.last_ms
            )
            if self._at_ms + max(total) > limit_ms:
                continue
            total = plus(total, each.work)
            count += 1
            if each.order[0] == 0:
                guaranteed = plus(guaranteed, each.work)
            else:
                work = by_account.get(each.account, NO_WORK)
                by_account[each.account] = plus(work, each.work)
        own = by_account.pop(job.account, NO_WORK)
        usual = _median([own, *by_account.values()])
        fair = tuple(map(max, plus(own, job.work), usual))
        ahead = plus(guaranteed, own)
        for work in by_account.values():
            ahead = plus(ahead, tuple(map(min, work, fair)))
        return _Served(
            start_ms=self._at_ms + max(ahead),
            own_ms=max(plus(guaranteed, own)),
            count=count,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Served:
    """What a pool serves before a job.

    Attributes:
      start_ms: Unix time at which the job starts at the earliest.
      own_ms: Guaranteed work and that of the job's account.
      count: Number of jobs.
    """

    start_ms: float
    own_ms: float
    count: int


def never_refused(content: batch.Content) -> bool:
    """Returns whether a job is accepted whatever waits.

    Timed jobs wait for their time, and long-running ones have no end by which
    their value is lost.
    """
    return content.schedule is not None or any(
        step.long_running for step in content.steps
    )


def within_guarantee(
    state: batch.BatchState,
    queue: catalog_model.Queue,
    account: str,
    content: batch.Content,
    paths: paths_lib.PathCache,
) -> bool:
    """Returns whether a new job is within what is left of its guarantee."""
    if queue.priority != 0:
        return False
    need = paths_lib.JobPaths(content).max_accelerators
    used = sum(
        paths.of(state.jobs[job_id]).max_accelerators
        for job_id in readiness.guaranteed_jobs(state, paths)
        if state.jobs[job_id].account == account
    )
    owned = sum(
        a.guaranteed for a in state.catalog.accounts if a.name == account
    )
    return 0 < need <= owned - used


def _median(works: list[Work]) -> Work:
    """Returns the lower median of each component."""
    return tuple(map(statistics.median_low, zip(*works, strict=True)))


def plus(one: Work, other: Work) -> Work:
    """Returns the sum of both."""
    return (one[0] + other[0], one[1] + other[1], one[2] + other[2])
