import pytest

from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.replica import events as event_rules
from bilberryroute.scheduling import events
from bilberryroute.state import machine as machine_lib
from bilberryroute.transport import proposals

ASSIGNMENT = jobs.Assignment(worker="w1", accelerators=(0,))


@pytest.fixture
def machine() -> machine_lib.StateMachine:
    """A state with jobs j1, placed, and j2, queued."""
    machine = machine_lib.StateMachine()
    account = config.ClientAccount(name="trust")
    domain = config.FailureDomain(name="apapa")
    ticket = config.Ticket(
        number=1, accounts=(account,), failure_domains=(domain,)
    )
    worker = jobs.Worker(
        name="w1",
        incarnation="i1",
        agent="a1",
        rack="k1",
        failure_domain="apapa",
        accelerators=8,
        cores=30,
        memory_mb=64_000,
    )
    setup_commands = [
        commands.ApplyTicket(ticket=ticket, digest="d", at_ms=1),
        commands.JoinWorker(worker=worker, at_ms=1),
        commands.SubmitJob(job=_job("j1"), at_ms=1),
        commands.SubmitJob(job=_job("j2"), at_ms=1),
        _place("j1", 1),
    ]
    for index, command in enumerate(setup_commands, start=1):
        _apply(machine, command, index)
    return machine


def _job(job_id: str) -> jobs.Job:
    return jobs.Job(
        id=job_id,
        account="trust",
        kind=jobs.JobKind.URGENT,
        shape=config.Shape(accelerators=1),
        declared_ms=1_000,
    )


def _place(job_id: str, attempt: int) -> commands.PlaceJob:
    return commands.PlaceJob(
        job_id=job_id, attempt=attempt, assignments=(ASSIGNMENT,), at_ms=2
    )


def _apply(machine, command, index: int = 9) -> list[events.Event]:
    payload = proposals.COMMANDS.encode(command)
    result = machine.apply(index, 1, payload)
    return event_rules.scheduler_events(command, result, machine.state)


def test_cancellation_reports_ended_and_stopping_jobs(machine):
    command = commands.CancelJobs(job_ids=("j1", "j2", "none"), at_ms=3)
    assert _apply(machine, command) == [
        events.JobStopping(job_id="j1", attempt=1),
        events.JobRemoved(job_id="j2"),
    ]


def test_failed_placement_requeues_the_job(machine):
    assert _apply(machine, _place("j2", 1)) == [
        events.JobReleased(job_id="j2", attempt=1, progress_ms=0, requeued=True)
    ]


def test_new_leader_restores_every_job_that_has_not_ended(machine):
    _apply(machine, commands.CancelJobs(job_ids=("j2",), at_ms=3))
    restored = event_rules.restore_events(machine.state)
    ids = [
        event.record.job.id
        for event in restored
        if isinstance(event, events.JobRestored)
    ]
    assert ids == ["j1"]
