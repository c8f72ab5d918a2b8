import asyncio
import time

import pytest

from bilberryroute import clock as clock_lib
from tests.requests import fakes

pytestmark = pytest.mark.serial

RUN_MS = 150
PROBE_MS = 100
PROBE_TIMEOUT_MS = 300
SLACK_MS = 700


async def pause(duration_ms: int) -> None:
    await asyncio.sleep(clock_lib.seconds(duration_ms))


@pytest.mark.parametrize("leg", ["to_agents", "to_endpoints"])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_silent_connection_is_noticed_and_whole_answer_comes(
    make_stack, leg, idempotent
):
    stack = await make_stack(
        1,
        RUN_MS,
        relayed=True,
        probe_ms=PROBE_MS,
        probe_timeout_ms=PROBE_TIMEOUT_MS,
    )
    relay = getattr(stack, leg)[0]
    sending = asyncio.create_task(
        fakes.send(
            stack.session, stack.entries[0], "r1", b"a", idempotent=idempotent
        )
    )
    while not stack.run_counts["r1"]:
        await pause(5)
    relay.backward.swallow = True
    started = time.monotonic()
    await pause(RUN_MS)
    relay.heal()
    response = await sending
    took_ms = (time.monotonic() - started) * clock_lib.MS_PER_SECOND
    assert (response.outcome, response.body) == ("answered", b"r1:a")
    assert stack.run_counts["r1"] == 1
    assert took_ms < RUN_MS + 2 * PROBE_MS + PROBE_TIMEOUT_MS + SLACK_MS


async def test_agent_that_never_saw_a_request_closes_it(make_stack):
    """A probe of a run that never arrived fences it, so a retry is safe."""
    stack = await make_stack(
        1, relayed=True, probe_ms=PROBE_MS, probe_timeout_ms=PROBE_TIMEOUT_MS
    )
    relay = stack.to_endpoints[0]
    relay.forward.swallow = True
    sending = asyncio.create_task(
        fakes.send(stack.session, stack.entries[0], "r1", b"a")
    )
    await pause(PROBE_MS // 2)
    relay.heal()
    response = await sending
    assert (response.outcome, response.attempts) == ("answered", 2)
    assert stack.run_counts["r1"] == 1
