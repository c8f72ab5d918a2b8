import pytest

from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from tests.scheduling import session as sessions


@pytest.fixture(name="session")
def fixture_session():
    workers = [
        sessions.worker("w1"),
        sessions.worker("w2"),
        sessions.worker("w3", rack="r2"),
        sessions.worker("w4", rack="r1", domain="tincan"),
    ]
    return sessions.Session(workers=workers)


def test_gang_spans_two_workers_of_one_rack(session):
    session.submit("gang", 16)
    session.decide()
    assert session.workers_of("gang") == {"w1": 8, "w2": 8}


def test_gang_waits_as_a_whole_while_capacity_for_one_member_is_missing(
    session,
):
    session.run("small", 1, adjacency="worker", domain="tincan")
    session.run("other", 1, adjacency="worker", domain="apapa")
    session.run("gang-a", 16)
    session.submit("gang-b", 16)
    session.decide()
    assert "gang-a" in session.places
    assert "gang-b" not in session.places


def test_domain_adjacency_spans_racks_of_one_domain_only(session):
    session.submit("wide", 24, adjacency="failure_domain")
    session.submit("wider", 32, adjacency="failure_domain")
    decided = session.decide()
    assert set(session.workers_of("wide")) == {"w1", "w2", "w3"}
    refusals = [each for each in decided if isinstance(each, decisions.Refuse)]
    assert [each.job_id for each in refusals] == ["wider"]
    assert "largest shape that exists is 24" in refusals[0].reason


def test_job_short_of_cores_leaves_accelerators_idle(session):
    session.submit("hungry", 4, adjacency="worker", cores_per_accelerator=8)
    session.submit("next", 8, adjacency="worker", domain="tincan")
    session.decide()
    session.submit("after", 1, adjacency="worker", domain="tincan")
    session.decide()
    assert session.workers_of("hungry") != session.workers_of("next")
    assert "after" not in session.places


def test_loss_of_a_member_stops_the_gang(session):
    session.run("gang", 16)
    session.observe(events.WorkerLost(name="w2"))
    decided = session.decide()
    assert decided == [
        decisions.StopAttempt(
            job_id="gang",
            attempt=1,
            reason="worker w2 is lost",
            checkpoint=False,
            requeue=True,
        )
    ]
    session.confirm_stops()
    session.decide()
    assert "gang" not in session.places
    session.observe(
        events.WorkerJoined(worker=sessions.worker("w2", incarnation="2"))
    )
    session.decide()
    assert session.places["gang"].attempt == 2


def test_domain_out_stops_with_checkpoint_and_starts_nothing(session):
    session.run("job", 8, domain="tincan")
    session.observe(
        events.ConfigurationChanged(
            configuration=sessions.configuration(out=("tincan",))
        )
    )
    (stop,) = session.decide()
    assert (stop.job_id, stop.checkpoint, stop.requeue) == ("job", True, True)
    session.confirm_stops()
    session.decide()
    assert "job" not in session.places


def test_new_leader_rebuilds_allocations_from_job_records(session):
    session.run("gang", 16)
    session.submit("waits", 16)
    session.decide()
    placement = session.places["gang"]
    record = jobs.JobRecord(
        job=session.scheduler._state.entries["gang"].job,
        phase=jobs.JobPhase.RUNNING,
        attempt=1,
        assignments=placement.assignments,
    )
    after = sessions.Session(
        workers=[sessions.worker("w1"), sessions.worker("w2")]
    )
    after.observe(events.JobRestored(record=record))
    after.submit("waits", 16)
    assert after.decide() == []
    after.release("gang", 1, requeued=False)
    after.decide()
    assert after.workers_of("waits") == {"w1": 8, "w2": 8}
