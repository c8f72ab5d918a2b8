"""A process whose seeds are gone finds the group at those named later."""

import asyncio
import contextlib
import random

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import process
from bilberryroute import settings
from bilberryroute.model import wire
from bilberryroute.platform import settings as platform_settings
from bilberryroute.transport import codec
from tests.entry import test_control
from tests.utils import ports

GONE = "127.0.0.2"
LIVING = "127.0.0.1"
FILE = """
nodeName = "frontend-apapa-1"
ip = "{ip}"
zone = "apapa"
internalPorts = [{first},{last}]
seedNodes = ["{seed}:8526"]
[listenAddrs]
frontendAddr = "{frontend}"
readinessAddr = "{readiness}"
controlPlane = "{control}"
"""


class Node:
    """One host with its settings file, beside a leader at the living seed."""

    def __init__(self, path, grpc_port: int):
        self._path = path
        self._first_port = grpc_port - 1
        addresses = ("frontend", "readiness", "control")
        self._listen = {name: ports.free_address() for name in addresses}
        self._ip = self._listen["control"].rpartition(":")[0]

    def name_seed(self, seed: str) -> None:
        """Replaces the settings file, without a signal."""
        self._path.write_text(
            FILE.format(
                ip=self._ip,
                first=self._first_port,
                last=self._first_port + 15,
                seed=seed,
                **self._listen,
            )
        )

    @contextlib.asynccontextmanager
    async def run(self, role: settings.ProcessRole):
        """Runs a process; yields its role."""
        place = platform_settings.load(str(self._path), role)
        env = context.Environment(rng=random.Random(7))
        running = process.build(place.settings, env, place)
        await running.start()
        try:
            yield running.roles[0]
        finally:
            await running.stop()


@pytest.fixture
async def leader():
    replica = test_control.FakeReplica()
    await replica.start()
    replica.event = wire.WatchEvent(
        term=2, leader_id=f"r-{LIVING}", configuration=None, endpoints=None
    )
    replica.repeat_ms = 100
    yield replica
    replica.repeat_ms = 0
    await replica.stop()


@pytest.fixture
def node(tmp_path, leader):
    return Node(tmp_path / "node.toml", int(leader.address.rpartition(":")[2]))


@pytest.mark.parametrize(
    "role",
    [
        settings.ProcessRole.ENTRY,
        # Without a data folder, it refers others to the leader.
        settings.ProcessRole.REPLICA,
    ],
)
async def test_process_without_living_seeds_finds_the_leader_at_new_ones(
    node, role
):
    node.name_seed(GONE)
    async with node.run(role) as running:
        node.name_seed(LIVING)
        async with asyncio.timeout(5):
            while not running.board.leader_seen_ms.get():
                await asyncio.sleep(0.02)


class _Renewals(asyncio.DatagramProtocol):
    """Keeps the first renewal."""

    def __init__(self):
        self.received = asyncio.get_running_loop().create_future()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if not self.received.done():
            self.received.set_result(data)


async def test_agent_without_living_seeds_renews_at_new_ones(node):
    loop = asyncio.get_running_loop()
    port = node._first_port + 2
    transport, renewals = await loop.create_datagram_endpoint(
        _Renewals, local_addr=(LIVING, port)
    )
    node.name_seed(GONE)
    try:
        async with node.run(settings.ProcessRole.AGENT):
            node.name_seed(LIVING)
            async with asyncio.timeout(clock_lib.seconds(5_000)):
                payload = await renewals.received
    finally:
        transport.close()
    codec.Decoder(wire.Renewal).decode(payload)
