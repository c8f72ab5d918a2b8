"""Derives a placed job's next command from its members' reports. Pure."""

import dataclasses
from collections.abc import Callable

from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib

# An agent reckons a worker's clock from an announcement some seconds ago; the
# clocks may have drifted apart since then.
FENCE_MARGIN_MS = 500

ENDED_STATES = frozenset(r.value for r in jobs.TaskResult)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observations:
    """What the leader knows about all agents at an instant.

    Attributes:
      now: Monotonic instant in milliseconds.
      term_began: Instant at which this replica began to lead, same clock.
      fence_ms: Time since the last report of a worker after which no task can
        still run there, since its leases have expired.
      board: Reports of the agents.
      desired_version: Returns the version of an agent's desired state.
    """

    now: int
    term_began: int
    fence_ms: int
    board: board_lib.ReplicaBoard
    desired_version: Callable[[board_lib.AgentRecord], int]


def next_command(
    record: jobs.JobRecord, observed: Observations, at_ms: int
) -> commands.Command | None:
    """Returns the command for the next transition of a job, or None.

    Args:
      record: A job that holds accelerators.
      observed: Reports of the agents.
      at_ms: Unix time in milliseconds, for the command.
    """
    match record.phase:
        case jobs.JobPhase.RESERVED if _all_reserved(record, observed):
            return commands.StartJob(
                job_id=record.job.id, attempt=record.attempt, at_ms=at_ms
            )
        case jobs.JobPhase.RUNNING if _all_done(record, observed):
            return _release_command(
                record, observed, jobs.JobResult.DONE, at_ms
            )
        case jobs.JobPhase.STOPPING if _all_ended(record, observed):
            return _release_command(
                record, observed, _stopped_result(record), at_ms
            )
    return None


def _report(
    record: jobs.JobRecord, worker: str, observed: Observations
) -> wire.TaskReport | None:
    agent = observed.board.agent_of(worker)
    if agent is None:
        return None
    return agent.tasks.get((record.job.id, record.attempt, worker))


def _all_reserved(record: jobs.JobRecord, observed: Observations) -> bool:
    for assignment in record.assignments:
        report = _report(record, assignment.worker, observed)
        if report is None or report.state != "reserved":
            return False
    return True


def _all_done(record: jobs.JobRecord, observed: Observations) -> bool:
    for assignment in record.assignments:
        report = _report(record, assignment.worker, observed)
        if report is None or report.state != jobs.TaskResult.DONE:
            return False
    return True


def _all_ended(record: jobs.JobRecord, observed: Observations) -> bool:
    return all(
        _has_ended(record, a.worker, observed) for a in record.assignments
    )


def _has_ended(
    record: jobs.JobRecord, worker: str, observed: Observations
) -> bool:
    """Returns whether a member has certainly ended."""
    last_seen = observed.board.worker_last_seen.get(worker, observed.term_began)
    if observed.now - max(last_seen, observed.term_began) >= observed.fence_ms:
        return True
    report = _report(record, worker, observed)
    if report is not None:
        return report.state in ENDED_STATES
    return _agent_has_no_task(worker, observed)


def _agent_has_no_task(worker: str, observed: Observations) -> bool:
    """Returns whether the worker's agent knows of the stop and has no task.

    A restarted agent may not know of a task that its previous incarnation
    started, so its report counts only after the lease of such a task has
    expired.
    """
    agent = observed.board.agent_of(worker)
    if agent is None:
        return False
    if agent.renewal.desired_version < observed.desired_version(agent):
        return False
    return observed.now - agent.incarnation_since_ms >= observed.fence_ms


def _release_command(
    record: jobs.JobRecord,
    observed: Observations,
    result: jobs.JobResult | None,
    at_ms: int,
) -> commands.ReleaseJob:
    return commands.ReleaseJob(
        job_id=record.job.id,
        attempt=record.attempt,
        progress_ms=_saved_progress(record, observed),
        result=result,
        reason=record.reason,
        at_ms=at_ms,
    )


def _saved_progress(record: jobs.JobRecord, observed: Observations) -> int:
    """Returns the progress that all members have saved: their minimum."""
    reports = [_report(record, a.worker, observed) for a in record.assignments]
    if any(r is None for r in reports):
        return record.progress_ms
    return min((r.progress_ms for r in reports), default=record.progress_ms)


def _stopped_result(record: jobs.JobRecord) -> jobs.JobResult | None:
    if record.requeue:
        return None
    return record.result or jobs.JobResult.FAILED
