"""Each process says how long the parts of its start took."""

import asyncio

import pytest

from bilberryroute import settings
from bilberryroute import starting
from tests.platform import conftest as site_lib

PATH = "/plan/5c0e7a21d94b36f8"
JOB = {"spec": "text", "steps": [{"count": 1, "cpu": 500, "memRequestMb": 64}]}


async def test_entry_says_when_it_heard_and_first_used_a_leader(site):
    assert await site.call("POST", "callers", PATH, JOB) == (200, {})
    entry = site.processes[settings.ProcessRole.ENTRY]
    async with asyncio.timeout(site_lib.DEADLINE_S):
        while entry.metrics.start_parts != set(starting.Part):
            await asyncio.sleep(0.02)
    text = entry.metrics.render()[0].decode()
    for part in starting.Part:
        assert f'bilberryroute_start_ms{{part="{part}"}}' in text


@pytest.mark.parametrize("role", list(settings.ProcessRole))
async def test_each_role_says_when_it_serves(site, role):
    parts = site.processes[role].metrics.start_parts
    assert {starting.Part.LOADED, starting.Part.SERVING} <= parts
