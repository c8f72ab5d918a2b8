"""Placement of units that may crash their workers."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import readiness
from tests.utils import batches

FOUR = tuple(batches.worker(f"w{number}") for number in range(1, 5))
EIGHT = tuple(batches.worker(f"w{number}") for number in range(5, 13))
WORKERS = (batches.worker("w1"), batches.worker("w2"))


@pytest.fixture
def log():
    return batches.Log()


def plan(log, *workers, left=None):
    return planner.plan(log.held, workers or WORKERS, left or {}, log.now)


def placed_on(decided) -> dict[str, set[str]]:
    """Returns the workers of each job that is placed."""
    return {
        unit.job_id: {member.worker.name for member in unit.members}
        for unit in decided.units
    }


def crash(log, *job_ids, run=1, ran_ms=1_000, worker="w9"):
    """Lets jobs run on a worker that then crashes."""
    for job_id in job_ids:
        log.place(batches.unit(job_id, batches.ref(worker, run), run=run))
    log.now += ran_ms
    ends = tuple(
        batching.RunEnd(
            task=batches.task(job_id),
            run=run,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        for job_id in job_ids
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))


def submit_suspects(log, *job_ids, **more):
    for job_id in job_ids:
        log.submit(job_id, batches.content(batches.step(**more)))
    crash(log, *job_ids)


def test_suspects_of_one_crash_run_on_different_workers(log):
    submit_suspects(log, "j1", "j2")
    placed = placed_on(plan(log, *FOUR, *EIGHT))
    assert placed["j1"] != placed["j2"]


def test_suspects_leave_most_workers_to_others(log):
    """Nothing else may start beside them, also within a guarantee."""
    submit_suspects(log, "j1", "j2", "j3")
    assert len(placed_on(plan(log, *FOUR))) == 1
    assert len(placed_on(plan(log, *FOUR, *EIGHT))) == 3


def test_gang_wider_than_the_share_of_suspects_still_runs(log):
    log.submit("g", batches.content(batches.step(3, 8, gang=True)))
    log.place(batches.unit("g", *(batches.ref(f"x{n}") for n in range(3))))
    log.crash(batches.task("g", 0))
    for index in (1, 2):
        log.end(batches.task("g", index), outcome=batch.RunOutcome.BROKEN)
    assert len(placed_on(plan(log, *FOUR))["g"]) == 3


def test_suspect_takes_no_second_worker_with_other_work_down(log):
    log.submit("other", batches.content())
    log.place(batches.unit("other", batches.ref("w1")))
    submit_suspects(log, "j1")
    assert placed_on(plan(log)) == {"j1": {"w2"}}


def test_suspect_waits_while_no_worker_is_idle(log):
    for number, name in enumerate(("w1", "w2")):
        log.submit(f"busy{number}", batches.content())
        log.place(batches.unit(f"busy{number}", batches.ref(name)))
    submit_suspects(log, "j1")
    assert plan(log).units == ()


def test_suspect_of_one_crash_does_not_wait_for_an_idle_worker_for_good(log):
    """Long-running tasks may keep every worker busy."""
    service = batches.step(2, long_running=True, spread_limit=1)
    log.submit("service", batches.content(service))
    log.place(batches.unit("service", batches.ref("w1"), batches.ref("w2")))
    submit_suspects(log, "j1", estimate_ms=60_000)
    log.now += readiness.ISOLATION_WAIT_MS
    assert plan(log).units == ()
    log.now += 1
    assert "j1" in placed_on(plan(log))


def suspect_of_two_crashes(log):
    log.submit("j1", batches.content())
    for run in (1, 2):
        log.submit(f"other{run}", batches.content())
        crash(log, "j1", f"other{run}", run=run)
        log.cancel(f"other{run}")


def test_suspect_of_two_crashes_stops_no_other_work(log):
    suspect_of_two_crashes(log)
    occupy(log, "w1", "nightly", "busy")
    decided = plan(log, batches.worker("w1"))
    assert decided.stops == ()
    assert decided.units == ()


def test_suspect_of_two_crashes_joins_no_work_in_a_busy_pool(log):
    suspect_of_two_crashes(log)
    occupy(log, "w1", "nightly", "busy", accelerators=5)
    log.now += 3_600_000
    assert plan(log, batches.worker("w1")).units == ()


@pytest.mark.parametrize("waited_ms", [1, readiness.GUARANTEED_COMPANY_WAIT_MS])
def test_suspect_joins_no_guaranteed_work(log, waited_ms):
    occupy(log, "w1", "urgent", "busy")
    submit_suspects(log, "j1")
    log.now += waited_ms
    assert plan(log, batches.worker("w1")).units == ()


def test_suspect_before_its_last_crash_joins_no_other_work(log):
    log.submit("j1", batches.content())
    for run in range(1, crash_model.LAST_CHANCE_CRASHES + 1):
        log.submit(f"other{run}", batches.content())
        crash(log, "j1", f"other{run}", run=run)
        log.cancel(f"other{run}")
    occupy(log, "w1", "nightly", "busy")
    log.now += readiness.LONG_ISOLATION_WAIT_MS
    assert plan(log, batches.worker("w1")).units == ()


def test_nothing_joins_a_suspect_on_its_worker(log):
    submit_suspects(log, "j1")
    log.place(batches.unit("j1", batches.ref("w1"), run=2))
    log.submit("later", batches.content(), "urgent")
    assert plan(log, batches.worker("w1")).units == ()
    assert placed_on(plan(log)) == {"later": {"w2"}}


def test_suspect_that_outlives_its_crashed_run_shares_its_worker(log):
    submit_suspects(log, "j1")
    log.place(batches.unit("j1", batches.ref("w1"), run=2))
    log.submit("later", batches.content())
    log.now += 1_001
    assert placed_on(plan(log, batches.worker("w1"))) == {"later": {"w1"}}


def test_suspect_without_an_idle_worker_does_not_hold_up_its_step(log):
    occupy(log, "w1", "nightly", "busy")
    submit_suspects(log, "wide", count=2)
    left = {(batches.task("busy"), 1): 60_000}
    (placed,) = plan(log, batches.worker("w1"), left=left).units
    assert [member.index for member in placed.members] == [1]


def test_suspect_beyond_the_share_does_not_hold_up_its_step(log):
    log.submit("wide", batches.content(batches.step(2)))
    log.submit("other", batches.content())
    crash(log, "other", "wide")
    log.place(batches.unit("other", batches.ref("w1"), run=2))
    (placed,) = plan(log, *FOUR).units
    assert [member.index for member in placed.members] == [1]


def test_idle_worker_is_kept_for_a_suspect_that_waits(log):
    """Small jobs would otherwise keep every worker busy for good."""
    log.submit("busy", batches.content())
    log.place(batches.unit("busy", batches.ref("w1")))
    submit_suspects(log, "j1")
    log.submit("small", batches.content(batches.step(estimate_ms=60_000)))
    left = {(batches.task("busy"), 1): 2_000}
    assert plan(log, batches.worker("w1"), left=left).units == ()


def occupy(log, worker, queue, *job_ids, accelerators=2):
    for job_id in job_ids:
        each = batches.content(batches.step(1, accelerators))
        log.submit(job_id, each, queue)
        log.place(batches.unit(job_id, batches.ref(worker)))


def test_guaranteed_suspect_reclaims_a_whole_worker(log):
    log.submit("own", batches.content(), "urgent")
    crash(log, "own")
    occupy(log, "w1", "nightly", "low1", "low2")
    occupy(log, "w2", "nightly", "low3", "low4", "low5")
    log.now += 10_000
    stops = {stop.task.job_id for stop in plan(log).stops}
    assert stops == {"low1", "low2"}


def run_after_two_crashes(log, job_id, worker):
    """Places a job that must run apart until it has ended."""
    for run in (1, 2):
        log.submit(f"other{run}", batches.content(), "nightly")
        crash(log, job_id, f"other{run}", run=run)
        log.cancel(f"other{run}", "nightly")
    log.place(batches.unit(job_id, batches.ref(worker), run=3))


@pytest.mark.parametrize("accelerators", [1, 8])
def test_guaranteed_job_reclaims_a_worker_from_a_suspect(log, accelerators):
    log.submit("low", batches.content(), "nightly")
    run_after_two_crashes(log, "low", "w1")
    own = batches.content(batches.step(1, accelerators))
    log.submit("own", own, "urgent")
    log.now += 10_000
    decided = plan(log, batches.worker("w1"))
    assert [stop.task.job_id for stop in decided.stops] == ["low"]
    assert decided.units == ()


def test_guaranteed_job_waits_for_a_suspect_that_is_being_stopped(log):
    log.submit("low", batches.content(), "nightly")
    run_after_two_crashes(log, "low", "w1")
    occupy(log, "w2", "nightly", "low2", "low3")
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    log.now += 10_000
    stops = plan(log).stops
    assert [stop.task.job_id for stop in stops] == ["low"]
    log.apply(batching.StopRuns(runs=stops, at_ms=log.now))
    decided = plan(log)
    assert (decided.stops, decided.units) == ((), ())


def test_guaranteed_suspect_gang_loses_no_worker_to_guaranteed_work(log):
    log.submit("g", batches.content(batches.step(2, 2, gang=True)), "urgent")
    log.place(batches.unit("g", batches.ref("w9"), batches.ref("w9")))
    log.now += 1_000
    log.crash(batches.task("g", 0))
    log.end(batches.task("g", 1), outcome=batch.RunOutcome.BROKEN)
    log.place(batches.unit("g", batches.ref("w1"), batches.ref("w1"), run=2))
    log.submit("own", batches.content(), "urgent")
    log.now += 500
    decided = plan(log, batches.worker("w1"))
    assert (decided.stops, decided.units) == ((), ())


def test_suspect_stops_no_guaranteed_work(log):
    log.submit("own", batches.content(), "urgent")
    crash(log, "own")
    occupy(log, "w1", "nightly", "low")
    occupy(log, "w1", "urgent", "other")
    log.now += 10_000
    assert plan(log, batches.worker("w1")).stops == ()


@pytest.mark.parametrize("accelerators", [0, 2])
def test_guaranteed_suspect_reclaims_no_worker_that_is_too_small(
    log, accelerators
):
    """Also one whose capacity is not known at present, which counts as none."""
    log.submit("own", batches.content(batches.step(1, 4)), "urgent")
    crash(log, "own")
    small = batches.worker("w1", capacity=batches.task_need(accelerators))
    if accelerators:
        occupy(log, "w1", "nightly", "low1")
    occupy(log, "w2", "nightly", "low2", "low3", "low4")
    log.now += 10_000
    decided = plan(log, small, batches.worker("w2"))
    stops = {stop.task.job_id for stop in decided.stops}
    assert stops == {"low2", "low3", "low4"}


def test_worker_reclaimed_for_a_suspect_is_promised_to_nobody_else(log):
    log.submit("own1", batches.content(), "urgent")
    crash(log, "own1")
    log.submit("own2", batches.content(batches.step(1, 4)), "urgent")
    occupy(log, "w1", "nightly", "low1", "low2")
    occupy(log, "w2", "nightly", "low3", accelerators=8)
    log.now += 10_000
    stops = {stop.task.job_id for stop in plan(log).stops}
    assert stops == {"low1", "low2", "low3"}


def test_suspect_beyond_its_guarantee_stops_nobody(log):
    saving = batches.step(1, 8, estimate_ms=60_000, checkpointing=True)
    log.submit("low", batches.content(saving), "nightly")
    log.place(batches.unit("low", batches.ref("w1")))
    submit_suspects(log, "j1")
    assert plan(log, batches.worker("w1")).stops == ()


def crash_of_two(log, old_queue, new_queue):
    """Lets a worker crash under two jobs, the second of which began later."""
    log.submit("old", batches.content(), old_queue)
    log.submit("new", batches.content(), new_queue)
    log.place(batches.unit("old", batches.ref("w9")))
    log.now += 5_000
    log.place(batches.unit("new", batches.ref("w9")))
    ends = tuple(
        batching.RunEnd(
            task=batches.task(each),
            run=1,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        for each in ("old", "new")
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))


@pytest.mark.parametrize(
    "queues", [("planned", "nightly"), ("nightly", "nightly")]
)
def test_run_that_began_last_before_the_crash_is_tried_first(log, queues):
    crash_of_two(log, *queues)
    assert placed_on(plan(log, batches.worker("w1"))) == {"new": {"w1"}}


def test_two_suspects_of_a_crash_do_not_stop_each_other_in_turn(log):
    """The guaranteed one would stop the other, which would go first again."""
    crash_of_two(log, "urgent", "nightly")
    assert placed_on(plan(log, batches.worker("w1"))) == {"old": {"w1"}}


def test_suspect_of_a_later_crash_does_not_overtake_an_urgent_one(log):
    log.submit("urgent", batches.content(), "urgent")
    crash(log, "urgent")
    log.submit("low", batches.content(), "nightly")
    crash(log, "low", worker="w8")
    assert placed_on(plan(log, batches.worker("w1"))) == {"urgent": {"w1"}}


def test_suspect_avoids_workers_that_crashed_recently(log):
    submit_suspects(log, "j1")
    workers = (batches.worker("w1", crashed=True), batches.worker("w2"))
    assert placed_on(plan(log, *workers)) == {"j1": {"w2"}}


def test_suspect_gang_uses_few_workers(log):
    log.submit("g", batches.content(batches.step(2, 4, gang=True)))
    refs = (batches.ref("w9"), batches.ref("w8"))
    log.place(batches.unit("g", *refs))
    log.crash(batches.task("g", 0))
    log.end(batches.task("g", 1), outcome=batch.RunOutcome.BROKEN)
    (names,) = placed_on(plan(log)).values()
    assert len(names) == 1


def test_long_running_suspect_does_not_hold_a_worker_for_good(log):
    log.submit("s", batches.content(batches.step(long_running=True)))
    for run in (1, 2):
        log.submit(f"other{run}", batches.content())
        crash(log, "s", f"other{run}", run=run)
    log.place(batches.unit("s", batches.ref("w1"), run=3))
    log.submit("later", batches.content())
    log.now += crash_model.BLAMED_RUN_MS
    assert "later" not in placed_on(plan(log, batches.worker("w1")))
    log.now += 1
    assert "later" in placed_on(plan(log, batches.worker("w1")))
