"""Finds where a block of adjacent accelerators fits, all or nothing."""

from collections.abc import Callable
from collections.abc import Iterable

from bilberryroute.model import config
from bilberryroute.scheduling import capacity

Room = Callable[[capacity.Node], int]
Fit = dict[str, int]


def find(
    tree: capacity.Capacity,
    shape: config.Shape,
    need: capacity.Need,
    room: Room,
    *,
    best: bool = True,
) -> Fit | None:
    """Returns accelerators by worker for one block, or None.

    Args:
      tree: All workers.
      shape: The block; `copies` is not looked at.
      need: What each accelerator needs beside it.
      room: How much of a worker may be used, in accelerators.
      best: Whether to leave the least room over, or to take the first fit.
    """
    return _choose(tree, shape, _counts(tree, shape, need, room), best)


def _choose(tree, shape: config.Shape, counts: Fit, best: bool) -> Fit | None:
    """Chooses within the smallest part of the tree that the shape allows."""
    match shape.adjacency:
        case config.Adjacency.WORKER:
            return _on_worker(tree, counts, shape.accelerators, best)
        case config.Adjacency.RACK:
            return _in_racks(tree, counts, shape.accelerators, best)
        case config.Adjacency.FAILURE_DOMAIN:
            return _in_domains(tree, counts, shape.accelerators, best)


def find_ever(
    tree: capacity.Capacity, shape: config.Shape, need: capacity.Need
) -> Fit | None:
    """Returns where a block would fit if all workers were empty and back."""
    counts = _counts(
        tree, shape, need, lambda node: node.worker.accelerators, out=True
    )
    return _choose(tree, shape, counts, True)


def _counts(tree, shape, need, room, out=False) -> Fit:
    """Returns how many of the job's accelerators each worker can take."""
    counts = {}
    for name, node in tree.nodes.items():
        worker = node.worker
        if not (out or (node.in_service and not node.quarantined)):
            continue
        if shape.failure_domain not in ("", worker.failure_domain):
            continue
        space = room(node)
        if space > 0:
            most = need.most(worker, space)
            if most > 0:
                counts[name] = most
    return counts


def _on_worker(tree, counts: Fit, wanted: int, best: bool) -> Fit | None:
    """Returns the tightest single worker, in the tightest rack, or None."""
    enough = [name for name, most in counts.items() if most >= wanted]
    if not enough:
        return None
    if not best:
        return {enough[0]: wanted}
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
    """Returns one worker if that holds the block, else the tightest rack."""
    single = _on_worker(tree, counts, wanted, best)
    if single is not None:
        return single
    chosen = None
    for _, names in sorted(tree.racks.items()):
        total = sum(counts.get(name, 0) for name in names)
        if total < wanted:
            continue
        fit = spread(counts, names, wanted)
        rank = (len(fit), total)
        if chosen is None or rank < chosen[0]:
            chosen = (rank, fit)
            if not best:
                break
    return None if chosen is None else chosen[1]


def _in_domains(tree, counts: Fit, wanted: int, best: bool) -> Fit | None:
    """Returns one rack if that holds the block, else the tightest domain."""
    inside = _in_racks(tree, counts, wanted, best)
    if inside is not None:
        return inside
    chosen = None
    for domain, racks in sorted(tree.domains.items()):
        totals = {
            key: sum(counts.get(name, 0) for name in tree.racks[key])
            for key in racks
        }
        total = sum(totals.values())
        if total < wanted:
            continue
        if chosen is None or total < chosen[0]:
            chosen = (total, domain, totals)
    if chosen is None:
        return None
    return _over_racks(tree, counts, chosen[2], wanted)


def _over_racks(tree, counts: Fit, totals, wanted: int) -> Fit:
    """Spreads a block over the fewest racks of one failure domain."""
    fit: Fit = {}
    for key in sorted(totals, key=lambda key: (-totals[key], key)):
        part = min(wanted, totals[key])
        if part:
            fit.update(spread(counts, tree.racks[key], part))
            wanted -= part
    return fit


def spread(counts: Fit, names: Iterable[str], wanted: int) -> Fit:
    """Spreads a block over the fewest workers; the last one is a tight fit."""
    left = [name for name in names if counts.get(name)]
    left.sort(key=lambda name: (-counts[name], name))
    fit: Fit = {}
    while wanted:
        enough = [name for name in left if counts[name] >= wanted]
        if enough:
            name = min(enough, key=lambda name: (counts[name], name))
            fit[name] = wanted
            return fit
        name = left.pop(0)
        fit[name] = counts[name]
        wanted -= counts[name]
    return fit
