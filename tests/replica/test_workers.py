import dataclasses

import pytest

from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import workers as worker_lib
from tests.utils import environment

WORKER = jobs.Worker(
    name="w1",
    incarnation="i1",
    agent="a1",
    rack="k1",
    failure_domain="apapa",
    accelerators=8,
    cores=30,
    memory_mb=64_000,
)


@pytest.fixture
def env():
    return environment.fake_environment()


@pytest.fixture
def parts(tmp_path, env) -> parts_lib.ReplicaParts:
    cfg = embedded.embedded_settings(str(tmp_path))
    built = parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())
    command = commands.JoinWorker(worker=WORKER, at_ms=0)
    built.machine.state.workers[WORKER.name] = command.worker
    return built


@pytest.fixture
def lost(parts):
    controller = worker_lib.WorkerController(parts)
    return lambda: [c.name for c in controller._lose_commands()]


def _report_now(parts, workers: tuple[jobs.Worker, ...]) -> None:
    """Stores a renewal on the board as received now."""
    now = parts.clock.now()
    renewal = wire.Renewal(
        agent="a1",
        incarnation="i1",
        failure_domain="apapa",
        sent_ms=now,
        term=1,
        desired_version=0,
        revision=0,
        http="",
        draining=False,
        endpoints=(),
        workers=workers,
        tasks=(),
    )
    parts.board.agents.get()["a1"] = board_lib.AgentRecord(
        renewal=renewal,
        address=("", 0),
        last_seen_ms=now,
        incarnation_since_ms=0,
        tasks={},
    )
    for worker in workers:
        parts.board.worker_agent[worker.name] = "a1"
        parts.board.worker_last_seen[worker.name] = now


def test_worker_that_its_agent_reports_no_more_is_lost(parts, env, lost):
    _report_now(parts, (WORKER,))
    silence_ms = worker_lib.LOST_RENEWALS * parts.cfg.timing.renewal_ms
    env.clock.advance(silence_ms)
    _report_now(parts, ())
    assert lost() == ["w1"]


def test_worker_outlives_a_restart_of_its_agent(parts, env, lost):
    _report_now(parts, (WORKER,))
    grace_ms = parts.cfg.timing.task_lease_ms // 2
    env.clock.advance(grace_ms - 1)
    assert lost() == []
    env.clock.advance(1)
    assert lost() == ["w1"]


def test_new_leader_waits_for_agents_to_find_it(parts, env, lost):
    env.clock.advance(60_000)
    began = board_lib.LeaderTerm(number=2, began=env.clock.now())
    parts.board.term.set(began)
    env.clock.advance(parts.cfg.timing.task_lease_ms // 2 - 1)
    assert lost() == []
    env.clock.advance(1)
    assert lost() == ["w1"]


def test_agent_that_was_silent_too_long_is_dropped(parts, env):
    _report_now(parts, (WORKER,))
    agent = parts.board.agents.get()["a1"]
    parts.board.agents.get()["a2"] = dataclasses.replace(
        agent, last_seen_ms=500
    )
    parts.board.drop_silent(400)
    assert set(parts.board.agents.get()) == {"a2"}
