"""Log lines of the leader's decisions on batch jobs."""

import logging
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import views

logger = logging.getLogger(__name__)


def label(task: batch.TaskId) -> str:
    """Returns occurrence, step and index of a task."""
    return f"{task.occurrence}.{task.step}.{task.index}"


def placed(plan: views.BatchPlan) -> None:
    """One line for each unit that starts."""
    for unit in plan.units:
        logger.info(
            "placed",
            extra={
                "job_id": unit.job_id,
                "tasks": [label(unit.task(m)) for m in unit.members],
                "run": unit.run,
                "workers": [m.worker.name for m in unit.members],
                "waiting": plan.waiting_units,
            },
        )


def stopped(runs: Iterable[batching.TaskRun], why: str) -> None:
    """One line for each run that is stopped."""
    for run in runs:
        logger.info(
            why,
            extra={
                "job_id": run.task.job_id,
                "task": label(run.task),
                "run": run.run,
            },
        )


def waits(plan: views.BatchPlan, job_id: str, workers: int) -> None:
    """One line for a job that has begun to wait for room."""
    logger.info(
        "waits for room",
        extra={
            "job_id": job_id,
            "rank": plan.waiting_jobs[job_id],
            "waiting": plan.waiting_units,
            "workers": workers,
        },
    )


def ended(ends: Iterable[batching.RunEnd], held: batch.BatchState) -> None:
    """One line for each run that ended, and for each job that did."""
    job_ids = set()
    for end in ends:
        job_ids.add(end.task.job_id)
        logger.info(
            "run ended",
            extra={
                "job_id": end.task.job_id,
                "task": label(end.task),
                "run": end.run,
                "outcome": str(end.outcome),
            },
        )
    for job_id in sorted(job_ids):
        record = held.jobs.get(job_id)
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
