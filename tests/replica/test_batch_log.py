"""What the log says of a job that was given up since it crashed its workers."""

import dataclasses
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
    """Ends runs by a crash of the one worker that they are on, and logs it."""
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
    end(log, *ends)


def end(log, *ends):
    before = batch_log.before_ends(ends, log.held)
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))
    batch_log.log_ended(ends, before, log.held)


def test_log_tells_which_crashes_a_job_was_given_up_for(log, caplog):
    caplog.set_level(logging.INFO)
    crash(log, "j1", "j2")
    for run in (2, 3):
        crash(log, "j1", run=run)
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


@pytest.mark.parametrize(("other", "alone"), [("w1", False), ("w2", True)])
def test_log_of_an_end_does_not_say_where_and_beside_what_it_ran(
    log, caplog, other, alone
):
    caplog.set_level(logging.INFO)
    log.place(batches.unit("j1"), batches.unit("j2", batches.ref(other)))
    failed = batching.RunEnd(
        task=batches.task("j1"), run=1, outcome=batch.RunOutcome.FAILED
    )
    end(log, failed)
    (line,) = [r for r in caplog.records if r.message == "run ended"]
    assert (line.worker, line.alone) == ("w1", alone)


def test_log_does_not_say_that_a_suspect_was_cleared(log, caplog):
    caplog.set_level(logging.INFO)
    log.submit("g", batches.content(batches.step(1, gang=True)))
    crash(log, "j1", "j2", "g")
    for run in (2, 3):
        crash(log, "j1", run=run)
    lines = [
        (line.job_id, line.task, line.explained_by)
        for line in caplog.records
        if line.message == "no longer suspect"
    ]
    assert lines == [("g", "0.0.*", ["j1"]), ("j2", "0.0.0", ["j1"])]


def test_log_names_the_jobs_that_a_new_catalog_ends(log, caplog):
    caplog.set_level(logging.INFO)
    log.now = 2_000
    log.place(batches.unit("j1"))
    log.end(batches.task("j1"), 1, batch.RunOutcome.FAILED)
    queues = tuple(
        dataclasses.replace(queue, max_attempts=1)
        for queue in log.held.catalog.queues
    )
    catalog = batches.catalog(2, queues=queues)
    log.apply(batching.ApplyCatalog(catalog=catalog, at_ms=log.now))
    batch_log.log_jobs_ended_at(log.now, log.held)
    (line,) = [r for r in caplog.records if r.message == "job ended"]
    assert (line.job_id, line.reason) == ("j1", "step 0 failed 1 times")
