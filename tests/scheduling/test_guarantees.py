import pytest

from bilberryroute.scheduling import admission
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from bilberryroute.scheduling import policy as policies
from tests.scheduling import session as sessions

GUARANTEED = sessions.account("a", sessions.shape(16))
TWO_WORKERS = (sessions.worker("w1"), sessions.worker("w2"))


@pytest.fixture(name="session")
def fixture_session():
    return sessions.Session(
        cfg=sessions.configuration([GUARANTEED, sessions.account("b")]),
        workers=TWO_WORKERS,
    )


def test_owner_reclaims_in_place_by_stopping_the_borrower(session):
    session.run("borrower", 4, owner="b")
    session.submit("owner", 16, kind="urgent")
    (stop,) = session.decide()
    assert (stop.job_id, stop.checkpoint) == ("borrower", True)
    session.confirm_stops()
    session.decide()
    assert session.workers_of("owner") == {"w1": 8, "w2": 8}


def test_without_preemption_the_owner_waits():
    session = sessions.Session(
        policy=policies.Policy(preemption=False, displacement=False),
        cfg=sessions.configuration([GUARANTEED, sessions.account("b")]),
        workers=TWO_WORKERS,
    )
    session.run("borrower", 4, owner="b")
    session.submit("owner", 16, kind="urgent")
    assert session.decide() == []


def test_borrowers_do_not_take_room_that_is_being_reclaimed(session):
    session.run("borrower", 16, owner="b")
    session.submit("owner", 16)
    session.decide()
    session.confirm_stops()
    session.submit("late", 4, owner="b")
    decided = session.decide()
    assert [each.job_id for each in decided] == ["owner"]


def test_guarantee_is_rebound_to_where_its_job_runs():
    session = sessions.Session(
        cfg=sessions.configuration(
            [
                sessions.account("a", sessions.shape(8)),
                sessions.account("b", sessions.shape(8)),
            ]
        ),
        workers=[*TWO_WORKERS, sessions.worker("w3")],
    )
    session.run("first", 8, owner="b")
    session.run("second", 8, owner="b")
    session.submit("owner", 8, kind="urgent")
    assert [type(each) for each in session.decide()] == [decisions.PlaceAttempt]


def test_shortfalls_name_what_does_not_fit():
    cfg = sessions.configuration([GUARANTEED, sessions.account("b")])
    assert admission.shortfalls(cfg, TWO_WORKERS) == ()
    (short,) = admission.shortfalls(cfg, TWO_WORKERS[:1])
    assert (short.account, short.shape.accelerators) == ("a", 16)


def test_unbound_guarantee_is_bound_before_others_when_a_worker_returns(
    session,
):
    session.observe(events.WorkerLost(name="w2"))
    session.decide()
    (short,) = session.scheduler.shortfalls()
    assert short.account == "a"
    session.run("other", 8, owner="b")
    session.observe(events.WorkerJoined(worker=sessions.worker("w2")))
    session.decide()
    assert session.scheduler.shortfalls() == ()
