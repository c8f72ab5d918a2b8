"""Translates applied commands into scheduler events. Pure."""

from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.scheduling import events
from bilberryroute.state import records


def scheduler_events(
    command: commands.Command,
    result: commands.Result,
    state: records.ReplicatedState,
) -> list[events.Event]:
    """Returns the scheduler events of an applied command.

    Args:
      command: The command.
      result: Its result.
      state: The state immediately after the command.
    """
    match command, result:
        case commands.PlaceJob(), commands.Unchanged():
            return _failed_placement_events(command, state)
        case _, commands.Unchanged():
            return []
        case commands.ApplyTicket(), commands.TicketAccepted():
            return [
                events.ConfigurationChanged(configuration=state.configuration)
            ]
        case commands.SubmitJob(job=job), commands.JobAccepted(first=True):
            return [events.JobQueued(record=state.jobs[job.id])]
        case commands.CancelJobs(job_ids=ids), _:
            return _cancel_events(ids, state)
        case commands.StartJob(job_id=job_id, attempt=attempt), _:
            return [events.JobStarted(job_id=job_id, attempt=attempt)]
        case commands.ReleaseJob(), _:
            return [_release_event(command)]
        case commands.JoinWorker(worker=worker), _:
            return [events.WorkerJoined(worker=worker)]
        case commands.LoseWorker(name=name), _:
            return [events.WorkerLost(name=name)]
    return []


def jobs_in_transition(command: commands.Command) -> set[str]:
    """Returns the jobs whose tasks must change state because of a command."""
    match command:
        case commands.PlaceJob(job_id=job_id) | commands.StopJob(job_id=job_id):
            return {job_id}
        case commands.CancelJobs(job_ids=job_ids):
            return set(job_ids)
    return set()


def restore_events(state: records.ReplicatedState) -> list[events.Event]:
    """Returns the events that rebuild a scheduler after a change of leader."""
    restored: list[events.Event] = [
        events.ConfigurationChanged(configuration=state.configuration)
    ]
    for worker in state.workers.values():
        restored.append(events.WorkerJoined(worker=worker))
    for record in state.jobs.values():
        if record.phase != jobs.JobPhase.ENDED:
            restored.append(events.JobRestored(record=record))
    return restored


def _failed_placement_events(
    command: commands.PlaceJob, state: records.ReplicatedState
) -> list[events.Event]:
    record = state.jobs.get(command.job_id)
    queued = record is not None and record.phase == jobs.JobPhase.QUEUED
    return [
        events.JobReleased(
            job_id=command.job_id,
            attempt=command.attempt,
            progress_ms=record.progress_ms if queued else 0,
            requeued=queued,
        )
    ]


def _cancel_events(
    job_ids: tuple[str, ...], state: records.ReplicatedState
) -> list[events.Event]:
    """Returns an event for each named job that has ended or is stopping."""
    cancelled: list[events.Event] = []
    for job_id in job_ids:
        record = state.jobs.get(job_id)
        if record is None:
            continue
        match record.phase:
            case jobs.JobPhase.ENDED:
                cancelled.append(events.JobRemoved(job_id=job_id))
            case jobs.JobPhase.STOPPING:
                cancelled.append(
                    events.JobStopping(job_id=job_id, attempt=record.attempt)
                )
    return cancelled


def _release_event(command: commands.ReleaseJob) -> events.JobReleased:
    return events.JobReleased(
        job_id=command.job_id,
        attempt=command.attempt,
        progress_ms=command.progress_ms,
        requeued=command.result is None,
    )
