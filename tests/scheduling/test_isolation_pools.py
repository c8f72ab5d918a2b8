"""Suspects of crashes in a system with several pools of workers."""

import dataclasses

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from tests.utils import batches


@pytest.fixture
def log():
    """Jobs of the queue `nightly` use another pool than the others."""
    log = batches.Log()
    queues = tuple(
        dataclasses.replace(queue, pool="large")
        if queue.name == "nightly"
        else queue
        for queue in log.held.catalog.queues
    )
    log.held.catalog = dataclasses.replace(log.held.catalog, queues=queues)
    return log


def pool(name, count):
    return [
        batches.worker(f"{name}-{number}", pool=name) for number in range(count)
    ]


def crash(log, queue, *job_ids, run=1):
    """Lets a worker crash under several jobs."""
    gone = batches.ref(f"gone-{queue}", run)
    for job_id in job_ids:
        log.submit(job_id, batches.content(), queue)
        log.place(batches.unit(job_id, gone, run=run))
    log.now += 1_000
    ends = tuple(
        batching.RunEnd(
            task=batches.task(job_id),
            run=run,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
        )
        for job_id in job_ids
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))


def workers_of_suspects(log, workers):
    decided = planner.plan(log.held, workers, {}, log.now)
    return [m.worker.name for unit in decided.units for m in unit.members]


def test_suspects_leave_a_small_pool_to_others(log):
    crash(log, "planned", "j1", "j2", "j3", "j4")
    workers = [*pool("pool", 4), *pool("large", 12)]
    assert len(workers_of_suspects(log, workers)) == 1


def test_suspect_does_not_wait_for_those_of_another_pool(log):
    crash(log, "nightly", "n1", "n2")
    log.place(batches.unit("n1", batches.ref("large-0"), run=2))
    crash(log, "planned", "j1", "j2")
    log.place(batches.unit("n1", batches.ref("large-0"), run=2))
    workers = [*pool("large", 4), *pool("pool", 2)]
    assert "pool-0" in workers_of_suspects(log, workers)
