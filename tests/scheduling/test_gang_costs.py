"""Cost of a planning round with wide gangs that run."""

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

WIDTH = 200


def test_crashes_of_a_gang_are_read_once_for_all_members(monkeypatch):
    log = batches.Log()
    need = batches.task_need(0, 100)
    gang = batches.step(WIDTH, need=need, gang=True)
    log.submit("g", batches.content(gang))
    log.place(batches.unit("g", *[batches.ref()] * WIDTH))
    reads = []
    crashes = batch.StepRecord.crashes

    def counted(record, index, *, gang):
        reads.extend(record.tasks if gang else [index])
        return crashes(record, index, gang=gang)

    monkeypatch.setattr(batch.StepRecord, "crashes", counted)
    planner.plan(log.held, [batches.worker()], {}, log.now)
    assert len(reads) <= 2 * WIDTH
