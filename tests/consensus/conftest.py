import asyncio
import contextlib
import random

import grpc.aio
import msgspec
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.consensus import group as group_lib


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

    def __init__(self, folder, size: int, log: settings.Log):
        self.folder = folder
        self.log = log
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
        for name, server in servers.items():
            await self.start_replica(name, server)

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
            ),
            ListApplier(),
            clock_lib.SystemClock(),
            random.Random(name),
        )
        group.register(server)
        await server.start()
        await group.start()
        self.groups[name] = group
        self.servers[name] = server

    async def stop_replica(self, name: str) -> None:
        """Stops one replica."""
        await self.servers.pop(name).stop(0)
        await self.groups.pop(name).stop()

    async def leader(self) -> group_lib.ReplicaGroup:
        """Returns the leader once it may answer."""
        async with asyncio.timeout(10):
            while True:
                for group in self.groups.values():
                    if group.is_leader():
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

        async def make(size: int, **log: int) -> Cluster:
            cluster = Cluster(tmp_path, size, settings.Log(**log))
            stack.push_async_callback(_stop, cluster)
            await cluster.start()
            return cluster

        yield make


async def _stop(cluster: Cluster) -> None:
    for name in list(cluster.groups):
        await cluster.stop_replica(name)
