"""Checks whether guarantees and jobs are feasible."""

from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import guarantees


def in_service(
    configuration: config.Configuration, worker: jobs.Worker
) -> bool:
    """Returns whether operators have the worker and its domain in service."""
    domain = configuration.failure_domains.get(worker.failure_domain)
    if domain is None or not domain.in_service:
        return False
    state = configuration.workers.get(worker.name)
    return state is None or state.in_service


def shortfalls(
    configuration: config.Configuration, workers: tuple[jobs.Worker, ...]
) -> tuple[decisions.Shortfall, ...]:
    """Returns the guarantees that workers in service cannot satisfy at once.

    Args:
      configuration: The configuration that would be in force.
      workers: All workers that have joined.
    """
    tree = capacity.CapacityTree()
    for worker in workers:
        node = tree.add_worker(worker)
        node.in_service = in_service(configuration, worker)
    blocks = guarantees.unbound_blocks(configuration)
    return guarantees.shortfalls_of(guarantees.pack(tree, blocks))


def fits_when_empty(
    tree: capacity.CapacityTree, shape: config.Shape, need: capacity.Need
) -> bool:
    """Returns whether a block would fit if all known workers were empty.

    Workers that are out of service count: they may come back.
    """
    return fitting.find_when_empty(tree, shape, need) is not None


def max_feasible_accelerators(
    tree: capacity.CapacityTree, shape: config.Shape, need: capacity.Need
) -> int:
    """Returns the size of the largest feasible block of this adjacency."""
    low, high = 0, min(shape.accelerators, tree.accelerators)
    while low < high:
        middle = (low + high + 1) // 2
        smaller = config.Shape(
            accelerators=middle,
            adjacency=shape.adjacency,
            failure_domain=shape.failure_domain,
        )
        if fits_when_empty(tree, smaller, need):
            low = middle
        else:
            high = middle - 1
    return low
