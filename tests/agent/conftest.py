"""Fixtures of the agent's tests."""

import mode
import pytest

from tests.agent import batch_harness


@pytest.fixture
def ordered_services(monkeypatch):
    """Starts the tasks of services by name; `mode` keeps the names in a set."""
    original = mode.Service._get_tasks
    monkeypatch.setattr(
        mode.Service,
        "_get_tasks",
        lambda service: sorted(
            original(service), key=lambda task: task.fun.__name__
        ),
    )


@pytest.fixture
async def harness():
    harness = batch_harness.Harness()
    await harness.agent.start()
    yield harness
    await harness.agent.stop()
