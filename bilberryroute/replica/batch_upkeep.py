"""What the leader corrects between placements: stops and checkpoints. Pure."""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch_ends
from bilberryroute.replica import board as board_lib

# A run is moved away from a draining worker if it is expected to go on for
# longer than the worker stays, less this time for the stop itself.
LEAVE_MARGIN_MS = 700
# Progress that a long-running run reports once it is at work.
AT_WORK_PERCENT = 100

Workers = Mapping[str, board_lib.BatchWorker]


def stops(
    held: batch.BatchState,
    workers: Workers,
    left_ms: Mapping[tuple[batch.TaskId, int], int],
) -> list[batching.TaskRun]:
    """Returns all runs that should stop, whatever the planner decides."""
    return [
        *_broken_gangs(held),
        *_shut_out(held, workers),
        *_leaving(held, workers, left_ms),
    ]


def at_work(workers: Workers) -> frozenset[tuple[batch.TaskId, int]]:
    """Returns the long-running runs that serve on workers that stay."""
    return frozenset(
        (run.task, run.run)
        for worker in workers.values()
        for run in worker.report.running
        if run.percent >= AT_WORK_PERCENT and not worker.report.draining
    )


def new_saves(
    held: batch.BatchState, workers: Workers
) -> tuple[batching.SavedRun, ...]:
    """Returns the checkpoints that are reported and not yet kept."""
    found = []
    for worker in workers.values():
        for run in worker.report.running:
            task = batch_ends.active_task(held, run.task, run.run)
            if task is not None and run.saved not in ("", task.saved):
                found.append(
                    batching.SavedRun(
                        task=run.task, run=run.run, saved=run.saved
                    )
                )
    return tuple(found)


def _placed(held: batch.BatchState):
    """Yields id, record and job of each run that may go on."""
    for task_ids in held.placed.values():
        for task_id in task_ids:
            record = held.jobs[task_id.job_id]
            task = record.task(task_id)
            if task.state == batch.TaskState.PLACED:
                yield task_id, task, record


def _broken_gangs(held: batch.BatchState) -> list[batching.TaskRun]:
    """Returns the members whose gang has lost one of its own."""
    found = []
    for task_id, task, record in _placed(held):
        progress = record.occurrences[task_id.occurrence][task_id.step]
        if not record.content.steps[task_id.step].gang or progress.done:
            continue
        if not all(t.active and t.run == task.run for t in progress.tasks):
            found.append(batching.TaskRun(task=task_id, run=task.run))
    return found


def _shut_out(
    held: batch.BatchState, workers: Workers
) -> list[batching.TaskRun]:
    """Returns runs that have not begun and may not begin any more."""
    found = []
    for task_id, task, _ in _placed(held):
        worker = workers.get(task.worker.name)
        if worker is None or worker.report.born != task.worker.born:
            continue
        report = worker.report
        evacuated = report.failure_domain in held.evacuated
        begun = any(
            run.task == task_id and run.run == task.run
            for run in report.running
        )
        if (report.draining or evacuated) and not begun:
            found.append(batching.TaskRun(task=task_id, run=task.run))
    return found


def _leaving(
    held: batch.BatchState,
    workers: Workers,
    left_ms: Mapping[tuple[batch.TaskId, int], int],
) -> list[batching.TaskRun]:
    """Returns runs that save their progress and outlast their worker."""
    found = []
    for worker in workers.values():
        if not worker.report.draining or worker.report.over:
            continue
        stays_ms = worker.report.remaining_ms - LEAVE_MARGIN_MS
        for run in worker.report.running:
            task = batch_ends.active_task(held, run.task, run.run)
            if task is None or task.state != batch.TaskState.PLACED:
                continue
            content = held.jobs[run.task.job_id].content
            saves = content.steps[run.task.step].checkpointing
            if saves and left_ms.get((run.task, run.run), 0) > stays_ms:
                found.append(batching.TaskRun(task=run.task, run=run.run))
    return found
