"""Counts the work that jobs mean for a pool, without I/O.

Answers bursts of submissions: what waits already decides whether a new job can
still earn anything (`admission`). What is counted is the least that the pool
serves, and what a new job allows for is the most.
"""

import math
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.scheduling.batch import admission
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import paths as paths_lib
from bilberryroute.scheduling.batch import readiness

# Share of a measured duration that a task ahead is taken to last at least: few
# tasks of a queue end sooner, and a caller is refused only on firm ground.
SHORTEST_SHARE = 0.7
# The same for a submitter's estimate, which may be twice the true duration.
SHORTEST_ESTIMATE_SHARE = 0.5
# Multiple of a measured duration that the new job may take: the longer it
# lasts, the later its caller still gains by it.
LONGEST_FACTOR = 1.5
# A step that is wider than this share of its pool runs in waves, and its caller
# allows for them.
WAVE_SHARE = 0.25
# Steps and placed tasks that are counted at once, so that the count costs the
# leader's other work no more than some milliseconds. What is beyond is taken for
# no work.
MAX_COUNTED = 1_000


def new_demand(
    queue: catalog_model.Queue,
    account: str,
    content: batch.Content,
    capacity: batch.Resources,
    typical_ms: int,
    since_ms: int,
) -> admission.Demand:
    """Returns the demand of a new job that is not guaranteed.

    Args:
      queue: Its queue.
      account: Its account.
      content: The job.
      capacity: Of the whole pool, with all its workers.
      typical_ms: Typical measured duration of a task of the queue.
      since_ms: Unix time since which its caller waits.
    """
    waves = max(
        math.ceil(_share(step, capacity, step.count) / WAVE_SHARE) or 1
        for step in content.steps
    )
    depth = paths_lib.JobPaths(content).depth
    path_ms = int(LONGEST_FACTOR * typical_ms) * depth * waves
    short_ms = SHORTEST_SHARE * typical_ms
    work = admission.NO_WORK
    for step in content.steps:
        work = admission.plus(
            work, _work(step, capacity, step.count * short_ms)
        )
    return _demand(queue, account, work, path_ms, since_ms, guaranteed=False)


def backlogs(
    state: batch.BatchState,
    capacities: Mapping[str, batch.Resources],
    typical_ms: Mapping[str, int],
    wall_ms: int,
    paths: paths_lib.PathCache,
) -> dict[str, admission.Backlog]:
    """Returns the backlog of each pool.

    Timed and long-running jobs are left out, as if they took no room.

    Args:
      state: State of the batch jobs.
      capacities: Of each whole pool, with all its workers.
      typical_ms: Typical measured duration of a task, by queue.
      wall_ms: Unix time in milliseconds.
      paths: What is known of the jobs' steps.
    """
    guaranteed = readiness.guaranteed_jobs(state, paths)
    queues = {q.name: q for q in state.catalog.queues}
    found: dict[str, list[admission.Demand]] = {pool: [] for pool in capacities}
    countable = MAX_COUNTED
    for record in state.jobs.values():
        queue = queues.get(record.queue)
        if record.result is not None or queue is None:
            continue
        if queue.pool not in capacities or admission.never_refused(
            record.content
        ):
            continue
        countable -= _count(record)
        if countable < 0:
            break
        typical = typical_ms.get(queue.name)
        work = _work_left(record, capacities[queue.pool], typical, wall_ms)
        job_paths = paths.of(record)
        path_ms = job_paths.estimated_length_ms
        if typical is not None:
            path_ms = typical * job_paths.depth
        found[queue.pool].append(
            _demand(
                queue,
                record.account,
                work,
                path_ms,
                record.accepted_ms,
                guaranteed=record.id in guaranteed,
            )
        )
    return {
        pool: admission.Backlog(each, wall_ms) for pool, each in found.items()
    }


def _demand(
    queue: catalog_model.Queue,
    account: str,
    work: admission.Work,
    path_ms: int,
    since_ms: int,
    *,
    guaranteed: bool,
) -> admission.Demand:
    objective_ms = int(queue.slack_factor * path_ms) + queue.target_ms
    deadline_ms = since_ms + objective_ms
    worthless_ms = since_ms + deadlines.ZERO_VALUE_FACTOR * objective_ms
    return admission.Demand(
        order=(0 if guaranteed else 1 + queue.priority, deadline_ms),
        account=account,
        work=work,
        in_time_ms=deadline_ms - path_ms,
        last_ms=worthless_ms - path_ms,
    )


def _count(record: batch.BatchRecord) -> int:
    """Returns how many steps and placed tasks of a job are counted."""
    placed = sum(
        len(step_record.tasks) - step_record.first_open
        for step_record in record.occurrences.get(0, ())
    )
    return len(record.content.steps) + placed


def _work_left(
    record: batch.BatchRecord,
    capacity: batch.Resources,
    typical_ms: int | None,
    wall_ms: int,
) -> admission.Work:
    """Returns the work that is left of a job at least."""
    work = admission.NO_WORK
    step_records = record.occurrences.get(0)
    for number, step in enumerate(record.content.steps):
        task_ms = _shortest_ms(step.estimate_ms, typical_ms)
        if step_records is None:
            left_ms = step.count * task_ms
        else:
            left_ms = _step_left_ms(step_records[number], task_ms, wall_ms)
        if left_ms > 0:
            work = admission.plus(work, _work(step, capacity, left_ms))
    return work


def _step_left_ms(
    step_record: batch.StepRecord, task_ms: float, wall_ms: int
) -> float:
    if step_record.finished():
        return 0.0
    left_ms = (step_record.count - len(step_record.tasks)) * task_ms
    for _, task in step_record.open_tasks():
        ran_ms = wall_ms - task.placed_ms if task.active else 0
        left_ms += max(0.0, task_ms - ran_ms)
    return left_ms


def _shortest_ms(estimate_ms: int, typical_ms: int | None) -> float:
    if typical_ms is None:
        return SHORTEST_ESTIMATE_SHARE * estimate_ms
    return SHORTEST_SHARE * typical_ms


def _work(
    step: batch.Step, capacity: batch.Resources, task_ms: float
) -> admission.Work:
    need = batch.task_demand(step)
    return (
        _part(need.cpu_millis, capacity.cpu_millis) * task_ms,
        _part(need.memory_mb, capacity.memory_mb) * task_ms,
        _part(need.accelerators, capacity.accelerators) * task_ms,
    )


def _share(step: batch.Step, capacity: batch.Resources, count: int) -> float:
    """Returns the share of a pool that tasks of a step take together."""
    return max(_work(step, capacity, count))


def _part(need: int, has: int) -> float:
    return need / has if has > 0 else 0.0
