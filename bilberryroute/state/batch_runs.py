"""Transitions of the runs of batch jobs: placement, stop, checkpoint, end.

A task has at most one active run: the next run is placed only after the end
of the previous one is committed.
"""

from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import crashes as crash_rules

_CHANGED = commands.Changed(revision=0)

# Failures of a task whose workers are kept. A task that is not long-running
# seldom has more attempts.
MAX_FAILED_ON = 4


def end_job(
    batch_state: batch.BatchState,
    record: batch.BatchRecord,
    result: jobs.JobResult,
    reason: str,
    at_ms: int,
) -> None:
    """Ends a job and marks its placed runs as stopping."""
    record.result = result
    record.reason = reason
    record.ended_ms = at_ms
    batch_state.ended.append(record.id)
    for steps in record.occurrences.values():
        for step_record in steps:
            for _, task in step_record.open_tasks():
                if task.state == batch.TaskState.PLACED:
                    task.state = batch.TaskState.STOPPING


def end_exhausted_jobs(batch_state: batch.BatchState, at_ms: int) -> None:
    """Ends the jobs of which a waiting task has no attempt left.

    Its last attempt may have failed while its queue was not in the catalog, or
    the queue may allow fewer attempts than before.
    """
    for record in batch_state.jobs.values():
        if record.result is not None:
            continue
        for task_id in _waiting_tasks(record):
            failures = _failures_if_exhausted(batch_state, record, task_id)
            if failures:
                _end_failed_job(
                    batch_state, record, task_id.step, failures, at_ms
                )
                break


def place_runs(
    batch_state: batch.BatchState, command: batching.PlaceRuns
) -> commands.Result:
    """Places the units that may still start, and leaves out the others."""
    placed = [
        unit
        for unit in command.units
        if _place_unit(batch_state, unit, command.at_ms)
    ]
    if not placed:
        return commands.Unchanged(reason="no unit could be placed")
    return _CHANGED


def _place_unit(
    batch_state: batch.BatchState, unit: batching.Unit, at_ms: int
) -> bool:
    record = batch_state.jobs.get(unit.job_id)
    if record is None or record.result is not None:
        return False
    if unit.occurrence >= record.occurrence_count:
        return False
    steps = record.occurrences.get(unit.occurrence)
    if steps is None:
        steps = batch.new_step_records(record.content)
        record.occurrences[unit.occurrence] = steps
    if not _can_start(record.content, steps, unit):
        return False
    step_record = steps[unit.step]
    gang = record.content.steps[unit.step].gang
    for member in unit.members:
        task = step_record.open(member.index)
        task.permit = member.permit
        task.resumed = step_record.saved if gang else task.saved
        task.state = batch.TaskState.PLACED
        task.run = unit.run
        task.worker = member.worker
        task.placed_ms = at_ms
        batch_state.placed.setdefault(member.worker.agent, []).append(
            unit.task(member)
        )
    record.begun = True
    return True


def _can_start(
    content: batch.Content,
    steps: list[batch.StepRecord],
    unit: batching.Unit,
) -> bool:
    dependencies = content.steps[unit.step].depends_on
    if not all(steps[index].finished() for index in dependencies):
        return False
    step_record = steps[unit.step]
    if step_record.done:
        return False
    if any(member.index >= step_record.count for member in unit.members):
        return False
    tasks = [step_record.task_or_new(member.index) for member in unit.members]
    return all(
        task.state == batch.TaskState.WAITING and task.run < unit.run
        for task in tasks
    )


def stop_runs(
    batch_state: batch.BatchState, command: batching.StopRuns
) -> commands.Result:
    """Marks the runs that are placed as stopping."""
    changed = False
    for task_run in command.runs:
        task = _active_task(batch_state, task_run.task, task_run.run)
        if task is not None and task.state == batch.TaskState.PLACED:
            task.state = batch.TaskState.STOPPING
            if not command.forced:
                task.stops += 1
            changed = True
    return _CHANGED if changed else commands.Unchanged(reason="no placed runs")


def _active_task(
    batch_state: batch.BatchState, task_id: batch.TaskId, run: int
) -> batch.TaskRecord | None:
    """Returns the task if its active run has this number, or None."""
    record = batch_state.jobs.get(task_id.job_id)
    task = record.task(task_id) if record is not None else None
    if task is None or task.run != run or not task.active:
        return None
    return task


def save_checkpoints(
    batch_state: batch.BatchState, command: batching.NoteSaved
) -> commands.Result:
    """Keeps the checkpoints of active runs."""
    for checkpoint in command.saves:
        task = _active_task(batch_state, checkpoint.task, checkpoint.run)
        if task is not None:
            record = batch_state.jobs[checkpoint.task.job_id]
            _record_checkpoint(record, task, checkpoint.task, checkpoint.saved)
    # Not `Changed`: no scheduling decision or desired state depends on it.
    return commands.Unchanged(reason="checkpoints are kept")


def _record_checkpoint(
    record: batch.BatchRecord,
    task: batch.TaskRecord,
    task_id: batch.TaskId,
    saved: str,
) -> None:
    task.saved = saved
    # The whole gang can resume from the checkpoint of one member.
    record.occurrences[task_id.occurrence][task_id.step].saved = saved


def end_runs(
    batch_state: batch.BatchState, command: batching.EndRuns
) -> commands.Result:
    """Ends active runs, and the jobs that this completes or makes fail."""
    changed = False
    alone = crash_rules.workers_with_one_unit(batch_state, command.ends)
    for end in command.ends:
        task = _active_task(batch_state, end.task, end.run)
        if task is not None:
            crash_rules.forget_outlived_crashes(task, command.at_ms)
            if end.cause == batch.LossCause.CRASHED:
                crash_rules.record_crash(
                    task, end, command.at_ms, alone=task.worker in alone
                )
            _end_run(
                batch_state,
                batch_state.jobs[end.task.job_id],
                task,
                end,
                command.at_ms,
            )
            changed = True
    crash_rules.explain_crashes(batch_state, command.ends)
    return _CHANGED if changed else commands.Unchanged(reason="already ended")


def _end_run(
    batch_state: batch.BatchState,
    record: batch.BatchRecord,
    task: batch.TaskRecord,
    end: batching.RunEnd,
    at_ms: int,
) -> None:
    worker_name = task.worker.name
    _clear_placement(batch_state, task, end.task)
    step = record.content.steps[end.task.step]
    step_record = record.occurrences[end.task.occurrence][end.task.step]
    if end.saved:
        _record_checkpoint(record, task, end.task, end.saved)
    match end.outcome:
        case batch.RunOutcome.DONE if not step.long_running:
            step_record.mark_done(task)
            # The first member that is done completes the step of its gang.
            step_record.done = step_record.done or step.gang
        case batch.RunOutcome.FAILED:
            _count_failure(task, step_record, end.run, worker_name)
    if step_record.done:
        step_record.mark_done(task)
    if record.result is None:
        _end_job_if_decided(batch_state, record, end.task, at_ms)


def _clear_placement(
    batch_state: batch.BatchState, task: batch.TaskRecord, task_id: batch.TaskId
) -> None:
    placed = batch_state.placed[task.worker.agent]
    placed.remove(task_id)
    if not placed:
        del batch_state.placed[task.worker.agent]
    task.worker = None
    task.state = batch.TaskState.WAITING


def _count_failure(
    task: batch.TaskRecord,
    step_record: batch.StepRecord,
    run: int,
    worker_name: str,
) -> None:
    """Counts a failure; a gang's run counts once however many members fail."""
    task.failed += 1
    task.failed_on = [*task.failed_on, worker_name][-MAX_FAILED_ON:]
    if step_record.failed_run < run:
        step_record.failed_run = run
        step_record.failed += 1


def _end_job_if_decided(
    batch_state: batch.BatchState,
    record: batch.BatchRecord,
    task_id: batch.TaskId,
    at_ms: int,
) -> None:
    """Ends the job if this end of a run makes it fail or completes it."""
    steps = record.occurrences[task_id.occurrence]
    step_record = steps[task_id.step]
    task = step_record.tasks[task_id.index]
    failures = _failures_if_exhausted(batch_state, record, task_id)
    if failures and task.state != batch.TaskState.DONE:
        _end_failed_job(batch_state, record, task_id.step, failures, at_ms)
        return
    # Not the crashes of the whole gang: a guilty member has one in each run.
    if (
        crash_rules.has_proved_to_crash(task.crashes)
        and task.state != batch.TaskState.DONE
    ):
        count = crash_rules.blamed_crashes(task.crashes)
        reason = f"step {task_id.step} crashed its worker {count} times"
        end_job(batch_state, record, jobs.JobResult.FAILED, reason, at_ms)
        return
    if (
        task.state == batch.TaskState.DONE
        and record.skip_finished(task_id.occurrence)
        and not _has_active_member(record, steps)
    ):
        record.finished_occurrences += 1
        if record.finished_occurrences >= record.occurrence_count:
            end_job(batch_state, record, jobs.JobResult.DONE, "", at_ms)


def _has_active_member(
    record: batch.BatchRecord, steps: list[batch.StepRecord]
) -> bool:
    """Returns whether any gang of finished steps still has an active run."""
    return any(
        task.active
        for step, step_record in zip(record.content.steps, steps, strict=True)
        if step.gang
        for _, task in step_record.open_tasks()
    )


def _waiting_tasks(record: batch.BatchRecord) -> Iterator[batch.TaskId]:
    for occurrence, steps in record.occurrences.items():
        for step, step_record in enumerate(steps):
            for index, task in step_record.open_tasks():
                if task.state == batch.TaskState.WAITING:
                    yield batch.TaskId(
                        job_id=record.id,
                        occurrence=occurrence,
                        step=step,
                        index=index,
                    )


def _failures_if_exhausted(
    batch_state: batch.BatchState,
    record: batch.BatchRecord,
    task_id: batch.TaskId,
) -> int:
    """Returns how often a task failed if it has no attempt left, else 0.

    Nothing is decided while its queue is not in the catalog.
    """
    queue = batch_state.catalog.queue(record.queue)
    step = record.content.steps[task_id.step]
    if queue is None or step.long_running:
        return 0
    step_record = record.occurrences[task_id.occurrence][task_id.step]
    if step_record.done:
        return 0
    failures = (
        step_record.failed
        if step.gang
        else step_record.tasks[task_id.index].failed
    )
    return failures if failures >= queue.max_attempts else 0


def _end_failed_job(
    batch_state: batch.BatchState,
    record: batch.BatchRecord,
    step: int,
    failures: int,
    at_ms: int,
) -> None:
    reason = f"step {step} failed {failures} times"
    end_job(batch_state, record, jobs.JobResult.FAILED, reason, at_ms)
