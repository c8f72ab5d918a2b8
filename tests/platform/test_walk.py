"""A job's whole way over the adapter, against a stand-in of the platform."""

import asyncio
import json

import pytest

from tests.platform import conftest as site_lib

JOB = {
    "spec": "text",
    "steps": [
        {"count": 2, "cpu": 500, "memRequestMb": 64, "gpu": 1, "gang": True},
        {"count": 3, "cpu": 500, "memRequestMb": 64, "dependsOn": [0]},
    ],
}
# A task is not started three times more after it has crashed three workers.
MAX_STARTS = 5
ID = "5c0e7a21d94b36f8"
PATH = f"/plan/{ID}"


async def test_job_is_accepted_run_and_completed(site):
    assert await site.call("POST", "callers", PATH, JOB) == (200, {})
    assert await site.call("POST", "callers", PATH, JOB) == (200, {})
    await site.until("GET", "callers", PATH, (200, {"state": "completed"}))
    tasks = [task for task, _ in site.table.starts]
    assert sorted(tasks) == sorted(
        [f"{ID}.0.0.{i}" for i in range(2)]
        + [f"{ID}.0.1.{i}" for i in range(3)]
    )


async def test_ends_are_forgotten_once_they_are_committed(site):
    await site.call("POST", "callers", PATH, JOB)
    await site.until("GET", "callers", PATH, (200, {"state": "completed"}))
    async with asyncio.timeout(5):
        while site.table.lists(1)["finished"]:
            await asyncio.sleep(0.02)


async def test_cancelled_job_leaves_its_worker(site):
    site.table.run_ms = 60_000
    await site.call("POST", "callers", PATH, JOB)
    await site.until("GET", "callers", PATH, (200, {"state": "running"}))
    assert await site.call("DELETE", "callers", PATH) == (200, {})
    await site.until("GET", "callers", PATH, (200, {"state": "cancelled"}))
    async with asyncio.timeout(5):
        while site.table.lists(1)["running"]:
            await asyncio.sleep(0.02)


async def test_task_that_crashes_its_worker_is_given_up_and_no_other(site):
    deadly_id = "9a92c435af42c93e"
    deadly_path = f"/plan/{deadly_id}"
    deadly_task = f"{deadly_id}.0.0.0"
    site.table.deadly = {deadly_task}
    site.table.run_ms = 1_000
    await site.call("POST", "callers", PATH, JOB)
    await site.until("GET", "callers", PATH, (200, {"state": "running"}))
    await site.call("POST", "callers", deadly_path, JOB)
    await site.until("GET", "callers", deadly_path, (200, {"state": "failed"}))
    starts = [task for task, _ in site.table.starts]
    assert 2 <= starts.count(deadly_task) <= MAX_STARTS
    await site.until("GET", "callers", PATH, (200, {"state": "completed"}))


async def test_fill_gives_way_to_a_task_over_its_target(site):
    site.table.run_ms = 60_000
    site.table.loads[f"{ID}.0.0.0"] = 90
    steps = [
        {"count": 1, "cpu": 500, "longRunning": True, "targetMs": 50},
        {"count": 1, "cpu": 500, "fills": True},
    ]
    await site.call("POST", "callers", PATH, {"spec": "", "steps": steps})
    async with asyncio.timeout(10):
        while site.table.paced.get(f"{ID}.0.1.0") != 0:
            await asyncio.sleep(0.02)
    site.table.loads.clear()
    async with asyncio.timeout(10):
        while site.table.paced[f"{ID}.0.1.0"] < 20:
            await asyncio.sleep(0.02)


async def test_evacuated_domain_gets_nothing_until_it_is_back(site):
    zone = "/bilberryroute/evacuate/apapa"
    assert await site.call("POST", "control", zone) == (200, {})
    await site.call("POST", "callers", PATH, JOB)
    await asyncio.sleep(0.6)
    assert site.table.starts == []
    assert await site.call("GET", "callers", "/plan/") == (200, {"pending": 1})
    assert await site.call("DELETE", "control", zone) == (200, {})
    await site.until("GET", "callers", PATH, (200, {"state": "completed"}))


@pytest.mark.parametrize(
    "path, key, status",
    [
        (PATH, "", 401),
        (PATH, "x" * 20, 401),
        ("/other/" + ID, site_lib.KEY, 404),
        (PATH, site_lib.KEY, 410),
    ],
)
async def test_callers_are_refused(site, path, key, status):
    found, _ = await site.call("GET", "callers", path, key=key)
    assert found == status


async def test_invalid_configuration_changes_nothing(site):
    broken = json.dumps(site_lib.CONFIG | {"version": 9}).encode()[:-5]
    config = "/bilberryroute/config"
    status, _ = await site.call("PUT", "control", config, data=broken)
    assert status == 400
    status, held = await site.call("GET", "control", config)
    assert (status, held) == (200, site_lib.CONFIG)


async def test_lower_version_is_acknowledged_and_changes_nothing(site):
    config = "/bilberryroute/config"
    older = site_lib.CONFIG | {"version": 2, "routes": []}
    assert await site.call("PUT", "control", config, older) == (200, {})
    assert await site.call("GET", "control", config) == (200, site_lib.CONFIG)


async def test_entry_is_ready_while_it_hears_the_leader(site):
    await site.until("GET", "readiness", "/bilberryroute/readyz", (200, b""))


async def test_foreign_announcement_is_refused_and_names_no_worker(site):
    status, _ = await site.call(
        "PUT", "worker", "/bilberryroute/instances/i9", {"service": 3}
    )
    assert status == 400
