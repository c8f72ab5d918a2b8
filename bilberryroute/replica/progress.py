"""What a placed job needs next, judged from its members' reports. Pure."""

import dataclasses
from collections.abc import Callable

from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib

FENCE_MARGIN_MS = 500

ENDED_STATES = frozenset(r.value for r in jobs.TaskResult)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """The leader's view of all agents at one instant.

    Attributes:
      now: Monotonic instant, milliseconds.
      term_began: When this replica began to lead, on the same clock.
      fence_ms: Silence after which nothing can run on a worker any more.
      board: What agents reported.
      wanted_version: Version of the desired state of an agent, by its view.
    """

    now: int
    term_began: int
    fence_ms: int
    board: board_lib.ReplicaBoard
    wanted_version: Callable[[board_lib.AgentView], int]


def next_command(
    record: jobs.JobRecord, seen: Observations, at_ms: int
) -> commands.Command | None:
    """Returns the command that moves a placed job on, if it is time.

    Args:
      record: A job that holds accelerators.
      seen: What the agents report.
      at_ms: Unix time in milliseconds, for the command.
    """
    match record.phase:
        case jobs.JobPhase.RESERVED if _all_reserved(record, seen):
            return commands.StartJob(
                job_id=record.job.id, attempt=record.attempt, at_ms=at_ms
            )
        case jobs.JobPhase.RUNNING if _all_done(record, seen):
            return _release(record, seen, jobs.JobResult.DONE, at_ms)
        case jobs.JobPhase.STOPPING if _all_over(record, seen):
            return _release(record, seen, _stopped_result(record), at_ms)
    return None


def _report(
    record: jobs.JobRecord, worker: str, seen: Observations
) -> wire.TaskReport | None:
    view = seen.board.agent_of(worker)
    if view is None:
        return None
    return view.tasks.get((record.job.id, record.attempt, worker))


def _all_reserved(record: jobs.JobRecord, seen: Observations) -> bool:
    for part in record.assignments:
        report = _report(record, part.worker, seen)
        if report is None or report.state != "reserved":
            return False
    return True


def _all_done(record: jobs.JobRecord, seen: Observations) -> bool:
    for part in record.assignments:
        report = _report(record, part.worker, seen)
        if report is None or report.state != jobs.TaskResult.DONE:
            return False
    return True


def _all_over(record: jobs.JobRecord, seen: Observations) -> bool:
    return all(_is_over(record, p.worker, seen) for p in record.assignments)


def _is_over(record: jobs.JobRecord, worker: str, seen: Observations) -> bool:
    """Says whether it is certain that one member runs no more."""
    report = _report(record, worker, seen)
    if report is not None:
        return report.state in ENDED_STATES
    heard = seen.board.worker_heard.get(worker, seen.term_began)
    if seen.now - max(heard, seen.term_began) >= seen.fence_ms:
        return True
    return _denied(worker, seen)


def _denied(worker: str, seen: Observations) -> bool:
    """Says whether the worker's agent knows of the stop and runs nothing.

    An agent that restarted meanwhile might not know of a task that its
    former incarnation started, until that task's lease has ended.
    """
    view = seen.board.agent_of(worker)
    if view is None:
        return False
    if view.renewal.desired_version < seen.wanted_version(view):
        return False
    return seen.now - view.since_ms >= seen.fence_ms


def _release(
    record: jobs.JobRecord,
    seen: Observations,
    result: jobs.JobResult | None,
    at_ms: int,
) -> commands.ReleaseJob:
    return commands.ReleaseJob(
        job_id=record.job.id,
        attempt=record.attempt,
        progress_ms=_kept_progress(record, seen),
        result=result,
        reason=record.reason,
        at_ms=at_ms,
    )


def _kept_progress(record: jobs.JobRecord, seen: Observations) -> int:
    """Returns what every member has kept: the least of their reports."""
    reports = [_report(record, p.worker, seen) for p in record.assignments]
    if any(r is None for r in reports):
        return record.progress_ms
    return min((r.progress_ms for r in reports), default=record.progress_ms)


def _stopped_result(record: jobs.JobRecord) -> jobs.JobResult | None:
    if record.requeue:
        return None
    return record.result or jobs.JobResult.FAILED
