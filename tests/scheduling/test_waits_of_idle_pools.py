"""Jobs that idle workers could run, by causes that random pools showed."""

import dataclasses

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import views
from tests.scheduling import idle_pool_model
from tests.utils import batches

RACKS = 6
ROUND_MS = idle_pool_model.ROUND_MS
LOST_AFTER_MS = idle_pool_model.LOST_AFTER_MS
CALM_MS = idle_pool_model.CALM_MS
# How long the health of a worker tells of a failed run.
RECENT_FAILURE_MS = 10_000
WORKERS = tuple(
    batches.worker(
        f"r{rack}-{number}",
        rack=f"r{rack}",
        capacity=idle_pool_model.CAPACITY,
    )
    for rack in range(RACKS)
    for number in range(4)
)
LARGE = batch.Resources(cpu_millis=26_000, memory_mb=52_992, accelerators=8)
SMALL = batch.Resources(cpu_millis=5_600, memory_mb=11_448, accelerators=1)
# Few cores for many accelerators.
DENSE = dataclasses.replace(SMALL, accelerators=7)


@pytest.fixture
def log():
    log = batches.Log()
    catalog = batches.catalog(version=2)
    queues = tuple(
        dataclasses.replace(queue, max_attempts=4) for queue in catalog.queues
    )
    changed = dataclasses.replace(catalog, queues=queues)
    log.apply(batching.ApplyCatalog(catalog=changed, at_ms=log.now))
    return log


def occupy(log, workers, need):
    """Runs an overdue job of one task on each worker."""
    for worker in workers:
        job_id = f"busy-{worker.ref.name}"
        step = batches.step(1, need=need, estimate_ms=2_000)
        log.submit(job_id, batches.content(step))
        log.place(batches.unit(job_id, worker.ref))
    log.now += 10_000


def starts(log, job_id, workers_at):
    """Returns whether a job starts within `LOST_AFTER_MS`."""
    leader = batches.Leader(log)
    for _ in range(0, LOST_AFTER_MS, ROUND_MS):
        decided = leader.plan(workers_at(log.now))
        if any(unit.job_id == job_id for unit in decided.units):
            return True
        log.place(*decided.units)
        log.now += ROUND_MS
    return False


def with_health(names, health):
    return [
        dataclasses.replace(worker, health=health)
        if worker.ref.name in names
        else worker
        for worker in WORKERS
    ]


@pytest.mark.parametrize(
    "more",
    [{"gang": True, "same_rack": True}, {"data_rack": "r0"}],
    ids=["gang", "data"],
)
def test_job_does_not_wait_for_its_rack_while_half_of_the_cores_are_idle(
    log, more
):
    """69% of the accelerators are in use, 7% of the cores and of the memory."""
    occupy(
        log,
        [w for w in WORKERS if w.rack == "r0" or not w.ref.name.endswith("-0")],
        DENSE,
    )
    step = batches.step(2, need=LARGE, estimate_ms=17_000, **more)
    log.submit("job", batches.content(step))
    assert starts(log, "job", lambda _: WORKERS)


def test_job_does_not_wait_for_overdue_runs_beside_workers_that_failed(log):
    """All workers are idle but for small tasks, and two failed a run before."""
    occupy(log, WORKERS[2:], SMALL)
    names = {worker.ref.name for worker in WORKERS[:2]}
    failed_ms = log.now
    log.now += CALM_MS
    step = batches.step(1, need=LARGE, estimate_ms=17_000)
    log.submit("job", batches.content(step))

    def workers_at(now_ms):
        if now_ms - failed_ms < RECENT_FAILURE_MS:
            return with_health(names, views.WorkerHealth.SUSPECT)
        return with_health(names, views.WorkerHealth.UNPROVEN)

    assert starts(log, "job", workers_at)


def test_task_does_not_wait_for_overdue_runs_once_its_failures_are_old(log):
    """The idle workers failed it, and nothing else has run there since."""
    step = batches.step(1, need=LARGE, estimate_ms=17_000)
    log.submit("job", batches.content(step))
    for run, worker in enumerate(WORKERS[:2], 1):
        log.place(batches.unit("job", worker.ref, run=run))
        log.end(batches.task("job"), run, batch.RunOutcome.FAILED)
    occupy(log, WORKERS[2:], SMALL)
    log.now += RECENT_FAILURE_MS
    names = {worker.ref.name for worker in WORKERS[:2]}
    unproven = with_health(names, views.WorkerHealth.UNPROVEN)
    assert starts(log, "job", lambda _: unproven)


def test_task_that_a_crash_hit_does_not_wait_while_half_of_the_cores_are_idle(
    log,
):
    """62% of the accelerators are in use, and no worker is idle."""
    step = batches.step(1, need=SMALL, estimate_ms=60_000)
    log.submit("job", batches.content(step))
    log.place(batches.unit("job", WORKERS[0].ref))
    occupy(log, WORKERS[:16], DENSE)
    occupy(log, WORKERS[16:], SMALL)
    log.crash(batches.task("job"))
    log.now += CALM_MS
    assert starts(log, "job", lambda _: WORKERS)
