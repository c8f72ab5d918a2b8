"""A gang runs on all of its workers or on none."""

import asyncio

import pytest

from bilberryroute import clock as clock_lib
from extras import cluster as cluster_lib
from tests.processes import operators

pytestmark = pytest.mark.serial

# Worker's lease, two renewals, the leader's rounds and the stop itself.
STOPPED_MS = 6_000
AGAIN_MS = 25_000
ANNOUNCED_MS = 1_500
GANG = "gang-run3000"
LONG_GANG = "gang-run60000"
LAYOUT = cluster_lib.Layout(
    agents=("apapa", "apapa", "tincan", "tincan"),
    entries=1,
    workers=1,
    endpoints=0,
)
CLOCK = clock_lib.SystemClock()


def lines_of(cluster, event: str, attempt: int, job_id=GANG) -> list:
    """Returns the events of one attempt of a gang."""
    return [
        line
        for line in cluster.all_written("w")
        if line.event == event
        and line.subject == job_id
        and line.attempt == attempt
    ]


def assert_whole(cluster) -> None:
    """Asserts that every attempt that ran to its end ran on two workers."""
    attempts = {
        line.attempt
        for line in cluster.all_written("w")
        if line.event == "end" and line.detail == "done"
    }
    assert attempts
    for attempt in attempts:
        names = {line.source for line in lines_of(cluster, "start", attempt)}
        assert len(names) == 2, names


async def run_gang(cluster, job_id=GANG) -> operators.Operator:
    """Has a gang run on both workers of one rack."""
    operator = operators.Operator(cluster)
    await operator.configure()
    await operator.submit(job_id, 16)

    async def started() -> bool:
        return len(lines_of(cluster, "start", 1, job_id)) == 2

    await cluster_lib.until(started, operators.STEP_MS, "both members run")
    return operator


@pytest.mark.parametrize("fault", ["kill", "freeze"])
async def test_loss_of_one_member_stops_the_rest(launch, fault):
    cluster = await launch(LAYOUT)
    await run_gang(cluster, LONG_GANG)
    first, second = lines_of(cluster, "start", 1, LONG_GANG)
    lost = cluster.children[first.source]
    if fault == "kill":
        lost.kill()
    else:
        lost.freeze()
    since = CLOCK.now()

    async def rest_ended() -> bool:
        ends = lines_of(cluster, "end", 1, LONG_GANG)
        return second.source in {line.source for line in ends}

    await cluster_lib.until(rest_ended, STOPPED_MS, "the rest has stopped")
    if fault == "kill":
        lost.start()
    else:
        lost.resume()

    async def whole_again() -> bool:
        return len(lines_of(cluster, "start", 2, LONG_GANG)) == 2

    await cluster_lib.until(whole_again, AGAIN_MS, "the gang runs again")
    ends = lines_of(cluster, "end", 1, LONG_GANG)
    stop = next(line for line in ends if line.source == second.source)
    assert stop.detail == "stopped"
    assert stop.monotonic_ms - since < STOPPED_MS
    if fault == "freeze":
        assert first.source in {line.source for line in ends}


async def _until_ended(operator) -> dict:
    async def ended() -> bool:
        return (await operator.job(GANG))["phase"] == "ended"

    await cluster_lib.until(ended, AGAIN_MS, "the gang ran again")
    return await operator.job(GANG)


async def test_gang_goes_on_over_restarts_of_agent_and_leader(launch):
    """Nothing is started twice, and nothing is lost.

    No replica leads until the agent is back, however long it takes to start:
    a leader may count its worker as lost after 2.1 s.
    """
    cluster = await launch(LAYOUT)
    operator = await run_gang(cluster)
    domain = lines_of(cluster, "start", 1)[0].failure_domain
    agent = "a1" if domain == "apapa" else "a3"
    leader = await cluster.leader()
    followers = [r.id for r in cluster.replicas if r.id != leader]
    for name in followers:
        cluster.children[name].freeze()
    cluster.children[leader].kill()
    cluster.children[agent].kill()
    cluster.children[agent].start()
    await cluster.until_healthy(agent)
    await asyncio.sleep(clock_lib.seconds(ANNOUNCED_MS))
    for name in followers:
        cluster.children[name].resume()
    record = await _until_ended(operator)
    assert record["result"] == "done"
    assert record["attempt"] == 1
    assert len(lines_of(cluster, "start", 1)) == 2
    assert not lines_of(cluster, "repeat", 1)


async def test_reserved_gang_runs_nothing_until_all_members_reserved(launch):
    cluster = await launch(LAYOUT)
    operator = operators.Operator(cluster)
    await operator.configure()
    await asyncio.sleep(0.4)
    for name in ("a1", "a3"):
        cluster.children[name].freeze()
    await operator.submit(GANG, 16)
    await operator.until_phase(GANG, "reserved")
    await asyncio.sleep(1.0)
    assert lines_of(cluster, "start", 1) == []
    for name in ("a1", "a3"):
        cluster.children[name].resume()
    record = await _until_ended(operator)
    assert record["result"] == "done"
    assert_whole(cluster)
