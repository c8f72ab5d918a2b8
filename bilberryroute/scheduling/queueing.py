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
class Signature:
    """What decides where a job fits; equal ones fit in the same places."""

    shape: config.Shape
    need: capacity.Need
    avoids: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Lot:
    """Jobs that can stand in for each other in a decision."""

    account: str
    kind: jobs.JobKind
    signature: Signature


def signature_of(entry: table.JobEntry) -> Signature:
    """Returns what decides where the job fits."""
    return Signature(entry.job.shape, entry.need, frozenset(entry.failed_on))


class Queue:
    """Waiting jobs by lot, the least work of each lot first."""

    def __init__(self):
        self._heaps: dict[Lot, list[tuple[int, int, str]]] = {}
        self._members: dict[str, tuple[Lot, int]] = {}
        self._numbers: dict[Lot, int] = {}

    def __len__(self):
        return len(self._members)

    def add(self, entry: table.JobEntry, rank: int) -> None:
        """Adds a job.

        Args:
          entry: The job.
          rank: Place within its lot; the lowest is tried first.
        """
        job = entry.job
        lot = Lot(job.account, job.kind, signature_of(entry))
        self._members[job.id] = (lot, rank)
        entry.lot = self._numbers.setdefault(lot, len(self._numbers))
        heap = self._heaps.setdefault(lot, [])
        heapq.heappush(heap, (rank, job.submitted_ms, job.id))

    def remove(self, job_id: str) -> None:
        """Takes a job out, if it is in."""
        found = self._members.pop(job_id, None)
        if found is not None:
            self._trim(found[0])

    def _trim(self, lot: Lot) -> None:
        """Drops what was removed from the front of a lot."""
        heap = self._heaps[lot]
        while heap and self._stale(lot, heap[0]):
            heapq.heappop(heap)
        if not heap:
            del self._heaps[lot]

    def _stale(self, lot: Lot, item: tuple[int, int, str]) -> bool:
        return self._members.get(item[2]) != (lot, item[0])

    def heads(self) -> list[tuple[Lot, str]]:
        """Returns the first job of each lot."""
        return [(lot, heap[0][2]) for lot, heap in self._heaps.items()]

    def head(self, lot: Lot) -> str | None:
        """Returns the first job of a lot, or None if it is empty."""
        heap = self._heaps.get(lot)
        return heap[0][2] if heap else None

    def ids(self) -> list[str]:
        """Returns all jobs that wait."""
        return list(self._members)
