import asyncio
import contextlib
import random

import pytest

from bilberryroute import clock as clock_lib
from tests.requests import load

COUNT = 2_000
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
    await silence(rng.choice(stack.to_agents))


async def silence_endpoints(stack, rng: random.Random) -> None:
    await silence(rng.choice(stack.to_endpoints))


async def silence(relay) -> None:
    relay.forward.swallow = relay.backward.swallow = True
    await pause(30)
    relay.heal()


async def cut_answers(stack, rng: random.Random) -> None:
    relay = rng.choice(stack.to_agents + stack.to_endpoints)
    relay.backward.reset = 0.3
    await pause(100)
    relay.heal()


async def repeat(chaos, stack, seed: int) -> None:
    rng = random.Random(seed)
    while True:
        await pause(250)
        await chaos(stack, rng)


@contextlib.asynccontextmanager
async def faults(stack, chaoses):
    tasks = [
        asyncio.create_task(repeat(chaos, stack, seed))
        for seed, chaos in enumerate(chaoses)
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
    "chaoses",
    [
        (kill_endpoints,),
        (silence_agents, cut_answers),
        (kill_agents, silence_endpoints),
    ],
    ids=lambda chaoses: "+".join(chaos.__name__ for chaos in chaoses),
)
async def test_reported_outcomes_match_the_actual_runs(make_stack, chaoses):
    relayed = chaoses != (kill_endpoints,)
    stack = await make_stack(AGENTS, run_ms=5, relayed=relayed, **TIMING)
    async with faults(stack, chaoses):
        log = await load.run(stack, COUNT, seed=1)
    await pause(200)
    assert len(log.responses) == COUNT
    assert log.violations(stack.run_counts) == []
    assert max(endpoint.peak for endpoint in stack.endpoints) <= 8
    assert log.outcomes()["answered"] > COUNT / 2
