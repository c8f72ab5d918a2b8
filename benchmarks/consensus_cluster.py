"""Three replicas in one process, joined by relays, for measurements."""

import asyncio
import contextlib
import pathlib
import random

import grpc.aio

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import group as group_lib
from tests.utils import relay

# Longest wait for a leader.
WAIT_S = 30


class CountingApplier:
    """State machine that counts commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index: int, term: int, payload: bytes) -> int:
        """Counts a command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Returns the count."""
        return b"%d" % self.count

    def restore(self, payload: bytes) -> None:
        """Restores the count."""
        self.count = int(payload)


class Cluster:
    """Replicas, each behind a relay from each other one.

    Attributes:
      make: Makes a replica; a variant under measurement may replace it.
    """

    make = group_lib.ReplicaGroup

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        *,
        size: int = 3,
        delay_ms: float = 0,
        loss: float = 0,
        log: settings.Log | None = None,
    ):
        self.groups: dict[str, group_lib.ReplicaGroup] = {}
        self._servers: dict[str, grpc.aio.Server] = {}
        self._relays: dict[tuple[str, str], relay.TcpRelay] = {}
        self._addresses: tuple[settings.ReplicaAddress, ...] = ()
        self._folder = folder
        self._rng = rng
        self._names = [f"r{i}" for i in range(size)]
        self._delay_ms = delay_ms
        self._loss = loss
        self._log = log or settings.Log()

    async def start(self) -> None:
        """Starts relays and replicas."""
        servers = {name: grpc.aio.server() for name in self._names}
        self._addresses = tuple(
            settings.ReplicaAddress(
                id=name,
                grpc=f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}",
                datagram="",
            )
            for name, server in servers.items()
        )
        if self._delay_ms or self._loss:
            await self._start_relays()
        for name, server in servers.items():
            await self.start_replica(name, server)

    async def start_replica(
        self, name: str, server: grpc.aio.Server | None = None
    ) -> None:
        """Starts one replica on its folder."""
        if server is None:
            server = grpc.aio.server()
            address = next(a for a in self._addresses if a.id == name)
            server.add_insecure_port(address.grpc)
        group = self.make(
            group_lib.GroupConfig(
                replica_id=name,
                members=self._addresses,
                data_folder=str(self._folder / name),
                log=self._log,
                routes={
                    target: link.address
                    for (source, target), link in self._relays.items()
                    if source == name
                },
            ),
            CountingApplier(),
            clock_lib.SystemClock(),
            random.Random(self._rng.random()),
            metrics_lib.Metrics(),
        )
        group.register(server)
        await server.start()
        await group.start()
        self.groups[name] = group
        self._servers[name] = server

    async def stop_replica(self, name: str) -> None:
        """Stops one replica without a word to the others."""
        group = self.groups.pop(name)
        await self._servers.pop(name).stop(0)
        await group.stop()

    async def stop(self) -> None:
        """Stops everything."""
        for name in list(self.groups):
            await self.stop_replica(name)
        for link in self._relays.values():
            await link.stop()

    async def leader(self) -> group_lib.ReplicaGroup:
        """Returns the leader once it may answer."""
        async with asyncio.timeout(WAIT_S):
            while True:
                for group in self.groups.values():
                    if group.is_leader():
                        with contextlib.suppress(errors.NotLeader):
                            await group.read_barrier()
                            return group
                await asyncio.sleep(0.005)

    async def _start_relays(self) -> None:
        for source in self._names:
            for target in self._addresses:
                if target.id == source:
                    continue
                rng = random.Random(self._rng.random())
                link = relay.TcpRelay(target.grpc, rng)
                for faults in (link.forward, link.backward):
                    faults.delay_ms = self._delay_ms
                    faults.loss = self._loss
                await link.start()
                self._relays[source, target.id] = link
