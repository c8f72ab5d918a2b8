"""Bounds how long a job waits for a better start beside idle workers.

A forecast may keep a unit from workers that are idle now: it waits for its rack,
or another unit has reserved them. Each round asks anew, so that a forecast that
does not come true would keep it for ever.
"""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# How long a job waits until it starts on idle workers all the same. A job that
# could start counts as lost after 3 s.
MAX_WAIT_MS = 1_500
# Room that there must be, in units like the one that waits. Less is left to the
# wider units that have reserved it.
MIN_FITTING_UNITS = 2


def may_start_at_once(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    evacuated: list[str],
    waited_ms: int,
) -> bool:
    """Returns whether a unit waits no longer for a better start.

    Args:
      unit: Unit that waits, of a job of which nothing runs.
      resources: Workers and what runs on them.
      available: Resources that are free now, by worker.
      evacuated: Failure domains where nothing may start.
      waited_ms: Time since the unit's job was due, in milliseconds.
    """
    return (
        waited_ms >= MAX_WAIT_MS
        and resources.is_mostly_idle(unit.queue.pool)
        and fitting_units(unit, resources, available, evacuated)
        >= MIN_FITTING_UNITS
    )


def fitting_units(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    evacuated: list[str],
) -> int:
    """Returns how many units like this one fit beside what runs."""
    need = batch.task_demand(unit.step)
    fitting_tasks = 0
    for worker in resources.workers.values():
        name = worker.ref.name
        if resources.is_eligible(unit, worker, evacuated):
            spread = max(0, resources.remaining_spread(unit, name))
            fitting_tasks += min(spread, available[name].multiple_of(need))
    return fitting_tasks // len(unit.indexes)
