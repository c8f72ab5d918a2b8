"""Stops and checkpoints that don't depend on the planner. Pure."""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch_ends
from bilberryroute.replica import board as board_lib

# Time reserved for the stop of a run on a draining worker: the run is moved if
# it is not expected to end this long before the worker leaves.
STOP_MARGIN_MS = 700
# Progress that a long-running run reports once it serves.
SERVING_PERCENT = 100

WorkersByName = Mapping[str, board_lib.BatchWorker]


def required_stops(
    batch_state: batch.BatchState,
    workers: WorkersByName,
    left_ms: Mapping[tuple[batch.TaskId, int], int],
) -> list[batching.TaskRun]:
    """Returns all runs to stop regardless of the planner's decisions."""
    return [
        *_broken_gangs(batch_state),
        *_blocked_runs(batch_state, workers),
        *_runs_beyond_capacity(batch_state, workers),
        *_runs_to_move(batch_state, workers, left_ms),
    ]


def serving_runs(workers: WorkersByName) -> frozenset[tuple[batch.TaskId, int]]:
    """Returns the long-running runs that serve on workers not draining."""
    return frozenset(
        (run.task, run.run)
        for worker in workers.values()
        for run in worker.report.running
        if run.percent >= SERVING_PERCENT and not worker.report.draining
    )


def new_checkpoints(
    batch_state: batch.BatchState, workers: WorkersByName
) -> tuple[batching.SavedRun, ...]:
    """Returns the checkpoints that are reported but not committed."""
    selected = []
    for worker in workers.values():
        for run in worker.report.running:
            task = batch_ends.active_task(batch_state, run.task, run.run)
            if task is not None and run.saved not in ("", task.saved):
                selected.append(
                    batching.SavedRun(
                        task=run.task, run=run.run, saved=run.saved
                    )
                )
    return tuple(selected)


def _placed_runs(batch_state: batch.BatchState):
    """Yields task id, task record and job record of each placed run."""
    for task_ids in batch_state.placed.values():
        for task_id in task_ids:
            record = batch_state.jobs[task_id.job_id]
            task = record.task(task_id)
            if task.state == batch.TaskState.PLACED:
                yield task_id, task, record


def _broken_gangs(batch_state: batch.BatchState) -> list[batching.TaskRun]:
    """Returns the runs of gangs that have lost a member."""
    selected = []
    whole: dict[tuple[str, int, int, int], bool] = {}
    for task_id, task, record in _placed_runs(batch_state):
        step_record = record.occurrences[task_id.occurrence][task_id.step]
        if not record.content.steps[task_id.step].gang or step_record.done:
            continue
        key = (task_id.job_id, task_id.occurrence, task_id.step, task.run)
        if key not in whole:
            whole[key] = all(
                t.active and t.run == task.run for t in step_record.tasks
            )
        if not whole[key]:
            selected.append(batching.TaskRun(task=task_id, run=task.run))
    return selected


def _blocked_runs(
    batch_state: batch.BatchState, workers: WorkersByName
) -> list[batching.TaskRun]:
    """Returns runs that have not begun and can no longer begin.

    Their worker drains, or its failure domain is evacuated.
    """
    selected = []
    begun: dict[str, set[tuple[batch.TaskId, int]]] = {}
    for task_id, task, _ in _placed_runs(batch_state):
        worker = workers.get(task.worker.name)
        if worker is None or worker.report.born != task.worker.born:
            continue
        report = worker.report
        evacuated = report.failure_domain in batch_state.evacuated
        if not (report.draining or evacuated):
            continue
        if report.name not in begun:
            begun[report.name] = {(run.task, run.run) for run in report.running}
        if (task_id, task.run) not in begun[report.name]:
            selected.append(batching.TaskRun(task=task_id, run=task.run))
    return selected


def _runs_beyond_capacity(
    batch_state: batch.BatchState, workers: WorkersByName
) -> list[batching.TaskRun]:
    """Returns runs that have not begun and no longer fit on their worker.

    Its capacity has shrunk since they were placed. The agent does not start
    them; elsewhere they need not wait. The oldest runs are kept.
    """
    selected = []
    for worker in workers.values():
        report = worker.report
        if report.draining or report.over:
            continue
        ref = batch.WorkerRef(
            agent=worker.agent, name=report.name, born=report.born
        )
        begun = {(run.task, run.run) for run in report.running}
        free = report.capacity
        not_begun = []
        for task_id in batch_state.placed.get(worker.agent, ()):
            record = batch_state.jobs[task_id.job_id]
            task = record.task(task_id)
            if task.worker != ref:
                continue
            demand = batch.task_demand(record.content.steps[task_id.step])
            placed = task.state == batch.TaskState.PLACED
            if placed and (task_id, task.run) not in begun:
                run = batching.TaskRun(task=task_id, run=task.run)
                not_begun.append((run, demand))
            else:
                free = free.minus(demand)
        for run, demand in not_begun:
            if free.holds(demand):
                free = free.minus(demand)
            elif demand != batch.NO_RESOURCES:
                selected.append(run)
    return selected


def _runs_to_move(
    batch_state: batch.BatchState,
    workers: WorkersByName,
    left_ms: Mapping[tuple[batch.TaskId, int], int],
) -> list[batching.TaskRun]:
    """Returns checkpointing runs that would outlast their draining worker."""
    selected = []
    for worker in workers.values():
        if not worker.report.draining or worker.report.over:
            continue
        available_ms = worker.report.remaining_ms - STOP_MARGIN_MS
        for run in worker.report.running:
            task = batch_ends.active_task(batch_state, run.task, run.run)
            if task is None or task.state != batch.TaskState.PLACED:
                continue
            content = batch_state.jobs[run.task.job_id].content
            checkpointing = content.steps[run.task.step].checkpointing
            if (
                checkpointing
                and left_ms.get((run.task, run.run), 0) > available_ms
            ):
                selected.append(batching.TaskRun(task=run.task, run=run.run))
    return selected
