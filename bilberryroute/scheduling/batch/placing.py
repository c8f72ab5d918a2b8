"""Chooses workers for one unit within given room."""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views


def place(
    unit: views.Ready,
    room: room_lib.Room,
    within: Mapping[str, batch.Resources],
    evacuated: list[str],
    *,
    near: bool,
) -> tuple[str, ...] | None:
    """Returns a worker for each task of a unit, or None if they don't fit.

    Args:
      unit: What is to be placed.
      room: Workers and what runs on them.
      within: Room to use, by worker.
      evacuated: Failure domains where nothing may start.
      near: Whether only places count on which the unit runs at full speed.
    """
    for group in groups(unit, room, evacuated, near=near):
        names = _fill(unit, room, within, group)
        if names is not None:
            return names
    return None


def groups(
    unit: views.Ready,
    room: room_lib.Room,
    evacuated: list[str],
    *,
    near: bool,
) -> list[list[views.WorkerSnapshot]]:
    """Returns sets of workers that may hold a unit, the best one first."""
    step = unit.step
    allowed = [
        worker
        for worker in room.workers.values()
        if room.allows(unit, worker, evacuated)
    ]
    racks: dict[str, list[views.WorkerSnapshot]] = {}
    for worker in allowed:
        racks.setdefault(worker.rack, []).append(worker)
    together = step.gang and step.same_rack and step.count > 1
    if step.data_rack:
        found = [racks.get(step.data_rack, [])]
    elif together:
        # The rack with the fewest workers first: large ones stay whole.
        found = sorted(racks.values(), key=len)
    else:
        return [allowed]
    if near:
        return found
    return [*found, *(sorted(racks.values(), key=len)), allowed]


def _fill(
    unit: views.Ready,
    room: room_lib.Room,
    within: Mapping[str, batch.Resources],
    group: list[views.WorkerSnapshot],
) -> tuple[str, ...] | None:
    """Fits each task where it leaves the least, all or none."""
    need = room_lib.needed(unit.step)
    left = {worker.ref.name: within[worker.ref.name] for worker in group}
    suspect = {w.ref.name for w in group if w.suspect}
    spread = {name: room.spread_left(unit, name) for name in left}
    names = []
    for _ in unit.indexes:
        fitting = [n for n in left if spread[n] > 0 and left[n].holds(need)]
        if not fitting:
            return None
        best = min(
            fitting,
            key=lambda n: (
                n in suspect,
                left[n].accelerators - need.accelerators,
                left[n].cpu_millis - need.cpu_millis,
                n,
            ),
        )
        left[best] = left[best].minus(need)
        spread[best] -= 1
        names.append(best)
    return tuple(names)
