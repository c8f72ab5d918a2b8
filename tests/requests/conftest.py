import collections
import contextlib
import dataclasses
import random

import aiohttp
import pytest

from tests.requests import fakes
from tests.utils import relay


@dataclasses.dataclass
class Stack:
    """Two entries, several agents with one endpoint each, and a claim log.

    With `relayed`, all traffic to agents and endpoints passes through relays.
    """

    log: fakes.FakeLog
    run_counts: collections.Counter
    session: aiohttp.ClientSession
    cleanup: contextlib.AsyncExitStack
    timing: dict[str, int]
    relayed: bool
    agents: list[fakes.AgentProcess]
    endpoints: list[fakes.RecordingEndpoint]
    entries: list[fakes.EntryProcess]
    to_agents: list[relay.TcpRelay]
    to_endpoints: list[relay.TcpRelay]

    def publish_endpoints(self) -> None:
        """Publishes all endpoints to both entries."""
        views = []
        for number, agent in enumerate(self.agents):
            via = self.to_agents[number].address if self.relayed else ""
            views += agent.views(via)
        for entry in self.entries:
            entry.publish_endpoints(*views)

    async def add_endpoint(self, run_ms: int) -> None:
        """Starts an agent with its endpoint and their relays."""
        number = len(self.agents)
        endpoint = fakes.RecordingEndpoint(
            f"e{number}", self.run_counts, run_ms
        )
        await endpoint.server.start()
        self.cleanup.push_async_callback(endpoint.server.stop)
        self.endpoints.append(endpoint)
        if self.relayed:
            self.to_endpoints.append(await self._relay(endpoint.server.address))
        self.agents.append(fakes.AgentProcess(f"a{number}", **self.timing))
        await self._start_agent(number)
        if self.relayed:
            address = self.agents[number].server.address
            self.to_agents.append(await self._relay(address))

    def announce(self, number: int, **fields: object) -> None:
        """Announces an endpoint to its agent."""
        endpoint = self.endpoints[number]
        address = endpoint.server.address
        if self.relayed:
            address = self.to_endpoints[number].address
        self.agents[number].announce(
            endpoint,
            address=address,
            answers_probes=True,
            incarnation=str(endpoint.incarnation),
            **fields,
        )

    async def kill_agent(self, number: int) -> None:
        """Kills an agent."""
        await self.agents[number].kill()

    async def restart_agent(self, number: int) -> None:
        """Restarts an agent at the same address with a new incarnation."""
        old = self.agents[number]
        incarnation = str(int(old.incarnation) + 1)
        new = fakes.AgentProcess(old.name, incarnation, **self.timing)
        self.agents[number] = new
        port = int(old.server.address.rpartition(":")[2])
        await self._start_agent(number, port)
        self.publish_endpoints()

    async def restart_entry(self, number: int) -> None:
        """Kills an entry and starts a new one at the same address."""
        old = self.entries[number]
        old.server.abort()
        await old.stop()
        port = int(old.server.address.rpartition(":")[2])
        await self.start_entry(number, port)

    async def start_entry(self, number: int, port: int = 0) -> None:
        """Starts an entry."""
        name = f"n{number}"
        entry = fakes.EntryProcess(name, self.log, number, **self.timing)
        await entry.start(port)
        self.cleanup.push_async_callback(entry.stop)
        self.entries[number:] = [entry, *self.entries[number + 1 :]]
        self.publish_endpoints()

    async def _start_agent(self, number: int, port: int = 0) -> None:
        agent = self.agents[number]
        self.announce(number)
        await agent.start(port)
        self.cleanup.push_async_callback(agent.stop)

    async def _relay(self, target: str) -> relay.TcpRelay:
        tcp_relay = relay.TcpRelay(target, random.Random(0))
        await tcp_relay.start()
        self.cleanup.push_async_callback(tcp_relay.stop)
        return tcp_relay


@pytest.fixture
async def make_stack():
    async with contextlib.AsyncExitStack() as cleanup:

        async def make(
            agents: int = 2,
            run_ms: int = 0,
            relayed: bool = False,
            **timing: int,
        ) -> Stack:
            stack = Stack(
                log=fakes.FakeLog(),
                run_counts=collections.Counter(),
                session=aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(limit=0)
                ),
                cleanup=cleanup,
                timing=timing,
                relayed=relayed,
                agents=[],
                endpoints=[],
                entries=[],
                to_agents=[],
                to_endpoints=[],
            )
            for _ in range(agents):
                await stack.add_endpoint(run_ms)
            for number in range(2):
                await stack.start_entry(number)
            cleanup.push_async_callback(stack.session.close)
            return stack

        yield make
