"""No start in a failure domain 3 s after operators took it out."""

import asyncio

import pytest

from bilberryroute import clock as clock_lib
from extras import cluster as cluster_lib
from tests.processes import operators

pytestmark = pytest.mark.serial

OUT_BOUND_MS = 3_000
AFTER_MS = 2_500
SETTLE_MS = 400
DOMAIN = "apapa"
GANG = "gang-run60000"

# Both workers of the only rack that can hold 16 accelerators.
TWO_AGENTS = cluster_lib.Layout(
    agents=(DOMAIN, DOMAIN, "tincan"), entries=1, workers=1, endpoints=0
)
STREAM = cluster_lib.Layout(workers=1, endpoints=0)

CLOCK = clock_lib.SystemClock()


async def sleep_until(instant: int) -> None:
    """Sleeps until an instant of the monotonic clock, in milliseconds."""
    await asyncio.sleep(clock_lib.seconds(max(0, instant - CLOCK.now())))


def starts(cluster, domain=DOMAIN, since=0) -> list:
    """Returns the starts in a failure domain since an instant."""
    return [
        line
        for line in cluster.all_written("w")
        if line.event == "start"
        and line.failure_domain == domain
        and line.monotonic_ms >= since
    ]


async def until_starts(cluster, domain: str, since: int) -> None:
    """Waits for a start in a failure domain after an instant."""

    async def started() -> bool:
        return bool(starts(cluster, domain, since))

    await cluster_lib.until(
        started, operators.STEP_MS, f"a start in {domain} after {since}"
    )


def assert_out_holds(cluster, out: int) -> None:
    """Asserts that nothing started in the domain after the bound."""
    assert starts(cluster, since=out + OUT_BOUND_MS) == []


async def reserve_gang(cluster) -> operators.Operator:
    """Has a gang reserved on worker w11 while the agent of w21 is frozen."""
    operator = operators.Operator(cluster)
    await operator.configure()
    await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
    cluster.children["a2"].freeze()
    await operator.submit(GANG, 16)
    await operator.until_phase(GANG, "reserved")
    await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
    return operator


async def test_domain_out_holds_while_jobs_keep_coming(launch):
    cluster = await launch(STREAM)
    operator = operators.Operator(cluster)
    await operator.configure()
    async with operators.JobStream(operator):
        await asyncio.sleep(1.5)
        out = await operator.set_domain(DOMAIN, in_service=False)
        await sleep_until(out + OUT_BOUND_MS + AFTER_MS)
        assert starts(cluster)
        await until_starts(cluster, "tincan", out + OUT_BOUND_MS)
        assert_out_holds(cluster, out)
        back = await operator.set_domain(DOMAIN, in_service=True)
        await until_starts(cluster, DOMAIN, back)


async def test_frozen_and_resumed_agent_starts_nothing(launch_wired):
    """The start waits in the socket of a frozen agent, later news are lost."""
    cluster, wires = await launch_wired(TWO_AGENTS)
    operator = await reserve_gang(cluster)
    cluster.children["a1"].freeze()
    cluster.children["a2"].resume()
    await operator.until_phase(GANG, "running")
    await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
    wires.cut("a1")
    out = await operator.set_domain(DOMAIN, in_service=False)
    await sleep_until(out + OUT_BOUND_MS)
    cluster.children["a1"].resume()
    await sleep_until(out + OUT_BOUND_MS + AFTER_MS)
    assert [line.source for line in starts(cluster)] == ["w21"]
    assert_out_holds(cluster, out)


async def test_cut_off_agent_starts_nothing(launch_wired):
    """The start waits at a worker that is frozen, the agent is cut off."""
    cluster, wires = await launch_wired(TWO_AGENTS)
    operator = await reserve_gang(cluster)
    cluster.children["w11"].freeze()
    cluster.children["a2"].resume()
    await operator.until_phase(GANG, "running")
    await asyncio.sleep(clock_lib.seconds(SETTLE_MS))
    wires.cut("a1")
    out = await operator.set_domain(DOMAIN, in_service=False)
    await sleep_until(out + OUT_BOUND_MS)
    cluster.children["w11"].resume()
    await sleep_until(out + OUT_BOUND_MS + AFTER_MS)
    assert [line.source for line in starts(cluster)] == ["w21"]
    assert "refuse" in {line.event for line in cluster.written("w11")}
    assert_out_holds(cluster, out)


@pytest.mark.parametrize("fault", ["freeze", "kill"])
async def test_domain_out_holds_over_a_change_of_leader(launch, fault):
    """The old leader is frozen and resumed, or killed right after."""
    cluster = await launch(STREAM)
    operator = operators.Operator(cluster)
    await operator.configure()
    leader = cluster.children[await cluster.leader()]
    async with operators.JobStream(operator):
        await asyncio.sleep(1.5)
        if fault == "freeze":
            leader.freeze()
            out = await operator.set_domain(DOMAIN, in_service=False)
        else:
            out = await operator.set_domain(DOMAIN, in_service=False)
            leader.kill()
        await sleep_until(out + OUT_BOUND_MS)
        leader.resume()
        await sleep_until(out + OUT_BOUND_MS + AFTER_MS)
        assert starts(cluster)
        await until_starts(cluster, "tincan", out + OUT_BOUND_MS)
        assert_out_holds(cluster, out)
