"""Guaranteed jobs beside runs that last longer than was forecast."""

import pytest

from bilberryroute.scheduling.batch import planner
from tests.utils import batches

# Well beyond the time within which a guaranteed job has to start.
LATE_MS = 10_000


@pytest.mark.parametrize("left_ms", [-5_000, 0, 5_000])
def test_guaranteed_job_does_not_wait_for_an_overdue_run(left_ms):
    """The forecast of a run that has stalled stays at zero."""
    log = batches.Log()
    log.submit("busy", batches.content(batches.step(1, 8)), "nightly")
    log.place(batches.unit("busy", batches.ref("w1")))
    log.submit("own", batches.content(), "urgent")
    log.now += LATE_MS
    left = {(batches.task("busy"), 1): left_ms}
    decided = planner.plan(log.held, [batches.worker("w1")], left, log.now)
    assert [stop.task.job_id for stop in decided.stops] == ["busy"]
