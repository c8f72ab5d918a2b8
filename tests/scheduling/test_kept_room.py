"""Room that is freed for a waiting unit is not given to others."""

import pytest

from bilberryroute.scheduling.batch import planner
from tests.utils import batches


@pytest.fixture
def log():
    return batches.Log()


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
