"""Stand-in agents: real renewals and lease keepers, no process of their own."""

import asyncio
import random
from collections.abc import Sequence

from bilberryroute import clock as clock_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import lease_keeper
from bilberryroute.agent import renewal as renewal_lib
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.transport import codec

EPOCH = 1 << 50
KEEP_MS = 10_000


def worker_of(name: str) -> jobs.Worker:
    """Returns the one worker of a stand-in agent."""
    return jobs.Worker(
        name=f"w-{name}",
        incarnation="1",
        agent=name,
        rack=f"rack-{name[-2:]}",
        failure_domain="apapa",
        accelerators=8,
        cores=30,
        memory_mb=65_536,
    )


def endpoint_of(name: str) -> wire.EndpointReport:
    """Returns the one endpoint of a stand-in agent."""
    return wire.EndpointReport(
        name=f"p-{name}", service="gang-alloc", slots=8, in_flight=3
    )


class StandInAgent(asyncio.DatagramProtocol):
    """Renews its lease as an agent with one worker and one endpoint does.

    Attributes:
      keeper: Decides on each grant.
      sent: Renewals sent.
      sent_bytes: Payload bytes sent.
      received_bytes: Payload bytes received.
    """

    def __init__(self, name: str, clock: clock_lib.Clock):
        self.keeper = lease_keeper.LeaseKeeper(
            EPOCH, board_lib.new_board().desired.get(), KEEP_MS
        )
        self.sent = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._name = name
        self._clock = clock
        self._decoder = codec.Decoder(wire.Grant)
        self._transport: asyncio.DatagramTransport | None = None
        self._target: tuple[str, int] | None = None

    async def open(self, address: str) -> None:
        """Opens the socket towards the leader."""
        self._target = renewal_lib.split_address(address)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()

    def renewal(self) -> wire.Renewal:
        """Returns the renewal to send now."""
        return wire.Renewal(
            agent=self._name,
            incarnation="0123456789abcdef",
            failure_domain="apapa",
            sent_ms=self.keeper.record_renewal(self._clock.now()),
            term=self.keeper.term,
            desired_version=self.keeper.desired.version,
            revision=self.keeper.desired.revision,
            http="127.0.0.1:7070",
            draining=False,
            endpoints=(endpoint_of(self._name),),
            workers=(worker_of(self._name),),
            tasks=(),
        )

    def renew(self) -> None:
        """Sends one renewal."""
        payload = codec.encode(self.renewal())
        self.sent += 1
        self.sent_bytes += len(payload)
        self._transport.sendto(payload, self._target)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a grant; confirms newer desired state at once."""
        self.received_bytes += len(data)
        verdict = self.keeper.accept(self._decoder.decode(data))
        if getattr(verdict, "desired", None) is not None:
            self.renew()


class Fleet:
    """A number of stand-in agents on one event loop.

    Attributes:
      agents: The agents.
    """

    def __init__(self, count: int, rng: random.Random):
        clock = clock_lib.SystemClock()
        self.agents = [
            StandInAgent(f"s{number:04d}", clock) for number in range(count)
        ]
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, address: str, renewal_ms: int) -> None:
        """Opens all sockets and begins to renew, spread over the interval."""
        for agent in self.agents:
            await agent.open(address)
            self._tasks.append(
                asyncio.ensure_future(self._renew(agent, renewal_ms))
            )

    async def _renew(self, agent: StandInAgent, renewal_ms: int) -> None:
        interval = clock_lib.seconds(renewal_ms)
        await asyncio.sleep(self._rng.random() * interval)
        while True:
            agent.renew()
            await asyncio.sleep(interval)

    async def stop(self) -> None:
        """Stops renewing and closes all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for agent in self.agents:
            agent.close()

    def totals(self) -> tuple[int, int, int]:
        """Returns renewals, bytes sent and bytes received so far."""
        return (
            sum(agent.sent for agent in self.agents),
            sum(agent.sent_bytes for agent in self.agents),
            sum(agent.received_bytes for agent in self.agents),
        )

    def lowest_revision(self) -> int:
        """Returns the lowest revision in force among the agents."""
        return min(a.keeper.desired.revision for a in self.agents)


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Returns the least-squares slope of values over sizes."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    above = sum(
        (s - mean_size) * (v - mean_value)
        for s, v in zip(sizes, values, strict=True)
    )
    return above / sum((s - mean_size) ** 2 for s in sizes)
