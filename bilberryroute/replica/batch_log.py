"""Logs the leader's decisions on batch jobs."""

import logging
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import views

logger = logging.getLogger(__name__)


def _task_label(task: batch.TaskId) -> str:
    """Formats the occurrence, step and index of a task."""
    return f"{task.occurrence}.{task.step}.{task.index}"


def log_placed(plan: views.BatchPlan) -> None:
    """Logs each placed unit."""
    for unit in plan.units:
        logger.info(
            "placed",
            extra={
                "job_id": unit.job_id,
                "tasks": [_task_label(unit.task(m)) for m in unit.members],
                "run": unit.run,
                "workers": [m.worker.name for m in unit.members],
                "waiting": plan.waiting_unit_count,
            },
        )


def log_stopped(runs: Iterable[batching.TaskRun], message: str) -> None:
    """Logs each run that is stopped."""
    for run in runs:
        logger.info(
            message,
            extra={
                "job_id": run.task.job_id,
                "task": _task_label(run.task),
                "run": run.run,
            },
        )


def log_preempted(
    plan: views.BatchPlan, batch_state: batch.BatchState, wall_ms: int
) -> None:
    """Logs each run that is stopped to make room, and for which job."""
    for run, job_id in plan.stopped_for.items():
        record = batch_state.jobs[run.task.job_id]
        task = record.task(run.task)
        step = record.content.steps[run.task.step]
        logger.info(
            "stopped to make room",
            extra={
                "job_id": run.task.job_id,
                "task": _task_label(run.task),
                "run": run.run,
                "for_job": job_id,
                "worker": task.worker.name,
                "ran_ms": wall_ms - task.placed_ms,
                "saves": step.checkpointing,
            },
        )


def log_waiting(plan: views.BatchPlan, job_id: str, workers: int) -> None:
    """Logs that a job has begun to wait for capacity."""
    logger.info(
        "waits for room",
        extra={
            "job_id": job_id,
            "rank": plan.waiting_jobs[job_id],
            "waiting": plan.waiting_unit_count,
            "workers": workers,
        },
    )


def _crash_fields(
    end: batching.RunEnd, batch_state: batch.BatchState
) -> dict[str, object]:
    """Returns what is held against a task since its run crashed a worker.

    Nothing is if the run had gone on for too long to be blamed.
    """
    record = batch_state.jobs.get(end.task.job_id)
    if record is None or end.cause != batch.LossCause.CRASHED:
        return {}
    crashes = crash_model.unit_crashes(record, end.task)
    for crash in record.task(end.task).crashes:
        if crash.run == end.run:
            return {
                "worker": crash.worker.name,
                "down_after_ms": crash.down_after_ms,
                "alone": crash.alone,
                "crashes": crash_model.crash_count(crashes),
            }
    return {}


def log_ended(
    ends: Iterable[batching.RunEnd], batch_state: batch.BatchState
) -> None:
    """Logs each run and each job that ended."""
    job_ids = set()
    for end in ends:
        job_ids.add(end.task.job_id)
        logger.info(
            "run ended",
            extra={
                "job_id": end.task.job_id,
                "task": _task_label(end.task),
                "run": end.run,
                "outcome": str(end.outcome),
            }
            | ({"cause": str(end.cause)} if end.cause else {})
            | _crash_fields(end, batch_state),
        )
    for job_id in sorted(job_ids):
        record = batch_state.jobs.get(job_id)
        if record is not None and record.result is not None:
            logger.info(
                "job ended",
                extra={
                    "job_id": job_id,
                    "result": str(record.result),
                    "reason": record.reason,
                    "took_ms": record.ended_ms - record.accepted_ms,
                },
            )
