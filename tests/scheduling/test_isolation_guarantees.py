"""Guarantees while suspects of crashes occupy or need whole workers."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

WORKERS = (batches.worker("w1"), batches.worker("w2"))
# Well beyond the time within which a guaranteed job has to start.
LATE_MS = 10_000


@pytest.fixture
def log():
    return batches.Log()


def plan(log):
    return planner.plan(log.held, WORKERS, {}, log.now)


def submit_guaranteed(log, *job_ids):
    for job_id in job_ids:
        log.submit(job_id, batches.content(), "urgent")


def crash_beside_another(log, job_id, ran_ms=1_000, run=1):
    """Lets a worker crash under a job and another one, which is cancelled."""
    other = f"other-{job_id}-{run}"
    log.submit(other, batches.content(), "nightly")
    gone = batches.ref(f"gone-{job_id}", run)
    log.place(batches.unit(job_id, gone, run=run), batches.unit(other, gone))
    log.now += ran_ms
    ends = tuple(
        batching.RunEnd(
            task=batches.task(each),
            run=number,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        for each, number in ((job_id, run), (other, 1))
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))
    log.cancel(other, "nightly")


@pytest.mark.parametrize("crashes", [1, 2])
def test_guaranteed_suspect_uses_room_beside_guaranteed_work(log, crashes):
    """Each worker runs one small guaranteed job and is idle otherwise."""
    submit_guaranteed(log, "own", "first", "second")
    log.place(batches.unit("first", batches.ref("w1")))
    log.place(batches.unit("second", batches.ref("w2")))
    for run in range(1, crashes + 1):
        crash_beside_another(log, "own", run=run)
    log.now += LATE_MS
    decided = plan(log)
    assert decided.units or decided.stops


def test_guaranteed_job_does_not_wait_for_guaranteed_suspects(log):
    """Two small suspects hold both workers, which have room for it."""
    submit_guaranteed(log, "s1", "s2")
    for job_id in ("s1", "s2"):
        crash_beside_another(log, job_id, ran_ms=60_000)
    log.place(batches.unit("s1", batches.ref("w1"), run=2))
    log.place(batches.unit("s2", batches.ref("w2"), run=2))
    submit_guaranteed(log, "own")
    log.now += LATE_MS
    decided = plan(log)
    assert decided.units or decided.stops
