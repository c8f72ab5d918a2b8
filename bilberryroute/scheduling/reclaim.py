"""Chooses the jobs to preempt for a placement, at the least cost."""

import dataclasses

from bilberryroute.model import config
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import fitting


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreemptibleJob:
    """A job that may be preempted.

    Attributes:
      job_id: The job.
      units: Capacity allocated to it, by worker, with padding.
      cost: Cost of preempting it, in the unit of the caller's choice.
      own: Whether it uses the share that the request draws on.
    """

    job_id: str
    units: dict[str, int]
    cost: int
    own: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreemptionPlan:
    """Where a request will be placed once the victims have stopped."""

    fit: fitting.Fit
    victims: tuple[str, ...]
    cost: int


@dataclasses.dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """The block wanted, and how much of each worker may be used for it.

    Attributes:
      shape: Number and adjacency of accelerators.
      need: Cores and memory per accelerator.
      room: Free capacity that may be used, by worker.
      share: Upper limit on the capacity used, by worker; stopping a victim
        marked `own` raises it.
    """

    shape: config.Shape
    need: capacity.Need
    room: dict[str, int]
    share: dict[str, int]


def preemption_plans(
    tree: capacity.CapacityTree,
    request: PlacementRequest,
    groups: list[list[str]],
    victims: list[PreemptibleJob],
    *,
    concurrent: bool = False,
) -> list[PreemptionPlan]:
    """Returns a plan for each group of workers that has one.

    Args:
      tree: All workers.
      request: What is to be placed.
      groups: Groups of adjacent workers to consider.
      victims: Jobs that may be preempted.
      concurrent: Whether a plan costs the maximum over its victims, as for
        jobs that are waited for, instead of the sum.

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
    """Returns the `limit` groups of workers with the most free capacity.

    Groups whose shares are smaller than the request are left out.
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
    """Groups workers by the adjacency that the shape asks for."""
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
    """Chooses victims in one group until the request fits.

    Adds the cheapest per accelerator first, then drops those not needed, the
    most expensive first.
    """
    inside = set(names)

    def rank(victim):
        if concurrent:
            return (victim.cost, victim.job_id)
        freed = sum(n for w, n in victim.units.items() if w in inside)
        return (victim.cost / max(1, freed), victim.job_id)

    counter = _CapacityCounter(tree, request, names)
    candidates = sorted(victims, key=rank, reverse=True)
    chosen: list[PreemptibleJob] = []
    while not counter.fits():
        if not candidates:
            return None
        chosen.append(candidates.pop())
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
    """Counts the accelerators usable in one group as victims are chosen."""

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
        """Returns whether the whole request fits."""
        return self._total >= self._wanted

    def add(self, victim: PreemptibleJob) -> None:
        """Counts a victim's capacity as free."""
        self._change(victim, 1)

    def remove(self, victim: PreemptibleJob) -> None:
        """Counts a victim's capacity as used again."""
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
