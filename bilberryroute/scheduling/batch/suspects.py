"""Decides what a unit that may crash its workers runs beside, without I/O.

Apart from others it harms nobody and shows whether it crashes its workers. As
most suspects are innocent, they wait for that only shortly.
"""

import dataclasses

from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views


def choices(
    unit: views.ReadyUnit, resources: room_lib.AvailableResources
) -> list[views.ReadyUnit]:
    """Returns the ways in which to place a unit, the best one first.

    For a suspect: apart from others, then as near to others as it may be. Empty
    if it has to wait since enough workers are kept already.
    """
    if not unit.suspect:
        return [unit]
    found = []
    if (
        unit.crash_count > 1
        or not unit.takes_whole_workers
        or not resources.isolates_enough(unit)
    ):
        apart = views.Separation.WHOLE_WORKER
        found.append(dataclasses.replace(unit, suspect=apart))
    if may_join_others(unit, resources):
        found.append(unit)
    return found


def may_join_others(
    unit: views.ReadyUnit, resources: room_lib.AvailableResources
) -> bool:
    """Returns whether a unit may run beside other work.

    A suspect waits for longer while other tasks of its step run, or while half
    of its pool is in use; a long-running one does not.
    """
    if not unit.suspect:
        return True
    if unit.step.long_running:
        return not unit.takes_whole_workers
    last_resort = unit.suspect == views.Separation.LAST_RESORT
    step_runs = unit.step_runs or resources.starts_step(unit)
    if unit.takes_whole_workers or (step_runs and not last_resort):
        return False
    waits_long = unit.crash_count > 1 or not last_resort
    return (
        unit.guaranteed
        or not waits_long
        or resources.is_mostly_idle(unit.queue.pool)
    )
