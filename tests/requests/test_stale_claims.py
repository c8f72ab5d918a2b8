"""Requests whose agent restarts between their claim and their dispatch."""

import pytest

from tests.requests import fakes


@pytest.mark.parametrize("agents", [1, 2])
async def test_restart_between_claim_and_dispatch_leaves_no_outcome_unknown(
    make_stack, agents
):
    """Only this entry knew the id, and had not sent the request before."""
    stack = await make_stack(agents)
    propose = stack.log.propose
    restarted = []

    async def restart_after(command):
        result = await propose(command)
        if not restarted:
            restarted.append(command.agent)
            number = [agent.name for agent in stack.agents].index(command.agent)
            await stack.kill_agent(number)
            await stack.restart_agent(number)
        return result

    stack.log.propose = restart_after
    response = await fakes.send(stack.session, stack.entries[0], body=b"a")
    assert (response.outcome, response.status) == ("answered", 200)
    assert sum(stack.run_counts.values()) == 1
