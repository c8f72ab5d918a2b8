"""Transitions of jobs: queued, reserved, running, stopping, ended."""

import dataclasses

from bilberryroute import errors
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import closed_ids
from bilberryroute.state import records

MAX_ENDED_JOBS = 5_000

_PLACED_PHASES = (jobs.JobPhase.RESERVED, jobs.JobPhase.RUNNING)
_HOLDING_PHASES = (*_PLACED_PHASES, jobs.JobPhase.STOPPING)

_CHANGED = commands.Changed(revision=0)


def submit(
    state: records.ReplicatedState, command: commands.SubmitJob
) -> commands.JobAccepted | commands.JobRefused:
    """Queues a job; idempotent for a resubmission of the same content."""
    job = command.job
    existing = state.jobs.get(job.id)
    if existing is not None:
        return _resubmission_result(job, existing)
    if closed_ids.is_closed(
        state.closed_job_ids, job.account, job.id, command.at_ms
    ):
        return commands.JobRefused(
            job_id=job.id,
            kind=errors.Gone.kind,
            message="the job has ended and is not stored",
        )
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


def _resubmission_result(
    job: jobs.Job, existing: jobs.JobRecord
) -> commands.JobAccepted | commands.JobRefused:
    resubmitted = dataclasses.replace(
        job, submitted_ms=existing.job.submitted_ms
    )
    if resubmitted == existing.job:
        return commands.JobAccepted(job_id=job.id, first=False)
    return commands.JobRefused(
        job_id=job.id,
        kind=errors.RequestConflict.kind,
        message="the job id was used before with other content",
    )


def cancel(
    state: records.ReplicatedState, command: commands.CancelJobs
) -> commands.Result:
    """Cancels all named jobs atomically."""
    changed = False
    for job_id in command.job_ids:
        changed = _cancel_job(state, job_id, command.at_ms) or changed
    return _CHANGED if changed else commands.Unchanged(reason="no active jobs")


def _cancel_job(
    state: records.ReplicatedState, job_id: str, at_ms: int
) -> bool:
    record = state.jobs.get(job_id)
    if record is None or record.phase == jobs.JobPhase.ENDED:
        return False
    if record.phase == jobs.JobPhase.QUEUED:
        _end_job(state, record, jobs.JobResult.CANCELLED, "cancelled", at_ms)
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
    state: records.ReplicatedState, command: commands.RefuseJob
) -> commands.Result:
    """Ends a queued job that can never run."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase != jobs.JobPhase.QUEUED:
        return commands.Unchanged(reason="the job is not queued")
    _end_job(state, record, command.result, command.reason, command.at_ms)
    return _CHANGED


def place(
    state: records.ReplicatedState, command: commands.PlaceJob
) -> commands.Result:
    """Reserves all accelerators of the gang, or none."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase != jobs.JobPhase.QUEUED:
        return commands.Unchanged(reason="the job is not queued")
    if command.attempt <= record.attempt:
        return commands.Unchanged(reason="not a new attempt")
    conflict = _reservation_conflict(state, command.assignments)
    if conflict:
        return commands.Unchanged(reason=conflict)
    for assignment in command.assignments:
        occupied = state.held.setdefault(assignment.worker, {})
        occupied.update(dict.fromkeys(assignment.accelerators, command.job_id))
    state.jobs[command.job_id] = dataclasses.replace(
        record,
        phase=jobs.JobPhase.RESERVED,
        attempt=command.attempt,
        assignments=command.assignments,
        reason="",
        phase_since_ms=command.at_ms,
    )
    return _CHANGED


def _reservation_conflict(
    state: records.ReplicatedState, assignments: tuple[jobs.Assignment, ...]
) -> str:
    """Returns why the accelerators cannot all be reserved, or ''."""
    for assignment in assignments:
        if not worker_in_service(state, assignment.worker):
            return f"worker {assignment.worker} is not in service"
        worker = state.workers[assignment.worker]
        occupied = state.held.get(assignment.worker, {})
        for index in assignment.accelerators:
            if index >= worker.accelerators or index in occupied:
                return f"accelerator {assignment.worker}/{index} is not free"
    return ""


def worker_in_service(state: records.ReplicatedState, name: str) -> bool:
    """Returns whether jobs may be placed on a worker."""
    worker = state.workers.get(name)
    if worker is None:
        return False
    worker_state = state.configuration.workers.get(name)
    if worker_state is not None and not worker_state.in_service:
        return False
    domain = state.configuration.failure_domains.get(worker.failure_domain)
    return domain is not None and domain.in_service


def start(
    state: records.ReplicatedState, command: commands.StartJob
) -> commands.Result:
    """Starts a gang whose members have all confirmed their reservation."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase != jobs.JobPhase.RESERVED:
        return commands.Unchanged(reason="the job is not reserved")
    if command.attempt != record.attempt:
        return commands.Unchanged(reason="not the present attempt")
    for assignment in record.assignments:
        if not worker_in_service(state, assignment.worker):
            return commands.Unchanged(
                reason=f"worker {assignment.worker} is not in service"
            )
    state.jobs[command.job_id] = dataclasses.replace(
        record, phase=jobs.JobPhase.RUNNING, phase_since_ms=command.at_ms
    )
    return _CHANGED


def stop(
    state: records.ReplicatedState, command: commands.StopJob
) -> commands.Result:
    """Begins to stop all members of an attempt."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase not in _PLACED_PHASES:
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
    state: records.ReplicatedState, command: commands.ReleaseJob
) -> commands.Result:
    """Frees the accelerators of an attempt whose members have all ended."""
    record = state.jobs.get(command.job_id)
    if record is None or record.phase not in _HOLDING_PHASES:
        return commands.Unchanged(reason="the job holds no accelerators")
    if command.attempt != record.attempt:
        return commands.Unchanged(reason="not the present attempt")
    _free_accelerators(state, record)
    if command.result is not None:
        _end_job(state, record, command.result, command.reason, command.at_ms)
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


def _free_accelerators(
    state: records.ReplicatedState, record: jobs.JobRecord
) -> None:
    for assignment in record.assignments:
        occupied = state.held.get(assignment.worker, {})
        for index in assignment.accelerators:
            if occupied.get(index) == record.job.id:
                del occupied[index]
        if not occupied:
            state.held.pop(assignment.worker, None)


def _end_job(
    state: records.ReplicatedState,
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
    while len(state.ended) > MAX_ENDED_JOBS:
        pruned = state.jobs.pop(state.ended.pop(0), None)
        if pruned is not None:
            closed_ids.close(
                state.closed_job_ids, pruned.job.account, pruned.job.id, at_ms
            )
