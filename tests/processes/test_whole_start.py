"""One budget for the whole way back, from the start to the first answer."""

import asyncio
import contextlib
import dataclasses
import random

import aiohttp
import pytest

from bilberryroute import clock as clock_lib
from tests.soak import clients
from tests.soak import site as site_lib

pytestmark = pytest.mark.serial

CLOCK = clock_lib.SystemClock()
# Deadline of a call, from the target; covers all tries together.
CALLER_PATIENCE_MS = 3 * clock_lib.SECOND
# A caller tries a call once and repeats it four times, from the target.
PAUSES_MS = (100, 200, 400, 800)
FIRST_START_MS = 60 * clock_lib.SECOND
SEED = 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """What became of one call.

    Attributes:
      address: The entry called.
      took_ms: Time until the last try ended.
      ends: How each try ended: a status, or why there was none.
    """

    address: str
    took_ms: int = 0
    ends: list[str] = dataclasses.field(default_factory=list)


async def submit(
    session: aiohttp.ClientSession, address: str, began_ms: int, job_id: str
) -> Call:
    """Submits a job to one entry as a caller does, with its few tries."""
    call = Call(address=address)
    for pause_ms in (*PAUSES_MS, 0):
        left_ms = began_ms + CALLER_PATIENCE_MS - CLOCK.now()
        if left_ms <= 0:
            break
        call.ends.append(await try_once(session, address, job_id, left_ms))
        call.took_ms = CLOCK.now() - began_ms
        if call.ends[-1] == "200":
            break
        await asyncio.sleep(clock_lib.seconds(pause_ms))
    return call


async def try_once(
    session: aiohttp.ClientSession, address: str, job_id: str, left_ms: int
) -> str:
    headers = {
        "Host": clients.HOST,
        "Authorization": f"Bearer {clients.KEY}",
        "X-Deadline-Ms": str(left_ms),
    }
    body = {"spec": "berth", "steps": clients.STEPS[0]}
    timeout = aiohttp.ClientTimeout(total=clock_lib.seconds(left_ms))
    url = f"http://{address}/rosters/{job_id}"
    try:
        async with session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as resp:
            await resp.read()
            return str(resp.status)
    except (aiohttp.ClientError, TimeoutError) as exc:
        return type(exc).__name__


@contextlib.asynccontextmanager
async def running_site(folder, session):
    """A deployment in use, which was started for the first time."""
    site = site_lib.Site(folder, site_lib.Layout())
    try:
        await site.open_links()
        site.start_all()
        await site.until_listening(FIRST_START_MS)
        operator = clients.Operator(
            site.control_addresses(), random.Random(SEED), session, CLOCK
        )
        async with asyncio.timeout(clock_lib.seconds(FIRST_START_MS)):
            await operator.change(1)
        site.end_founding()
        yield site
    finally:
        await site.close()


async def test_callers_are_answered_in_their_time_after_all_start_again(
    tmp_path,
):
    async with (
        aiohttp.ClientSession() as session,
        running_site(tmp_path, session) as site,
    ):
        site.kill_all()
        site.start_all()
        began_ms = CLOCK.now()
        calls = await asyncio.gather(
            *(
                submit(session, address, began_ms, f"{number:016x}")
                for number, address in enumerate(
                    site.direct_callers_addresses()
                )
            )
        )
        unanswered = [call for call in calls if call.ends[-1] != "200"]
        assert not unanswered, str(calls)
        assert max(call.took_ms for call in calls) <= CALLER_PATIENCE_MS
