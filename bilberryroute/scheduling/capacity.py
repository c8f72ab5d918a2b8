"""Capacity as a tree: accelerator, aligned block, worker, rack, domain.

Room, the free capacity of a worker, is counted in accelerators. A task that
needs more cores or memory than its accelerators' share of the worker also
takes the share of other accelerators. These are its padding and stay idle, so
that every accelerator counted as room has its share of cores and memory.
"""

import dataclasses

from bilberryroute.model import jobs

RackKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class Node:
    """One worker and its allocations.

    Attributes:
      worker: The worker as announced.
      free: Indexes of free accelerators, ascending.
      allocated: Capacity allocated, with padding, by job ID.
      padding: Accelerators left idle because tasks use their cores or memory.
      guarantee_reserved: Accelerators reserved under a guarantee, free or not
        yet.
      reserved: Accelerators reserved otherwise, free or not yet.
      reserved_from_ms: Time in milliseconds at which the reservation starts;
        jobs that end by then may use the reserved accelerators.
      in_service: Whether operators have it and its failure domain in service.
      quarantined: Whether it is excluded because its tasks keep failing.
      probing: Whether it gets one trial job after a quarantine.
      available_from_ms: Time in milliseconds from which jobs outside
        guarantees may start.
    """

    worker: jobs.Worker
    free: list[int]
    allocated: dict[str, int] = dataclasses.field(default_factory=dict)
    padding: int = 0
    guarantee_reserved: int = 0
    reserved: int = 0
    reserved_from_ms: int = 0
    in_service: bool = True
    quarantined: bool = False
    probing: bool = False
    available_from_ms: int = 0

    @property
    def room(self) -> int:
        """Free accelerators that are not padding."""
        return len(self.free) - self.padding

    @property
    def guarantee_eligible(self) -> bool:
        """Whether guarantees may be bound here."""
        return self.in_service and not self.quarantined and not self.probing

    @property
    def used(self) -> int:
        """Accelerators allocated, with padding."""
        return self.worker.accelerators - self.room

    @property
    def rack(self) -> RackKey:
        """The rack's key, unique across failure domains."""
        return (self.worker.failure_domain, self.worker.rack)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Cores and memory that a job needs per accelerator."""

    cores: int = 0
    memory_mb: int = 0

    def max_accelerators(self, worker: jobs.Worker, room: int) -> int:
        """Returns how many of a job's accelerators fit into `room`."""
        count = room
        if self.cores:
            share = worker.accelerators * self.cores
            count = min(count, room * worker.cores // share)
        if self.memory_mb:
            share = worker.accelerators * self.memory_mb
            count = min(count, room * worker.memory_mb // share)
        return count

    def units(self, worker: jobs.Worker, count: int) -> int:
        """Returns the capacity that `count` accelerators use, with padding."""
        units = count
        if self.cores:
            used = count * self.cores * worker.accelerators
            units = max(units, -(-used // worker.cores))
        if self.memory_mb:
            used = count * self.memory_mb * worker.accelerators
            units = max(units, -(-used // worker.memory_mb))
        return units


class CapacityTree:
    """All known workers, grouped by rack and failure domain.

    Attributes:
      nodes: All workers by name.
      nodes_with_room: Workers that have free capacity, by name.
      accelerators: Total number of accelerators.
      racks: Names of the workers of each rack, sorted.
      domains: Keys of the racks of each failure domain, sorted.
    """

    def __init__(self):
        self.nodes: dict[str, Node] = {}
        self.nodes_with_room: dict[str, Node] = {}
        self.accelerators = 0
        self.racks: dict[RackKey, list[str]] = {}
        self.domains: dict[str, list[RackKey]] = {}

    def add_worker(self, worker: jobs.Worker) -> Node:
        """Adds an empty worker, replacing one of the same name."""
        self.remove_worker(worker.name)
        node = Node(worker, list(range(worker.accelerators)))
        self.nodes[worker.name] = node
        self.nodes_with_room[worker.name] = node
        self.accelerators += worker.accelerators
        if node.rack not in self.racks:
            self.racks[node.rack] = []
            racks = self.domains.setdefault(worker.failure_domain, [])
            racks.append(node.rack)
            racks.sort()
        self.racks[node.rack].append(worker.name)
        self.racks[node.rack].sort()
        return node

    def remove_worker(self, name: str) -> None:
        """Removes a worker and its allocations, if it is known."""
        node = self.nodes.pop(name, None)
        if node is None:
            return
        self.nodes_with_room.pop(name, None)
        self.accelerators -= node.worker.accelerators
        names = self.racks[node.rack]
        names.remove(name)
        if not names:
            del self.racks[node.rack]
            self.domains[node.worker.failure_domain].remove(node.rack)

    def allocate(self, name: str, job_id: str, count: int, units: int):
        """Allocates accelerators to a job and returns their indexes."""
        node = self.nodes[name]
        indexes = choose_indexes(node.free, count)
        self.allocate_exact(name, job_id, indexes, units)
        return indexes

    def allocate_exact(self, name, job_id, indexes, units) -> None:
        """Allocates specific accelerators to a job."""
        node = self.nodes[name]
        node.free = [index for index in node.free if index not in indexes]
        node.padding += units - len(indexes)
        node.allocated[job_id] = units
        if node.room <= 0:
            self.nodes_with_room.pop(name, None)

    def release(self, name: str, job_id: str, indexes: tuple[int, ...]) -> None:
        """Releases a job's accelerators on one worker, if still allocated."""
        node = self.nodes.get(name)
        if node is None or job_id not in node.allocated:
            return
        node.padding -= node.allocated.pop(job_id) - len(indexes)
        node.free = sorted(set(node.free) | set(indexes))
        if node.room > 0:
            self.nodes_with_room[name] = node


def choose_indexes(free: list[int], count: int) -> tuple[int, ...]:
    """Chooses free indexes: an aligned block, else a run, else scattered ones.

    Prefers the aligned block inside the smallest free aligned block, so that
    larger ones stay whole.
    """
    size = 1
    while size < count:
        size *= 2
    present = set(free)
    best: tuple[int, int] | None = None
    for start in free:
        if start % size:
            continue
        if not present.issuperset(range(start, start + count)):
            continue
        around = _free_around(present, start, size)
        if best is None or (around, start) < best:
            best = (around, start)
    if best is not None:
        return tuple(range(best[1], best[1] + count))
    for start in free:
        if present.issuperset(range(start, start + count)):
            return tuple(range(start, start + count))
    return tuple(_scattered(free, count))


def _free_around(present: set[int], start: int, size: int) -> int:
    """Returns the size of the largest free aligned block around a block."""
    while True:
        parent = start - start % (2 * size)
        if not present.issuperset(range(parent, parent + 2 * size)):
            return size
        start, size = parent, 2 * size


def _scattered(free: list[int], count: int) -> list[int]:
    """Returns `count` free indexes, preferring those with a used neighbour."""
    present = set(free)
    ranked = sorted(free, key=lambda index: ((index ^ 1) in present, index))
    return sorted(ranked[:count])
