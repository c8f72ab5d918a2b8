"""When a new leader places the first runs."""

import asyncio
import types

import pytest

from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch as batch_lib
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import parts as parts_lib
from tests.replica import test_batch
from tests.utils import batches
from tests.utils import environment
from tests.utils import virtual_time

# For each of the controller's pauses, and for rounding to whole milliseconds.
MARGIN_MS = 2 * batch_lib.ROUND_PAUSE_MS


@pytest.fixture
def loop():
    with asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop) as runner:
        yield runner


@pytest.fixture
def parts(tmp_path, loop) -> parts_lib.ReplicaParts:
    clock = virtual_time.VirtualClock(loop.get_loop())
    env = environment.fake_environment(clock=clock)
    cfg = embedded.embedded_settings(str(tmp_path))
    return parts_lib.build(cfg, clock, env.rng, metrics_lib.Metrics())


class Proposer:
    """Applies commands at once and notes when the first runs are placed."""

    def __init__(self, log: batches.Log, clock):
        self.placed_ms: int | None = None
        self._log = log
        self._clock = clock

    async def try_propose(self, command):
        if isinstance(command, batching.PlaceRuns) and self.placed_ms is None:
            self.placed_ms = self._clock.now()
        return self._log.apply(command)


@pytest.fixture
def log(parts):
    command_log = batches.Log()
    command_log.machine = parts.machine
    command_log.apply(batching.ApplyCatalog(catalog=batches.catalog(), at_ms=1))
    return command_log


@pytest.mark.parametrize("first_report_ms", [0, 90, 400, 1_300])
@pytest.mark.parametrize("last_report_ms", [10, 150, 400])
def test_new_leader_places_at_once_when_it_has_settled(
    loop, parts, log, monkeypatch, first_report_ms, last_report_ms
):
    """No event wakes it then: all workers have reported, no run ends."""
    log.submit("waits", batches.content())
    proposer = Proposer(log, parts.clock)
    leases = types.SimpleNamespace(push_to=lambda agents: None)
    monkeypatch.setattr(parts.leadership, "active", lambda: True)

    async def lead() -> int:
        controller = batch_lib.BatchController(
            parts, leases, metrics_lib.Metrics()
        )
        monkeypatch.setattr(controller, "_proposer", proposer)
        began = parts.clock.now()
        parts.board.term.set(board_lib.LeaderTerm(number=2, began=began))
        reporting = asyncio.ensure_future(report_late(controller))
        while proposer.placed_ms is None:
            await controller._run_round()
            await controller._wait_for_event()
        await reporting
        return proposer.placed_ms - began - first_report_ms

    async def report_late(controller: batch_lib.BatchController) -> None:
        for delay_ms in (first_report_ms, last_report_ms):
            await asyncio.sleep(delay_ms / 1_000)
            test_batch.report_now(parts, test_batch.report())
            controller._wakeup.set()

    settle_ms = batch_lib.SETTLE_RENEWALS * parts.cfg.timing.renewal_ms
    placed_after_ms = loop.run(lead())
    assert settle_ms <= placed_after_ms <= settle_ms + MARGIN_MS
