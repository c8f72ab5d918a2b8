import asyncio
import random

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.model import config
from tests.requests import fakes

pytestmark = pytest.mark.serial

AGENTS = 4
RUN_MS = 200
RATE = 110  # Requests per second; four healthy endpoints can serve 160.
BEFORE_MS = 500
FAULT_MS = 2_500
RECOVERY_MS = 2_500
AFTER_MS = 1_000


def fail_half(stack) -> None:
    for endpoint in stack.endpoints[: AGENTS // 2]:
        endpoint.status = 503
        endpoint.run_ms = 0


def slow_all(stack) -> None:
    for endpoint in stack.endpoints:
        endpoint.run_ms = 2 * RUN_MS


def restore_endpoints(stack) -> None:
    for endpoint in stack.endpoints:
        endpoint.status = 200
        endpoint.run_ms = RUN_MS


async def send_at_rate(stack, duration_ms: int, rng: random.Random) -> list:
    count = RATE * duration_ms // clock_lib.MS_PER_SECOND
    starts = sorted(rng.random() * duration_ms for _ in range(count))

    async def send_one(after_ms: float) -> fakes.CallerResponse:
        await asyncio.sleep(after_ms / clock_lib.MS_PER_SECOND)
        entry = rng.choice(stack.entries)
        return await fakes.send(stack.session, entry, idempotent=True)

    sends = [asyncio.create_task(send_one(start)) for start in starts]
    await asyncio.sleep(clock_lib.seconds(duration_ms))
    return sends


def goodput(responses: list[fakes.CallerResponse]) -> float:
    return sum(response.status == 200 for response in responses) / len(
        responses
    )


@pytest.mark.parametrize("inject_fault", [fail_half, slow_all])
async def test_retries_do_not_make_a_storm(make_stack, inject_fault):
    rng = random.Random(7)
    stack = await make_stack(AGENTS, RUN_MS)
    for entry in stack.entries:
        entry.configure(config.Service(name=fakes.SERVICE, queue_ms=500))
    before = await send_at_rate(stack, BEFORE_MS, rng)
    await asyncio.wait(before)
    inject_fault(stack)
    during_fault = await send_at_rate(stack, FAULT_MS, rng)
    restore_endpoints(stack)
    during_recovery = await send_at_rate(stack, RECOVERY_MS, rng)
    after = await send_at_rate(stack, AFTER_MS, rng)
    responses = await asyncio.gather(
        *before, *during_fault, *during_recovery, *after
    )
    ran = sum(stack.run_counts.values())
    assert (
        max(sum(response.attempts for response in responses), ran)
        / len(responses)
        < 1.2
    )
    assert goodput(responses[: len(before)]) == 1
    assert goodput(responses[-len(after) :]) == 1
