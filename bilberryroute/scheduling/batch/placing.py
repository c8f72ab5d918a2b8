"""Chooses workers for one unit within given free resources."""

import collections
import types
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import avoiding
from bilberryroute.scheduling.batch import packing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# How much longer a unit takes away from its data, or on several racks if its
# gang prefers one.
REMOTE_FACTOR = 3


def place(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    evacuated: list[str],
    *,
    local_only: bool,
) -> tuple[str, ...] | None:
    """Returns a worker for each task of a unit, or None if they don't fit.

    Args:
      unit: Unit to place.
      resources: Workers and what runs on them.
      available: Resources that the unit may use, by worker.
      evacuated: Failure domains where nothing may start.
      local_only: Whether to consider only groups that satisfy the unit's rack
        preference, where it runs at full speed.
    """
    groups = worker_groups(unit, resources, evacuated, local_only=local_only)
    rack_free: Mapping[str, int] = {}
    if resources.policy.pack_racks:
        rack_free = packing.free_by_rack(resources.workers.values(), available)
        if local_only and not unit.step.data_rack:
            groups.sort(key=lambda group: rack_free.get(_rack(group), 0))
    if resources.speeds is not None:
        return _place_by_speed(unit, resources, available, groups, rack_free)
    for group in groups:
        names = _best_fit(unit, resources, available, group, rack_free)
        if names is not None:
            return names
    return None


def _rack(group: list[views.WorkerSnapshot]) -> str:
    return group[0].rack if group else ""


def _place_by_speed(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    groups: list[list[views.WorkerSnapshot]],
    rack_free: Mapping[str, int],
) -> tuple[str, ...] | None:
    return resources.speeds.best(
        unit,
        groups,
        lambda group, ranks: _best_fit(
            unit, resources, available, group, rack_free, ranks
        ),
        lambda names: slowdown(
            unit.step, {resources.workers[name].rack for name in names}
        ),
    )


def slowdown(step: batch.Step, racks: Set[str]) -> int:
    """Returns how many times longer tasks take on workers of some racks."""
    if step.data_rack:
        is_remote = racks != {step.data_rack}
    else:
        is_remote = has_preference(step) and len(racks) > 1
    return REMOTE_FACTOR if is_remote else 1


def has_preference(step: batch.Step) -> bool:
    """Returns whether the tasks of a step run at full speed only in one rack."""
    one_rack = step.gang and step.same_rack and step.count > 1
    return bool(step.data_rack) or one_rack


def worker_groups(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    evacuated: list[str],
    *,
    local_only: bool,
) -> list[list[views.WorkerSnapshot]]:
    """Returns groups of workers to place a unit in, the best one first."""
    step = unit.step
    allowed = [
        worker
        for worker in resources.workers.values()
        if resources.is_eligible(unit, worker, evacuated)
    ]
    allowed = avoiding.without_failing(unit, allowed, resources)
    racks: dict[str, list[views.WorkerSnapshot]] = {}
    for worker in allowed:
        racks.setdefault(worker.rack, []).append(worker)
    if step.data_rack:
        rack_groups = [racks.get(step.data_rack, [])]
    elif has_preference(step):
        # Smallest racks first, to keep large racks free for large gangs.
        rack_groups = sorted(racks.values(), key=len)
    else:
        return [allowed]
    if local_only:
        return rack_groups
    return [*rack_groups, *(sorted(racks.values(), key=len)), allowed]


def is_wider_than_racks(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    evacuated: list[str],
) -> bool:
    """Returns whether a gang fits into no rack, however idle the workers are.

    Counts workers that accept nothing at present, as they may come back, and
    capacity that workers lack at present.
    """
    if not unit.step.gang:
        return False
    need = batch.task_demand(unit.step)
    spread = unit.step.spread_limit or len(unit.indexes)
    fitting: collections.Counter[str] = collections.Counter()
    for worker in resources.workers.values():
        if room_lib.meets_constraints(unit, worker, evacuated):
            capacity = worker.capacity.largest(worker.largest_capacity)
            count = capacity.multiple_of(need)
            fitting[worker.rack] += min(spread, count)
    return max(fitting.values(), default=0) < len(unit.indexes)


def _best_fit(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    group: Sequence[views.WorkerSnapshot],
    rack_free: Mapping[str, int],
    speed_ranks: Mapping[str, int] = types.MappingProxyType({}),
) -> tuple[str, ...] | None:
    """Places all tasks by best fit, or returns None if any doesn't fit.

    The healthiest workers that fit are chosen, among these the ones without a
    neighbour that hurts, then those of the lowest rank by speed, then those in
    the racks with the least free, as far as `rack_free` names them.
    """
    if unit.takes_whole_workers:
        group = [w for w in group if available[w.ref.name] == w.capacity]
    need = batch.task_demand(unit.step)
    free = {worker.ref.name: available[worker.ref.name] for worker in group}
    neighbours: Mapping[str, int] = {}
    if resources.neighbours is not None:
        neighbours = resources.neighbours.ranks(unit.step)
    badness = {
        w.ref.name: (
            w.health,
            resources.isolation.cost(unit, w.ref.name),
            bool(unit.suspect) and w.crashed,
            neighbours.get(w.ref.name, 0),
        )
        for w in group
    }
    remaining_spread = {
        name: resources.remaining_spread(unit, name) for name in free
    }
    room = 0
    for name, each in free.items():
        spread = max(0, remaining_spread[name])
        room += min(spread, each.multiple_of(need))
        if room >= len(unit.indexes):
            break
    else:
        return None
    # Each task makes its worker a better fit for the next one, so one worker is
    # filled after the other.
    order = sorted(
        free,
        key=lambda n: (
            badness[n],
            speed_ranks.get(n, 0),
            rack_free.get(resources.workers[n].rack, 0),
            free[n].accelerators - need.accelerators,
            free[n].cpu_millis - need.cpu_millis,
            n,
        ),
    )
    names: list[str] = []
    for name in order:
        missing = len(unit.indexes) - len(names)
        spread = max(0, remaining_spread[name])
        fitting = min(spread, free[name].multiple_of(need), missing)
        names += [name] * fitting
    return tuple(names)
