import random

from bilberryroute.model import jobs
from bilberryroute.scheduling import events
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import scheduler
from tests.scheduling import session as sessions


def test_job_released_before_the_first_decision_of_a_leader_holds_nothing():
    record = jobs.JobRecord(
        job=jobs.Job(
            id="done",
            account="a",
            kind=jobs.JobKind.PLANNED,
            shape=sessions.shape(8),
            declared_ms=1_000,
        ),
        phase=jobs.JobPhase.RUNNING,
        attempt=1,
        assignments=(
            jobs.Assignment(worker="w1", accelerators=tuple(range(8))),
        ),
    )
    new = scheduler.Scheduler(policies.Policy(), random.Random(1))
    for event in (
        events.ConfigurationChanged(configuration=sessions.configuration()),
        events.WorkerJoined(worker=sessions.worker("w1")),
        events.JobRestored(record=record),
        events.JobReleased(
            job_id="done", attempt=1, progress_ms=0, requeued=False
        ),
    ):
        new.observe(event, 0)
    new.decide(0)
    waiting = jobs.JobRecord(
        job=jobs.Job(
            id="next",
            account="a",
            kind=jobs.JobKind.PLANNED,
            shape=sessions.shape(8),
            declared_ms=1_000,
        )
    )
    new.observe(events.JobQueued(record=waiting), 0)
    assert [each.job_id for each in new.decide(10_000)] == ["next"]
