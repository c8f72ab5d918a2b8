"""Crashes of workers under different members of a gang."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from tests.utils import batches

LOST = batch.RunOutcome.LOST
CRASHED = batch.LossCause.CRASHED


@pytest.mark.parametrize("down_after_ms", [100, None])
def test_gang_does_not_fail_for_single_crashes_under_its_tasks(down_after_ms):
    log = batches.Log()
    log.submit("g", batches.content(batches.step(3, 8, gang=True)))
    for run in (1, 2, 3):
        refs = [batches.ref(f"w{run}-{index}") for index in range(3)]
        log.place(batches.unit("g", *refs, run=run))
        log.now += 500
        tasks = [batches.task("g", index) for index in range(3)]
        crashed = tasks.pop(run - 1)
        end = batching.RunEnd(
            task=crashed,
            run=run,
            outcome=LOST,
            cause=CRASHED,
            down_after_ms=down_after_ms,
        )
        log.apply(batching.EndRuns(ends=(end,), at_ms=log.now))
        for task in tasks:
            log.end(task, run, batch.RunOutcome.BROKEN)
    assert log.held.jobs["g"].result is None
