"""What the log says of a job that was given up since it crashed its workers."""

import logging

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch_log
from tests.utils import batches


@pytest.fixture
def log():
    log = batches.Log()
    for job_id in ("j1", "j2"):
        log.submit(job_id, batches.content())
    return log


def crash(log, *job_ids, run=1):
    """Returns the ends of runs by a crash of the one worker that they are on."""
    for job_id in job_ids:
        unit = batches.unit(job_id, batches.ref(f"w{run}", run), run=run)
        log.place(unit)
    ends = tuple(
        batching.RunEnd(
            task=batches.task(job_id),
            run=run,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
            down_after_ms=10,
        )
        for job_id in job_ids
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))
    return ends


def test_log_tells_which_crashes_a_job_was_given_up_for(log, caplog):
    caplog.set_level(logging.INFO)
    batch_log.log_ended(crash(log, "j1", "j2"), log.held)
    for run in (2, 3):
        batch_log.log_ended(crash(log, "j1", run=run), log.held)
    lines = [
        (record.worker, record.down_after_ms, record.alone, record.crashes)
        for record in caplog.records
        if record.message == "run ended" and record.job_id == "j1"
    ]
    assert lines == [
        ("w1", 10, False, 1),
        ("w2", 10, True, 2),
        ("w3", 10, True, 3),
    ]
    assert caplog.records[-1].reason == "step 0 crashed its worker 2 times"
