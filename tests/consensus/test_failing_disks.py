"""Disks that refuse writes for a while and then work again."""

import asyncio
import contextlib

import pytest

from bilberryroute import errors
from bilberryroute.consensus import messages
from bilberryroute.consensus import storage
from tests.consensus import test_storage

SEGMENT_BYTES = 1 << 20


@pytest.fixture
def disks(tmp_path):
    """Returns the files of each replica; `space` bounds what they accept."""
    names = ("r0", "r1", "r2")
    return {n: test_storage.FailingFiles(tmp_path / n) for n in names}


@pytest.fixture
async def cluster(make_cluster, disks):
    stores = {n: storage.LogStorage(f, SEGMENT_BYTES) for n, f in disks.items()}
    return await make_cluster(3, stores=stores)


async def _propose(cluster, count: int) -> None:
    leader = await cluster.leader()
    for number in range(count):
        await leader.propose(b"%d" % number)


async def _until(condition) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.02)


async def test_follower_goes_on_once_its_full_disk_has_room(cluster, disks):
    await _propose(cluster, 5)
    leader = await cluster.leader()
    name = cluster.follower()
    follower = cluster.groups[name]
    identity = follower.id
    disks[name].space = 0
    await _propose(cluster, 5)
    await _until(lambda: follower.failure is not None)
    assert isinstance(follower.failure, errors.DiskFailing)
    await _propose(cluster, 5)
    disks[name].space = None
    await _until(lambda: follower.failure is None)
    await cluster.settled(leader.applied_index)
    assert follower._applier.items == leader._applier.items
    assert len(follower._applier.items) == 15
    assert follower.id == identity


async def test_leader_with_a_full_disk_is_replaced_and_follows(cluster, disks):
    await _propose(cluster, 5)
    broken = await cluster.leader()
    name = broken.leader_id
    disks[name].space = 0
    with contextlib.suppress(errors.BilberryrouteError):
        await broken.propose(b"unknown")
    await _until(lambda: broken.failure is not None)
    with pytest.raises(errors.DiskFailing):
        await broken.propose(b"refused")
    leader = await cluster.leader(but=name)
    await leader.propose(b"later")
    disks[name].space = None
    await _until(lambda: broken.failure is None)
    await cluster.settled(leader.applied_index)
    assert broken._applier.items == leader._applier.items
    assert b"refused" not in leader._applier.items
    assert broken.role_cell.get().role is messages.Role.FOLLOWER


async def test_replica_starts_on_a_full_disk_and_waits_for_room(cluster, disks):
    await _propose(cluster, 5)
    name = cluster.follower()
    await cluster.stop_replica(name)
    disks[name].space = 0
    cluster.stores[name] = storage.LogStorage(disks[name], SEGMENT_BYTES)
    await cluster.start_replica(name)
    replica = cluster.groups[name]
    assert isinstance(replica.failure, errors.DiskFailing)
    await _propose(cluster, 5)
    disks[name].space = None
    leader = await cluster.leader()
    await cluster.settled(leader.applied_index)
    assert replica.failure is None
    assert replica._applier.items == leader._applier.items
