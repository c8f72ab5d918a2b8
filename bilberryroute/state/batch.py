"""Life of batch jobs: submitted, placed run by run, ended.

A task has at most one run that is not known to have ended. The next run is
placed only after the end of the one before was committed.
"""

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import records

_CHANGED = commands.Changed(revision=0)

Refusal = batching.BatchRefused


def apply(state: records.State, command: commands.Command) -> commands.Result:
    """Applies one command on batch jobs and returns its result."""
    held = state.batch
    match command:
        case batching.ApplyCatalog():
            return _apply_catalog(held, command)
        case batching.SetEvacuated():
            return _set_evacuated(held, command)
        case batching.SubmitBatch():
            return _submit(held, command)
        case batching.CancelBatch():
            return _cancel(held, command)
        case batching.PlaceRuns():
            return _place(held, command)
        case batching.StopRuns():
            return _stop(held, command)
        case batching.EndRuns():
            return _end(held, command)
        case batching.NoteSaved():
            return _note_saved(held, command)
    raise errors.MalformedInput(f"unknown command {command!r}")


def authorize(
    catalog: catalog_model.Catalog, address: catalog_model.Address
) -> tuple[catalog_model.Queue, str] | Refusal:
    """Returns the queue that a caller may use and its account, or a refusal."""
    if catalog.version == 0:
        return Refusal(
            kind=errors.Unavailable.kind, message="no catalog is in force yet"
        )
    queue = catalog.match(address.host, address.path)
    if queue is None:
        return Refusal(kind=errors.NotFound.kind, message="no such queue")
    owner = catalog.owner(address.key) if address.key else None
    if owner is None and not queue.open:
        return Refusal(
            kind=errors.Unauthenticated.kind, message="the key is not in force"
        )
    return queue, owner.name if owner is not None else ""


def find(
    held: batch.BatchState, address: catalog_model.Address
) -> batch.BatchRecord | Refusal:
    """Returns the job that a caller names, or a refusal."""
    allowed = authorize(held.catalog, address)
    if isinstance(allowed, Refusal):
        return allowed
    queue, account = allowed
    record = held.jobs.get(address.path.removeprefix(queue.path_prefix))
    if record is None or record.queue != queue.name:
        return Refusal(kind=errors.Gone.kind, message="there is no such job")
    if record.account and record.account != account:
        return Refusal(
            kind=errors.Forbidden.kind, message="the job is another account's"
        )
    return record


def pending(held: batch.BatchState, queue: catalog_model.Queue) -> int:
    """Returns how many accepted jobs of a queue have not begun."""
    return sum(
        record.queue == queue.name
        and record.result is None
        and not record.begun
        for record in held.jobs.values()
    )


def _apply_catalog(
    held: batch.BatchState, command: batching.ApplyCatalog
) -> batching.CatalogHeld:
    changed = command.catalog.version > held.catalog.version
    if changed:
        held.catalog = command.catalog
    return batching.CatalogHeld(version=held.catalog.version, changed=changed)


def _set_evacuated(
    held: batch.BatchState, command: batching.SetEvacuated
) -> commands.Result:
    known = command.failure_domain in held.evacuated
    if known == command.evacuated:
        return commands.Unchanged(reason="the failure domain is in that state")
    if command.evacuated:
        held.evacuated.append(command.failure_domain)
    else:
        held.evacuated.remove(command.failure_domain)
    return _CHANGED


def _submit(
    held: batch.BatchState, command: batching.SubmitBatch
) -> commands.Result:
    _forget_ended(held, command.at_ms - command.keep_ms)
    allowed = authorize(held.catalog, command.address)
    if isinstance(allowed, Refusal):
        return allowed
    queue, account = allowed
    job_id = command.address.path.removeprefix(queue.path_prefix)
    known = held.jobs.get(job_id)
    if known is not None:
        return _submit_again(known, command)
    held.jobs[job_id] = batch.BatchRecord(
        id=job_id,
        queue=queue.name,
        account=account,
        content=command.content,
        accepted_ms=command.at_ms,
    )
    return batching.BatchAccepted(job_id=job_id, first=True)


def _submit_again(
    known: batch.BatchRecord, command: batching.SubmitBatch
) -> commands.Result:
    if known.content != command.content:
        return Refusal(
            kind=errors.RequestConflict.kind,
            message="the job id was used before with other content",
        )
    return batching.BatchAccepted(job_id=known.id, first=False)


def _forget_ended(held: batch.BatchState, before_ms: int) -> None:
    while held.ended:
        record = held.jobs.get(held.ended[0])
        if record is not None:
            if record.ended_ms > before_ms or _any_active(record):
                return
            del held.jobs[record.id]
        held.ended.pop(0)


def _any_active(record: batch.BatchRecord) -> bool:
    return any(
        task.active
        for steps in record.occurrences.values()
        for step in steps
        for task in step.tasks
    )


def _cancel(
    held: batch.BatchState, command: batching.CancelBatch
) -> commands.Result:
    found = find(held, command.address)
    if isinstance(found, Refusal):
        return found
    if found.result is None:
        _finish(held, found, jobs.JobResult.CANCELLED, "", command.at_ms)
        return batching.BatchAccepted(job_id=found.id, first=True)
    return batching.BatchAccepted(job_id=found.id, first=False)


def _finish(
    held: batch.BatchState,
    record: batch.BatchRecord,
    result: jobs.JobResult,
    reason: str,
    at_ms: int,
) -> None:
    """Ends a job; runs that are still on workers are to stop."""
    record.result = result
    record.reason = reason
    record.ended_ms = at_ms
    held.ended.append(record.id)
    for steps in record.occurrences.values():
        for step in steps:
            for task in step.tasks:
                if task.state == batch.TaskState.PLACED:
                    task.state = batch.TaskState.STOPPING


def _place(
    held: batch.BatchState, command: batching.PlaceRuns
) -> commands.Result:
    placed = [
        unit for unit in command.units if _place_unit(held, unit, command.at_ms)
    ]
    if not placed:
        return commands.Unchanged(reason="no unit could be placed")
    return _CHANGED


def _place_unit(
    held: batch.BatchState, unit: batching.Unit, at_ms: int
) -> bool:
    record = held.jobs.get(unit.job_id)
    if record is None or record.result is not None:
        return False
    if unit.occurrence >= record.occurrence_count:
        return False
    steps = record.occurrences.setdefault(
        unit.occurrence, batch.open_steps(record.content)
    )
    if not _may_start(record.content, steps, unit):
        return False
    progress = steps[unit.step]
    gang = record.content.steps[unit.step].gang
    for member in unit.members:
        task = progress.tasks[member.index]
        task.permit = member.permit
        task.resumed = progress.saved if gang else task.saved
        task.state = batch.TaskState.PLACED
        task.run = unit.run
        task.worker = member.worker
        task.placed_ms = at_ms
        held.placed.setdefault(member.worker.agent, []).append(
            unit.task(member)
        )
    record.begun = True
    return True


def _may_start(
    content: batch.Content,
    steps: list[batch.StepRecord],
    unit: batching.Unit,
) -> bool:
    needed = content.steps[unit.step].depends_on
    if not all(steps[number].finished() for number in needed):
        return False
    step = steps[unit.step]
    if step.done:
        return False
    tasks = [step.tasks[member.index] for member in unit.members]
    return all(
        task.state == batch.TaskState.WAITING and task.run < unit.run
        for task in tasks
    )


def _stop(
    held: batch.BatchState, command: batching.StopRuns
) -> commands.Result:
    changed = False
    for each in command.runs:
        task = _present(held, each.task, each.run)
        if task is not None and task.state == batch.TaskState.PLACED:
            task.state = batch.TaskState.STOPPING
            changed = True
    return _CHANGED if changed else commands.Unchanged(reason="none placed")


def _present(
    held: batch.BatchState, task_id: batch.TaskId, run: int
) -> batch.TaskRecord | None:
    """Returns a task whose run of that number is not known to have ended."""
    record = held.jobs.get(task_id.job_id)
    task = record.task(task_id) if record is not None else None
    if task is None or task.run != run or not task.active:
        return None
    return task


def _note_saved(
    held: batch.BatchState, command: batching.NoteSaved
) -> commands.Result:
    for each in command.saves:
        task = _present(held, each.task, each.run)
        if task is not None:
            record = held.jobs[each.task.job_id]
            _keep_saved(record, task, each.task, each.saved)
    # No decision depends on a checkpoint, so no desired state changes.
    return commands.Unchanged(reason="checkpoints are kept")


def _keep_saved(
    record: batch.BatchRecord,
    task: batch.TaskRecord,
    task_id: batch.TaskId,
    saved: str,
) -> None:
    task.saved = saved
    # A checkpoint of one member is good for its whole gang.
    record.occurrences[task_id.occurrence][task_id.step].saved = saved


def _end(held: batch.BatchState, command: batching.EndRuns) -> commands.Result:
    changed = False
    for end in command.ends:
        task = _present(held, end.task, end.run)
        if task is not None:
            _end_run(held, held.jobs[end.task.job_id], task, end, command.at_ms)
            changed = True
    return _CHANGED if changed else commands.Unchanged(reason="all known")


def _end_run(
    held: batch.BatchState,
    record: batch.BatchRecord,
    task: batch.TaskRecord,
    end: batching.RunEnd,
    at_ms: int,
) -> None:
    _release(held, task, end.task)
    step = record.content.steps[end.task.step]
    progress = record.occurrences[end.task.occurrence][end.task.step]
    if end.saved:
        _keep_saved(record, task, end.task, end.saved)
    match end.outcome:
        case batch.RunOutcome.DONE if not step.long_running:
            task.state = batch.TaskState.DONE
            progress.done = progress.done or step.gang
        case batch.RunOutcome.FAILED:
            _count_failure(task, progress, end.run)
    if progress.done:
        task.state = batch.TaskState.DONE
    if record.result is None:
        _judge(held, record, end.task, at_ms)


def _release(
    held: batch.BatchState, task: batch.TaskRecord, task_id: batch.TaskId
) -> None:
    tasks = held.placed[task.worker.agent]
    tasks.remove(task_id)
    if not tasks:
        del held.placed[task.worker.agent]
    task.worker = None
    task.state = batch.TaskState.WAITING


def _count_failure(
    task: batch.TaskRecord, progress: batch.StepRecord, run: int
) -> None:
    task.failed += 1
    if progress.failed_run < run:
        progress.failed_run = run
        progress.failed += 1


def _judge(
    held: batch.BatchState,
    record: batch.BatchRecord,
    task_id: batch.TaskId,
    at_ms: int,
) -> None:
    """Ends the job if this end of a run decides it."""
    steps = record.occurrences[task_id.occurrence]
    step = record.content.steps[task_id.step]
    progress = steps[task_id.step]
    task = progress.tasks[task_id.index]
    failures = progress.failed if step.gang else task.failed
    queue = held.catalog.queue(record.queue)
    spent = queue is not None and failures >= queue.max_attempts
    if spent and not step.long_running and task.state != batch.TaskState.DONE:
        reason = f"step {task_id.step} failed {failures} times"
        _finish(held, record, jobs.JobResult.FAILED, reason, at_ms)
        return
    if task.state == batch.TaskState.DONE and all(
        each.finished() and not any(t.active for t in each.tasks)
        for each in steps
    ):
        record.finished_occurrences += 1
        if record.finished_occurrences >= record.occurrence_count:
            _finish(held, record, jobs.JobResult.DONE, "", at_ms)
