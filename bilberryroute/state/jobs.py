"""Life of jobs: queued, reserved, running, stopping, ended."""

import dataclasses

from bilberryroute import errors
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import records

ENDED_KEPT = 5_000

_PLACED = (jobs.JobPhase.RESERVED, jobs.JobPhase.RUNNING)
_HOLDING = (*_PLACED, jobs.JobPhase.STOPPING)

_CHANGED = commands.Changed(revision=0)


def submit(
    state: records.State, command: commands.SubmitJob
) -> commands.JobAccepted | commands.JobRefused:
    """Queues a job; a resend with the same content changes nothing."""
    job = command.job
    known = state.jobs.get(job.id)
    if known is not None:
        return _submit_again(job, known)
    if job.account not in state.configuration.accounts:
        return commands.JobRefused(
            job_id=job.id,
            kind=errors.NotFound.kind,
            message=f"client account {job.account!r} does not exist",
        )
    accepted = dataclasses.replace(job, submitted_ms=command.at_ms)
    state.jobs[job.id] = jobs.JobRecord(
        job=accepted, phase_since_ms=command.at_ms
    )
    return commands.JobAccepted(job_id=job.id, first=True)


def _submit_again(
    job: jobs.Job, known: jobs.JobRecord
) -> commands.JobAccepted | commands.JobRefused:
    same = dataclasses.replace(job, submitted_ms=known.job.submitted_ms)
    if same == known.job:
        return commands.JobAccepted(job_id=job.id, first=False)
    return commands.JobRefused(
        job_id=job.id,
        kind=errors.RequestConflict.kind,
        message="the job id was used before with other content",
    )


def cancel(
    state: records.State, command: commands.CancelJobs
) -> commands.Result:
    """Cancels all jobs named, in one step."""
    changed = False
    for job_id in command.job_ids:
        changed = _cancel_one(state, job_id, command.at_ms) or changed
    return _CHANGED if changed else commands.Unchanged(reason="none active")


def _cancel_one(state: records.State, job_id: str, at_ms: int) -> bool:
    record = state.jobs.get(job_id)
    if record is None or record.phase == jobs.JobPhase.ENDED:
        return False
    if record.phase == jobs.JobPhase.QUEUED:
        _end(state, record, jobs.JobResult.CANCELLED, "cancelled", at_ms)
        return True
    state.jobs[job_id] = dataclasses.replace(
        record,
        phase=jobs.JobPhase.STOPPING,
        requeue=False,
        result=jobs.JobResult.CANCELLED,
        reason="cancelled",
        phase_since_ms=at_ms,
    )
    return True


def refuse(
    state: records.State, command: commands.RefuseJob
) -> commands.Result:
    """Ends a queued job that can never run."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase != jobs.JobPhase.QUEUED:
        return commands.Unchanged(reason="the job is not queued")
    _end(state, record, command.result, command.reason, command.at_ms)
    return _CHANGED


def place(state: records.State, command: commands.PlaceJob) -> commands.Result:
    """Reserves every accelerator of the gang, or none."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase != jobs.JobPhase.QUEUED:
        return commands.Unchanged(reason="the job is not queued")
    if command.attempt <= record.attempt:
        return commands.Unchanged(reason="not a new attempt")
    obstacle = _obstacle(state, command.assignments)
    if obstacle:
        return commands.Unchanged(reason=obstacle)
    for part in command.assignments:
        held = state.held.setdefault(part.worker, {})
        held.update(dict.fromkeys(part.accelerators, command.job_id))
    state.jobs[command.job_id] = dataclasses.replace(
        record,
        phase=jobs.JobPhase.RESERVED,
        attempt=command.attempt,
        assignments=command.assignments,
        reason="",
        phase_since_ms=command.at_ms,
    )
    return _CHANGED


def _obstacle(
    state: records.State, assignments: tuple[jobs.Assignment, ...]
) -> str:
    """Returns why the accelerators cannot all be reserved, or ''."""
    for part in assignments:
        if not worker_in_service(state, part.worker):
            return f"worker {part.worker} is not in service"
        worker = state.workers[part.worker]
        held = state.held.get(part.worker, {})
        for index in part.accelerators:
            if index >= worker.accelerators or index in held:
                return f"accelerator {part.worker}/{index} is not free"
    return ""


def worker_in_service(state: records.State, name: str) -> bool:
    """Says whether work may be placed on a worker."""
    worker = state.workers.get(name)
    if worker is None:
        return False
    wish = state.configuration.workers.get(name)
    if wish is not None and not wish.in_service:
        return False
    domain = state.configuration.failure_domains.get(worker.failure_domain)
    return domain is not None and domain.in_service


def start(state: records.State, command: commands.StartJob) -> commands.Result:
    """Lets a gang run once every member holds its reservation."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase != jobs.JobPhase.RESERVED:
        return commands.Unchanged(reason="the job is not reserved")
    if command.attempt != record.attempt:
        return commands.Unchanged(reason="not the present attempt")
    for part in record.assignments:
        if not worker_in_service(state, part.worker):
            return commands.Unchanged(
                reason=f"worker {part.worker} is not in service"
            )
    state.jobs[command.job_id] = dataclasses.replace(
        record, phase=jobs.JobPhase.RUNNING, phase_since_ms=command.at_ms
    )
    return _CHANGED


def stop(state: records.State, command: commands.StopJob) -> commands.Result:
    """Stops all members of an attempt."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase not in _PLACED:
        return commands.Unchanged(reason="the job is not placed")
    if command.attempt != record.attempt:
        return commands.Unchanged(reason="not the present attempt")
    state.jobs[command.job_id] = dataclasses.replace(
        record,
        phase=jobs.JobPhase.STOPPING,
        requeue=command.requeue,
        checkpoint=command.checkpoint,
        reason=command.reason,
        phase_since_ms=command.at_ms,
    )
    return _CHANGED


def release(
    state: records.State, command: commands.ReleaseJob
) -> commands.Result:
    """Frees the accelerators of an attempt whose members run no more."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase not in _HOLDING:
        return commands.Unchanged(reason="the job holds nothing")
    if command.attempt != record.attempt:
        return commands.Unchanged(reason="not the present attempt")
    _free(state, record)
    if command.result is not None:
        _end(state, record, command.result, command.reason, command.at_ms)
        return _CHANGED
    state.jobs[command.job_id] = dataclasses.replace(
        record,
        phase=jobs.JobPhase.QUEUED,
        assignments=(),
        requeue=False,
        checkpoint=False,
        progress_ms=max(record.progress_ms, command.progress_ms),
        reason=command.reason,
        phase_since_ms=command.at_ms,
    )
    return _CHANGED


def _free(state: records.State, record: jobs.JobRecord) -> None:
    for part in record.assignments:
        held = state.held.get(part.worker, {})
        for index in part.accelerators:
            if held.get(index) == record.job.id:
                del held[index]
        if not held:
            state.held.pop(part.worker, None)


def _end(
    state: records.State,
    record: jobs.JobRecord,
    result: jobs.JobResult,
    reason: str,
    at_ms: int,
) -> None:
    state.jobs[record.job.id] = dataclasses.replace(
        record,
        phase=jobs.JobPhase.ENDED,
        result=result,
        reason=reason,
        phase_since_ms=at_ms,
    )
    state.ended.append(record.job.id)
    while len(state.ended) > ENDED_KEPT:
        state.jobs.pop(state.ended.pop(0), None)
