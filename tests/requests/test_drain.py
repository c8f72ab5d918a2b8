import asyncio

from bilberryroute import clock as clock_lib
from tests.requests import fakes

TIMING = {"renewal_ms": 100, "balancer_lag_ms": 300, "probe_ms": 200}
RUN_MS = 60
VIEW_LAG_MS = 150
CALLERS = 12


async def pause(duration_ms: int) -> None:
    await asyncio.sleep(clock_lib.seconds(duration_ms))


async def publish_views(stack) -> None:
    """Publishes the agents' endpoints to entries with the leader's delay."""
    while True:
        views = [
            view
            for agent in stack.agents
            if not agent.board.draining.get()
            for view in agent.views()
        ]
        await pause(VIEW_LAG_MS)
        for entry in stack.entries:
            entry.publish_endpoints(*views)


async def call_steadily(
    stack, number: int, stop_calling: asyncio.Event
) -> list:
    responses = []
    while not stop_calling.is_set():
        # The load balancer skips entries that are not ready.
        ready = [e for e in stack.entries if not e.board.draining.get()]
        entry = ready[len(responses) % len(ready)]
        idempotent = number % 2 == 0
        responses.append(
            await fakes.send(stack.session, entry, idempotent=idempotent)
        )
    return responses


async def restart_all(stack) -> None:
    for number, old in enumerate(list(stack.entries)):
        await old.requests.drain()
        await stack.restart_entry(number)
        await pause(VIEW_LAG_MS)
    for number, agent in enumerate(list(stack.agents)):
        await agent.requests.drain()
        await agent.stop()
        await stack.restart_agent(number)
        await pause(2 * VIEW_LAG_MS)
    for number, endpoint in enumerate(stack.endpoints):
        stack.announce(number, leaving=True)
        await pause(3 * VIEW_LAG_MS)
        while endpoint.active:
            await pause(10)
        await endpoint.kill()
        await endpoint.server.start(int(endpoint.server.address[10:]))
        stack.announce(number)
        await pause(2 * VIEW_LAG_MS)


async def test_rolling_restart_fails_no_request(make_stack):
    stack = await make_stack(3, RUN_MS, **TIMING)
    publishing = asyncio.create_task(publish_views(stack))
    stop_calling = asyncio.Event()
    callers = [
        asyncio.create_task(call_steadily(stack, number, stop_calling))
        for number in range(CALLERS)
    ]
    await pause(200)
    await restart_all(stack)
    stop_calling.set()
    responses = sum(await asyncio.gather(*callers), [])
    publishing.cancel()
    assert len(responses) > 500
    assert [
        response
        for response in responses
        if response.outcome != "answered" or response.status != 200
    ] == []
    assert max(stack.run_counts.values()) == 1
    assert {agent.incarnation for agent in stack.agents} == {"2"}


async def test_drain_finishes_what_runs_and_takes_nothing_new(make_stack):
    stack = await make_stack(1, 900, **TIMING)
    entry = stack.entries[0]
    running = asyncio.create_task(fakes.send(stack.session, entry, "r1"))
    await pause(100)
    draining = asyncio.create_task(entry.requests.drain())
    await pause(100)
    assert entry.board.draining.get()
    during_lag = asyncio.create_task(fakes.send(stack.session, entry, "r2"))
    await pause(300)
    late = await fakes.send(stack.session, entry, "r3")
    assert (late.status, late.outcome) == (503, "not_run")
    assert not draining.done()
    assert (await running).outcome == (await during_lag).outcome == "answered"
    await draining
    assert stack.run_counts["r3"] == 0


async def test_leaving_endpoint_gets_nothing_new_after_its_notice(make_stack):
    stack = await make_stack(1)
    agent = stack.agents[0]
    url = f"http://{agent.server.address}/v1/endpoints"
    announced = {
        "name": "e0",
        "service": fakes.SERVICE,
        "address": stack.endpoints[0].server.address,
    }
    async with stack.session.post(url, json=announced) as resp:
        assert resp.status == 200
    assert not agent.board.endpoints.get()["e0"].leaving
    async with stack.session.post(
        url, json=announced | {"leaving": True}
    ) as resp:
        assert resp.status == 200
    assert agent.board.endpoints.get()["e0"].leaving
    # An entry with an outdated view still sends requests to it.
    agent.board.leaving.get()["e0"] -= 2_000
    response = await fakes.send(stack.session, stack.entries[0], "r1")
    assert (response.outcome, stack.run_counts["r1"]) == ("not_run", 0)
    async with stack.session.delete(f"{url}/e0") as resp:
        assert resp.status == 204
    assert agent.board.endpoints.get() == {}


async def test_endpoint_whose_lease_ended_is_dropped(make_stack):
    stack = await make_stack(1, worker_lease_ms=100)
    agent = stack.agents[0]
    url = f"http://{agent.server.address}/v1/endpoints"
    address = stack.endpoints[0].server.address
    for body in (
        {"name": "e9", "service": "s", "address": address, "slots": 0},
        {"name": "e9", "service": "s", "address": "nowhere"},
        {"name": "e9"},
    ):
        async with stack.session.post(url, json=body) as resp:
            assert resp.status == 400
    body = {"name": "e9", "service": "s", "address": address}
    async with stack.session.post(url, json=body) as resp:
        assert (await resp.json())["lease_ms"] == 100
    assert "e9" in agent.board.endpoints.get()
    await pause(150)
    agent.endpoints.refresh()
    assert "e9" not in agent.board.endpoints.get()
