"""Explains why a unit waits for room, without I/O.

One after the other, the planner's restrictions take workers or free resources
away from a unit. The first after which the unit no longer fits is the reason.
"""

from collections.abc import Iterator
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import avoiding
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import suspects
from bilberryroute.scheduling.batch import views

# Workers that an explanation names for each reason to leave them out.
MAX_NAMED_WORKERS = 4

_Workers = list[views.WorkerSnapshot]
_Restriction = tuple[views.WaitReason, _Workers, Mapping[str, batch.Resources]]


def explain(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    evacuated: list[str],
    fit: views.FutureFit | None,
) -> views.Wait:
    """Returns why a unit could not be placed.

    Args:
      unit: Unit that waits.
      resources: Workers and what is free there when it was tried.
      evacuated: Failure domains where nothing may start.
      fit: Where and when the unit is expected to fit near its data or rack.
    """
    left_out: dict[views.WaitReason, tuple[str, ...]] = {}
    previous: _Workers = []
    found = views.WaitReason.LOCALITY
    fitting_tasks = 0
    for reason, workers, available in _restrictions(unit, resources, evacuated):
        kept = {worker.ref.name for worker in workers}
        names = [w.ref.name for w in previous if w.ref.name not in kept]
        if names:
            left_out[reason] = tuple(sorted(names)[:MAX_NAMED_WORKERS])
        previous = workers
        fitting = _fitting_tasks(unit, resources, workers, available)
        if reason == views.WaitReason.NO_ROOM:
            fitting_tasks = fitting
        if fitting < len(unit.indexes):
            found = reason
            break
    return views.Wait(
        reason=found,
        rank=unit.rank,
        tasks=len(unit.indexes),
        fitting_tasks=fitting_tasks,
        fits_in_ms=None if fit is None else fit.delay_ms,
        racks=_preferred_racks(unit, resources, fit),
        reserved_for=resources.reservations.holders_against(unit),
        left_out=left_out,
    )


def _restrictions(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    evacuated: list[str],
) -> Iterator[_Restriction]:
    """Yields each restriction with the workers and resources that it leaves."""
    unused = resources.free_beside_runs()
    workers = [
        worker
        for worker in resources.workers.values()
        if room_lib.meets_constraints(unit, worker, evacuated)
    ]
    yield views.WaitReason.NO_ROOM, workers, unused
    workers = [worker for worker in workers if worker.open]
    yield views.WaitReason.CLOSED, workers, unused
    if unit.queue.advised:
        permits = resources.permits(unit)
        workers = [w for w in workers if w.ref.name in permits]
    yield views.WaitReason.NO_PERMIT, workers, unused
    unclaimed = resources.unclaimed()
    workers = [
        worker
        for worker in workers
        if _may_join_suspects(unit, worker, resources, unclaimed, evacuated)
    ]
    yield views.WaitReason.SUSPECTS, workers, unclaimed
    workers = avoiding.without_failing(unit, workers, resources)
    yield (
        views.WaitReason.FAILING,
        [w for w in workers if not resources.is_probed(w.ref.name)],
        unclaimed,
    )
    yield views.WaitReason.RESERVED, workers, resources.unreserved_for(unit)


def _may_join_suspects(
    unit: views.ReadyUnit,
    worker: views.WorkerSnapshot,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    evacuated: list[str],
) -> bool:
    """Returns whether suspects of crashes don't keep a unit from a worker."""
    if not resources.is_eligible(unit, worker, evacuated):
        return False
    if not unit.suspect:
        return True
    is_idle = available[worker.ref.name] == worker.capacity
    choices = suspects.choices(unit, resources)
    return any(is_idle or not each.takes_whole_workers for each in choices)


def _fitting_tasks(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    workers: _Workers,
    available: Mapping[str, batch.Resources],
) -> int:
    """Returns how many tasks of a unit fit, up to all of them."""
    need = batch.task_demand(unit.step)
    fitting = 0
    for worker in workers:
        name = worker.ref.name
        spread = resources.remaining_spread(unit, name)
        spread = max(
            0, spread + resources.reservations.claimed_tasks(unit, name)
        )
        fitting += min(spread, available[name].multiple_of(need))
    return min(fitting, len(unit.indexes))


def _preferred_racks(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    fit: views.FutureFit | None,
) -> tuple[str, ...]:
    """Returns the racks in which a unit with a preference is to start."""
    if fit is None or not placing.has_preference(unit.step):
        return ()
    racks = {resources.workers[name].rack for name in fit.names}
    return tuple(sorted(racks))
