"""Planning of batch jobs."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

# Delay after which no unit waits for its preferred rack any more.
LATER_MS = 60_000


@pytest.fixture
def log():
    return batches.Log()


def plan(log, *workers, at_ms=None):
    return planner.plan(
        log.held, workers, {}, log.now if at_ms is None else at_ms
    )


def worker_names(decided):
    return [[m.worker.name for m in unit.members] for unit in decided.units]


def commit(log, decided):
    """Commits the placements of a plan."""
    if decided.units:
        log.place(*decided.units)


def test_urgent_jobs_go_first(log):
    log.submit("late", batches.content(batches.step(1, 8)), "nightly")
    log.submit("soon", batches.content(batches.step(1, 8)), "urgent")
    decided = plan(log, batches.worker())
    assert [unit.job_id for unit in decided.units] == ["soon"]


def test_gang_is_placed_whole_or_not_at_all(log):
    log.submit("j1", batches.content(batches.step(2, 8, gang=True)))
    assert plan(log, batches.worker("w1")).units == ()
    both = plan(log, batches.worker("w1"), batches.worker("w2"))
    assert sorted(worker_names(both)[0]) == ["w1", "w2"]


ONE_RACK = batches.step(2, 8, gang=True, same_rack=True, estimate_ms=5_000)
APART = (batches.worker("w1", "r1"), batches.worker("w2", "r2"))


def test_gang_waits_for_an_absent_worker_of_its_rack(log):
    log.submit("j1", batches.content(ONE_RACK))
    closed = batches.worker("w3", "r2", open=False)
    assert plan(log, *APART, closed).units == ()
    decided = plan(log, *APART, batches.worker("w3", "r2"))
    assert sorted(worker_names(decided)[0]) == ["w2", "w3"]


def test_gang_is_not_split_because_a_worker_shrinks_for_a_moment(log):
    log.submit("j1", batches.content(ONE_RACK))
    full = batches.worker().capacity
    shrunk = batches.worker(
        "w3", "r2", capacity=batch.NO_RESOURCES, largest_capacity=full
    )
    assert plan(log, *APART, shrunk).units == ()
    assert plan(log, *APART, shrunk, at_ms=log.now + LATER_MS).units


@pytest.mark.parametrize(
    "left_ms, waits", [(8_000, True), (9_900, True), (11_000, False)]
)
def test_gang_waits_for_its_rack_while_that_ends_it_earlier(
    log, left_ms, waits
):
    """Across racks it takes 15 s instead of 5 s."""
    log.submit("busy", batches.content(batches.step(1, 8)))
    commit(log, plan(log, batches.worker("w3", "r2")))
    log.submit("j1", batches.content(ONE_RACK))
    workers = (*APART, batches.worker("w3", "r2"))
    left = {(batches.task("busy"), 1): left_ms}
    at_ms = log.now + 4_000
    decided = planner.plan(log.held, workers, left, at_ms)
    assert (decided.units == ()) == waits


def test_guaranteed_gang_starts_in_time_although_its_rack_is_busy(log):
    """It has to start within 2.7 s, and its rack is free only after 6 s."""
    log.submit("busy", batches.content(batches.step(1, 8)))
    commit(log, plan(log, batches.worker("w3", "r2")))
    log.now += 100_000  # Stopping it would lose too much work.
    gang = batches.step(
        2, 4, gang=True, same_rack=True, spread_limit=1, estimate_ms=5_000
    )
    log.submit("own", batches.content(gang), "urgent")
    workers = (*APART, batches.worker("w3", "r2"))
    left = {(batches.task("busy"), 1): 6_000}
    decided = planner.plan(log.held, workers, left, log.now + 1_500)
    assert [unit.job_id for unit in decided.units] == ["own"]


def test_gang_wider_than_any_rack_starts_at_once(log):
    """Waiting would make it late, as it takes three times as long anyway."""
    log.submit("j1", batches.content(ONE_RACK))
    assert plan(log, *APART).units


def test_gang_is_split_across_racks_rather_than_wait_for_ever(log):
    step = batches.step(2, 8, gang=True, same_rack=True)
    log.submit("j1", batches.content(step))
    apart = (batches.worker("w1", "r1"), batches.worker("w2", "r2"))
    assert plan(log, *apart, at_ms=log.now + LATER_MS).units


SHRUNK = batch.Resources(cpu_millis=32_000, memory_mb=64_000, accelerators=2)


def test_guarantee_is_reclaimed_on_a_worker_that_has_shrunk(log):
    """What is stopped also covers what the worker lacks."""
    for job_id in ("p1", "p2"):
        log.submit(job_id, batches.content(batches.step(1, 4)), "nightly")
    commit(log, plan(log, batches.worker()))
    log.submit("own", batches.content(batches.step(1, 4)), "urgent")
    halved = batches.worker(
        capacity=batch.Resources(
            cpu_millis=16_000, memory_mb=32_000, accelerators=4
        )
    )
    decided = plan(log, halved)
    assert sorted(run.task.job_id for run in decided.stops) == ["p1", "p2"]
    log.apply(batching.StopRuns(runs=decided.stops, at_ms=log.now))
    assert plan(log, halved).units == ()
    for run in decided.stops:
        log.end(run.task, outcome=batch.RunOutcome.STOPPED)
    assert [unit.job_id for unit in plan(log, halved).units] == ["own"]


def test_nothing_at_work_is_stopped_because_its_worker_shrinks(log):
    log.submit("p1", batches.content(batches.step(2, 4)), "nightly")
    commit(log, plan(log, batches.worker()))
    log.submit("p2", batches.content(batches.step(1, 8)), "planned")
    shrunk = batches.worker(capacity=SHRUNK)
    assert plan(log, shrunk).stops == ()


def test_worker_below_what_it_runs_does_not_break_the_planning_round(log):
    """The waiting tasks need none of what the worker has too little of."""
    log.submit("busy", batches.content(batches.step(1, 4)))
    commit(log, plan(log, batches.worker("w1")))
    log.submit("j1", batches.content(batches.step(2, 0)))
    log.submit("j2", batches.content(batches.step(1, need=batch.Resources())))
    shrunk = batches.worker("w1", capacity=SHRUNK)
    assert plan(log, shrunk).units == ()
    decided = plan(log, shrunk, batches.worker("w2"))
    assert worker_names(decided) == [["w2"], ["w2"], ["w2"]]


def test_nothing_is_placed_or_reserved_beyond_a_shrunken_capacity(log):
    log.submit("busy", batches.content(batches.step(1, 2)))
    commit(log, plan(log, batches.worker("w1")))
    log.submit("wide", batches.content(batches.step(1, 4)))
    log.submit("narrow", batches.content(batches.step(1, 2)))
    full = batches.worker("w2")
    log.submit("other", batches.content(batches.step(1, 7)), "urgent")
    commit(log, plan(log, full))
    shrunk = batches.worker("w1", capacity=SHRUNK)
    assert plan(log, shrunk, full).units == ()
    log.end(batches.task("busy"))
    decided = plan(log, shrunk, full)
    assert [unit.job_id for unit in decided.units] == ["narrow"]
    assert worker_names(decided) == [["w1"]]


@pytest.mark.parametrize(
    "change",
    [
        {"pool": "other"},
        {"open": False},
        {"labels": ("b",)},
        {"failure_domain": "lekki"},
    ],
)
def test_ineligible_workers_get_nothing(log, change):
    log.held.evacuated.append("lekki")
    log.submit("j1", batches.content(batches.step(required_label="a")))
    assert plan(log, batches.worker(**change)).units == ()
    assert plan(log, batches.worker()).units


def test_tasks_of_a_step_are_spread(log):
    log.submit("j1", batches.content(batches.step(3, 1, spread_limit=1)))
    workers = [batches.worker(name) for name in ("w1", "w2")]
    decided = plan(log, *workers)
    assert sorted(worker_names(decided)) == [["w1"], ["w2"]]
    commit(log, decided)
    assert plan(log, *workers).units == ()


def test_task_waits_for_the_rack_of_its_data_before_it_goes_elsewhere(log):
    log.submit("j1", batches.content(batches.step(data_rack="r2")))
    near = plan(log, batches.worker("w1", "r1"), batches.worker("w2", "r2"))
    assert worker_names(near) == [["w2"]]
    far = [batches.worker("w1", "r1")]
    assert plan(log, *far).units == ()
    assert plan(log, *far, at_ms=log.now + LATER_MS).units


def test_occurrence_waits_until_it_is_due(log):
    schedule = batch.Schedule(count=2, first_ms=5_000, interval_ms=1_000)
    log.submit("j1", batches.content(schedule=schedule))
    assert plan(log, batches.worker(), at_ms=4_999).units == ()
    due = plan(log, batches.worker(), at_ms=5_100).units
    assert [unit.occurrence for unit in due] == [0]
    due = plan(log, batches.worker(), at_ms=6_100).units
    assert [unit.occurrence for unit in due] == [0, 1]


def test_fill_without_memory_or_accelerators_is_placed(log):
    """It takes what others leave, so it counts as nothing."""
    need = batch.Resources(cpu_millis=4_000)
    log.submit("j1", batches.content(batches.step(2, need=need, fills=True)))
    assert len(plan(log, batches.worker()).units) == 2


def test_worker_capacity_is_never_exceeded(log):
    for number in range(20):
        log.submit(f"j{number}", batches.content(batches.step(2, 3)))
    workers = [batches.worker("w1"), batches.worker("w2")]
    commit(log, plan(log, *workers))
    placed_counts = [len(tasks) for tasks in log.held.placed.values()]
    assert placed_counts == [2, 2]
    assert plan(log, *workers).units == ()


def test_guarantee_stops_a_borrower_and_then_starts(log):
    log.submit("low", batches.content(batches.step(1, 8)), "nightly")
    commit(log, plan(log, batches.worker()))
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    decided = plan(log, batches.worker())
    assert [stop.task.job_id for stop in decided.stops] == ["low"]
    log.apply(batches.batching.StopRuns(runs=decided.stops, at_ms=1))
    again = plan(log, batches.worker())
    assert again.stops == () and again.units == ()
    log.end(batches.task("low"), outcome=batch.RunOutcome.STOPPED)
    started = plan(log, batches.worker())
    assert [unit.job_id for unit in started.units] == ["own"]


def test_plan_names_the_job_that_each_run_is_stopped_for(log):
    for name, worker in (("low1", "w1"), ("low2", "w2")):
        log.submit(name, batches.content(batches.step(1, 8)), "nightly")
        commit(log, plan(log, batches.worker(worker)))
    log.submit("own1", batches.content(batches.step(1, 4)), "urgent")
    log.submit("own2", batches.content(batches.step(1, 4)), "urgent")
    decided = plan(log, batches.worker("w1"))
    stopped = {r.task.job_id: job for r, job in decided.stopped_for.items()}
    assert stopped == {"low1": "own1"}
    assert decided.stops == tuple(decided.stopped_for)


def test_only_as_much_is_stopped_as_is_needed(log):
    for number in range(4):
        log.submit(f"low{number}", batches.content(batches.step(1, 2)))
    commit(log, plan(log, batches.worker()))
    log.submit("own", batches.content(batches.step(1, 4)), "urgent")
    assert len(plan(log, batches.worker()).stops) == 2


def test_nobody_stops_a_guaranteed_job(log):
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    commit(log, plan(log, batches.worker()))
    log.submit("more", batches.content(batches.step(1, 8)), "urgent")
    assert plan(log, batches.worker()).stops == ()


def test_large_unit_that_waits_is_not_starved_by_small_ones(log):
    log.submit("small", batches.content(batches.step(1, 1)), "planned")
    commit(log, plan(log, batches.worker()))
    log.submit("large", batches.content(batches.step(1, 8)), "planned")
    log.apply(
        batches.batching.StopRuns(
            runs=(batches.batching.TaskRun(task=batches.task("small"), run=1),),
            at_ms=1,
        )
    )
    log.submit("later", batches.content(batches.step(1, 1)), "planned")
    decided = plan(log, batches.worker(), at_ms=log.now + 2_000)
    assert decided.units == ()


def test_suspect_workers_are_chosen_last(log):
    log.submit("j1", batches.content())
    suspect = views.WorkerHealth.SUSPECT
    workers = [batches.worker("w1", health=suspect), batches.worker("w2")]
    assert worker_names(plan(log, *workers)) == [["w2"]]


def fail_first(log, decided):
    """Places the units of a plan; the run of the first task fails at once.

    The other runs of its gang break.
    """
    commit(log, decided)
    (unit,) = decided.units
    outcome = batch.RunOutcome.FAILED
    for member in unit.members:
        log.end(unit.task(member), unit.run, outcome)
        outcome = batch.RunOutcome.BROKEN


def test_task_is_not_retried_on_the_worker_that_just_failed_it(log):
    log.submit("j1", batches.content(batches.step(1, 8)))
    workers = [batches.worker("w1"), batches.worker("w2")]
    fail_first(log, plan(log, *workers))
    assert worker_names(plan(log, *workers)) == [["w2"]]
    assert worker_names(plan(log, workers[0])) == [["w1"]]


def test_task_waits_rather_than_fail_again_on_the_worker_that_is_free(log):
    log.submit("j1", batches.content(batches.step(1, 8)))
    workers = [batches.worker("w1"), batches.worker("w2")]
    fail_first(log, plan(log, *workers))
    log.submit("busy", batches.content(batches.step(1, 8)), "urgent")
    commit(log, plan(log, workers[1]))
    assert plan(log, *workers).units == ()
    assert plan(log, *workers, at_ms=log.now + LATER_MS).units


def test_failed_task_that_waits_does_not_hold_up_the_rest_of_its_step(log):
    log.submit("j1", batches.content(batches.step(2, 8)))
    workers = [batches.worker("w1"), batches.worker("w2")]
    fail_first(log, plan(log, workers[0]))
    log.submit("busy", batches.content(batches.step(1, 8)), "urgent")
    commit(log, planner.plan(log.held, workers[1:], {}, log.now))
    (unit,) = plan(log, *workers).units
    assert [m.index for m in unit.members] == [1]


def test_gang_is_not_retried_with_the_worker_that_just_failed_it(log):
    log.submit("j1", batches.content(ONE_RACK))
    workers = [
        batches.worker(name, rack)
        for name, rack in (("w1", "a"), ("w2", "a"), ("w3", "b"), ("w4", "b"))
    ]
    fail_first(log, plan(log, *workers))
    assert worker_names(plan(log, *workers)) == [["w3", "w4"]]


def test_guarantee_makes_room_elsewhere_than_where_it_just_failed(log):
    workers = [batches.worker("w1"), batches.worker("w2")]
    log.submit("low", batches.content(batches.step(1, 8)), "nightly")
    commit(log, plan(log, workers[1]))
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    fail_first(log, plan(log, *workers))
    (stop,) = plan(log, *workers).stops
    assert stop.task.job_id == "low"


def test_guarantee_waits_for_a_run_that_is_about_to_end(log):
    log.submit("low", batches.content(batches.step(1, 8)), "nightly")
    commit(log, plan(log, batches.worker()))
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    left = {(batches.task("low"), 1): 500}
    decided = planner.plan(log.held, [batches.worker()], left, log.now)
    assert decided.stops == () and decided.units == ()
    late = planner.plan(log.held, [batches.worker()], left, log.now + 1_500)
    assert late.stops


def test_guarantee_stops_what_loses_least(log):
    saving = batches.step(1, 8, estimate_ms=50_000, checkpointing=True)
    log.submit(
        "losing",
        batches.content(batches.step(1, 8, estimate_ms=50_000)),
        "nightly",
    )
    log.submit("saving", batches.content(saving), "nightly")
    workers = [batches.worker("w1"), batches.worker("w2")]
    commit(log, plan(log, *workers))
    log.now += 4_000
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    stops = plan(log, *workers).stops
    assert [stop.task.job_id for stop in stops] == ["saving"]


def test_urgent_job_beyond_its_guarantee_stops_nobody(log):
    log.submit("low", batches.content(batches.step(1, 8)), "nightly")
    commit(log, plan(log, batches.worker()))
    log.submit("wide", batches.content(batches.step(2, 8)), "urgent")
    assert plan(log, batches.worker()).stops == ()


def preempted(
    log,
    *,
    saving=True,
    estimate_ms=60_000,
    queue="urgent",
    elapsed_ms=0,
    first_ends=None,
    forced=False,
):
    """Returns the jobs preempted for one that exceeds its guarantee."""
    running = batches.step(1, 8, estimate_ms=estimate_ms, checkpointing=saving)
    log.submit("low", batches.content(running), "nightly")
    commit(log, plan(log, batches.worker()))
    if first_ends is not None:
        if first_ends == batch.RunOutcome.STOPPED:
            run = batching.TaskRun(task=batches.task("low"), run=1)
            log.apply(
                batching.StopRuns(runs=(run,), at_ms=log.now, forced=forced)
            )
        log.end(batches.task("low"), outcome=first_ends)
        commit(log, plan(log, batches.worker()))
    log.now += elapsed_ms
    wide = batches.step(9, 1, estimate_ms=5_000)
    log.submit("wide", batches.content(wide), queue)
    decided = plan(log, batches.worker())
    return [stop.task.job_id for stop in decided.stops]


def test_job_that_would_be_late_preempts_what_loses_nothing(log):
    assert preempted(log) == ["low"]


def test_job_preempts_what_was_lost_with_its_worker_before(log):
    """After a loss of power all runs are such; urgent work waited for them."""
    assert preempted(log, first_ends=batch.RunOutcome.LOST) == ["low"]


def test_job_preempts_nothing_that_was_stopped_before(log):
    assert preempted(log, first_ends=batch.RunOutcome.STOPPED) == []


def test_job_preempts_what_had_to_leave_its_worker_before(log):
    """An evacuation made it immune, though it had made room for nobody."""
    outcome = batch.RunOutcome.STOPPED
    assert preempted(log, first_ends=outcome, forced=True) == ["low"]


def test_job_preempts_nothing_that_would_lose_work(log):
    assert preempted(log, saving=False) == []


def test_job_preempts_nothing_that_would_be_late_itself(log):
    assert preempted(log, elapsed_ms=119_000) == []


def test_job_preempts_nothing_of_equal_priority(log):
    assert preempted(log, queue="nightly") == []


def test_job_waits_for_capacity_that_is_freed_in_time(log):
    assert preempted(log, estimate_ms=5_000) == []


@pytest.mark.parametrize("estimate_ms, fits", [(500, True), (9_000, False)])
def test_backfill_does_not_delay_a_reservation(log, estimate_ms, fits):
    log.submit("now", batches.content(batches.step(1, 4)), "nightly")
    commit(log, plan(log, batches.worker()))
    log.submit("large", batches.content(batches.step(1, 8)), "planned")
    filler = batches.step(1, 4, estimate_ms=estimate_ms)
    log.submit("filler", batches.content(filler), "nightly")
    left = {(batches.task("now"), 1): 2_000}
    decided = planner.plan(log.held, [batches.worker()], left, log.now)
    assert [unit.job_id for unit in decided.units] == ["filler"] * fits


def test_earlier_deadline_goes_first_at_equal_priority(log):
    long = batches.step(1, 8, estimate_ms=50_000)
    log.submit("long", batches.content(long))
    log.now += 100
    log.submit("short", batches.content(batches.step(1, 8)))
    decided = plan(log, batches.worker())
    assert [unit.job_id for unit in decided.units] == ["short"]
