"""Logs the leader's decisions on batch jobs."""

import dataclasses
import logging
from collections.abc import Collection
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import views
from bilberryroute.state import crashes as crash_rules

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
                "waiting": plan.waiting_count,
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
        record = batch_state.jobs.get(run.task.job_id)
        task = record.task(run.task) if record is not None else None
        if task is None or not task.active:
            continue  # It has ended since it was chosen.
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
                **_weighing(plan.weighings.get(job_id)),
            },
        )


def _weighing(weighing: views.Weighing | None) -> dict[str, float | None]:
    """Returns why stops pay, in core-seconds; empty if not weighed."""
    if weighing is None:
        return {}
    won = weighing.won
    return {
        "won_core_s": None if won is None else _core_seconds(won),
        "lost_core_s": _core_seconds(weighing.lost),
    }


def _core_seconds(work: int) -> float:
    return round(work / 1_000_000, 1)


def log_waiting(
    plan: views.BatchPlan,
    batch_state: batch.BatchState,
    worker_count: int,
    wall_ms: int,
) -> None:
    """Logs why jobs wait, for those that the plan explains."""
    for job_id, wait in sorted(plan.waits.items()):
        record = batch_state.jobs.get(job_id)
        if record is None:
            continue  # It was dropped since the plan was made.
        logger.info(
            "waits for room",
            extra={
                "job_id": job_id,
                "reason": str(wait.reason),
                "rank": wait.rank,
                "waiting": plan.waiting_count,
                "workers": worker_count,
                "accepted_ms_ago": wall_ms - record.accepted_ms,
                "tasks": wait.tasks,
                "fitting_tasks": wait.fitting_tasks,
                "fits_in_ms": wait.fits_in_ms,
                "racks": list(wait.racks),
                "reserved_for": dict(wait.reserved_for),
                "workers_left_out": {
                    str(reason): list(names)
                    for reason, names in wait.left_out.items()
                },
            },
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BeforeEnds:
    """What the end of runs removes from the state, for the log.

    Attributes:
      placements: Worker of each run, and whether no other unit was there.
      suspects: Suspect units with the workers that crashed under them; empty
        if these ends can clear none.
    """

    placements: dict[batch.TaskId, tuple[str, bool]]
    suspects: dict[crash_model.UnitKey, set[batch.WorkerRef]]


def before_ends(
    ends: Collection[batching.RunEnd], batch_state: batch.BatchState
) -> BeforeEnds:
    """Returns what `log_ended` needs of the state before the ends."""
    # Only a unit that was alone on a crashed worker explains other crashes.
    may_clear = crash_rules.workers_with_one_unit(batch_state, ends)
    workers = {
        end.task: batch_state.jobs[end.task.job_id].task(end.task).worker
        for end in ends
    }
    units = _units_by_worker(
        {ref.agent for ref in workers.values()}, batch_state
    )
    return BeforeEnds(
        placements={
            task: (ref.name, len(units[ref]) == 1)
            for task, ref in workers.items()
        },
        suspects=crash_rules.suspect_units(batch_state) if may_clear else {},
    )


def _units_by_worker(
    agents: Iterable[str], batch_state: batch.BatchState
) -> dict[batch.WorkerRef, set[crash_model.UnitKey]]:
    units: dict[batch.WorkerRef, set[crash_model.UnitKey]] = {}
    for agent in agents:
        for task_id in batch_state.placed[agent]:
            record = batch_state.jobs[task_id.job_id]
            key = crash_model.unit_key(record, task_id)
            units.setdefault(record.task(task_id).worker, set()).add(key)
    return units


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
                "down_after_ms": crash.down_after_ms,
                "alone": crash.alone,
                "crashes": crash_model.crash_count(crashes),
            }
    return {}


def log_ended(
    ends: Collection[batching.RunEnd],
    before: BeforeEnds,
    batch_state: batch.BatchState,
) -> None:
    """Logs each run and each job that ended, and each suspect that was cleared.

    Args:
      ends: Ends that were committed together.
      before: What they have removed from the state.
      batch_state: State after the ends were recorded.
    """
    _log_runs_ended(ends, before, batch_state)
    _log_cleared(ends, before, batch_state)
    _log_jobs_ended({end.task.job_id for end in ends}, batch_state)


def _log_runs_ended(
    ends: Iterable[batching.RunEnd],
    before: BeforeEnds,
    batch_state: batch.BatchState,
) -> None:
    for end in ends:
        worker, alone = before.placements[end.task]
        logger.info(
            "run ended",
            extra={
                "job_id": end.task.job_id,
                "task": _task_label(end.task),
                "run": end.run,
                "outcome": str(end.outcome),
                "worker": worker,
                "alone": alone,
            }
            | ({"cause": str(end.cause)} if end.cause else {})
            | _crash_fields(end, batch_state),
        )


def _log_cleared(
    ends: Iterable[batching.RunEnd],
    before: BeforeEnds,
    batch_state: batch.BatchState,
) -> None:
    """Logs suspects whose crashes others explain, and which jobs these are."""
    if not before.suspects:
        return
    causes = crash_rules.causes_by_worker(batch_state, ends)
    suspects = crash_rules.suspect_units(batch_state)
    for key in sorted(before.suspects.keys() - suspects.keys()):
        job_id, occurrence, step, index = key
        record = batch_state.jobs.get(job_id)
        explaining = {
            cause[0]
            for worker in before.suspects[key]
            for cause in causes.get(worker, set()) - {key}
        }
        if explaining and record is not None and record.result is None:
            task = "*" if index < 0 else index
            logger.info(
                "no longer suspect",
                extra={
                    "job_id": job_id,
                    "task": f"{occurrence}.{step}.{task}",
                    "explained_by": sorted(explaining),
                },
            )


def log_jobs_ended_at(at_ms: int, batch_state: batch.BatchState) -> None:
    """Logs each job that ended at a Unix time, in milliseconds."""
    known = map(batch_state.jobs.get, batch_state.ended)
    _log_jobs_ended(
        {job.id for job in known if job is not None and job.ended_ms == at_ms},
        batch_state,
    )


def _log_jobs_ended(
    job_ids: Iterable[str], batch_state: batch.BatchState
) -> None:
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
