"""Replicas that rejoin a group which repairs itself."""

import asyncio
import contextlib
import random

import grpc.aio
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.consensus import group as group_lib
from tests.consensus import conftest as cluster_lib
from tests.utils import ports

CLOCK = clock_lib.SystemClock()
REPAIRS = settings.Group(repairs_itself=True)


class Replica:
    """One replica on its own server, whose settings name some replicas."""

    def __init__(self, name: str, folder):
        self.name = name
        self._folder = folder / name
        self._server = grpc.aio.server()
        port = self._server.add_insecure_port("127.0.0.1:0")
        self.address = settings.ReplicaAddress(
            id=name, grpc=f"127.0.0.1:{port}", datagram=""
        )
        self.group: group_lib.ReplicaGroup | None = None

    async def start(
        self,
        members: tuple[settings.ReplicaAddress, ...],
        policy: settings.Group = REPAIRS,
    ) -> None:
        """Starts on the folder, with the given replicas in its settings."""
        self.group = group_lib.ReplicaGroup(
            group_lib.GroupConfig(
                replica_id=self.name,
                members=members,
                data_folder=str(self._folder),
                policy=policy,
            ),
            cluster_lib.ListApplier(),
            CLOCK,
            random.Random(self.name),
            metrics_lib.Metrics(),
        )
        self.group.register(self._server)
        await self._server.start()
        await self.group.start()

    async def stop(self) -> None:
        """Stops the server and the replica."""
        await self._server.stop(0)
        if self.group is not None:
            await self.group.stop()

    async def restart(
        self, members: tuple[settings.ReplicaAddress, ...]
    ) -> None:
        """Stops and starts again at the same address."""
        await self.stop()
        self._server = grpc.aio.server()
        self._server.add_insecure_port(self.address.grpc)
        await self.start(members)


@pytest.fixture
async def make_replica(tmp_path):
    replicas = []

    def make(name: str) -> Replica:
        replicas.append(Replica(name, tmp_path))
        return replicas[-1]

    yield make
    for replica in replicas:
        with contextlib.suppress(asyncio.CancelledError):
            await replica.stop()


async def _until(condition, seconds: float = 10) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


async def _found(make_replica, count: int) -> list[Replica]:
    """Starts a group of voters that all know each other; returns it."""
    replicas = [make_replica(f"r{number}") for number in range(1, count + 1)]
    members = tuple(replica.address for replica in replicas)
    for replica in replicas:
        await replica.start(members)
    await _until(lambda: _leader(replicas) is not None)
    return replicas


def _leader(replicas: list[Replica]) -> Replica | None:
    return next((r for r in replicas if r.group.is_leader()), None)


def _ids(leader: Replica) -> list[str]:
    return [member.id for member in leader.group.members()]


async def test_removed_voter_rejoins_with_its_data(make_replica):
    """A voter that was frozen for longer than the group waited for it."""
    replicas = await _found(make_replica, 4)
    members = tuple(replica.address for replica in replicas)
    leader = _leader(replicas)
    removed = next(r for r in replicas if r is not leader)
    identity = removed.group.id
    await leader.group.propose(b"first")
    await removed.stop()
    await asyncio.sleep(1)
    await leader.group.change_members(changes.Remove(id=identity))
    await removed.restart(members)
    await _until(lambda: identity in _ids(leader))
    await leader.group.propose(b"second")
    await _until(lambda: removed.group._applier.items == [b"first", b"second"])
    assert removed.group.id == identity


async def test_new_replica_joins_although_its_settings_omit_the_leader(
    make_replica,
):
    replicas = await _found(make_replica, 3)
    leader = _leader(replicas)
    seed = next(r for r in replicas if r is not leader)
    joining = make_replica("r9")
    await joining.start(
        (seed.address, joining.address),
        settings.Group(may_found=False, repairs_itself=True),
    )
    await _until(lambda: joining.group.id in _ids(leader))
    await leader.group.propose(b"first")
    await _until(lambda: joining.group._applier.items == [b"first"])


async def test_new_replica_joins_once_its_settings_name_other_seeds(
    make_replica,
):
    """The seeds that it started with are gone, as lists may be out of date."""
    replicas = await _found(make_replica, 3)
    leader = _leader(replicas)
    joining = make_replica("r9")
    gone = settings.ReplicaAddress(
        id="r8", grpc=ports.free_address(), datagram=""
    )
    await joining.start(
        (gone, joining.address),
        settings.Group(may_found=False, repairs_itself=True),
    )
    joining.group.set_seeds([r.address.grpc for r in replicas])
    await _until(lambda: joining.group.id in _ids(leader))
