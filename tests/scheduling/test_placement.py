import pytest

from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from tests.scheduling import session as sessions


@pytest.fixture(name="rack")
def fixture_rack():
    workers = [
        sessions.worker("w1"),
        sessions.worker("w2"),
        sessions.worker("w3", rack="r2"),
        sessions.worker("w4", rack="r1", domain="tincan"),
    ]
    return sessions.Session(workers=workers)


def test_gang_spans_two_workers_of_one_rack(rack):
    rack.submit("gang", 16)
    rack.decide()
    assert rack.workers_of("gang") == {"w1": 8, "w2": 8}


def test_gang_waits_as_a_whole_while_capacity_for_one_member_is_missing(rack):
    rack.run("small", 1, adjacency="worker", domain="tincan")
    rack.run("other", 1, adjacency="worker", domain="apapa")
    rack.run("gang-a", 16)
    rack.submit("gang-b", 16)
    rack.decide()
    assert "gang-a" in rack.places
    assert "gang-b" not in rack.places


def test_domain_adjacency_spans_racks_of_one_domain_only(rack):
    rack.submit("wide", 24, adjacency="failure_domain")
    rack.submit("wider", 32, adjacency="failure_domain")
    decided = rack.decide()
    assert set(rack.workers_of("wide")) == {"w1", "w2", "w3"}
    refusals = [each for each in decided if isinstance(each, decisions.Refuse)]
    assert [each.job_id for each in refusals] == ["wider"]
    assert "largest shape that exists is 24" in refusals[0].reason


def test_job_short_of_cores_leaves_accelerators_idle(rack):
    rack.submit("hungry", 4, adjacency="worker", cores_per_accelerator=8)
    rack.submit("next", 8, adjacency="worker", domain="tincan")
    rack.decide()
    rack.submit("after", 1, adjacency="worker", domain="tincan")
    rack.decide()
    assert rack.workers_of("hungry") != rack.workers_of("next")
    assert "after" not in rack.places


def test_loss_of_a_member_stops_the_gang(rack):
    rack.run("gang", 16)
    rack.observe(events.WorkerLost(name="w2"))
    decided = rack.decide()
    assert decided == [
        decisions.StopAttempt(
            job_id="gang",
            attempt=1,
            reason="worker w2 is lost",
            checkpoint=False,
            requeue=True,
        )
    ]
    rack.confirm_stops()
    rack.decide()
    assert "gang" not in rack.places
    rack.observe(
        events.WorkerJoined(worker=sessions.worker("w2", incarnation="2"))
    )
    rack.decide()
    assert rack.places["gang"].attempt == 2


def test_domain_out_stops_with_checkpoint_and_starts_nothing(rack):
    rack.run("job", 8, domain="tincan")
    rack.observe(
        events.ConfigurationChanged(
            configuration=sessions.configuration(out=("tincan",))
        )
    )
    (stop,) = rack.decide()
    assert (stop.job_id, stop.checkpoint, stop.requeue) == ("job", True, True)
    rack.confirm_stops()
    rack.decide()
    assert "job" not in rack.places


def test_new_leader_rebuilds_allocations_from_job_records(rack):
    rack.run("gang", 16)
    rack.submit("waits", 16)
    rack.decide()
    held = rack.places["gang"]
    record = jobs.JobRecord(
        job=rack.scheduler._state.entries["gang"].job,
        phase=jobs.JobPhase.RUNNING,
        attempt=1,
        assignments=held.assignments,
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
