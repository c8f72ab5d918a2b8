"""Bounds how long a job waits for a better start beside workers with room.

A forecast may keep a unit from room that is there now: it waits for its rack or
for workers that fail no runs, or another unit has reserved that room. Each round
asks anew, so that a forecast that does not come true would keep it for ever.
"""

import enum
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# How long a job waits near its data or for one rack. Elsewhere it takes three
# times as long, and is in time only if it starts within its target latency.
LOCALITY_WAIT_MS = 500
# How long it waits until it may also start on workers that others have reserved
# or that fail runs. A job that could start counts as lost after 3 s.
LAST_RESORT_WAIT_MS = 2_000
# Room that there must be, in units like the one that waits. Less is left to the
# wider units that have reserved it.
MIN_FITTING_UNITS = 2


class Start(enum.Enum):
    """Where a unit starts that has waited for a better start.

    `NOWHERE`: it waits on. `UNRESERVED`: wherever it delays no other unit.
    `ANYWHERE`: also on workers that others have reserved or that fail runs.
    """

    NOWHERE = enum.auto()
    UNRESERVED = enum.auto()
    ANYWHERE = enum.auto()


def start_after(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    evacuated: list[str],
    waited_ms: int,
    *,
    job_runs: bool,
) -> Start:
    """Returns where a unit starts after a wait.

    Each long-running task has to serve, whether others of its job do and however
    busy the pool is.

    Args:
      unit: Unit that waits.
      resources: Workers and what runs on them.
      evacuated: Failure domains where nothing may start.
      waited_ms: For how long the unit has waited, in milliseconds.
      job_runs: Whether anything of the unit's job runs.
    """
    if waited_ms < LOCALITY_WAIT_MS:
        return Start.NOWHERE
    if not unit.step.long_running and (
        job_runs or not resources.is_half_idle(unit.queue.pool)
    ):
        return Start.NOWHERE
    # Workers that it may not use at present count too: the pool is idle for it.
    workers = [
        worker
        for worker in resources.workers.values()
        if room_lib.meets_constraints(unit, worker, evacuated)
    ]
    available = resources.free_beside_runs()
    fitting = fitting_units(unit, resources, available, workers)
    if fitting < MIN_FITTING_UNITS:
        return Start.NOWHERE
    if waited_ms < LAST_RESORT_WAIT_MS:
        return Start.UNRESERVED
    return Start.ANYWHERE


def fitting_units(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    available: Mapping[str, batch.Resources],
    workers: Iterable[views.WorkerSnapshot],
) -> int:
    """Returns how many units like this one fit on workers with this much free."""
    need = batch.task_demand(unit.step)
    fitting_tasks = 0
    for worker in workers:
        name = worker.ref.name
        tasks = available[name].multiple_of(need)
        if unit.step.spread_limit:
            spread = resources.remaining_spread(unit, name)
            tasks = min(max(0, spread), tasks)
        fitting_tasks += tasks
    return fitting_tasks // len(unit.indexes)
