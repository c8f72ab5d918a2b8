"""Innocent suspects of a crash while most of the workers' capacity is idle."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

WORKERS = tuple(batches.worker(f"w{number}") for number in range(8))
# A job that has nothing running for so long counts as lost if most of the
# capacity is idle.
LOST_AFTER_MS = 3_000
STEP_MS = 250


@pytest.fixture
def log():
    return batches.Log()


def crash(log, *job_ids, run=1, ran_ms=8_000):
    """Lets a worker crash under several jobs."""
    gone = batches.ref("gone", run)
    log.place(*(batches.unit(job_id, gone, run=run) for job_id in job_ids))
    log.now += ran_ms
    ends = tuple(
        batching.RunEnd(
            task=batches.task(job_id),
            run=log.held.jobs[job_id].task(batches.task(job_id)).run,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        for job_id in job_ids
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))


def jobs_that_wait(log, job_ids):
    """Returns the jobs that do not start within `LOST_AFTER_MS`."""
    waiting = set(job_ids)
    for _ in range(0, LOST_AFTER_MS, STEP_MS):
        decided = planner.plan(log.held, WORKERS, {}, log.now)
        log.place(*decided.units)
        waiting -= {unit.job_id for unit in decided.units}
        log.now += STEP_MS
    return waiting


def occupy_a_bit(log):
    """Uses one accelerator of eight on each worker."""
    for worker in WORKERS:
        job_id = f"busy-{worker.ref.name}"
        step = batches.step(estimate_ms=60_000)
        log.submit(job_id, batches.content(step))
        log.place(batches.unit(job_id, worker.ref))


def test_suspects_do_not_wait_while_most_workers_are_idle(log):
    names = [f"j{number}" for number in range(5)]
    for name in names:
        log.submit(name, batches.content())
    crash(log, *names)
    assert jobs_that_wait(log, names) == set()


def test_suspect_does_not_wait_while_every_worker_is_little_used(log):
    for name in ("j1", "j2"):
        log.submit(name, batches.content())
    occupy_a_bit(log)
    crash(log, "j1", "j2")
    assert jobs_that_wait(log, ["j1"]) == set()


def test_suspect_of_two_crashes_runs_or_is_given_up(log):
    for name in ("j1", "j2"):
        log.submit(name, batches.content())
    crash(log, "j1", "j2")
    crash(log, "j1", "j2", run=2)
    occupy_a_bit(log)
    waiting = jobs_that_wait(log, ["j1"])
    assert waiting == set() or log.held.jobs["j1"].result is not None


def test_small_guaranteed_suspects_leave_workers_to_others(log):
    """One step of single-accelerator tasks takes a whole worker for each."""
    wide = batches.content(batches.step(len(WORKERS)))
    log.submit("wide", wide, "urgent")
    log.place(batches.unit("wide", *[batches.ref("gone")] * len(WORKERS)))
    log.now += 8_000
    ends = tuple(
        batching.RunEnd(
            task=batches.task("wide", index),
            run=1,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        for index in range(len(WORKERS))
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))
    log.place(*planner.plan(log.held, WORKERS, {}, log.now).units)
    log.submit("j1", batches.content())
    assert jobs_that_wait(log, ["j1"]) == set()
