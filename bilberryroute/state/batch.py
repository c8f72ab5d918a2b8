"""Transitions of batch jobs: submission, placement of runs, end.

A task has at most one active run: the next run is placed only after the end
of the previous one is committed.
"""

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.model import crashes as crash_model
from bilberryroute.model import jobs
from bilberryroute.state import crashes as crash_rules
from bilberryroute.state import records

_CHANGED = commands.Changed(revision=0)

BatchRefused = batching.BatchRefused

# Failures of a task whose workers are kept. A task that is not long-running
# seldom has more attempts.
MAX_FAILED_ON = 4


def apply(
    state: records.ReplicatedState, command: commands.Command
) -> commands.Result:
    """Applies one batch command and returns its result."""
    batch_state = state.batch
    match command:
        case batching.ApplyCatalog():
            return _apply_catalog(batch_state, command)
        case batching.SetEvacuated():
            return _set_evacuated(batch_state, command)
        case batching.SubmitBatch():
            return _submit(batch_state, command)
        case batching.CancelBatch():
            return _cancel(batch_state, command)
        case batching.PlaceRuns():
            return _place_runs(batch_state, command)
        case batching.StopRuns():
            return _stop_runs(batch_state, command)
        case batching.EndRuns():
            return _end_runs(batch_state, command)
        case batching.NoteSaved():
            return _save_checkpoints(batch_state, command)
    raise errors.MalformedInput(f"unknown command {command!r}")


def authorize(
    catalog: catalog_model.Catalog, address: catalog_model.Address
) -> tuple[catalog_model.Queue, str] | BatchRefused:
    """Returns the queue at an address and the caller's account, or a refusal.

    The account is empty for a caller without a known key at an open queue.
    """
    if catalog.version == 0:
        return BatchRefused(
            kind=errors.Unavailable.kind, message="no catalog is in force yet"
        )
    queue = catalog.match(address.host, address.path)
    if queue is None:
        return BatchRefused(kind=errors.NotFound.kind, message="no such queue")
    owner = catalog.owner(address.key) if address.key else None
    if owner is None and not queue.open:
        return BatchRefused(
            kind=errors.Unauthenticated.kind, message="the key is not in force"
        )
    return queue, owner.name if owner is not None else ""


def find_job(
    batch_state: batch.BatchState, address: catalog_model.Address
) -> batch.BatchRecord | BatchRefused:
    """Returns the job at a caller's address, or a refusal."""
    authorized = authorize(batch_state.catalog, address)
    if isinstance(authorized, BatchRefused):
        return authorized
    queue, account = authorized
    record = batch_state.jobs.get(address.path.removeprefix(queue.path_prefix))
    if record is None or record.queue != queue.name:
        return BatchRefused(
            kind=errors.Gone.kind, message="there is no such job"
        )
    if record.account and record.account != account:
        return BatchRefused(
            kind=errors.Forbidden.kind,
            message="the job belongs to another account",
        )
    return record


def pending_count(
    batch_state: batch.BatchState, queue: catalog_model.Queue
) -> int:
    """Returns how many accepted jobs of a queue have not started yet."""
    return sum(
        record.queue == queue.name
        and record.result is None
        and not record.begun
        for record in batch_state.jobs.values()
    )


def _apply_catalog(
    batch_state: batch.BatchState, command: batching.ApplyCatalog
) -> batching.CatalogHeld:
    changed = command.catalog.version > batch_state.catalog.version
    if changed:
        batch_state.catalog = command.catalog
    return batching.CatalogHeld(
        version=batch_state.catalog.version, changed=changed
    )


def _set_evacuated(
    batch_state: batch.BatchState, command: batching.SetEvacuated
) -> commands.Result:
    evacuated = command.failure_domain in batch_state.evacuated
    if evacuated == command.evacuated:
        return commands.Unchanged(reason="the failure domain is in that state")
    if command.evacuated:
        batch_state.evacuated.append(command.failure_domain)
    else:
        batch_state.evacuated.remove(command.failure_domain)
    return _CHANGED


def _submit(
    batch_state: batch.BatchState, command: batching.SubmitBatch
) -> commands.Result:
    _prune_ended(batch_state, command.at_ms - command.keep_ms)
    authorized = authorize(batch_state.catalog, command.address)
    if isinstance(authorized, BatchRefused):
        return authorized
    queue, account = authorized
    job_id = command.address.path.removeprefix(queue.path_prefix)
    existing = batch_state.jobs.get(job_id)
    if existing is not None:
        return _resubmission_result(existing, command)
    batch_state.jobs[job_id] = batch.BatchRecord(
        id=job_id,
        queue=queue.name,
        account=account,
        content=command.content,
        accepted_ms=command.at_ms,
    )
    return batching.BatchAccepted(job_id=job_id, first=True)


def _resubmission_result(
    existing: batch.BatchRecord, command: batching.SubmitBatch
) -> commands.Result:
    if existing.content != command.content:
        return BatchRefused(
            kind=errors.RequestConflict.kind,
            message="the job id was used before with other content",
        )
    return batching.BatchAccepted(job_id=existing.id, first=False)


def _prune_ended(batch_state: batch.BatchState, before_ms: int) -> None:
    while batch_state.ended:
        record = batch_state.jobs.get(batch_state.ended[0])
        if record is not None:
            if record.ended_ms > before_ms or _has_active_run(record):
                return
            del batch_state.jobs[record.id]
        batch_state.ended.pop(0)


def _has_active_run(record: batch.BatchRecord) -> bool:
    return any(
        task.active
        for steps in record.occurrences.values()
        for step_record in steps
        for task in step_record.tasks
    )


def _cancel(
    batch_state: batch.BatchState, command: batching.CancelBatch
) -> commands.Result:
    record = find_job(batch_state, command.address)
    if isinstance(record, BatchRefused):
        return record
    if record.result is None:
        _end_job(
            batch_state, record, jobs.JobResult.CANCELLED, "", command.at_ms
        )
        return batching.BatchAccepted(job_id=record.id, first=True)
    return batching.BatchAccepted(job_id=record.id, first=False)


def _end_job(
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
            for task in step_record.tasks:
                if task.state == batch.TaskState.PLACED:
                    task.state = batch.TaskState.STOPPING


def _place_runs(
    batch_state: batch.BatchState, command: batching.PlaceRuns
) -> commands.Result:
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
    steps = record.occurrences.setdefault(
        unit.occurrence, batch.new_step_records(record.content)
    )
    if not _can_start(record.content, steps, unit):
        return False
    step_record = steps[unit.step]
    gang = record.content.steps[unit.step].gang
    for member in unit.members:
        task = step_record.tasks[member.index]
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
    tasks = [step_record.tasks[member.index] for member in unit.members]
    return all(
        task.state == batch.TaskState.WAITING and task.run < unit.run
        for task in tasks
    )


def _stop_runs(
    batch_state: batch.BatchState, command: batching.StopRuns
) -> commands.Result:
    changed = False
    for task_run in command.runs:
        task = _active_task(batch_state, task_run.task, task_run.run)
        if task is not None and task.state == batch.TaskState.PLACED:
            task.state = batch.TaskState.STOPPING
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


def _save_checkpoints(
    batch_state: batch.BatchState, command: batching.NoteSaved
) -> commands.Result:
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


def _end_runs(
    batch_state: batch.BatchState, command: batching.EndRuns
) -> commands.Result:
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
            task.state = batch.TaskState.DONE
            # The first member that is done completes the step of its gang.
            step_record.done = step_record.done or step.gang
        case batch.RunOutcome.FAILED:
            _count_failure(task, step_record, end.run, worker_name)
    if step_record.done:
        task.state = batch.TaskState.DONE
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
    step = record.content.steps[task_id.step]
    step_record = steps[task_id.step]
    task = step_record.tasks[task_id.index]
    failures = step_record.failed if step.gang else task.failed
    queue = batch_state.catalog.queue(record.queue)
    exhausted = queue is not None and failures >= queue.max_attempts
    if (
        exhausted
        and not step.long_running
        and task.state != batch.TaskState.DONE
    ):
        reason = f"step {task_id.step} failed {failures} times"
        _end_job(batch_state, record, jobs.JobResult.FAILED, reason, at_ms)
        return
    crashes = crash_model.unit_crashes(record, task_id)
    if (
        crash_rules.has_proved_to_crash(crashes)
        and task.state != batch.TaskState.DONE
    ):
        count = crash_rules.crashes_alone(crashes)
        reason = f"step {task_id.step} crashed its worker {count} times"
        _end_job(batch_state, record, jobs.JobResult.FAILED, reason, at_ms)
        return
    if task.state == batch.TaskState.DONE and all(
        s.finished() and not any(t.active for t in s.tasks) for s in steps
    ):
        record.finished_occurrences += 1
        if record.finished_occurrences >= record.occurrence_count:
            _end_job(batch_state, record, jobs.JobResult.DONE, "", at_ms)
