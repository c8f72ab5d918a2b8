"""Room that is freed for a waiting unit is not given to others."""

import dataclasses

import pytest

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import planner
from tests.utils import batches


@pytest.fixture
def log():
    return batches.Log()


def occupy(log, name, queue="nightly"):
    job_id = f"busy-{name}"
    log.submit(job_id, batches.content(batches.step(1, 8)), queue)
    log.place(batches.unit(job_id, batches.ref(name)))
    return batches.task(job_id)


def started_jobs(decided):
    return [unit.job_id for unit in decided.units]


def test_backfill_does_not_delay_a_gang_of_several_tasks_a_worker(log):
    log.submit("now", batches.content(batches.step(1, 4)), "nightly")
    log.place(batches.unit("now", batches.ref()))
    log.submit("gang", batches.content(batches.step(2, 4, gang=True)))
    filler = batches.step(1, 4, estimate_ms=9_000)
    log.submit("filler", batches.content(filler), "nightly")
    left = {(batches.task("now"), 1): 2_000}
    decided = planner.plan(log.held, [batches.worker()], left, log.now)
    assert started_jobs(decided) == []


def test_guarantee_keeps_what_was_stopped_for_it(log):
    """Another run that may end soon must not make it change its workers."""
    account = dataclasses.replace(log.held.catalog.accounts[0], guaranteed=16)
    log.held.catalog = batches.catalog(accounts=(account,))
    workers = [batches.worker(f"w{number}") for number in (1, 2, 3)]
    ends_soon = occupy(log, "w1")
    stopped = [occupy(log, name) for name in ("w2", "w3")]
    log.submit("own", batches.content(batches.step(2, 8, gang=True)), "urgent")
    log.now += 10
    log.apply(
        batches.batching.StopRuns(
            runs=tuple(
                batches.batching.TaskRun(task=task, run=1) for task in stopped
            ),
            at_ms=log.now,
        )
    )
    log.end(stopped[1], outcome=batch.RunOutcome.STOPPED)
    left = {(ends_soon, 1): 500}
    decided = planner.plan(log.held, workers, left, log.now)
    assert started_jobs(decided) == []
    assert decided.stops == ()
