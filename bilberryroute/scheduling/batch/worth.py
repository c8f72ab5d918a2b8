"""What batch jobs are worth to their callers, and how well those are served.

Answers loads in which accounts and sizes of jobs compete for too little room:
the order of waiting jobs and the choice of runs to stop go by these values.

Nothing is stored: all is derived from the replicated jobs in each round, so a
new leader decides as the last one did.
"""

import collections
import dataclasses
from collections.abc import Generator
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import jobs
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import paths as paths_lib

# A caller values each job for itself, and more by its work, up to a limit.
CONSTANT_SHARE = 0.3
WORK_SHARE = 0.7
MAX_VALUE = 4.0
# Share of its value that a job earns late.
LATE_SHARE = 0.25
# Each step to a less urgent queue halves what a job of mean size is worth.
PRIORITY_FACTOR = 0.5

# Jobs that ended longer ago don't count in what an account was served.
RECENT_MS = 60_000
# Most that an account or a size that is served worse than others gains by it:
# twice the value, so that a flood of small jobs cannot be outbid without bound.
MAX_BOOST = 2.0
# Jobs that each share of service is assumed to begin with.
PRIOR_JOBS = 2

# Share in time that is assumed at least, so that ratios stay finite.
MIN_SHARE = 0.01

# Callers compare the largest tenth of a kind of job, and the fifth below it,
# with the whole kind.
LARGEST_SHARE = 0.1
LARGE_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class _Service:
    """How many jobs were due of late, and how many of these were in time."""

    due: int = 0
    in_time: int = 0

    def share(self, usual: float) -> float:
        """Returns the share in time; few jobs weigh little."""
        return (self.in_time + PRIOR_JOBS * usual) / (self.due + PRIOR_JOBS)

    @property
    def usual(self) -> float:
        """Share in time; of none at all it is 1."""
        return max(MIN_SHARE, self.in_time / self.due) if self.due else 1.0


class Worths:
    """Values of jobs, and how well their accounts and sizes are served.

    Attributes:
      work_per_value: Mean work of all jobs known, in thousandths of a
        core-millisecond, that earns a value of 1.
    """

    def __init__(
        self,
        state: batch.BatchState,
        typical_ms: Mapping[str, int],
        wall_ms: int,
        job_deadlines: deadlines.Deadlines,
        paths: paths_lib.PathCache,
    ):
        """Stores the inputs of the round; `gather` has to follow."""
        self._state = state
        self._typical_ms = typical_ms
        self._wall_ms = wall_ms
        self._job_deadlines = job_deadlines
        self._paths = paths
        self._mean_work: dict[str, float] = {}
        self._size_bounds: dict[str, tuple[float, float]] = {}
        self._weights = {
            q.name: PRIORITY_FACTOR**q.priority for q in state.catalog.queues
        }
        self._served: dict[tuple[str, ...], _Service] = collections.defaultdict(
            _Service
        )
        self.work_per_value = 1.0

    def gather(self) -> Generator[None, None, None]:
        """Looks at all jobs that are stored; yields now and then."""
        works: dict[str, list[float]] = {}
        for record in list(self._state.jobs.values()):
            works.setdefault(record.queue, []).append(self.work(record))
            yield
        for queue, of_jobs in works.items():
            of_jobs.sort()
            self._mean_work[queue] = max(1.0, sum(of_jobs) / len(of_jobs))
            self._size_bounds[queue] = (
                of_jobs[int((1 - LARGE_SHARE) * (len(of_jobs) - 1))],
                of_jobs[int((1 - LARGEST_SHARE) * (len(of_jobs) - 1))],
            )
        total_value = 0.0
        for record in list(self._state.jobs.values()):
            total_value += self.value(record)
            self._note_service(record)
            yield
        total_work = sum(map(sum, works.values()))
        self.work_per_value = total_work / total_value if total_value else 1.0

    def work(self, record: batch.BatchRecord) -> float:
        """Returns the expected work of a job, in core-millisecond thousandths."""
        paths = self._paths.of(record)
        typical_ms = self._typical_ms.get(record.queue)
        if typical_ms is None:
            return paths.estimated_work
        return typical_ms * paths.total_need

    def value(self, record: batch.BatchRecord) -> float:
        """Returns what a job earns in time; 1 for a mean job of the top queue."""
        mean = self._mean_work.get(record.queue)
        if mean is None:
            return 0.0
        size = CONSTANT_SHARE + WORK_SHARE * self.work(record) / mean
        return self._weights.get(record.queue, 0.0) * min(MAX_VALUE, size)

    def boost(self, record: batch.BatchRecord) -> float:
        """Returns a factor above 1 for an account or a size served badly."""
        everyone = self._served[()].usual
        account = self._served["account", record.account].share(everyone)
        kind = self._served["queue", record.queue].share(everyone)
        size = self._served["size", record.queue, self._size(record)].share(
            kind
        )
        factor = max(1.0, everyone / account) * max(1.0, kind / size)
        return min(MAX_BOOST, factor)

    def is_large(self, record: batch.BatchRecord) -> bool:
        """Returns whether a job is among the largest of its queue."""
        return self._size(record) != "other"

    def _size(self, record: batch.BatchRecord) -> str:
        large, largest = self._size_bounds.get(record.queue, (0.0, 0.0))
        work = self.work(record)
        if work > largest:
            return "largest"
        return "large" if work > large else "other"

    def _note_service(self, record: batch.BatchRecord) -> None:
        queue = self._state.catalog.queue(record.queue)
        if queue is None or record.content.schedule is not None:
            return
        due_ms = record.accepted_ms + self._job_deadlines.objective_ms(
            record, queue
        )
        ended = record.result is not None
        if ended and record.ended_ms < self._wall_ms - RECENT_MS:
            return
        if not ended and due_ms > self._wall_ms:
            return
        in_time = (
            record.result == jobs.JobResult.DONE and record.ended_ms <= due_ms
        )
        for key in (
            (),
            ("account", record.account),
            ("queue", record.queue),
            ("size", record.queue, self._size(record)),
        ):
            self._served[key].due += 1
            self._served[key].in_time += in_time
