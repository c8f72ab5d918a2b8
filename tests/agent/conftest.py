"""Fixtures of the agent's tests."""

import pytest

from tests.agent import batch_harness


@pytest.fixture
async def harness():
    harness = batch_harness.Harness()
    await harness.agent.start()
    yield harness
    await harness.agent.stop()
