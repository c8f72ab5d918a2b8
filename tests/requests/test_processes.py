import asyncio
import collections
import types

import aiohttp
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from extras import cluster as cluster_lib
from tests.requests import fakes
from tests.requests import load

pytestmark = pytest.mark.serial

REQUESTS = 2_000
FAULT_INTERVAL_MS = 1_500
DOWNTIME_MS = 300
ELECTION_WAIT_MS = 3_000
SETTLE_MS = 1_000
CALLERS = 6
DEADLINE_MS = 6_000
TIMING = settings.Timing(balancer_lag_ms=200)
TICKET = {
    "number": 1,
    "accounts": [{"name": "trust"}],
    "failure_domains": [
        {"name": name} for name in cluster_lib.Layout().domains
    ],
    "services": [{"name": cluster_lib.SERVICE}],
}


@pytest.fixture
async def cluster(tmp_path):
    layout = cluster_lib.Layout(workers=0, endpoints=1, timing=TIMING)
    async with cluster_lib.Cluster(tmp_path, layout) as cluster:
        cluster.prepare()
        await cluster.start()
        answer = await cluster.post("e1", "/v1/tickets", TICKET)
        assert answer.status == 200, answer.text
        await wait_for_endpoints(cluster)
        yield cluster
        await cluster.until_sound()


async def wait_for_endpoints(cluster) -> None:
    headers = {
        "Bilberryroute-Account": "trust",
        "Bilberryroute-Idempotent": "true",
    }
    path = f"/v1/services/{cluster_lib.SERVICE}/requests"

    async def both_entries_answer() -> bool:
        answers = [
            await cluster.post(entry, path, "x", headers)
            for entry in cluster.entries
        ]
        return all(a is not None and a.status == 200 for a in answers)

    await cluster_lib.until(both_entries_answer, 20_000, "both entries answer")


@pytest.fixture
async def stack(cluster):
    """Returns the part of a stack that `load.run` uses."""
    entries = [
        types.SimpleNamespace(
            server=types.SimpleNamespace(address=cluster.http[name]),
            leaving=False,
        )
        for name in cluster.entries
    ]
    async with aiohttp.ClientSession() as session:
        yield types.SimpleNamespace(session=session, entries=entries)


async def pause(duration_ms: int) -> None:
    await asyncio.sleep(clock_lib.seconds(duration_ms))


async def restart(cluster, name: str) -> None:
    cluster.children[name].kill()
    await pause(DOWNTIME_MS)
    cluster.children[name].start()


async def kill_agent_and_endpoint(cluster, iteration: int) -> None:
    number = iteration % 3 + 1
    await asyncio.gather(
        restart(cluster, f"a{number}"), restart(cluster, f"p{number}1")
    )


async def kill_leader(cluster, iteration: int) -> None:
    await restart(cluster, await cluster.leader() or "r1")
    await pause(ELECTION_WAIT_MS)


async def freeze_agent_kill_entry(cluster, iteration: int) -> None:
    frozen = cluster.children[f"a{iteration % 3 + 1}"]
    frozen.freeze()
    await restart(cluster, cluster.entries[iteration % 2])
    await pause(3 * DOWNTIME_MS)
    frozen.resume()


async def inject_repeatedly(fault, cluster) -> None:
    iteration = 0
    while True:
        await fault(cluster, iteration)
        iteration += 1
        await pause(FAULT_INTERVAL_MS)


@pytest.mark.parametrize(
    "fault", [kill_agent_and_endpoint, kill_leader, freeze_agent_kill_entry]
)
async def test_reported_outcomes_match_the_actual_runs(cluster, stack, fault):
    injecting = asyncio.create_task(inject_repeatedly(fault, cluster))
    log = await load.run(
        stack, REQUESTS, seed=3, concurrency=40, deadline_ms=DEADLINE_MS
    )
    assert not injecting.done(), injecting.result()
    injecting.cancel()
    await asyncio.gather(injecting, return_exceptions=True)
    run_counts = collections.Counter(
        line.subject for line in cluster.all_written("p") if line.event == "run"
    )
    assert len(log.responses) == REQUESTS
    assert log.violations(run_counts) == []
    assert log.outcomes()["answered"] > 0.9 * REQUESTS


async def call_steadily(
    cluster, stack, number, stop_calling, responses
) -> None:
    while not stop_calling.is_set():
        entry = stack.entries[(number + len(responses)) % 2]
        if entry.leaving:  # The load balancer skips it.
            entry = stack.entries[0 if entry is stack.entries[1] else 1]
        responses.append(
            await fakes.send(stack.session, entry, idempotent=number % 2 == 0)
        )


async def restart_gracefully(cluster, name: str) -> None:
    child = cluster.children[name]
    child.terminate()
    assert await child.ended() == 0, f"{name} did not exit cleanly"
    child.start()
    if name in cluster.http:
        await cluster.until_healthy(name)
    await pause(SETTLE_MS)


async def test_rolling_restart_fails_no_request(cluster, stack):
    stop_calling = asyncio.Event()
    responses = []
    callers = [
        asyncio.create_task(
            call_steadily(cluster, stack, n, stop_calling, responses)
        )
        for n in range(CALLERS)
    ]
    for number, name in enumerate(cluster.entries):
        stack.entries[number].leaving = True
        await pause(TIMING.balancer_lag_ms)
        await restart_gracefully(cluster, name)
        stack.entries[number].leaving = False
    for name in [n for n in cluster.children if n[0] in "apr"]:
        await restart_gracefully(cluster, name)
    stop_calling.set()
    await asyncio.gather(*callers)
    failed = [
        response
        for response in responses
        if response.outcome != "answered" or response.status != 200
    ]
    assert len(responses) > 500
    assert failed == []
