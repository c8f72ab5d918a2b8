import collections
import contextlib
import dataclasses

import aiohttp
import pytest

from tests.requests import fakes


@dataclasses.dataclass
class Stack:
    """Two entries, agents with an endpoint each, and the log of claims."""

    log: fakes.FakeLog
    ran: collections.Counter
    session: aiohttp.ClientSession
    agents: list[fakes.AgentProcess]
    endpoints: list[fakes.RecordingEndpoint]
    entries: list[fakes.EntryProcess]

    def see(self) -> None:
        """Shows all endpoints to both entries."""
        views = [view for agent in self.agents for view in agent.views()]
        for entry in self.entries:
            entry.see(*views)


@pytest.fixture
async def make_stack():
    async with contextlib.AsyncExitStack() as cleanup:

        async def make(
            agents: int = 2, run_ms: int = 0, **timing: int
        ) -> Stack:
            stack = Stack(
                log=fakes.FakeLog(),
                ran=collections.Counter(),
                session=aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(limit=0)
                ),
                agents=[],
                endpoints=[],
                entries=[],
            )
            for i in range(agents):
                endpoint = fakes.RecordingEndpoint(f"e{i}", stack.ran, run_ms)
                await endpoint.served.start()
                cleanup.push_async_callback(endpoint.served.stop)
                agent = fakes.AgentProcess(f"a{i}", **timing)
                await agent.served.start()
                cleanup.push_async_callback(agent.stop)
                agent.announce(endpoint)
                stack.endpoints.append(endpoint)
                stack.agents.append(agent)
            for i in range(2):
                entry = fakes.EntryProcess(f"n{i}", stack.log, i, **timing)
                await entry.start()
                cleanup.push_async_callback(entry.stop)
                stack.entries.append(entry)
            cleanup.push_async_callback(stack.session.close)
            stack.see()
            return stack

        yield make
