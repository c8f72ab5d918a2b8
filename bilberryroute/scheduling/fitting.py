"""Finds a placement for a whole block of adjacent accelerators."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import config
from bilberryroute.scheduling import capacity

RoomFunction = Callable[[capacity.Node], int]
Fit = dict[str, int]


def find(
    tree: capacity.CapacityTree,
    shape: config.Shape,
    need: capacity.Need,
    room: RoomFunction,
    *,
    best: bool = True,
) -> Fit | None:
    """Returns a placement for one block by worker, or None.

    Args:
      tree: All workers.
      shape: The block; `copies` is ignored.
      need: Cores and memory per accelerator.
      room: Function that returns how many accelerators of a worker may be
        used.
      best: Whether to use best fit rather than first fit.
    """
    return _choose(tree, shape, _counts(tree, shape, need, room), best)


def _choose(tree, shape: config.Shape, counts: Fit, best: bool) -> Fit | None:
    """Chooses the placement that spans as little of the tree as possible."""
    match shape.adjacency:
        case config.Adjacency.WORKER:
            return _on_worker(tree, counts, shape.accelerators, best)
        case config.Adjacency.RACK:
            return _in_racks(tree, counts, shape.accelerators, best)
        case config.Adjacency.FAILURE_DOMAIN:
            return _in_domains(tree, counts, shape.accelerators, best)


def find_when_empty(
    tree: capacity.CapacityTree, shape: config.Shape, need: capacity.Need
) -> Fit | None:
    """Returns a placement as if all workers were empty and in service."""
    counts = _counts(
        tree,
        shape,
        need,
        lambda node: node.worker.accelerators,
        include_all=True,
    )
    return _choose(tree, shape, counts, True)


def find_in(
    tree: capacity.CapacityTree,
    shape: config.Shape,
    need: capacity.Need,
    room: Mapping[str, int],
    *,
    best: bool = True,
) -> Fit | None:
    """Returns a placement for one block within given capacity, or None."""
    counts = {}
    for name, usable in room.items():
        if usable <= 0:
            continue
        worker = tree.nodes[name].worker
        if shape.failure_domain in ("", worker.failure_domain):
            most = need.max_accelerators(worker, usable)
            if most > 0:
                counts[name] = most
    return _choose(tree, shape, counts, best)


def _counts(tree, shape, need, room, include_all=False) -> Fit:
    """Returns how many of the job's accelerators each worker can take."""
    counts = {}
    for name, node in (
        tree.nodes if include_all else tree.nodes_with_room
    ).items():
        worker = node.worker
        if not (include_all or (node.in_service and not node.quarantined)):
            continue
        if shape.failure_domain not in ("", worker.failure_domain):
            continue
        usable = room(node)
        if usable > 0:
            most = need.max_accelerators(worker, usable)
            if most > 0:
                counts[name] = most
    return counts


def _on_worker(tree, counts: Fit, wanted: int, best: bool) -> Fit | None:
    """Returns the best-fitting single worker, or None.

    Among equals, the worker in the rack with the least capacity is chosen.
    """
    enough = [name for name, most in counts.items() if most >= wanted]
    if not enough:
        return None
    if not best:
        return {min(enough): wanted}
    least = min(counts[name] for name in enough)
    tight = [name for name in enough if counts[name] == least]
    if len(tight) > 1:
        totals = _rack_totals(tree, counts)
        nodes = tree.nodes
        tight.sort(key=lambda name: (totals[nodes[name].rack], name))
    return {tight[0]: wanted}


def _rack_totals(tree, counts: Fit) -> dict[capacity.RackKey, int]:
    """Returns how many of the job's accelerators each rack can take."""
    totals: dict[capacity.RackKey, int] = {}
    for name, most in counts.items():
        rack = tree.nodes[name].rack
        totals[rack] = totals.get(rack, 0) + most
    return totals


def _in_racks(tree, counts: Fit, wanted: int, best: bool) -> Fit | None:
    """Returns a single worker if one fits, else the best-fitting rack."""
    single = _on_worker(tree, counts, wanted, best)
    if single is not None:
        return single
    chosen = None
    for names in _by_rack(tree, counts).values():
        total = sum(counts[name] for name in names)
        if total < wanted:
            continue
        fit = spread(counts, names, wanted)
        rank = (len(fit), total)
        if chosen is None or rank < chosen[0]:
            chosen = (rank, fit)
            if not best:
                break
    return None if chosen is None else chosen[1]


def _by_rack(tree, counts: Fit) -> dict[capacity.RackKey, list[str]]:
    """Groups workers by rack, sorted by rack."""
    groups: dict[capacity.RackKey, list[str]] = {}
    for name in counts:
        groups.setdefault(tree.nodes[name].rack, []).append(name)
    return dict(sorted(groups.items()))


def _in_domains(tree, counts: Fit, wanted: int, best: bool) -> Fit | None:
    """Returns a single rack if one fits, else the best-fitting domain."""
    inside = _in_racks(tree, counts, wanted, best)
    if inside is not None:
        return inside
    racks = _by_rack(tree, counts)
    totals: dict[str, dict[capacity.RackKey, int]] = {}
    for key, names in racks.items():
        total = sum(counts[name] for name in names)
        totals.setdefault(key[0], {})[key] = total
    enough = [
        (sum(parts.values()), domain)
        for domain, parts in totals.items()
        if sum(parts.values()) >= wanted
    ]
    if not enough:
        return None
    return _spread_over_racks(counts, racks, totals[min(enough)[1]], wanted)


def _spread_over_racks(counts: Fit, racks, totals, wanted: int) -> Fit:
    """Spreads a block over the fewest racks of one failure domain."""
    fit: Fit = {}
    for key in sorted(totals, key=lambda key: (-totals[key], key)):
        part = min(wanted, totals[key])
        if part:
            fit.update(spread(counts, racks[key], part))
            wanted -= part
    return fit


def spread(counts: Fit, names: Iterable[str], wanted: int) -> Fit:
    """Spreads a block over the fewest workers, with best fit for the last."""
    left = [name for name in names if counts.get(name)]
    left.sort(key=lambda name: (counts[name], name))
    fit: Fit = {}
    while wanted:
        name = left.pop()
        if counts[name] >= wanted:
            enough = [name, *(n for n in left if counts[n] >= wanted)]
            name = min(enough, key=lambda name: (counts[name], name))
            fit[name] = wanted
            return fit
        fit[name] = counts[name]
        wanted -= counts[name]
    return fit
