"""The order in which jobs that wait are tried.

Jobs that differ only in size of work form a lot; only the first of a lot is
tried, because what the first cannot have, the others cannot have either.
"""

import dataclasses
import heapq

from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import table


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementConstraints:
    """What decides where a job fits; equal ones fit in the same places."""

    shape: config.Shape
    need: capacity.Need
    excluded_workers: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Jobs that can stand in for each other in a decision."""

    account: str
    kind: jobs.JobKind
    constraints: PlacementConstraints


def constraints_of(entry: table.JobEntry) -> PlacementConstraints:
    """Returns what decides where the job fits."""
    return PlacementConstraints(
        entry.job.shape, entry.need, frozenset(entry.failed_on)
    )


class JobQueue:
    """Waiting jobs by lot, the least work of each lot first."""

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
          rank: Place within its lot; the lowest is tried first.
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
        """Takes a job out, if it is in."""
        found = self._members.pop(job_id, None)
        if found is not None:
            self._pop_stale(found[0])

    def _pop_stale(self, job_class: JobClass) -> None:
        """Drops what was removed from the front of a lot."""
        heap = self._heaps[job_class]
        while heap and self._stale(job_class, heap[0]):
            heapq.heappop(heap)
        if not heap:
            del self._heaps[job_class]

    def _stale(self, job_class: JobClass, item: tuple[int, int, str]) -> bool:
        return self._members.get(item[2]) != (job_class, item[0])

    def heads(self) -> list[tuple[JobClass, str]]:
        """Returns the first job of each lot."""
        return [
            (job_class, heap[0][2]) for job_class, heap in self._heaps.items()
        ]

    def head(self, job_class: JobClass) -> str | None:
        """Returns the first job of a lot, or None if it is empty."""
        heap = self._heaps.get(job_class)
        return heap[0][2] if heap else None

    def ids(self) -> list[str]:
        """Returns all jobs that wait."""
        return list(self._members)
