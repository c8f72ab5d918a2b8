"""Which workers a unit waits to avoid since runs have failed there."""

import dataclasses

import pytest

from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

DOUBTFUL = views.WorkerHealth.DOUBTFUL
SUSPECT = views.WorkerHealth.SUSPECT


@pytest.fixture
def log():
    return batches.Log()


def plan(log, *workers):
    return planner.plan(log.held, workers, {}, log.now)


def placed_on(decided):
    return [m.worker.name for unit in decided.units for m in unit.members]


def occupy(log, *names, queue="planned"):
    """Fills workers with runs that nobody of the tests' queues may stop."""
    for name in names:
        job_id = f"busy-{name}"
        log.submit(job_id, batches.content(batches.step(1, 8)), queue)
        log.place(batches.unit(job_id, batches.ref(name)))


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
    accounts = (
        dataclasses.replace(log.held.catalog.accounts[0], guaranteed=32),
    )
    log.held.catalog = batches.catalog(accounts=accounts)
    occupy(log, "w2", "w3", "w4", queue="urgent")
    log.submit("own", batches.content(batches.step(1, 8)), "urgent")
    assert placed_on(plan(log, *fleet(w1=SUSPECT))) == ["w1"]
