"""Transitions of batch jobs: catalog, submission and cancellation.

Those of their runs are in `batch_runs`.
"""

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import batch_runs as run_rules
from bilberryroute.state import closed_ids
from bilberryroute.state import evacuations
from bilberryroute.state import records

# Twice as many tasks as a whole deployment runs at once; they would have to run
# together.
MAX_GANG_TASKS = 10_000

BatchRefused = batching.BatchRefused


def apply(
    state: records.ReplicatedState, command: commands.Command
) -> commands.Result:
    """Applies one batch command and returns its result."""
    batch_state = state.batch
    match command:
        case batching.ApplyCatalog():
            return _apply_catalog(batch_state, command)
        case batching.SetEvacuated():
            return evacuations.set_evacuated(batch_state, command)
        case batching.SubmitBatch():
            return _submit(batch_state, command)
        case batching.CancelBatch():
            return _cancel(batch_state, command)
        case batching.PlaceRuns():
            return run_rules.place_runs(batch_state, command)
        case batching.StopRuns():
            return run_rules.stop_runs(batch_state, command)
        case batching.EndRuns():
            return run_rules.end_runs(batch_state, command)
        case batching.NoteSaved():
            return run_rules.save_checkpoints(batch_state, command)
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
        run_rules.end_exhausted_jobs(batch_state, command.at_ms)
    return batching.CatalogHeld(
        version=batch_state.catalog.version, changed=changed
    )


def _submit(
    batch_state: batch.BatchState, command: batching.SubmitBatch
) -> commands.Result:
    _prune_ended(batch_state, command)
    authorized = authorize(batch_state.catalog, command.address)
    if isinstance(authorized, BatchRefused):
        return authorized
    queue, account = authorized
    job_id = command.address.path.removeprefix(queue.path_prefix)
    existing = batch_state.jobs.get(job_id)
    if existing is not None:
        return _resubmission_result(existing, command)
    if closed_ids.is_closed(
        batch_state.closed_ids, account, job_id, command.at_ms
    ):
        return BatchRefused(
            kind=errors.Gone.kind,
            message="the job was cancelled, or has ended and is not stored",
        )
    if batch.largest_gang(command.content) > MAX_GANG_TASKS:
        return BatchRefused(
            kind=errors.ImpossibleJob.kind,
            message=f"a gang has more than {MAX_GANG_TASKS} tasks",
        )
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


def _prune_ended(
    batch_state: batch.BatchState, command: batching.SubmitBatch
) -> None:
    before_ms = command.at_ms - command.keep_ms
    while batch_state.ended:
        record = batch_state.jobs.get(batch_state.ended[0])
        if record is not None:
            if record.ended_ms > before_ms or _has_active_run(record):
                return
            del batch_state.jobs[record.id]
            closed_ids.close(
                batch_state.closed_ids,
                record.account,
                record.id,
                command.at_ms,
            )
        batch_state.ended.pop(0)


def _has_active_run(record: batch.BatchRecord) -> bool:
    return any(
        task.active
        for steps in record.occurrences.values()
        for step_record in steps
        for _, task in step_record.open_tasks()
    )


def _cancel(
    batch_state: batch.BatchState, command: batching.CancelBatch
) -> commands.Result:
    record = find_job(batch_state, command.address)
    if isinstance(record, BatchRefused):
        if record.kind == errors.Gone.kind:
            _close_unknown_id(batch_state, command)
        return record
    if record.result is None:
        run_rules.end_job(
            batch_state, record, jobs.JobResult.CANCELLED, "", command.at_ms
        )
        return batching.BatchAccepted(job_id=record.id, first=True)
    return batching.BatchAccepted(job_id=record.id, first=False)


def _close_unknown_id(
    batch_state: batch.BatchState, command: batching.CancelBatch
) -> None:
    """Refuses a submission that was sent before the cancellation.

    The caller has been told that there is no such job.
    """
    queue, account = authorize(batch_state.catalog, command.address)
    job_id = command.address.path.removeprefix(queue.path_prefix)
    closed_ids.close(batch_state.closed_ids, account, job_id, command.at_ms)
