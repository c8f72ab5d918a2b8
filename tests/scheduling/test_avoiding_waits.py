"""How long a retry waits for other workers while its last one has room."""

import pytest

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

DOUBTFUL = views.WorkerHealth.DOUBTFUL
# A job counts as lost if nothing of it runs for so long while there is room,
# and a task that lasts after twice that time.
LOST_AFTER_MS = 3_000


@pytest.mark.parametrize("long_running", [True, False])
def test_retry_does_not_wait_for_workers_that_long_running_tasks_fill(
    long_running,
):
    """Its last worker is idle; the only other one does not get free."""
    log = batches.Log()
    filler = batches.step(1, 8, long_running=True)
    log.submit("filler", batches.content(filler))
    log.place(batches.unit("filler", batches.ref("w1")))
    log.submit("j1", batches.content(batches.step(long_running=long_running)))
    log.place(batches.unit("j1", batches.ref("w2")))
    log.end(batches.task("j1"), outcome=batch.RunOutcome.FAILED)
    log.now += 2 * LOST_AFTER_MS
    workers = (batches.worker("w1"), batches.worker("w2", health=DOUBTFUL))
    decided = planner.plan(log.held, workers, {}, log.now)
    assert [unit.job_id for unit in decided.units] == ["j1"]
