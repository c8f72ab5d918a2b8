"""Which runs an agent reports as ended by a crash of its worker."""

import logging

import pytest

from bilberryroute.agent import worker_life
from bilberryroute.agent import worker_port
from tests.agent import batch_harness
from tests.utils import batches

KEY = (batches.task(), 1)


@pytest.mark.parametrize(
    "verdict",
    [worker_port.StartVerdict.BUSY, worker_port.StartVerdict.FENCED],
)
async def test_run_that_the_worker_refused_is_not_blamed_for_its_crash(
    harness, verdict
):
    harness.port.verdict = verdict
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == []


async def test_unanswered_start_is_blamed_although_a_later_one_was_refused(
    harness,
):
    harness.port.unanswered = {"start"}
    harness.port.verdict = worker_port.StartVerdict.BUSY
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.attempts)
    harness.port.unanswered = set()
    await harness.until(lambda: harness.port.calls)
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == ["crashed"]


async def test_crash_is_reported_although_the_next_incarnation_withdraws(
    harness,
):
    """The leader has not committed the end of the run meanwhile."""
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == ["crashed"]
    harness.agent.withdraw("w1")
    harness.port.born = 3
    harness.port.clock_ms = 0
    harness.announce(born=3)
    await harness.until(
        lambda: [report.born for report in harness.board.batch.get()] == [3]
    )
    causes = [end.cause for end in harness.board.batch.get()[0].ends]
    assert causes == ["crashed"]


async def test_crash_is_reported_until_the_leader_knows_the_incarnation(
    harness,
):
    """The desired state may be older than the run."""
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == ["crashed"]
    harness.desire()
    await harness.until(lambda: not harness.board.batch.get()[0].ends)
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.board.batch.get()[0].ends)


async def test_log_of_a_crash_names_the_job_and_the_incarnation(
    harness, caplog
):
    caplog.set_level(logging.INFO)
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    harness.port.running.clear()
    harness.port.born = 2
    harness.announce(name="w2", born=2)
    # The second crash ends no run.
    harness.announce(name="w3", born=3)
    lines = [
        (line.job_id, line.task, line.run, line.worker, line.born, line.runs)
        for line in caplog.records
        if line.message == "worker has crashed"
    ]
    assert lines == [("j1", "0.0.0", 1, "w1", 1, 1)]


def test_crashes_are_dropped_once_the_leader_has_committed_them():
    announced = worker_port.BatchWorkerAnnouncement(
        name="w1",
        born=2,
        sequence=1,
        clock_ms=0,
        address="x:1",
        pool="pool",
        failure_domain="apapa",
        rack="r1",
        labels=(),
        capacity=batches.task_need(),
    )
    worker = worker_life.WorkerIncarnation(
        announced=announced,
        listing=worker_port.Listing(born=2, clock_ms=1, running=(), ends=()),
        crashed_runs={KEY: 10},
    )
    worker.drop_stale_progress(desired=())
    assert worker.runs_ended_by_crash(now=1_000) == {}
