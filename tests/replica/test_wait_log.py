"""What the leader's log and metrics say of jobs that wait for room."""

import asyncio
import logging

import pytest

from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch as batch_lib
from bilberryroute.replica import parts as parts_lib
from tests.utils import batches
from tests.utils import environment


@pytest.fixture
def parts(tmp_path) -> parts_lib.ReplicaParts:
    env = environment.fake_environment()
    cfg = embedded.embedded_settings(str(tmp_path))
    return parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())


@pytest.fixture
def log(parts):
    command_log = batches.Log()
    command_log.machine = parts.machine
    command_log.apply(batching.ApplyCatalog(catalog=batches.catalog(), at_ms=1))
    return command_log


@pytest.fixture
def metrics():
    return metrics_lib.Metrics()


@pytest.fixture
def plan_round(parts, metrics, monkeypatch):
    """Plans a round of the leader and logs it."""
    controller = batch_lib.BatchController(parts, None, metrics)
    monkeypatch.setattr(parts.leadership, "active", lambda: True)

    def plan_and_log():
        controller._log_plan(asyncio.run(controller._plan({})), [])

    return plan_and_log


def wait_lines(caplog):
    return [r for r in caplog.records if r.message == "waits for room"]


def test_waiting_job_is_logged_again_with_the_age_of_its_wait(
    parts, log, plan_round, caplog
):
    caplog.set_level(logging.INFO)
    log.submit("j1", batches.content())
    for _ in range(9):
        plan_round()
        parts.clock.advance(1_000)
    lines = wait_lines(caplog)
    assert [line.reason for line in lines] == ["no_room"] * 3
    ages = [line.accepted_ms_ago for line in lines]
    assert ages == [ages[0], ages[0] + 3_000, ages[0] + 6_000]


def test_jobs_that_begin_to_wait_are_counted_once(
    parts, log, plan_round, metrics
):
    log.submit("j1", batches.content())
    log.submit("j2", batches.content())
    for _ in range(9):
        plan_round()
        parts.clock.advance(1_000)
    assert 'waits_total{reason="no_room"} 2' in metrics.render()[0].decode()
