import asyncio
import contextlib
import random

import pytest

from bilberryroute import clock as clock_lib
from tests.requests import load

REQUESTS = 2_000
AGENTS = 4
TIMING = {"probe_ms": 150, "probe_timeout_ms": 250}


async def pause(duration_ms: int) -> None:
    await asyncio.sleep(clock_lib.seconds(duration_ms))


async def kill_agents(stack, rng: random.Random) -> None:
    number = rng.randrange(AGENTS)
    await stack.kill_agent(number)
    await pause(150)
    await stack.restart_agent(number)


async def kill_endpoints(stack, rng: random.Random) -> None:
    number = rng.randrange(AGENTS)
    endpoint = stack.endpoints[number]
    port = int(endpoint.server.address.rpartition(":")[2])
    await endpoint.kill()
    await pause(150)
    await endpoint.server.start(port)
    await pause(50)
    stack.announce(number)


async def silence_agents(stack, rng: random.Random) -> None:
    await silence_briefly(rng.choice(stack.to_agents))


async def silence_endpoints(stack, rng: random.Random) -> None:
    await silence_briefly(rng.choice(stack.to_endpoints))


async def silence_briefly(tcp_relay) -> None:
    tcp_relay.forward.swallow = tcp_relay.backward.swallow = True
    await pause(30)
    tcp_relay.heal()


async def cut_answers(stack, rng: random.Random) -> None:
    tcp_relay = rng.choice(stack.to_agents + stack.to_endpoints)
    tcp_relay.backward.reset = 0.3
    await pause(100)
    tcp_relay.heal()


async def inject_repeatedly(fault, stack, seed: int) -> None:
    rng = random.Random(seed)
    while True:
        await pause(250)
        await fault(stack, rng)


@contextlib.asynccontextmanager
async def inject_faults(stack, fault_kinds):
    tasks = [
        asyncio.create_task(inject_repeatedly(fault, stack, seed))
        for seed, fault in enumerate(fault_kinds)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
    for result in ended:
        assert isinstance(result, asyncio.CancelledError), result


@pytest.mark.parametrize(
    "fault_kinds",
    [
        (kill_endpoints,),
        (silence_agents, cut_answers),
        (kill_agents, silence_endpoints),
    ],
    ids=lambda fault_kinds: "+".join(fault.__name__ for fault in fault_kinds),
)
async def test_reported_outcomes_match_the_actual_runs(make_stack, fault_kinds):
    uses_relays = fault_kinds != (kill_endpoints,)
    stack = await make_stack(AGENTS, run_ms=5, relayed=uses_relays, **TIMING)
    async with inject_faults(stack, fault_kinds):
        log = await load.run(stack, REQUESTS, seed=1)
    await pause(200)
    assert len(log.responses) == REQUESTS
    assert log.violations(stack.run_counts) == []
    assert max(endpoint.peak for endpoint in stack.endpoints) <= 8
    assert log.outcomes()["answered"] > REQUESTS / 2
