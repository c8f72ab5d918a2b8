"""Which jobs to stop so that a block becomes free, at least work lost."""

import dataclasses

from bilberryroute.model import config
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import fitting


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreemptibleJob:
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
class PreemptionPlan:
    """Where a block will lie once the victims have stopped."""

    fit: fitting.Fit
    victims: tuple[str, ...]
    cost: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """What is wanted, and how far each worker may serve it.

    Attributes:
      room: Free room on each worker that may be used.
      share: Most room that may be taken, by worker; `own` victims raise it.
    """

    shape: config.Shape
    need: capacity.Need
    room: dict[str, int]
    share: dict[str, int]


def plans(
    tree: capacity.CapacityTree,
    request: PlacementRequest,
    groups: list[list[str]],
    victims: list[PreemptibleJob],
    *,
    concurrent: bool = False,
) -> list[PreemptionPlan]:
    """Returns a plan for each part of the tree that can have one.

    Args:
      tree: All workers.
      block: What is wanted.
      groups: Workers of each part that is weighed.
      victims: Jobs that may be stopped.
      at_once: Whether costs run side by side: the largest counts, not the sum.

    Returns:
      The plans, the one with the least cost first.
    """
    on_worker: dict[str, list[PreemptibleJob]] = {}
    for victim in victims:
        for name in victim.units:
            on_worker.setdefault(name, []).append(victim)
    found = []
    for names in groups:
        inside = {
            victim.job_id: victim
            for name in names
            for victim in on_worker.get(name, ())
        }
        plan = _plan(tree, request, names, list(inside.values()), concurrent)
        if plan is not None:
            found.append(plan)
    found.sort(key=lambda plan: (plan.cost, len(plan.fit), sorted(plan.fit)))
    return found


def groups_with_most_room(
    tree: capacity.CapacityTree, request: PlacementRequest, limit: int
) -> list[list[str]]:
    """Returns the parts of the tree with the most free room.

    Only parts that could hold the whole block are given, `most` of them.
    """
    wanted = request.shape.accelerators
    ranked = []
    for names in adjacency_groups(tree, request.shape, request.share):
        if sum(request.share[name] for name in names) >= wanted:
            free = sum(request.room[name] for name in names)
            ranked.append((-free, names))
    ranked.sort(key=lambda each: each[0])
    return [names for _, names in ranked[:limit]]


def adjacency_groups(tree, shape: config.Shape, names) -> list[list[str]]:
    """Groups workers by the part of the tree that must hold the block."""
    wanted = set(names)
    domains = [shape.failure_domain] if shape.failure_domain else tree.domains
    groups = []
    for domain in domains:
        racks = [
            [name for name in tree.racks[key] if name in wanted]
            for key in tree.domains.get(domain, ())
        ]
        match shape.adjacency:
            case config.Adjacency.WORKER:
                groups += [[name] for rack in racks for name in rack]
            case config.Adjacency.RACK:
                groups += racks
            case config.Adjacency.FAILURE_DOMAIN:
                groups.append([name for rack in racks for name in rack])
    return [group for group in groups if group]


def _plan(
    tree,
    request: PlacementRequest,
    names,
    victims: list[PreemptibleJob],
    concurrent: bool,
) -> PreemptionPlan | None:
    """Adds victims, cheapest per accelerator first, until the block fits."""
    inside = set(names)

    def rank(victim):
        if concurrent:
            return (victim.cost, victim.job_id)
        freed = sum(n for w, n in victim.units.items() if w in inside)
        return (victim.cost / max(1, freed), victim.job_id)

    counter = _CapacityCounter(tree, request, names)
    waiting = sorted(victims, key=rank, reverse=True)
    chosen: list[PreemptibleJob] = []
    while not counter.fits():
        if not waiting:
            return None
        chosen.append(waiting.pop())
        counter.add(chosen[-1])
    for victim in sorted(chosen, key=lambda victim: -victim.cost):
        counter.remove(victim)
        if counter.fits():
            chosen.remove(victim)
        else:
            counter.add(victim)
    costs = [victim.cost for victim in chosen]
    return PreemptionPlan(
        fit=fitting.spread(counter.counts, names, request.shape.accelerators),
        victims=tuple(victim.job_id for victim in chosen),
        cost=max(costs, default=0) if concurrent else sum(costs),
    )


class _CapacityCounter:
    """Counts what the block could take in one part as victims stop."""

    def __init__(
        self, tree: capacity.CapacityTree, request: PlacementRequest, names
    ):
        self._need = request.need
        self._wanted = request.shape.accelerators
        self._workers = {name: tree.nodes[name].worker for name in names}
        self._room = {name: request.room.get(name, 0) for name in names}
        self._share = {name: request.share[name] for name in names}
        self.counts = {name: self._count(name) for name in names}
        self._total = sum(self.counts.values())

    def _count(self, name: str) -> int:
        room = min(self._room[name], self._share[name])
        return max(0, self._need.max_accelerators(self._workers[name], room))

    def fits(self) -> bool:
        """Returns whether the whole block fits by now."""
        return self._total >= self._wanted

    def add(self, victim: PreemptibleJob) -> None:
        """Counts a victim's room as free."""
        self._change(victim, 1)

    def remove(self, victim: PreemptibleJob) -> None:
        """Counts a victim's room as held again."""
        self._change(victim, -1)

    def _change(self, victim: PreemptibleJob, sign: int) -> None:
        for name, units in victim.units.items():
            if name not in self._workers:
                continue
            self._room[name] += sign * units
            self._share[name] += sign * units if victim.own else 0
            self._total -= self.counts[name]
            self.counts[name] = self._count(name)
            self._total += self.counts[name]
