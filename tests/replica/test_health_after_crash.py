"""What one crash of a worker says about the worker that came back."""

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.model import batch
from bilberryroute.model import wire
from bilberryroute.replica import batch_health
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

LATE_MS = 3_000


@pytest.fixture
def clock():
    return clock_lib.ManualClock(start=10_000)


@pytest.fixture
def health(clock):
    """Health after one crash under two jobs, one of which caused it."""
    health = batch_health.BatchWorkerHealth(clock)
    for job_id in ("guilty", "innocent"):
        end = wire.EndReport(
            number=0,
            task=batches.task(job_id),
            run=1,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        health.record_end("w1", end, 500, batches.ref("w1"))
    clock.advance(LATE_MS)
    return health


@pytest.mark.parametrize("long_running", [True, False])
def test_worker_is_used_again_after_one_crash(health, long_running):
    log = batches.Log()
    workers = [batches.worker("w1", health=health.assess("w1"))]
    for name in ("w2", "w3", "w4"):
        filler = batches.step(1, 8, long_running=True)
        log.submit(name, batches.content(filler))
        log.place(batches.unit(name, batches.ref(name)))
        workers.append(batches.worker(name))
    log.submit("j1", batches.content(batches.step(long_running=long_running)))
    decided = planner.plan(log.held, workers, {}, log.now)
    assert [unit.job_id for unit in decided.units] == ["j1"]
