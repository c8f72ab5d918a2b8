"""The queue of waiting jobs, grouped by class.

Jobs of a class differ only in their amount of work. Only the first of a class
is tried: if it does not fit, neither do the others.
"""

import dataclasses
import heapq

from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import table


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementConstraints:
    """What determines where a job fits; equal values fit the same workers."""

    shape: config.Shape
    need: capacity.Need
    excluded_workers: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Jobs that are interchangeable for placement and preemption."""

    account: str
    kind: jobs.JobKind
    constraints: PlacementConstraints


def constraints_of(entry: table.JobEntry) -> PlacementConstraints:
    """Returns what determines where a job fits."""
    return PlacementConstraints(
        entry.job.shape, entry.need, frozenset(entry.failed_on)
    )


class JobQueue:
    """Waiting jobs by class, each class ordered by rank.

    A removed job stays in its heap until it reaches the front.
    """

    def __init__(self):
        self._heaps: dict[JobClass, list[tuple[int, int, str]]] = {}
        self._members: dict[str, tuple[JobClass, int]] = {}
        self._class_numbers: dict[JobClass, int] = {}

    def __len__(self):
        return len(self._members)

    def add(self, entry: table.JobEntry, rank: int) -> None:
        """Adds a job.

        Args:
          entry: The job.
          rank: Order within its class; the lowest is tried first.
        """
        job = entry.job
        job_class = JobClass(job.account, job.kind, constraints_of(entry))
        self._members[job.id] = (job_class, rank)
        entry.class_number = self._class_numbers.setdefault(
            job_class, len(self._class_numbers)
        )
        heap = self._heaps.setdefault(job_class, [])
        heapq.heappush(heap, (rank, job.submitted_ms, job.id))

    def remove(self, job_id: str) -> None:
        """Removes a job if it is queued."""
        queued = self._members.pop(job_id, None)
        if queued is not None:
            self._pop_stale(queued[0])

    def _pop_stale(self, job_class: JobClass) -> None:
        """Drops removed jobs from the front of a class."""
        heap = self._heaps[job_class]
        while heap and self._stale(job_class, heap[0]):
            heapq.heappop(heap)
        if not heap:
            del self._heaps[job_class]

    def _stale(self, job_class: JobClass, item: tuple[int, int, str]) -> bool:
        return self._members.get(item[2]) != (job_class, item[0])

    def heads(self) -> list[tuple[JobClass, str]]:
        """Returns the first job of each class."""
        return [
            (job_class, heap[0][2]) for job_class, heap in self._heaps.items()
        ]

    def head(self, job_class: JobClass) -> str | None:
        """Returns the first job of a class, or None if it is empty."""
        heap = self._heaps.get(job_class)
        return heap[0][2] if heap else None

    def ids(self) -> list[str]:
        """Returns the IDs of all waiting jobs."""
        return list(self._members)
