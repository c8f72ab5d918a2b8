"""How many units start on a worker that just failed a run."""

import dataclasses

import pytest

from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

FAILED_AGO_MS = 10
PROBE_MS = 500


@pytest.fixture
def log():
    return batches.Log()


def failed_worker(name="w1", **more):
    probation = views.Probation(failed_ago_ms=FAILED_AGO_MS, probe_ms=PROBE_MS)
    defaults = {
        "health": views.WorkerHealth.DOUBTFUL,
        "probation": probation,
    }
    return batches.worker(name, **(defaults | more))


def later(worker, ms):
    """The same worker, with more time since its last failure."""
    probation = dataclasses.replace(
        worker.probation, failed_ago_ms=worker.probation.failed_ago_ms + ms
    )
    return dataclasses.replace(worker, probation=probation)


def start_all(log, *workers):
    """Starts what the planner decides and returns the jobs that started."""
    decided = planner.plan(log.held, workers, {}, log.now)
    if decided.units:
        log.place(*decided.units)
    return [unit.job_id for unit in decided.units]


def test_tasks_do_not_fail_together_on_a_worker_that_just_failed(log):
    worker = failed_worker()
    log.submit("j1", batches.content(batches.step(8)))
    assert start_all(log, worker) == ["j1"]
    assert start_all(log, worker) == []
    log.now += PROBE_MS - 1
    assert start_all(log, later(worker, PROBE_MS - 1)) == []
    log.now += 1
    assert start_all(log, later(worker, PROBE_MS)) == ["j1"] * 7


def test_task_that_needs_no_resources_waits_for_the_probe_too(log):
    log.submit("j1", batches.content(batches.step(1)))
    start_all(log, failed_worker())
    nothing = batches.step(1, need=batches.task_need(0, 0))
    nothing = dataclasses.replace(
        nothing, need=dataclasses.replace(nothing.need, memory_mb=0)
    )
    log.submit("j2", batches.content(nothing))
    assert start_all(log, failed_worker()) == []
    assert start_all(log, batches.worker()) == ["j2"]


def test_run_older_than_the_failure_is_no_probe(log):
    log.submit("j1", batches.content(batches.step(1)))
    start_all(log, batches.worker())
    log.now += 60_000
    log.submit("j2", batches.content(batches.step(2)))
    assert start_all(log, failed_worker()) == ["j2"]


def test_end_of_the_probe_leaves_room_for_another(log):
    log.submit("j1", batches.content(batches.step(1)))
    start_all(log, failed_worker())
    log.end(batches.task("j1"))
    log.submit("j2", batches.content(batches.step(2)))
    assert start_all(log, failed_worker()) == ["j2"]


def test_gang_may_be_the_probe(log):
    unproven = failed_worker(health=views.WorkerHealth.UNPROVEN)
    log.submit("j1", batches.content(batches.step(2, 4, gang=True)))
    assert start_all(log, unproven) == ["j1"]


def test_guarantee_does_not_wait_for_a_probe(log):
    log.submit("j1", batches.content(batches.step(1)))
    start_all(log, failed_worker())
    log.submit("own", batches.content(batches.step(2)), "urgent")
    assert start_all(log, failed_worker()) == ["own", "own"]


def test_failures_on_many_workers_do_not_hold_up_work(log):
    workers = [failed_worker(f"w{number}") for number in range(1, 5)]
    log.submit("j1", batches.content(batches.step(32)))
    assert len(start_all(log, *workers)) == 32
