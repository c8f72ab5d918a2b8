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
CAUSE_MS = 2_500
RECOVERY_MS = 2_500
AFTER_MS = 1_000


def fail_half(stack) -> None:
    for endpoint in stack.endpoints[: AGENTS // 2]:
        endpoint.status = 503
        endpoint.run_ms = 0


def slow_all(stack) -> None:
    for endpoint in stack.endpoints:
        endpoint.run_ms = 2 * RUN_MS


def mend(stack) -> None:
    for endpoint in stack.endpoints:
        endpoint.status = 200
        endpoint.run_ms = RUN_MS


async def offer(stack, duration_ms: int, rng: random.Random) -> list:
    count = RATE * duration_ms // clock_lib.MS_PER_SECOND
    starts = sorted(rng.random() * duration_ms for _ in range(count))

    async def one(after_ms: float) -> fakes.CallerResponse:
        await asyncio.sleep(after_ms / clock_lib.MS_PER_SECOND)
        entry = rng.choice(stack.entries)
        return await fakes.send(stack.session, entry, idempotent=True)

    sending = [asyncio.create_task(one(start)) for start in starts]
    await asyncio.sleep(clock_lib.seconds(duration_ms))
    return sending


def goodput(responses: list[fakes.CallerResponse]) -> float:
    return sum(t.status == 200 for t in responses) / len(responses)


@pytest.mark.parametrize("cause", [fail_half, slow_all])
async def test_retries_do_not_make_a_storm(make_stack, cause):
    rng = random.Random(7)
    stack = await make_stack(AGENTS, RUN_MS)
    for entry in stack.entries:
        entry.configure(config.Service(name=fakes.SERVICE, queue_ms=500))
    before = await offer(stack, BEFORE_MS, rng)
    await asyncio.wait(before)
    cause(stack)
    during = await offer(stack, CAUSE_MS, rng)
    mend(stack)
    recovering = await offer(stack, RECOVERY_MS, rng)
    after = await offer(stack, AFTER_MS, rng)
    responses = await asyncio.gather(*before, *during, *recovering, *after)
    ran = sum(stack.run_counts.values())
    assert max(sum(t.attempts for t in responses), ran) / len(responses) < 1.2
    assert goodput(responses[: len(before)]) == 1
    assert goodput(responses[-len(after) :]) == 1
