"""Which workers a unit waits to avoid since runs have failed there."""

import dataclasses

import pytest

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

DOUBTFUL = views.WorkerHealth.DOUBTFUL
SUSPECT = views.WorkerHealth.SUSPECT
UNPROVEN = views.WorkerHealth.UNPROVEN
# Delay after which the failure of a run is no longer recent.
LATER_MS = 60_000


@pytest.fixture
def log():
    return batches.Log()


def plan(log, *workers, left=None):
    return planner.plan(log.held, workers, left or {}, log.now)


def placed_on(decided):
    return [m.worker.name for unit in decided.units for m in unit.members]


def occupy(log, *names, queue="planned"):
    """Fills workers with runs that nobody of the tests' queues may stop."""
    for name in names:
        job_id = f"busy-{name}"
        log.submit(job_id, batches.content(batches.step(1, 8)), queue)
        log.place(batches.unit(job_id, batches.ref(name)))


def fail_once(log, job_id, name, index=0):
    log.place(batches.unit(job_id, batches.ref(name), first=index))
    log.end(batches.task(job_id, index), outcome=batch.RunOutcome.FAILED)


def guarantee_all(log, **queue_fields):
    """Guarantees an account all workers of the tests."""
    catalog = log.held.catalog
    log.held.catalog = batches.catalog(
        accounts=(dataclasses.replace(catalog.accounts[0], guaranteed=32),),
        queues=tuple(
            dataclasses.replace(queue, **queue_fields)
            for queue in catalog.queues
        ),
    )


def fleet(count=4, **healths):
    return [
        batches.worker(name, health=healths.get(name, views.WorkerHealth.SOUND))
        for name in (f"w{number}" for number in range(1, count + 1))
    ]


def test_task_waits_rather_than_fail_on_a_suspect_worker_that_is_free(log):
    occupy(log, "w2", "w3", "w4")
    log.submit("j1", batches.content(batches.step(1, 8)))
    assert placed_on(plan(log, *fleet(w1=SUSPECT))) == []
    assert placed_on(plan(log, *fleet(w1=DOUBTFUL))) == ["w1"]


def test_task_that_fits_only_on_a_suspect_worker_starts_there(log):
    log.submit("j1", batches.content(batches.step(1, 8)))
    small = batches.worker("w2", capacity=batches.task_need())
    suspect = batches.worker("w1", health=SUSPECT)
    assert placed_on(plan(log, suspect, small)) == ["w1"]


def test_jobs_that_fail_everywhere_do_not_stop_all_work(log):
    occupy(log, "w3", "w4")
    log.submit("j1", batches.content(batches.step(1, 8)))
    suspects = fleet(w1=SUSPECT, w2=SUSPECT)
    assert placed_on(plan(log, *suspects)) == ["w1"]


def test_guarantee_stops_others_rather_than_start_on_a_suspect_worker(log):
    occupy(log, "w2", "w3", "w4", queue="nightly")
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    decided = plan(log, *fleet(w1=SUSPECT))
    assert decided.units == () and len(decided.stops) == 1


def test_guarantee_is_not_late_where_only_a_suspect_worker_is_left(log):
    guarantee_all(log)
    occupy(log, "w2", "w3", "w4", queue="urgent")
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    assert placed_on(plan(log, *fleet(w1=SUSPECT))) == ["w1"]


def test_last_attempt_is_not_spent_on_a_worker_that_just_failed_another(log):
    occupy(log, "w3", "w4")
    log.submit("j1", batches.content(batches.step(1, 8)))
    fail_once(log, "j1", "w2")
    log.now += LATER_MS
    occupy(log, "w2")
    assert placed_on(plan(log, *fleet(w1=DOUBTFUL))) == []
    assert placed_on(plan(log, *fleet(w1=UNPROVEN))) == ["w1"]


def test_task_on_its_last_attempt_does_not_hold_up_its_step(log):
    occupy(log, "w3", "w4")
    log.submit("j1", batches.content(batches.step(2, 8)))
    fail_once(log, "j1", "w2")
    occupy(log, "w2")
    (unit,) = plan(log, *fleet(w1=DOUBTFUL)).units
    assert [m.index for m in unit.members] == [1]


def test_gang_waits_rather_than_lose_its_work_on_a_doubtful_worker(log):
    occupy(log, "w3", "w4")
    log.submit("j1", batches.content(batches.step(2, 8, gang=True)))
    assert placed_on(plan(log, *fleet(w1=DOUBTFUL))) == []
    assert placed_on(plan(log, *fleet(w1=UNPROVEN))) == ["w2", "w1"]


def test_guarantee_of_one_attempt_starts_where_only_doubt_is_left(log):
    guarantee_all(log, max_attempts=1)
    occupy(log, "w2", "w3", "w4", queue="urgent")
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    assert placed_on(plan(log, *fleet(w1=DOUBTFUL))) == ["w1"]


def test_late_retry_avoids_the_worker_that_has_failed_all_since(log):
    occupy(log, "w3", "w4")
    log.submit("j1", batches.content(batches.step(1, 8)))
    fail_once(log, "j1", "w1")
    log.now += LATER_MS
    occupy(log, "w2")
    assert placed_on(plan(log, *fleet(w1=UNPROVEN))) == []
    assert placed_on(plan(log, *fleet())) == ["w1"]


@pytest.mark.parametrize("queue", ["planned", "urgent"])
def test_retry_does_not_wait_for_workers_that_stay_busy(log, queue):
    service = batches.step(3, 5, long_running=True, spread_limit=1)
    log.submit("service", batches.content(service))
    log.place(batches.unit("service", *map(batches.ref, ("w2", "w3", "w4"))))
    log.submit("j1", batches.content(batches.step(1, 4)), queue)
    fail_once(log, "j1", "w1")
    log.now += LATER_MS
    assert placed_on(plan(log, *fleet(w1=UNPROVEN))) == ["w1"]


def test_retry_waits_at_first_although_all_others_are_busy_for_long(log):
    """A worker that fails all it starts would use up the attempts at once."""
    occupy(log, "w2", "w3", "w4")
    log.submit("j1", batches.content(batches.step(1, 8)))
    fail_once(log, "j1", "w1")
    left = {(batches.task(f"busy-{n}"), 1): 600_000 for n in ("w2", "w3", "w4")}
    assert placed_on(plan(log, *fleet(w1=UNPROVEN), left=left)) == []
    log.now += LATER_MS
    assert placed_on(plan(log, *fleet(w1=UNPROVEN), left=left)) == ["w1"]
