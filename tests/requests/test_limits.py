import asyncio
import time

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.model import config
from tests.requests import fakes

pytestmark = pytest.mark.serial

RUN_MS = 250
SLOTS = 8
FLOOD_S = 4


def percentile(values: list[float], quantile: float) -> float:
    return sorted(values)[int(quantile * (len(values) - 1))]


async def timed(
    stack, account: str, **kwargs
) -> tuple[fakes.CallerResponse, float]:
    started = time.monotonic()
    response = await fakes.send(
        stack.session, stack.entries[0], account=account, **kwargs
    )
    return response, (time.monotonic() - started) * clock_lib.MS_PER_SECOND


async def send_in_sequence(stack, account: str, count: int) -> list[float]:
    latencies_ms = []
    for _ in range(count):
        response, latency_ms = await timed(stack, account, idempotent=True)
        assert response.outcome == "answered"
        latencies_ms.append(latency_ms)
    return latencies_ms


async def send_from_four_callers(stack) -> list[float]:
    latencies_ms = await asyncio.gather(
        *(send_in_sequence(stack, "small", 8) for _ in range(4))
    )
    return sum(latencies_ms, [])


async def test_flood_of_one_account_leaves_another_its_latency(make_stack):
    stack = await make_stack(1, RUN_MS)
    stack.entries[0].configure(
        config.Service(name=fakes.SERVICE, queue_per_account=64, queue_ms=400)
    )
    unloaded = await send_from_four_callers(stack)
    capacity = SLOTS * clock_lib.MS_PER_SECOND // RUN_MS
    flood = [
        asyncio.create_task(send_one_of_flood(stack, i / (10 * capacity)))
        for i in range(10 * capacity * FLOOD_S)
    ]
    await asyncio.sleep(0.5)
    loaded = await send_from_four_callers(stack)
    responses = await asyncio.gather(*flood)
    refused = [response for response in responses if response.status == 429]
    assert percentile(loaded, 0.99) <= 2 * percentile(unloaded, 0.99)
    assert len(refused) > len(responses) / 2
    assert all(
        int(response.headers["Retry-After"]) >= 1 for response in refused
    )
    assert {response.outcome for response in refused} == {"not_run"}
    assert stack.endpoints[0].peak <= SLOTS


async def send_one_of_flood(stack, after_s: float) -> fakes.CallerResponse:
    await asyncio.sleep(after_s)
    response, _ = await timed(stack, "large", idempotent=True)
    return response


async def test_slots_hold_over_two_entries(make_stack):
    stack = await make_stack(1, 20)
    responses = await asyncio.gather(
        *(
            fakes.send(stack.session, stack.entries[i % 2], idempotent=i < 100)
            for i in range(200)
        )
    )
    assert {response.outcome for response in responses} == {"answered"}
    assert stack.endpoints[0].peak == SLOTS


async def test_requests_of_an_earlier_agent_hold_their_slots(make_stack):
    stack = await make_stack(1, 400)
    first = [
        asyncio.create_task(
            fakes.send(
                stack.session, stack.entries[0], f"r{i}", idempotent=True
            )
        )
        for i in range(SLOTS)
    ]
    while stack.endpoints[0].active < SLOTS:
        await asyncio.sleep(0.01)
    await stack.kill_agent(0)
    await stack.restart_agent(0)
    running = tuple(f"r{i}" for i in range(SLOTS))
    stack.agents[0].announce(stack.endpoints[0], running=running)
    second = asyncio.create_task(
        fakes.send(stack.session, stack.entries[1], "s", idempotent=True)
    )
    await asyncio.sleep(0.5)
    assert stack.run_counts["s"] == 0
    stack.agents[0].announce(stack.endpoints[0], running=())
    assert (await second).outcome == "answered"
    await asyncio.gather(*first)
    assert stack.endpoints[0].peak <= SLOTS


@pytest.mark.parametrize("idempotent", [True, False])
async def test_refusal_is_not_run_only_with_proof(make_stack, idempotent):
    stack = await make_stack(0)
    stack.entries[0].configure(config.Service(name=fakes.SERVICE, queue_ms=20))
    response = await fakes.send(
        stack.session, stack.entries[0], "r1", idempotent=idempotent
    )
    assert response.status == 503
    # A claim in the log closes the id; idempotent requests have no claim.
    assert response.outcome == ("unknown" if idempotent else "not_run")
    first = await fakes.send(
        stack.session,
        stack.entries[0],
        "r2",
        idempotent=idempotent,
        resend="false",
    )
    assert first.outcome == "not_run"


async def test_nothing_starts_without_lease_or_in_a_domain_that_is_out(
    make_stack,
):
    stack = await make_stack(1)
    agent = stack.agents[0]
    lease = agent.board.lease.get()
    for cell, value in (
        (agent.board.lease, type(lease)()),
        (
            agent.board.desired,
            type(agent.board.desired.get())(
                version=1,
                revision=1,
                domains_in_service=(),
                services=(),
                tasks=(),
            ),
        ),
    ):
        original = cell.get()
        cell.set(value)
        response = await fakes.send(
            stack.session, stack.entries[0], deadline_ms="300"
        )
        assert response.outcome == "not_run"
        cell.set(original)
        await asyncio.sleep(0.6)
    assert not stack.run_counts


async def test_fast_failing_endpoint_gets_few_requests(make_stack):
    """A fast failing endpoint looks idle and attracts requests if not ejected."""
    stack = await make_stack(3, 20)
    bad = stack.endpoints[0]
    bad.status, bad.run_ms = 500, 0
    responses = []
    for _ in range(25):
        responses += await asyncio.gather(
            *(fakes.send(stack.session, e) for e in stack.entries * 2)
        )
    assert len(bad.answers) < len(responses) / 4
    assert (
        sum(response.status == 200 for response in responses)
        > 3 * len(responses) / 4
    )


async def test_connections_bound_requests_and_probes(make_stack):
    stack = await make_stack(1, 120, probe_ms=20)
    endpoint = stack.endpoints[0]
    stack.announce(0, connections=3)
    stack.publish_endpoints()
    responses = await asyncio.gather(
        *(fakes.send(stack.session, stack.entries[0]) for _ in range(12))
    )
    assert {response.outcome for response in responses} == {"answered"}
    assert endpoint.peak == 3
    assert endpoint.peak_connections <= 3
