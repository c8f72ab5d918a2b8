"""Jobs that could start on idle workers, but runs have failed there."""

import dataclasses

import pytest

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views
from tests.utils import batches

# A job of which nothing runs for so long counts as lost if there is room for it
# twice over and less than half of the capacity is in use.
LOST_AFTER_MS = 3_000
ROUND_MS = 250
MAX_ATTEMPTS = 5
LATER_MS = 20_000
UNPROVEN = views.WorkerHealth.UNPROVEN
DOUBTFUL = views.WorkerHealth.DOUBTFUL
SUSPECT = views.WorkerHealth.SUSPECT


@pytest.fixture
def log():
    log = batches.Log()
    queues = tuple(
        dataclasses.replace(queue, max_attempts=MAX_ATTEMPTS)
        for queue in log.held.catalog.queues
    )
    log.held.catalog = dataclasses.replace(log.held.catalog, queues=queues)
    return log


def fleet(count, failing, health):
    """Returns workers, the first of which fail runs."""
    healths = [health] * failing + [views.WorkerHealth.SOUND] * count
    return [
        batches.worker(f"w{number}", health=healths[number])
        for number in range(count)
    ]


def occupy(log, workers, accelerators):
    """Runs a job of one task, expected to take 5 s, on each worker."""
    for worker in workers:
        job_id = f"busy-{worker.ref.name}"
        step = batches.step(1, accelerators)
        log.submit(job_id, batches.content(step), "nightly")
        log.place(batches.unit(job_id, worker.ref))


def starts(log, workers, job_id):
    """Returns whether a job starts before it counts as lost; no run ends."""
    leader = batches.Leader(log)
    for _ in range(0, LOST_AFTER_MS, ROUND_MS):
        decided = leader.plan(workers)
        log.place(*decided.units)
        if job_id in {unit.job_id for unit in decided.units}:
            return True
        log.now += ROUND_MS
    return False


def test_retry_does_not_wait_for_overdue_runs_beside_idle_workers(log):
    """It failed long ago on the idle workers; all others stay in use."""
    workers = fleet(8, 2, UNPROVEN)
    occupy(log, workers[2:], 5)
    log.submit("j1", batches.content(batches.step(2, 4, gang=True)))
    log.place(batches.unit("j1", workers[0].ref, workers[1].ref))
    for index in range(2):
        task = batches.task("j1", index)
        log.end(task, outcome=batch.RunOutcome.FAILED)
    log.now += LATER_MS
    assert starts(log, workers, "j1")


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("health", [DOUBTFUL, SUSPECT])
def test_new_job_does_not_wait_for_sound_workers_beside_idle_ones(
    log, health, gang
):
    """Runs of others have failed on the idle workers."""
    workers = fleet(16, 4, health)
    occupy(log, workers[4:], 1)
    log.now += LATER_MS
    log.submit("j1", batches.content(batches.step(2, 8, gang=gang)))
    assert starts(log, workers, "j1")
