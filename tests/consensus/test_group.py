import asyncio
import contextlib
import shutil

import pytest

from bilberryroute import errors
from bilberryroute.consensus import changes
from bilberryroute.consensus import messages
from bilberryroute.consensus import storage
from tests.consensus import test_storage

pytestmark = pytest.mark.serial

LONG_S = 3


async def _propose(group, first: int, count: int) -> int:
    """Proposes numbered commands; returns the last one's index."""
    applied = [
        await group.propose(b"%d" % i) for i in range(first, first + count)
    ]
    return applied[-1].index


def _expected(count: int) -> list[bytes]:
    return [b"%d" % i for i in range(count)]


@pytest.mark.parametrize("size", [1, 3])
async def test_commands_are_applied_everywhere(make_cluster, size):
    cluster = await make_cluster(size)
    leader = await cluster.leader()
    applied = [await leader.propose(b"%d" % i) for i in range(20)]
    assert [a.result for a in applied] == list(range(1, 21))
    await cluster.settled(applied[-1].index)
    for group in cluster.groups.values():
        assert group._applier.items == [b"%d" % i for i in range(20)]
        assert group.leader_id == leader.leader_id


async def test_follower_refuses_proposals(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    follower = next(g for g in cluster.groups.values() if g is not leader)
    with pytest.raises(errors.NotLeader):
        await follower.propose(b"x")


async def test_commands_of_any_size_are_replicated(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    large = bytes(6_000_000)
    await leader.propose(large)
    several = (leader.propose(bytes(900_000)) for _ in range(8))
    applied = await asyncio.gather(*several)
    await cluster.settled(applied[-1].index)
    for group in cluster.groups.values():
        assert group._applier.items[0] == large


async def test_restart_recovers_everything(make_cluster):
    cluster = await make_cluster(1, snapshot_entries=50)
    leader = await cluster.leader()
    for i in range(120):
        await leader.propose(b"%d" % i)
    await cluster.stop_replica("r0")
    await cluster.start_replica("r0")
    leader = await cluster.leader()
    assert leader._applier.items == [b"%d" % i for i in range(120)]


async def test_second_process_on_one_folder_is_refused(make_cluster):
    cluster = await make_cluster(1)
    held = cluster.servers["r0"]
    with pytest.raises(errors.StorageError):
        await cluster.start_replica("r0", held)


async def test_killed_leader_is_replaced_and_returns(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    name = leader.leader_id
    await _propose(leader, 0, 10)
    await cluster.stop_replica(name)
    leader = await cluster.leader()
    assert leader._applier.items == _expected(10)
    last = await _propose(leader, 10, 10)
    await cluster.start_replica(name)
    await cluster.settled(last)
    assert cluster.groups[name]._applier.items == _expected(20)


async def test_leader_that_hands_over_loses_nothing(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    await _propose(leader, 0, 10)
    taken = [
        asyncio.create_task(leader.propose(b"%d" % i)) for i in range(10, 20)
    ]
    while leader._core.log.last_index < 20:
        await asyncio.sleep(0)
    handing_over = asyncio.create_task(leader.hand_over())
    await asyncio.sleep(0)
    with pytest.raises(errors.NotLeader):
        await leader.propose(b"too late")
    applied = await asyncio.gather(*taken)
    await handing_over
    successor = await cluster.leader()
    assert successor is not leader
    await cluster.settled(applied[-1].index)
    assert successor._applier.items == _expected(20)


async def test_replica_that_does_not_lead_hands_nothing_over(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    term = leader.term
    await cluster.groups[cluster.follower()].hand_over()
    assert leader.is_leader()
    assert leader.term == term


async def test_isolated_follower_does_not_disturb_on_return(make_cluster):
    cluster = await make_cluster(3, relayed=True)
    leader = await cluster.leader()
    term = leader.term
    cluster.isolate(cluster.follower())
    await asyncio.sleep(LONG_S)
    last = await _propose(leader, 0, 10)
    cluster.heal()
    await cluster.settled(last)
    await asyncio.sleep(1)
    assert leader.is_leader()
    assert leader.term == term


async def test_isolated_leader_stops_by_itself(make_cluster):
    cluster = await make_cluster(3, relayed=True)
    old = await cluster.leader()
    await _propose(old, 0, 10)
    name = old.leader_id
    cluster.isolate(name)
    new = await cluster.leader(but=name)
    assert not old.is_leader()
    with pytest.raises((errors.NotLeader, errors.CommitUnknown)):
        await old.propose(b"lost")
    last = await _propose(new, 10, 10)
    await asyncio.sleep(LONG_S)
    term = new.term
    cluster.heal()
    await cluster.settled(last)
    assert old._applier.items == _expected(20)
    assert new.is_leader()
    assert new.term == term


async def test_one_way_cut_of_one_link_leaves_the_leader(make_cluster):
    cluster = await make_cluster(3, relayed=True)
    leader = await cluster.leader()
    term = leader.term
    cluster.cut(leader.leader_id, cluster.follower())
    await asyncio.sleep(LONG_S)
    last = await _propose(leader, 0, 10)
    assert leader.term == term
    cluster.heal()
    await cluster.settled(last)
    assert leader.term == term


async def test_leader_that_hears_nobody_is_replaced(make_cluster):
    cluster = await make_cluster(3, relayed=True)
    old = await cluster.leader()
    name = old.leader_id
    for other in cluster.groups:
        if other != name:
            cluster.cut(other, name)
    new = await cluster.leader(but=name)
    assert not old.is_leader()
    last = await _propose(new, 0, 10)
    cluster.heal()
    await cluster.settled(last)


async def test_swallowed_connections_are_replaced(make_cluster):
    cluster = await make_cluster(3, relayed=True)
    leader = await cluster.leader()
    for link in cluster.relays.values():
        link.forward.swallow = True
    await asyncio.sleep(1)
    cluster.heal()
    leader = await cluster.leader()
    await cluster.settled(await _propose(leader, 0, 10))


async def test_catch_up_by_snapshot_and_tail(make_cluster):
    cluster = await make_cluster(3, snapshot_entries=100)
    leader = await cluster.leader()
    name = cluster.follower()
    await cluster.stop_replica(name)
    last = await _propose(leader, 0, 650)
    assert leader._core.log.first_index > 500
    await cluster.start_replica(name)
    await cluster.settled(last)
    assert cluster.groups[name]._applier.items == _expected(650)


async def _promoted(leader, name: str) -> None:
    """Promotes the learner of a replica id once it has caught up."""
    async with asyncio.timeout(10):
        while True:
            for member in leader.members():
                if member.replica_id == name and not member.voter:
                    try:
                        await leader.change_members(
                            changes.Promote(id=member.id)
                        )
                        return
                    except (errors.Refused, errors.Unavailable):
                        pass
            await asyncio.sleep(0.05)


async def test_second_loss_right_after_a_repair_loses_nothing(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    await _propose(leader, 0, 20)
    name = cluster.follower()
    old_id = cluster.groups[name].id
    await cluster.stop_replica(name)
    shutil.rmtree(cluster.folder / name)
    await cluster.start_replica(name)
    await _promoted(leader, name)
    await leader.change_members(changes.Remove(id=old_id))
    await _propose(leader, 20, 1)
    lost = leader.leader_id
    await cluster.stop_replica(lost)
    shutil.rmtree(cluster.folder / lost)
    leader = await cluster.leader()
    assert leader._applier.items == _expected(21)
    await _propose(leader, 21, 5)
    assert old_id not in [m.id for m in leader.members()]


async def test_late_removal_does_not_remove_a_replica_that_was_added_again(
    make_cluster,
):
    """Its operator has repeated it at another entry, and added the replica."""
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    address = await cluster.add_replica("new")
    await leader.change_members(changes.AddLearner(address=address))
    added = leader.membership_version
    late = changes.Remove(id="new")
    await leader.change_members(late, after_version=added)
    await leader.change_members(changes.AddLearner(address=address))
    with pytest.raises(errors.Overtaken):
        await leader.change_members(late, after_version=added)
    assert "new" in [m.replica_id for m in leader.members()]


async def test_replica_votes_for_one_that_it_does_not_know(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    behind, removed = [n for n in cluster.groups if n != leader.leader_id]
    await cluster.stop_replica(behind)
    address = await cluster.add_replica("new")
    await leader.change_members(changes.AddLearner(address=address))
    await _promoted(leader, "new")
    await leader.change_members(changes.Remove(id=removed))
    await _propose(leader, 0, 5)
    await cluster.stop_replica(removed)
    await cluster.stop_replica(leader.leader_id)
    await cluster.start_replica(behind)
    leader = await cluster.leader()
    assert leader.leader_id == "new"
    await _propose(leader, 5, 5)


async def test_lost_disk_has_no_vote(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    await _propose(leader, 0, 5)
    lost, behind = [n for n in cluster.groups if n != leader.leader_id]
    await cluster.stop_replica(behind)
    await _propose(leader, 5, 5)
    await cluster.stop_replica(leader.leader_id)
    await cluster.stop_replica(lost)
    shutil.rmtree(cluster.folder / lost)
    await cluster.start_replica(lost)
    await cluster.start_replica(behind)
    await asyncio.sleep(LONG_S)
    assert not any(g.is_leader() for g in cluster.groups.values())
    await cluster.start_replica(leader.leader_id)
    leader = await cluster.leader()
    assert leader._applier.items == _expected(10)


async def test_removal_that_leaves_no_majority_is_refused(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    gone, kept = [n for n in cluster.groups if n != leader.leader_id]
    await cluster.stop_replica(gone)
    await asyncio.sleep(1)
    with pytest.raises(errors.Refused, match="would answer"):
        await leader.change_members(changes.Remove(id=kept))
    members = await leader.change_members(changes.Remove(id=gone))
    assert len(members) == 2


async def test_failed_sync_ends_leadership_and_says_why(make_cluster, tmp_path):
    files = {
        name: test_storage.FailingFiles(tmp_path / name)
        for name in ("r0", "r1", "r2")
    }
    stores = {n: storage.LogStorage(f, 1 << 20) for n, f in files.items()}
    cluster = await make_cluster(3, stores=stores)
    broken = await cluster.leader()
    name = broken.leader_id
    last = await _propose(broken, 0, 5)
    await cluster.settled(last)
    files[name].fail_at = files[name].calls + 1
    with contextlib.suppress(errors.CommitUnknown):
        await broken.propose(b"5")
    async with asyncio.timeout(5):
        while broken.failure is None:
            await asyncio.sleep(0.01)
    assert not broken.is_leader()
    with pytest.raises(errors.StorageError, match="injected"):
        await broken.propose(b"x")
    leader = await cluster.leader(but=name)
    assert leader._applier.items in (_expected(5), _expected(6))
    await leader.propose(b"y")


async def test_replica_that_cannot_apply_takes_no_further_part(make_cluster):
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    broken = cluster.groups[cluster.follower()]

    def fail(index, term, payload):
        raise ValueError("cannot apply")

    broken._applier.apply = fail
    last = await _propose(leader, 0, 5)
    async with asyncio.timeout(5):
        while broken.failure is None:
            await asyncio.sleep(0.01)
    assert broken.applied_index < last
    with pytest.raises(errors.BilberryrouteError, match="cannot apply"):
        await broken.propose(b"x")
    await _propose(leader, 5, 5)
    assert broken.role_cell.get().role is messages.Role.HALTED
