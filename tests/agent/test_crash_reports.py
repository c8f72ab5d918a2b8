"""Which runs an agent reports as ended by a crash of its worker."""

import pytest

from bilberryroute.agent import worker_port
from tests.agent import test_batch as agent_tests

harness = agent_tests.harness


@pytest.mark.parametrize(
    "verdict",
    [worker_port.StartVerdict.BUSY, worker_port.StartVerdict.FENCED],
)
async def test_run_that_the_worker_refused_is_blamed_for_its_crash(
    harness, verdict
):
    harness.port.verdict = verdict
    harness.announce()
    harness.desire(agent_tests.desired())
    await harness.until(lambda: harness.port.calls)
    await agent_tests.restart_worker(harness)
    assert await agent_tests.loss_causes(harness) == []


async def test_crash_is_forgotten_as_the_next_incarnation_withdraws(harness):
    """The leader has not committed the end of the run meanwhile."""
    harness.announce()
    harness.desire(agent_tests.desired())
    await harness.until(lambda: harness.port.calls)
    await agent_tests.restart_worker(harness)
    assert await agent_tests.loss_causes(harness) == ["crashed"]
    harness.agent.withdraw("w1")
    harness.port.born = 3
    harness.port.clock_ms = 0
    harness.announce(born=3)
    await harness.until(lambda: harness.board.batch.get()[0].born == 3)
    (end,) = harness.board.batch.get()[0].ends
    assert end.cause == "crashed"
