import asyncio
import contextlib
import random

import grpc.aio
import msgspec
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import group as group_lib
from bilberryroute.consensus import storage
from tests.utils import relay


class ListApplier:
    """State machine that keeps every command."""

    def __init__(self):
        self.items: list[bytes] = []

    def apply(self, index: int, term: int, payload: bytes) -> int:
        """Keeps a command; returns how many there are."""
        self.items.append(payload)
        return len(self.items)

    def snapshot(self) -> bytes:
        """Returns all commands."""
        return msgspec.msgpack.encode(self.items)

    def restore(self, payload: bytes) -> None:
        """Takes all commands."""
        self.items = msgspec.msgpack.decode(payload, type=list[bytes])


class Cluster:
    """Replica groups in one process, each with its own server and folder."""

    def __init__(self, folder, size: int, log: settings.Log, relayed: bool):
        self.folder = folder
        self.log = log
        self.relayed = relayed
        self.timing = settings.Timing()
        self.relays: dict[tuple[str, str], relay.TcpRelay] = {}
        self.stores: dict[str, storage.LogStorage] = {}
        self.addresses: tuple[settings.ReplicaAddress, ...] = ()
        self.groups: dict[str, group_lib.ReplicaGroup] = {}
        self.servers: dict[str, grpc.aio.Server] = {}
        self._names = [f"r{i}" for i in range(size)]

    async def start(self) -> None:
        """Starts all replicas."""
        servers = {name: grpc.aio.server() for name in self._names}
        self.addresses = tuple(
            settings.ReplicaAddress(
                id=name,
                grpc=f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}",
                datagram="",
            )
            for name, server in servers.items()
        )
        if self.relayed:
            await self._start_relays()
        for name, server in servers.items():
            await self.start_replica(name, server)

    async def _start_relays(self) -> None:
        for source in self._names:
            for target in self.addresses:
                if target.id != source:
                    link = relay.TcpRelay(target.grpc, random.Random(0))
                    await link.start()
                    self.relays[source, target.id] = link

    def cut(self, source: str, target: str) -> None:
        """Has nothing that `source` sends reach `target`."""
        self.relays[source, target].forward.cut = True
        self.relays[target, source].backward.cut = True

    def isolate(self, name: str) -> None:
        """Cuts a replica off from all others, both ways."""
        for source, target in self.relays:
            if name in (source, target):
                self.cut(source, target)

    def heal(self) -> None:
        """Ends all faults of the network."""
        for link in self.relays.values():
            link.heal()

    def follower(self) -> str:
        """Returns the name of a replica that does not lead."""
        return next(n for n, g in self.groups.items() if not g.is_leader())

    async def start_replica(self, name: str, server=None) -> None:
        """Starts one replica on its folder."""
        if server is None:
            server = grpc.aio.server()
            address = next(a for a in self.addresses if a.id == name)
            server.add_insecure_port(address.grpc)
        group = group_lib.ReplicaGroup(
            group_lib.GroupConfig(
                replica_id=name,
                members=self.addresses,
                data_folder=str(self.folder / name),
                log=self.log,
                timing=self.timing,
                routes={
                    target: link.address
                    for (source, target), link in self.relays.items()
                    if source == name
                },
            ),
            ListApplier(),
            clock_lib.SystemClock(),
            random.Random(name),
            metrics_lib.Metrics(),
            self.stores.get(name),
        )
        group.register(server)
        await server.start()
        await group.start()
        self.groups[name] = group
        self.servers[name] = server

    async def add_replica(self, name: str) -> settings.ReplicaAddress:
        """Starts a new replica that the settings of the others don't name."""
        server = grpc.aio.server()
        port = server.add_insecure_port("127.0.0.1:0")
        address = settings.ReplicaAddress(
            id=name, grpc=f"127.0.0.1:{port}", datagram=""
        )
        founders = self.addresses
        self.addresses = (*founders, address)
        await self.start_replica(name, server)
        self.addresses = founders
        return address

    async def stop_replica(self, name: str) -> None:
        """Stops one replica."""
        await self.servers.pop(name).stop(0)
        await self.groups.pop(name).stop()

    async def leader(self, but: str = "") -> group_lib.ReplicaGroup:
        """Returns the leader once it may answer."""
        async with asyncio.timeout(15):
            while True:
                for name, group in self.groups.items():
                    if name != but and group.is_leader():
                        with contextlib.suppress(errors.NotLeader):
                            await group.read_barrier()
                            return group
                await asyncio.sleep(0.01)

    async def settled(self, index: int) -> None:
        """Waits until all replicas have applied an entry."""
        async with asyncio.timeout(10):
            while any(
                group.applied_index < index for group in self.groups.values()
            ):
                await asyncio.sleep(0.01)


@pytest.fixture
async def make_cluster(tmp_path):
    async with contextlib.AsyncExitStack() as stack:

        async def make(
            size: int, relayed=False, stores=None, **log: int
        ) -> Cluster:
            cluster = Cluster(tmp_path, size, settings.Log(**log), relayed)
            cluster.stores = stores or {}
            stack.push_async_callback(_stop, cluster)
            await cluster.start()
            return cluster

        yield make


async def _stop(cluster: Cluster) -> None:
    for name in list(cluster.groups):
        await cluster.stop_replica(name)
    for link in cluster.relays.values():
        await link.stop()
