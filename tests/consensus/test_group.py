import pytest

from bilberryroute import errors


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
