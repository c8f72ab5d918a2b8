"""Decides which workers a unit avoids since runs have failed there.

A worker that fails all it starts is idle again at once. Under load it is the one
with room, and would use up the attempts of job after job.
"""

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views

# Share of the workers that a unit may avoid for the failures of others. If more
# are failing, the cause is probably not the workers.
MAX_AVOIDED_SHARE = 0.25


def without_failing(
    unit: views.ReadyUnit, workers: list[views.WorkerSnapshot]
) -> list[views.WorkerSnapshot]:
    """Leaves out the workers on which a unit would probably fail.

    They are left out only if the unit would fit on the others when they are
    idle: it is better to wait for them than to use up an attempt.
    """
    others = [w for w in workers if not _may_fail_again(unit, w)]
    sound = [w for w in others if not _is_failing(unit, w)]
    may_avoid = max(1, int(MAX_AVOIDED_SHARE * len(workers)))
    few_fail = len(others) - len(sound) <= may_avoid
    if few_fail and _would_suffice(unit, sound):
        return sound
    return others if _would_suffice(unit, others) else workers


def _may_fail_again(
    unit: views.ReadyUnit, worker: views.WorkerSnapshot
) -> bool:
    """Returns whether a worker that failed the unit has not improved since."""
    unproven = worker.health != views.WorkerHealth.SOUND
    return worker.ref.name in unit.failed_on and (
        unit.failed_recently or unproven
    )


def _is_failing(unit: views.ReadyUnit, worker: views.WorkerSnapshot) -> bool:
    """Returns whether a unit should not be tried on a worker."""
    if unit.accepts_failing:
        return False
    tolerated = (
        views.WorkerHealth.UNPROVEN
        if unit.fragile
        else views.WorkerHealth.DOUBTFUL
    )
    return worker.health > tolerated


def _would_suffice(
    unit: views.ReadyUnit, workers: list[views.WorkerSnapshot]
) -> bool:
    """Returns whether a unit fits on these workers when they are idle."""
    need = batch.task_demand(unit.step)
    spread = unit.step.spread_limit or len(unit.indexes)
    fitting = sum(
        min(spread, worker.capacity.multiple_of(need)) for worker in workers
    )
    return fitting >= len(unit.indexes)
