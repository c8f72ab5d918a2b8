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

COUNT = 2_000
FAULTS_EVERY_MS = 1_500
DOWN_MS = 300
ELECTED_MS = 3_000
SETTLED_MS = 1_000
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

    async def answered() -> bool:
        answers = [
            await cluster.post(entry, path, "x", headers)
            for entry in cluster.entries
        ]
        return all(a is not None and a.status == 200 for a in answers)

    await cluster_lib.until(answered, 20_000, "both entries answer")


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
    await pause(DOWN_MS)
    cluster.children[name].start()


async def kill_agent_and_endpoint(cluster, turn: int) -> None:
    number = turn % 3 + 1
    await asyncio.gather(
        restart(cluster, f"a{number}"), restart(cluster, f"p{number}1")
    )


async def kill_leader(cluster, turn: int) -> None:
    await restart(cluster, await cluster.leader() or "r1")
    await pause(ELECTED_MS)


async def freeze_agent_kill_entry(cluster, turn: int) -> None:
    frozen = cluster.children[f"a{turn % 3 + 1}"]
    frozen.freeze()
    await restart(cluster, cluster.entries[turn % 2])
    await pause(3 * DOWN_MS)
    frozen.resume()


async def repeat(chaos, cluster) -> None:
    turn = 0
    while True:
        await chaos(cluster, turn)
        turn += 1
        await pause(FAULTS_EVERY_MS)


@pytest.mark.parametrize(
    "chaos", [kill_agent_and_endpoint, kill_leader, freeze_agent_kill_entry]
)
async def test_reported_outcomes_match_the_actual_runs(cluster, stack, chaos):
    repeating = asyncio.create_task(repeat(chaos, cluster))
    log = await load.run(
        stack, COUNT, seed=3, at_once=40, deadline_ms=DEADLINE_MS
    )
    assert not repeating.done(), repeating.result()
    repeating.cancel()
    await asyncio.gather(repeating, return_exceptions=True)
    ran = collections.Counter(
        line.subject for line in cluster.all_written("p") if line.event == "run"
    )
    assert len(log.responses) == COUNT
    assert log.violations(ran) == []
    assert log.outcomes()["answered"] > 0.9 * COUNT


async def call_steadily(cluster, stack, number, ended, responses) -> None:
    while not ended.is_set():
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
    await pause(SETTLED_MS)


async def test_rolling_restart_fails_no_request(cluster, stack):
    ended = asyncio.Event()
    responses = []
    calling = [
        asyncio.create_task(call_steadily(cluster, stack, n, ended, responses))
        for n in range(CALLERS)
    ]
    for number, name in enumerate(cluster.entries):
        stack.entries[number].leaving = True
        await pause(TIMING.balancer_lag_ms)
        await restart_gracefully(cluster, name)
        stack.entries[number].leaving = False
    for name in [n for n in cluster.children if n[0] in "apr"]:
        await restart_gracefully(cluster, name)
    ended.set()
    await asyncio.gather(*calling)
    failed = [
        t for t in responses if t.outcome != "answered" or t.status != 200
    ]
    assert len(responses) > 500
    assert failed == []
