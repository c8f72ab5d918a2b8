import asyncio

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import jobs as job_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.scheduling import scheduler as scheduler_lib
from tests.utils import environment

WAIT_SECONDS = 20


@pytest.fixture
async def controller(tmp_path, monkeypatch):
    """The controller of a replica that leads."""
    env = environment.fake_environment(clock=clock_lib.SystemClock())
    cfg = embedded.embedded_settings(str(tmp_path))
    parts = parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())
    monkeypatch.setattr(parts.leadership, "active", lambda: True)
    parts.board.term.set(board_lib.LeaderTerm(number=1))
    controller = job_lib.JobController(parts)
    yield controller
    await controller.stop()


async def test_fault_in_a_decision_restarts_scheduling(controller, monkeypatch):
    schedulers = []
    again = asyncio.Event()

    def decide(scheduler, now_ms):
        if not schedulers:
            schedulers.append(scheduler)
            raise ZeroDivisionError
        schedulers.append(scheduler)
        again.set()
        return []

    monkeypatch.setattr(scheduler_lib.Scheduler, "decide", decide)
    await controller.start()
    await asyncio.wait_for(again.wait(), WAIT_SECONDS)
    assert schedulers[1] is not schedulers[0]
    assert controller.crash_reason is None


def test_silent_task_is_not_over_before_its_leases_end_on_slow_clocks(
    controller,
):
    timing = controller._cfg.timing
    leases_ms = timing.agent_lease_ms + timing.task_lease_ms
    fence_ms = controller._observed_reports().fence_ms
    assert fence_ms > clock_lib.with_drift(leases_ms)
