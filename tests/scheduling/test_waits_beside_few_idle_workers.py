"""Jobs that could start now beside little idle room, or while a pool is busy."""

import dataclasses

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.scheduling import test_waits_beside_idle_workers as idle_workers
from tests.utils import batches

WORKERS = idle_workers.WORKERS
LABEL = "z"


@pytest.fixture
def log():
    return batches.Log()


def with_label(*names):
    """Returns all workers, of which those named have a label."""
    return [
        dataclasses.replace(worker, labels=(LABEL,))
        if worker.ref.name in names
        else worker
        for worker in WORKERS
    ]


def occupy(log, *names, accelerators=8):
    """Runs a task on each worker for longer than expected."""
    for name in names:
        idle_workers.occupy(
            log, name, accelerators=accelerators, estimate_ms=5_000
        )
    log.now += 10_000


def placed_tasks(log, job_id, workers=WORKERS, permits=None, wall_step_ms=0):
    """Returns the tasks of a job that start before it counts as lost."""
    leader = batches.Leader(log)
    indexes = set()
    for _ in range(0, idle_workers.LOST_AFTER_MS, idle_workers.ROUND_MS):
        wall_ms = log.now + wall_step_ms
        decided = leader.plan(workers, wall_ms=wall_ms, permits=permits or {})
        log.place(*decided.units)
        indexes |= {
            member.index
            for unit in decided.units
            if unit.job_id == job_id
            for member in unit.members
        }
        log.now += idle_workers.ROUND_MS
    return indexes


def test_lasting_task_does_not_wait_for_its_data_rack_in_a_busy_pool(log):
    occupy(log, *(worker.ref.name for worker in WORKERS[:14]))
    step = batches.step(
        1, 8, long_running=True, data_rack="r0", estimate_ms=17_000
    )
    log.submit("lasting", batches.content(step))
    assert placed_tasks(log, "lasting") == {0}


def test_lasting_task_does_not_wait_for_its_data_rack_beside_another_of_its_job(
    log,
):
    occupy(log, *(worker.ref.name for worker in WORKERS[:4]))
    step = batches.step(
        2, 8, long_running=True, data_rack="r0", estimate_ms=17_000
    )
    log.submit("lasting", batches.content(step))
    log.place(batches.unit("lasting", batches.ref("r5-3")))
    assert placed_tasks(log, "lasting") == {1}


@pytest.mark.parametrize(
    "step",
    [
        pytest.param(batches.step(1, 1), id="one task"),
        pytest.param(batches.step(2, 1, gang=True), id="gang"),
    ],
)
def test_small_job_does_not_wait_beside_one_idle_worker(log, step):
    occupy(log, *(w.ref.name for w in WORKERS[:11]), accelerators=1)
    wide = batches.step(24, 8, gang=True, estimate_ms=17_000)
    log.submit("wide", batches.content(wide))
    step = dataclasses.replace(step, required_label=LABEL, estimate_ms=17_000)
    log.submit("small", batches.content(step))
    workers = with_label("r5-3")
    tasks = set(range(step.count))
    assert placed_tasks(log, "small", workers) == tasks


@pytest.mark.parametrize("left_out", ["closed", "no permit"])
def test_gang_does_not_wait_for_its_rack_if_only_few_idle_workers_may_be_used(
    log, left_out
):
    for rack in range(idle_workers.RACKS):
        occupy(log, f"r{rack}-0", f"r{rack}-1", accelerators=1)
    usable = {"r3-3", "r4-2", "r4-3", "r5-2", "r5-3"}
    busy = {f"r{rack}-{n}" for rack in range(3, 6) for n in range(2)}
    workers, permits = WORKERS, {}
    log.submit("gang", batches.content(idle_workers.RACK_GANG))
    if left_out == "closed":
        workers = [
            dataclasses.replace(w, open=w.ref.name in usable | busy)
            for w in WORKERS
        ]
    else:
        batches.advised(log.held)
        permits = {("gang", 0, 0): dict.fromkeys(usable | busy, "permit")}
    started = placed_tasks(log, "gang", workers, permits=permits)
    assert started == {0, 1, 2}


def test_gang_of_a_later_step_waits_for_a_rack_that_is_soon_free(log):
    for rack in range(idle_workers.RACKS):
        for number in range(2):
            idle_workers.occupy(log, f"r{rack}-{number}")
    gang = dataclasses.replace(idle_workers.RACK_GANG, depends_on=(0,))
    log.submit("job", batches.content(batches.step(), gang))
    log.place(batches.unit("job", batches.ref("r0-0")))
    log.now += 29_900
    log.end(batches.task("job"))
    decided = planner.plan(log.held, WORKERS, {}, log.now)
    assert decided.units == ()


def test_retry_does_not_wait_for_ever_beside_the_worker_that_failed_it_once(
    log,
):
    step = batches.step(1, 4, required_label=LABEL)
    log.submit("job", batches.content(step))
    log.place(batches.unit("job", batches.ref("r0-0")))
    log.end(batches.task("job"), outcome=batch.RunOutcome.FAILED)
    occupy(log, "r0-1")
    log.now += 5_000
    workers = with_label("r0-0", "r0-1")
    workers[0] = dataclasses.replace(
        workers[0], health=views.WorkerHealth.UNPROVEN
    )
    assert placed_tasks(log, "job", workers) == {0}


def test_clock_set_back_does_not_prolong_the_wait_of_a_gang(log):
    log.now = 100_000
    for rack in range(idle_workers.RACKS):
        occupy(log, f"r{rack}-0", f"r{rack}-1", accelerators=1)
    log.submit("gang", batches.content(idle_workers.RACK_GANG))
    started = placed_tasks(log, "gang", wall_step_ms=-5_000)
    assert started == {0, 1, 2}


def test_gang_does_not_wait_for_a_claim_whose_stop_is_never_answered(log):
    """A guaranteed gang claims eight of ten workers, and one stays busy."""
    workers = with_label(*(w.ref.name for w in WORKERS[:8]))[:10]
    idle_workers.occupy(log, "r0-0", accelerators=1)
    step = batches.step(
        8,
        need=batches.task_need(1, cpu_millis=32_000),
        gang=True,
        required_label=LABEL,
    )
    log.submit("own", batches.content(step), "urgent")
    gang = dataclasses.replace(idle_workers.RACK_GANG, same_rack=False)
    log.submit("gang", batches.content(gang))
    decided = planner.plan(log.held, workers, {}, log.now)
    log.apply(batching.StopRuns(runs=decided.stops, at_ms=log.now))
    log.now += 5_000
    assert placed_tasks(log, "gang", workers) == {0, 1, 2}
