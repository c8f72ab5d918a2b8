"""Decides which workers a unit avoids since runs have failed there.

A worker that fails all it starts is idle again at once. Under load it is the one
with room, and would use up the attempts of job after job.
"""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# Share of the workers that a unit may avoid for the failures of others. If more
# are failing, the cause is probably not the workers.
MAX_AVOIDED_SHARE = 0.25
# A unit that failed some time ago waits for other workers as long as it is going
# to run, at least so long.
MIN_WAIT_MS = 10_000


def without_failing(
    unit: views.ReadyUnit,
    workers: list[views.WorkerSnapshot],
    resources: room_lib.AvailableResources,
) -> list[views.WorkerSnapshot]:
    """Leaves out the workers on which a unit would probably fail.

    They are left out only if the unit would fit on the others once all runs
    that end by themselves have ended: it is better to wait for that than to use
    up an attempt.
    """
    if unit.accepts_failing or not (unit.failed_on or resources.any_failing):
        return workers
    allowed = _without_unproven(unit, workers, resources)
    others = [
        worker
        for worker in allowed
        if not unit.failed_recently or worker.ref.name not in unit.failed_on
    ]
    sound = [w for w in others if not _is_failing(unit, w)]
    if len(sound) == len(workers):
        return workers
    idle = resources.free_when_idle
    may_avoid = max(1, int(MAX_AVOIDED_SHARE * len(workers)))
    few_fail = len(others) - len(sound) <= may_avoid
    if few_fail and _would_suffice(unit, sound, idle, resources):
        return sound
    return others if _would_suffice(unit, others, idle, resources) else allowed


def own_failures(
    unit: views.ReadyUnit, workers: Mapping[str, views.WorkerSnapshot]
) -> frozenset[str]:
    """Returns names of the workers that a unit avoids as its runs failed there.

    Some time after a failure, these are only those that have failed all since.
    """
    return frozenset(
        name
        for name in unit.failed_on
        if name in workers
        and (
            unit.failed_recently
            or workers[name].health > views.WorkerHealth.SOUND
        )
    )


def beside_recent_failures(
    available: Mapping[str, batch.Resources],
    workers: Mapping[str, views.WorkerSnapshot],
) -> dict[str, batch.Resources]:
    """Returns what is available but on workers that failed runs recently.

    For a last attempt: one more failure would end the job.
    """
    return {
        name: free
        if workers[name].health <= views.WorkerHealth.UNPROVEN
        else batch.NO_RESOURCES
        for name, free in available.items()
    }


def _without_unproven(
    unit: views.ReadyUnit,
    workers: list[views.WorkerSnapshot],
    resources: room_lib.AvailableResources,
) -> list[views.WorkerSnapshot]:
    """Leaves out the workers where nothing succeeded since the unit failed.

    As that may last, they are left out only if the others are expected to have
    room soon.
    """
    others = [
        worker
        for worker in workers
        if worker.health == views.WorkerHealth.SOUND
        or worker.ref.name not in unit.failed_on
    ]
    if unit.failed_recently or len(others) == len(workers):
        return workers
    free = resources.free_within(max(MIN_WAIT_MS, unit.step.estimate_ms))
    return others if _would_suffice(unit, others, free, resources) else workers


def _is_failing(unit: views.ReadyUnit, worker: views.WorkerSnapshot) -> bool:
    """Returns whether a unit should not be tried on a worker."""
    tolerated = (
        views.WorkerHealth.UNPROVEN
        if unit.fragile
        else views.WorkerHealth.DOUBTFUL
    )
    return worker.health > tolerated


def _would_suffice(
    unit: views.ReadyUnit,
    workers: list[views.WorkerSnapshot],
    free: Mapping[str, batch.Resources],
    resources: room_lib.AvailableResources,
) -> bool:
    """Returns whether a unit fits on workers that have this much free."""
    need = batch.task_demand(unit.step)
    fitting = 0
    for worker in workers:
        name = worker.ref.name
        spread = _spread(unit, name, resources)
        fitting += min(spread, free[name].multiple_of(need))
        if fitting >= len(unit.indexes):
            return True
    return False


def _spread(
    unit: views.ReadyUnit, name: str, resources: room_lib.AvailableResources
) -> int:
    """Returns how many of a unit's tasks a worker may run in time.

    Long-running tasks of the same step keep their places.
    """
    if unit.step.long_running:
        return max(0, resources.remaining_spread(unit, name))
    return unit.step.spread_limit or len(unit.indexes)
