"""Which batch workers are chosen last."""

import logging

import pytest

from bilberryroute.model import batch
from bilberryroute.model import wire
from bilberryroute.replica import batch_health
from bilberryroute.scheduling.batch import views
from tests.utils import batches
from tests.utils import environment


@pytest.fixture
def env():
    return environment.fake_environment()


@pytest.fixture
def health(env):
    return batch_health.BatchWorkerHealth(env.clock)


FAILED = {"outcome": batch.RunOutcome.FAILED}
CRASHED = {
    "outcome": batch.RunOutcome.LOST,
    "cause": batch.LossCause.CRASHED,
}


def end_runs(
    health, how: dict, *job_ids: str, ran_ms: int = 0, born: int = 1
) -> None:
    for job_id in job_ids:
        report = wire.EndReport(
            number=0, task=batches.task(job_id), run=1, **how
        )
        health.record_end("w1", report, ran_ms, batches.ref("w1", born))


@pytest.mark.parametrize("how", [CRASHED, FAILED])
def test_worker_that_ends_the_runs_of_several_jobs_is_suspect(health, env, how):
    end_runs(health, how, "j1")
    assert health.assess("w1") == views.WorkerHealth.DOUBTFUL
    end_runs(health, how, "j2", born=2)
    assert health.assess("w1") == views.WorkerHealth.SUSPECT
    env.clock.advance(batch_health.RECENT_FAILURE_MS)
    assert health.assess("w1") == views.WorkerHealth.UNPROVEN


def test_one_crash_under_several_jobs_makes_no_worker_suspect(health):
    end_runs(health, CRASHED, "j1", "j2")
    assert health.assess("w1") == views.WorkerHealth.DOUBTFUL


def test_job_that_may_have_caused_all_crashes_makes_no_worker_suspect(health):
    end_runs(health, CRASHED, "j1", "j2")
    end_runs(health, CRASHED, "j2", born=2)
    assert health.assess("w1") == views.WorkerHealth.DOUBTFUL
    end_runs(health, CRASHED, "j3", born=3)
    assert health.assess("w1") == views.WorkerHealth.SUSPECT


def test_crash_and_failure_of_another_job_make_a_worker_suspect(health):
    end_runs(health, CRASHED, "j1", "j2")
    end_runs(health, FAILED, "j3")
    assert health.assess("w1") == views.WorkerHealth.SUSPECT


def test_health_is_kept_of_every_worker_that_ever_failed(health, env):
    end_runs(health, CRASHED, "j1")
    env.clock.advance(batch_health.ABSENT_MEMORY_MS - 1)
    health.forget_absent(present=())
    assert health.assess("w1") == views.WorkerHealth.UNPROVEN
    env.clock.advance(1)
    health.forget_absent(present={"w1"})
    assert health.assess("w1") == views.WorkerHealth.UNPROVEN
    health.forget_absent(present=())
    assert health.assess("w1") == views.WorkerHealth.SOUND


@pytest.mark.parametrize(
    ("ran_ms", "health_after"),
    [(500, views.WorkerHealth.SOUND), (1_500, views.WorkerHealth.SUSPECT)],
)
def test_run_older_than_a_failure_does_not_clear_its_worker(
    health, env, ran_ms, health_after
):
    end_runs(health, FAILED, "j1", "j2")
    env.clock.advance(1_000)
    done = {"outcome": batch.RunOutcome.DONE}
    end_runs(health, done, "j3", ran_ms=ran_ms)
    assert health.assess("w1") == health_after


def test_log_says_when_a_worker_fails_runs_and_succeeds_again(
    health, env, caplog
):
    caplog.set_level(logging.INFO)
    end_runs(health, FAILED, "j1", "j1", "j2", "j2")
    env.clock.advance(1_000)
    end_runs(health, {"outcome": batch.RunOutcome.DONE}, "j3", "j3")
    logged = [
        (r.message, r.worker, getattr(r, "health", "")) for r in caplog.records
    ]
    assert logged == [
        ("worker fails runs", "w1", "doubtful"),
        ("worker fails runs", "w1", "suspect"),
        ("worker succeeds again", "w1", ""),
    ]


def test_crash_of_a_worker_is_remembered_for_a_while(health, env):
    end_runs(health, CRASHED, "j1")
    env.clock.advance(batch_health.CRASH_MEMORY_MS - 1)
    assert health.has_crashed("w1")
    env.clock.advance(1)
    assert not health.has_crashed("w1")


def test_worker_is_on_probation_until_a_run_succeeds(health, env):
    assert health.probation("w1") is None
    end_runs(health, FAILED, "j1", ran_ms=300)
    end_runs(health, FAILED, "j2", ran_ms=100)
    env.clock.advance(1_000)
    assert health.probation("w1") == views.Probation(
        failed_ago_ms=1_000, probe_ms=600
    )
    end_runs(health, {"outcome": batch.RunOutcome.DONE}, "j3")
    assert health.probation("w1") is None


def test_failure_of_a_long_run_needs_no_long_probe(health):
    end_runs(health, FAILED, "j1", ran_ms=60_000)
    assert health.probation("w1").probe_ms == batch_health.MAX_PROBE_MS
