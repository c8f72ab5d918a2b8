"""Replicas of two releases that apply the same commands."""

import dataclasses

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from tests.utils import batches


def known_to_older(end: batching.RunEnd) -> batching.RunEnd:
    """Returns what a replica without crash records reads of a run's end."""
    return dataclasses.replace(end, cause=None, down_after_ms=None)


def test_replicas_of_two_releases_agree_whether_a_job_has_ended():
    new, old = batches.Log(), batches.Log()
    for log in (new, old):
        log.submit("j1", batches.content())
    for run in (1, 2):
        end = batching.RunEnd(
            task=batches.task(),
            run=run,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
            down_after_ms=100,
        )
        for log, each in ((new, end), (old, known_to_older(end))):
            log.place(batches.unit("j1", batches.ref(f"w{run}"), run=run))
            log.now += 500
            log.apply(batching.EndRuns(ends=(each,), at_ms=log.now))
    results = [log.held.jobs["j1"].result for log in (new, old)]
    assert results[0] == results[1]
