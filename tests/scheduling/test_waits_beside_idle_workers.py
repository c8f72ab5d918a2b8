"""Jobs that could start now, but are expected to run better later."""

import dataclasses

import pytest

from tests.utils import batches

RACKS = 6
WORKERS = tuple(
    batches.worker(f"r{rack}-{number}", rack=f"r{rack}")
    for rack in range(RACKS)
    for number in range(4)
)
# A job of which nothing runs for so long counts as lost if there is room for it
# twice over and less than half of the capacity is in use.
LOST_AFTER_MS = 3_000
# Within it the users' planned jobs are to be done, three times their duration
# aside.
TARGET_LATENCY_MS = 1_000
ROUND_MS = 250
NEVER_MS = 10**8
RACK_GANG = batches.step(3, 8, gang=True, same_rack=True, estimate_ms=17_000)


@pytest.fixture
def log():
    return batches.Log()


def occupy(log, name, *, accelerators=1, cpu_millis=2_000, estimate_ms=30_000):
    """Runs a job of one task on a worker."""
    job_id = f"busy-{name}"
    need = batches.task_need(accelerators, cpu_millis)
    step = batches.step(need=need, estimate_ms=estimate_ms)
    log.submit(job_id, batches.content(step), "nightly")
    log.place(batches.unit(job_id, batches.ref(name)))


def occupy_half_of_each_rack(log, estimate_ms):
    for rack in range(RACKS):
        for number in range(2):
            occupy(log, f"r{rack}-{number}", estimate_ms=estimate_ms)


def jobs_that_wait(log, *job_ids, for_ms=LOST_AFTER_MS):
    """Returns the jobs that do not start within a time; no run ends in it."""
    leader = batches.Leader(log)
    waiting = set(job_ids)
    for _ in range(0, for_ms, ROUND_MS):
        decided = leader.plan(WORKERS)
        log.place(*decided.units)
        waiting -= {unit.job_id for unit in decided.units}
        log.now += ROUND_MS
    return waiting


@pytest.mark.parametrize("estimate_ms", [5_000, 30_000])
def test_gang_does_not_wait_for_its_rack_while_most_workers_are_idle(
    log, estimate_ms
):
    """Runs expected to take 5 s are overdue."""
    occupy_half_of_each_rack(log, estimate_ms)
    log.now += 10_000
    log.submit("gang", batches.content(RACK_GANG))
    assert jobs_that_wait(log, "gang") == set()


@pytest.mark.parametrize("same_rack", [False, True])
def test_gang_does_not_wait_for_workers_that_another_waits_for(log, same_rack):
    """A wider gang reserves nearly all workers until overdue runs end."""
    for worker in WORKERS[:11]:
        occupy(log, worker.ref.name, estimate_ms=5_000)
    log.now += 10_000
    wide = batches.step(22, 8, gang=True, estimate_ms=17_000)
    log.submit("wide", batches.content(wide))
    gang = dataclasses.replace(RACK_GANG, same_rack=same_rack)
    log.submit("gang", batches.content(gang))
    assert jobs_that_wait(log, "gang") == set()


def test_long_running_task_does_not_wait_for_workers_that_a_gang_waits_for(log):
    """Such a task has to start beside a busy pool too, if there is room."""
    for worker in WORKERS[:20]:
        occupy(log, worker.ref.name, accelerators=8, estimate_ms=60_000)
    wide = batches.step(23, 8, gang=True, estimate_ms=17_000)
    log.submit("wide", batches.content(wide))
    lasting = batches.step(
        2, 1, long_running=True, spread_limit=1, estimate_ms=NEVER_MS
    )
    log.submit("lasting", batches.content(lasting), "nightly")
    log.place(batches.unit("lasting", WORKERS[20].ref))
    log.now += 100
    assert "lasting" not in jobs_that_wait(log, "lasting")


def test_gang_does_not_wait_for_reserved_workers_while_only_cores_are_in_use(
    log,
):
    """How the users measure the use of a pool is not stated."""
    for worker in WORKERS[:14]:
        occupy(log, worker.ref.name, cpu_millis=30_000, estimate_ms=5_000)
    log.now += 10_000
    wide = batches.step(22, 8, gang=True, estimate_ms=17_000)
    log.submit("wide", batches.content(wide))
    gang = dataclasses.replace(RACK_GANG, same_rack=False)
    log.submit("gang", batches.content(gang))
    assert jobs_that_wait(log, "gang") == set()


def test_gang_does_not_wait_for_its_rack_until_it_is_late(log):
    """On several racks a gang takes as long as its objective allows."""
    occupy_half_of_each_rack(log, estimate_ms=30_000)
    log.submit("gang", batches.content(RACK_GANG))
    assert jobs_that_wait(log, "gang", for_ms=TARGET_LATENCY_MS) == set()
