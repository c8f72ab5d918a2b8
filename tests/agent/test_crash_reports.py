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
