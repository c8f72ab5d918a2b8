"""Plans one scheduling round of batch jobs, without I/O."""

import types
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import interference as interference_lib
from bilberryroute.scheduling.batch import interference_choice
from bilberryroute.scheduling.batch import ordering
from bilberryroute.scheduling.batch import paths as paths_lib
from bilberryroute.scheduling.batch import planning_round
from bilberryroute.scheduling.batch import policy as policy_lib
from bilberryroute.scheduling.batch import readiness
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import run_times as run_times_lib
from bilberryroute.scheduling.batch import speed_choice
from bilberryroute.scheduling.batch import stops
from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import worth


def plan(*args, **kwargs) -> views.BatchPlan:
    """Returns what `plan_in_slices` does, in one go."""
    slices = plan_in_slices(*args, **kwargs)
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            return stop.value


def plan_in_slices(
    state: batch.BatchState,
    workers: Iterable[views.WorkerSnapshot],
    remaining_ms: Mapping[room_lib.RunKey, int],
    wall_ms: int,
    typical_ms: Mapping[str, int] = types.MappingProxyType({}),
    permits: Mapping[views.StepKey, Mapping[str, str]] = (
        types.MappingProxyType({})
    ),
    available_runs: Set[room_lib.RunKey] = frozenset(),
    explained: Set[str] = frozenset(),
    waited_ms: Mapping[views.UnitKey, int] = types.MappingProxyType({}),
    paths: paths_lib.PathCache | None = None,
    policy: policy_lib.Policy = policy_lib.DEFAULT,
    run_times: run_times_lib.RunTimes | None = None,
    interference: interference_lib.Interference | None = None,
) -> Generator[None, None, views.BatchPlan]:
    """Returns the units to place now and the runs to preempt for them.

    Yields after each unit. Commands may be applied to the state meanwhile; the
    state machine leaves out what no longer applies when the plan is committed.

    Args:
      state: State of the batch jobs.
      workers: Workers that are present.
      remaining_ms: Forecast remaining time of each run, in milliseconds.
      wall_ms: Unix time in milliseconds.
      typical_ms: Typical measured duration of a task, by queue.
      permits: Permits of queues that require them, by step and worker.
      available_runs: Long-running runs that their workers report as serving.
      explained: Ids of jobs for which the plan need not say why they wait.
      waited_ms: For how long units that waited after the last round have done
        so, in milliseconds, by wait key.
      paths: What earlier rounds have derived from the jobs' steps.
      policy: Optional decisions that are switched on.
      run_times: Distributions of run times, used if `policy` says so.
      interference: Images that hurt each other, used if `policy` says so.
    """
    if paths is None:
        paths = paths_lib.PathCache()
    if not policy.forecast_tails:
        run_times = None
    guaranteed = readiness.guaranteed_jobs(state, paths)
    resources = room_lib.AvailableResources(
        state,
        workers,
        remaining_ms,
        wall_ms,
        permits,
        guaranteed,
        policy,
        run_times,
    )
    job_deadlines = deadlines.Deadlines(
        state, typical_ms, remaining_ms, wall_ms, paths, run_times
    )
    if policy.learn_speeds:
        resources.speeds = speed_choice.of(
            resources.workers.values(), job_deadlines
        )
    yield
    worths = reorder = None
    if policy.order_by_value or policy.weigh_stops:
        worths = worth.Worths(state, typical_ms, wall_ms, job_deadlines, paths)
        yield from worths.gather()
    if policy.order_by_value:
        reorder = ordering.ValueOrder(
            state, resources, remaining_ms, wall_ms, job_deadlines, worths
        ).ranked
    if policy.keep_apart and interference is not None:
        resources.neighbours = interference_choice.of(
            state, resources.workers.values(), interference
        )
        yield
    ready = yield from readiness.ready_units(
        state, guaranteed, wall_ms, job_deadlines, paths, reorder
    )
    return (
        yield from planning_round.PlanningRound(
            state,
            resources,
            guaranteed,
            job_deadlines,
            wall_ms,
            available_runs,
            explained,
            waited_ms,
            stops.Weigher(state, job_deadlines, worths)
            if policy.weigh_stops
            else None,
        ).run(ready)
    )
