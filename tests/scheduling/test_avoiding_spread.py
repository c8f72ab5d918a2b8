"""Retries of steps that limit how many of their tasks a worker may run."""

import pytest

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

HOUR_MS = 3_600_000


@pytest.mark.parametrize("accelerators", [1, 4])
def test_replica_that_failed_once_does_not_wait_for_the_worker_of_another(
    accelerators,
):
    """Its own worker is idle; the other may not run a second replica."""
    log = batches.Log()
    service = batches.step(2, accelerators, long_running=True, spread_limit=1)
    log.submit("s", batches.content(service))
    log.place(batches.unit("s", batches.ref("w1"), batches.ref("w2")))
    log.end(batches.task("s", 1), outcome=batch.RunOutcome.FAILED)
    log.now += HOUR_MS
    unproven = batches.worker("w2", health=views.WorkerHealth.UNPROVEN)
    workers = (batches.worker("w1"), unproven)
    placed = [
        member.worker.name
        for unit in planner.plan(log.held, workers, {}, log.now).units
        for member in unit.members
    ]
    assert placed == ["w2"]
