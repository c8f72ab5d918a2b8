import pytest

from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import events
from bilberryroute.scheduling import policy as policies
from tests.scheduling import session as sessions

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS


def _one_rack_session(policy=None, count=2):
    workers = [sessions.worker(f"w{index}") for index in range(count)]
    return sessions.Session(policy=policy, workers=workers)


def _wait_of_large_job(policy):
    """Runs an endless stream of small jobs; returns when the gang starts."""
    session = _one_rack_session(policy)
    ends = {}
    session.submit("gang", 16, owner="b", declared_ms=2 * HOUR_MS)
    begun_ms = session.clock.now()
    for index in range(1_000):
        name = f"small{index}"
        session.submit(name, 2, owner=f"s{index % 3}", declared_ms=MINUTE_MS)
        session.decide(10_000)
        if "gang" in session.places:
            return session.clock.now() - begun_ms
        session.confirm_stops()
        for job_id in session.places.keys() - ends.keys():
            session.start(job_id)
            ends[job_id] = session.clock.now() + 85_000
        for job_id, end_ms in list(ends.items()):
            if job_id not in session.places:
                del ends[job_id]
            elif session.clock.now() >= end_ms:
                del ends[job_id]
                session.finish(job_id)
    return None


def test_endless_stream_of_small_jobs_does_not_starve_a_gang():
    policy = policies.Policy()
    small = policies.Policy(displacement=False, defragmentation=False)
    bound_ms = policy.overdue_after_ms + policy.reservation_ms + MINUTE_MS
    assert _wait_of_large_job(policy) <= bound_ms
    assert _wait_of_large_job(small) <= bound_ms


def test_without_reservations_the_stream_starves_the_gang():
    policy = policies.Policy(
        reservations=False, displacement=False, defragmentation=False
    )
    assert _wait_of_large_job(policy) is None


def test_urgent_job_goes_before_a_shorter_planned_one():
    session = _one_rack_session(count=1)
    session.run("first", 8)
    session.submit("planned", 8, declared_ms=MINUTE_MS)
    session.submit("urgent", 8, kind="urgent", declared_ms=HOUR_MS)
    session.finish("first")
    session.decide()
    assert list(session.places) == ["urgent"]


@pytest.mark.parametrize("fair", [True, False])
def test_account_beyond_its_share_goes_last(fair):
    policy = policies.Policy(fair_shares=fair, displacement=False)
    session = sessions.Session(
        policy=policy,
        cfg=sessions.configuration(
            [sessions.account("a"), sessions.account("b")]
        ),
        workers=[sessions.worker("w1")],
    )
    session.run("held", 4, owner="a", declared_ms=HOUR_MS)
    session.run("other", 4, owner="c", declared_ms=HOUR_MS)
    session.submit("more", 4, owner="a", declared_ms=50 * MINUTE_MS)
    session.submit("first", 4, owner="b", declared_ms=55 * MINUTE_MS)
    session.finish("other")
    session.decide()
    assert ("first" in session.places) == fair
    assert ("more" in session.places) != fair


def test_short_job_displaces_a_long_one_that_keeps_its_progress():
    session = _one_rack_session(count=1)
    session.run("long", 8, owner="a", declared_ms=20 * HOUR_MS)
    session.submit("short", 8, owner="b", declared_ms=2 * MINUTE_MS)
    (stop,) = session.decide()
    assert (stop.job_id, stop.checkpoint, stop.requeue) == ("long", True, True)
    session.confirm_stops()
    assert [each.job_id for each in session.decide()] == ["short"]


@pytest.mark.parametrize("defragmentation", [True, False])
def test_scattered_jobs_move_so_that_a_gang_fits(defragmentation):
    policy = policies.Policy(
        defragmentation=defragmentation, displacement=False
    )
    session = _one_rack_session(policy)
    session.run("a", 4, declared_ms=HOUR_MS)
    session.run("b", 4, declared_ms=5 * HOUR_MS)
    session.run("c", 4, declared_ms=5 * HOUR_MS)
    session.finish("a")
    session.submit("whole", 8, adjacency="worker", declared_ms=HOUR_MS)
    stops = session.decide()
    assert len(stops) == defragmentation
    if defragmentation:
        session.confirm_stops()
        session.decide()
        assert session.workers_of("whole").popitem()[1] == 8
        assert {"b", "c"} <= session.places.keys()


def test_cancellation_wave_frees_all_in_one_pass():
    session = _one_rack_session()
    session.run("held", 16)
    for index in range(200):
        session.submit(f"j{index}", 16)
    session.submit("kept", 16)
    session.decide()
    for index in range(200):
        session.observe(events.JobRemoved(job_id=f"j{index}"))
    session.finish("held")
    assert [each.job_id for each in session.decide()] == ["kept"]


def _fail_on(session, job_id, name):
    """Submits a job pinned to a failure domain and makes its task fail."""
    session.run(job_id, 8, domain=name, declared_ms=MINUTE_MS)
    place = session.places[job_id]
    session.end_task(
        job_id, place.attempt, place.assignments[0].worker, "failed"
    )
    session.decide()


def _three_domains(policy=None):
    workers = [
        sessions.worker(f"w-{name}", domain=name) for name in sessions.DOMAINS
    ]
    return sessions.Session(policy=policy, workers=workers)


@pytest.mark.parametrize("quarantine", [True, False])
def test_worker_that_fails_every_task_is_left_out_and_probed(quarantine):
    session = _three_domains(policies.Policy(quarantine=quarantine))
    for index in range(3):
        _fail_on(session, f"j{index}", "apapa")
        session.release(f"j{index}", 1, requeued=False)
    session.submit("next", 8, domain="apapa")
    session.decide()
    assert ("next" in session.places) != quarantine
    if quarantine:
        session.decide(10 * MINUTE_MS)
        session.start("next")
        session.finish("next")
        session.submit("after", 8, domain="apapa")
        session.decide()
        assert "after" in session.places


@pytest.mark.parametrize("quarantine", [True, False])
def test_job_that_fails_on_several_workers_quarantines_none_of_them(quarantine):
    session = _three_domains(policies.Policy(quarantine=quarantine))
    session.submit("bad", 8)
    for attempt in (1, 2, 3):
        session.decide()
        session.start("bad")
        name = session.places["bad"].assignments[0].worker
        session.end_task("bad", attempt, name, "failed")
        session.decide()
        last = session.stops["bad"]
        session.confirm_stops()
    assert isinstance(last, decisions.Fail) == quarantine
    for index in range(3):
        session.submit(f"good{index}", 8)
    session.decide()
    good = [name for name in session.places if name.startswith("good")]
    assert (len(good) == 3) == quarantine


def test_job_over_its_limit_is_retried_with_twice_the_size_then_fails():
    session = _one_rack_session(count=1)
    session.submit("big", 1, adjacency="worker")
    for attempt in (1, 2, 3, 4, 5):
        session.decide()
        session.start("big")
        session.end_task("big", attempt, "w0", "over_limit")
        session.decide()
        last = session.stops["big"]
        session.confirm_stops()
        if isinstance(last, decisions.Fail):
            break
    assert isinstance(last, decisions.Fail)


def test_returning_domain_fills_up_gradually():
    workers = [sessions.worker(f"w{index}") for index in range(4)]
    session = sessions.Session(
        workers=workers, cfg=sessions.configuration(out=("apapa",))
    )
    for index in range(4):
        session.submit(f"j{index}", 8)
    back = events.ConfigurationChanged(configuration=sessions.configuration())
    session.observe(back)
    session.decide()
    assert len(session.places) == 1
    session.decide(60_000)
    assert len(session.places) == 4


@pytest.mark.parametrize("correcting", [True, False])
def test_declared_durations_are_corrected_by_measured_ones(correcting):
    expected = estimates.JobEstimator(correcting)
    for index in range(20):
        job = jobs.Job(
            id=f"j{index}",
            account="a",
            kind=jobs.JobKind.PLANNED,
            shape=sessions.shape(1),
            declared_ms=(index + 1) * MINUTE_MS,
        )
        expected.record_run_time(job, 5 * job.declared_ms)
    correction = expected.total_ms(job) / job.declared_ms
    assert (3 < correction < 6) == correcting


def test_explanation_names_scattered_room():
    session = _one_rack_session(policies.Policy(defragmentation=False))
    session.run("a", 5, adjacency="worker")
    session.run("b", 5, adjacency="worker")
    session.submit("c", 6, adjacency="worker")
    session.decide()
    answer = session.scheduler.explain("c", session.clock.now())
    assert "6 adjacent accelerators" in answer.waits_for
    assert "6 are free but scattered" in answer.waits_for
