"""Load generator: callers that resend until the outcome is known.

The responses are then checked against the actual runs.
"""

import asyncio
import collections
import dataclasses
import random

import aiohttp

from bilberryroute import clock as clock_lib
from tests.requests import fakes

SENDS_MAX = 6
CONCURRENT_SEND_RATIO = 0.1
RESEND_DELAY_MS = 30


@dataclasses.dataclass
class ResponseLog:
    """Responses that callers received, by request id.

    Attributes:
      idempotent: Whether each request is idempotent.
      sends_without_response: Number of sends that ended without a response.
    """

    responses: dict[str, list[fakes.CallerResponse]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    idempotent: dict[str, bool] = dataclasses.field(default_factory=dict)
    sends_without_response: int = 0

    def outcomes(self) -> collections.Counter:
        """Counts the requests by their last outcome."""
        return collections.Counter(
            responses[-1].outcome if responses else "none"
            for responses in self.responses.values()
        )

    def violations(self, run_counts: collections.Counter) -> list[str]:
        """Returns the responses that contradict the actual runs."""
        violations = []
        for request_id, responses in self.responses.items():
            runs = run_counts[request_id]
            outcomes = {response.outcome for response in responses}
            if runs > 1 and not self.idempotent[request_id]:
                violations.append(f"{request_id} ran {runs} times")
            if "not_run" in outcomes and runs:
                violations.append(f"{request_id} got not_run, runs: {runs}")
            if {"not_run", "answered"} <= outcomes:
                violations.append(f"{request_id} got both not_run and answered")
            for response in responses:
                expected_body = f"body of {request_id}".encode()
                if (
                    response.outcome == "answered"
                    and response.body.split(b":")[-1].strip() != expected_body
                ):
                    violations.append(
                        f"{request_id} was answered {response.body[:80]!r}"
                    )
        return violations


async def run(
    stack,
    count: int,
    seed: int,
    *,
    concurrency: int = 16,
    idempotent_ratio: float = 0.3,
    deadline_ms: int = 3_000,
) -> ResponseLog:
    """Sends and resends `count` requests through both entries."""
    log = ResponseLog()
    rng = random.Random(seed)
    semaphore = asyncio.Semaphore(concurrency)

    async def run_one(request_id: str) -> None:
        async with semaphore:
            await _send_until_known(stack, log, rng, request_id, deadline_ms)

    for i in range(count):
        request_id = f"r{seed}-{i}"
        log.idempotent[request_id] = rng.random() < idempotent_ratio
    await asyncio.gather(*(run_one(r) for r in log.idempotent))
    return log


async def _send_until_known(
    stack,
    log: ResponseLog,
    rng: random.Random,
    request_id: str,
    deadline_ms: int,
) -> None:
    responses = log.responses[request_id]
    for _ in range(SENDS_MAX):
        entries = rng.sample(stack.entries, 2)
        if rng.random() >= CONCURRENT_SEND_RATIO:
            entries.pop()
        sends = [
            _send(stack, log, entry, request_id, deadline_ms)
            for entry in entries
        ]
        responses += [
            response
            for response in await asyncio.gather(*sends)
            if response is not None
        ]
        if any(
            response.outcome in ("answered", "not_run")
            for response in responses
        ):
            return
        delay_ms = RESEND_DELAY_MS * (1 + rng.random())
        await asyncio.sleep(clock_lib.seconds(delay_ms))


async def _send(
    stack,
    log: ResponseLog,
    entry: fakes.EntryProcess,
    request_id: str,
    deadline_ms: int,
) -> fakes.CallerResponse | None:
    try:
        return await fakes.send(
            stack.session,
            entry,
            request_id,
            f"body of {request_id}".encode(),
            idempotent=log.idempotent[request_id],
            deadline_ms=str(deadline_ms),
        )
    except (aiohttp.ClientError, OSError):
        log.sends_without_response += 1
        return None
