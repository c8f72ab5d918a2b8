"""Stalls of a whole process, as on an overloaded host."""

import asyncio
import time

import pytest


@pytest.mark.parametrize("stall_ms", [650, 800, 1_200])
async def test_stall_of_all_replicas_changes_no_leader(make_cluster, stall_ms):
    """Their timers expire before what arrived meanwhile is read."""
    cluster = await make_cluster(3)
    leader = await cluster.leader()
    term = leader.term
    await leader.propose(b"before")
    time.sleep(stall_ms / 1_000)  # Blocks the event loop of all replicas.
    async with asyncio.timeout(1):
        while not leader.is_leader():
            await asyncio.sleep(0.01)
    assert leader.term == term
    await leader.propose(b"after")
