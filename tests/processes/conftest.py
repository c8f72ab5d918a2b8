"""Fixtures of the process-level tests: whole systems on loopback."""

import contextlib

import pytest

from extras import cluster as cluster_lib
from tests.processes import wires


@pytest.fixture
async def launch(tmp_path):
    """Returns a function that starts a system of the given layout.

    At the end of the test, `status --check` must find nothing broken.
    """
    started = []
    async with contextlib.AsyncExitStack() as stack:

        async def start(layout: cluster_lib.Layout) -> cluster_lib.Cluster:
            cluster = cluster_lib.Cluster(tmp_path, layout)
            await stack.enter_async_context(cluster)
            cluster.prepare()
            await cluster.start()
            started.append(cluster)
            return cluster

        yield start
        for cluster in started:
            await cluster.until_sound()


@pytest.fixture
async def launch_wired(tmp_path):
    """Like `launch`, with relays; by default one from agent to replica."""
    started = []
    async with contextlib.AsyncExitStack() as stack:

        async def start(layout: cluster_lib.Layout, relays=None):
            cluster = cluster_lib.Cluster(tmp_path, layout)
            await stack.enter_async_context(cluster)
            relays = relays or wires.AgentWires()
            stack.push_async_callback(relays.stop)
            await relays.start(cluster)
            cluster.prepare(relays.seen_by)
            await cluster.start()
            started.append(cluster)
            return cluster, relays

        yield start
        for cluster in started:
            await cluster.until_sound()
