"""Which jobs to stop so that a block becomes free, at least work lost."""

import dataclasses

from bilberryroute.model import config
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import fitting


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Victim:
    """A job that may be stopped.

    Attributes:
      units: Room that it holds, by worker.
      cost: Work lost by stopping it, in accelerator-milliseconds.
      own: Whether it uses the share that the block is taken from.
    """

    job_id: str
    units: dict[str, int]
    cost: int
    own: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Where a block will lie once the victims have stopped."""

    fit: fitting.Fit
    victims: tuple[str, ...]
    cost: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Block:
    """What is wanted, and how far each worker may serve it.

    Attributes:
      room: Free room on each worker that may be used.
      share: Most room that may be taken, by worker; `own` victims raise it.
    """

    shape: config.Shape
    need: capacity.Need
    room: dict[str, int]
    share: dict[str, int]


def cheapest(
    tree: capacity.Capacity, block: Block, victims: list[Victim]
) -> Plan | None:
    """Returns the plan that loses least work, over all parts of the tree."""
    plans = []
    for names in parts(tree, block.shape, block.share):
        inside = [
            victim
            for victim in victims
            if any(n in victim.units for n in names)
        ]
        plan = _plan(tree, block, names, inside)
        if plan is not None:
            plans.append(plan)
    return min(
        plans,
        key=lambda plan: (plan.cost, len(plan.fit), sorted(plan.fit)),
        default=None,
    )


def parts(tree, shape: config.Shape, names) -> list[list[str]]:
    """Groups workers by the part of the tree that must hold the block."""
    groups: dict[object, list[str]] = {}
    for name in names:
        node = tree.nodes.get(name)
        if node is None or not node.in_service:
            continue
        domain = node.worker.failure_domain
        if shape.failure_domain not in ("", domain):
            continue
        match shape.adjacency:
            case config.Adjacency.WORKER:
                key: object = name
            case config.Adjacency.RACK:
                key = node.rack
            case config.Adjacency.FAILURE_DOMAIN:
                key = domain
        groups.setdefault(key, []).append(name)
    return list(groups.values())


def _plan(tree, block: Block, names, victims: list[Victim]) -> Plan | None:
    """Adds victims, cheapest per accelerator first, until the block fits."""
    inside = set(names)

    def per_unit(victim):
        freed = sum(n for w, n in victim.units.items() if w in inside)
        return (victim.cost / freed, victim.job_id)

    chosen: list[Victim] = []
    waiting = sorted(victims, key=per_unit)
    while not _fits(tree, block, names, chosen):
        if not waiting:
            return None
        chosen.append(waiting.pop(0))
    for victim in sorted(chosen, key=lambda victim: -victim.cost):
        fewer = [other for other in chosen if other is not victim]
        if _fits(tree, block, names, fewer):
            chosen = fewer
    counts = _counts(tree, block, names, chosen)
    return Plan(
        fit=fitting.spread(counts, names, block.shape.accelerators),
        victims=tuple(victim.job_id for victim in chosen),
        cost=sum(victim.cost for victim in chosen),
    )


def _fits(tree, block: Block, names, victims) -> bool:
    counts = _counts(tree, block, names, victims)
    return sum(counts.values()) >= block.shape.accelerators


def _counts(tree, block: Block, names, victims) -> fitting.Fit:
    """Returns how many accelerators of the block each worker could take."""
    counts = {}
    for name in names:
        room = block.room.get(name, 0)
        share = block.share[name]
        for victim in victims:
            freed = victim.units.get(name, 0)
            room += freed
            share += freed if victim.own else 0
        worker = tree.nodes[name].worker
        counts[name] = max(0, block.need.most(worker, min(room, share)))
    return counts
