"""Two regions part for longer than every lease, and find each other again."""

import asyncio

import pytest

from bilberryroute import clock as clock_lib
from extras import cluster as cluster_lib
from tests.processes import operators
from tests.processes import wires

pytestmark = pytest.mark.serial

REGIONS = {"apapa": "south", "tincan": "south", "lekki": "north"}
LAYOUT = cluster_lib.Layout(
    # The second entry runs in the second of these domains' region.
    domains=("apapa", "lekki", "tincan"),
    workers=1,
    endpoints=0,
)
LONG_JOB = "planned-run120000"
OUT_BOUND_MS = 3_000
IN_FORCE_MS = 7_000
# Agent's lease, its task's lease, and the worker's round.
FENCED_MS = 14_000
STEP_MS = 20_000
# A watch times out after 1.5 s, and the leader is avoided for 3 s then.
FOUND_AGAIN_MS = 6_000
CLOCK = clock_lib.SystemClock()


def starts_in(cluster, domain: str, since: int) -> list:
    """Returns the tasks that started in a failure domain since an instant."""
    return [
        line
        for line in cluster.all_written("w")
        if line.event == "start"
        and line.failure_domain == domain
        and line.monotonic_ms >= since
    ]


async def has_ended(cluster, job_id: str) -> bool:
    """Returns whether a task of a job has ended."""
    return any(
        line.event == "end" and line.subject == job_id
        for line in cluster.all_written("w")
    )


async def sleep_until(instant: int) -> None:
    """Waits for a reading of the clock."""
    await asyncio.sleep(clock_lib.seconds(max(0, instant - CLOCK.now())))


@pytest.fixture
async def parted(launch_wired):
    """A system whose northern region runs one long job, not parted yet."""
    relays = wires.RegionWires(REGIONS)
    cluster, _ = await launch_wired(LAYOUT, relays)
    operator = operators.Operator(cluster)
    await operator.configure()
    shape = {"failure_domain": "lekki"}
    await operator.submit(LONG_JOB, 4, shape=shape, declared_ms=120_000)
    await operator.until_phase(LONG_JOB, "running")
    return cluster, relays, operator


async def revision_of(cluster, entry: str) -> int:
    """Returns the configuration revision that an entry has in force."""
    answer = await cluster.get(entry, "/v1/configuration")
    return answer.json()["revision"] if answer else -1


async def test_only_the_majority_side_decides_while_regions_are_parted(parted):
    cluster, relays, operator = parted
    relays.cut()
    cut_at = CLOCK.now()
    await operator.submit("south-run1000", 4, shape={"failure_domain": "apapa"})
    await cluster_lib.until(
        lambda: has_ended(cluster, "south-run1000"), STEP_MS, "a southern job"
    )

    # The northern side accepts nothing and says so.
    ticket = {"number": operator.number + 1, "accounts": [{"name": "late"}]}
    refused = await cluster.post("e2", "/v1/tickets", ticket)
    assert refused is not None and refused.status == 503, refused
    # The same number is free for the majority side.
    out_at = await operator.set_domain("lekki", in_service=False)

    # Nothing starts there any more, and what ran ends with its lease.
    await sleep_until(cut_at + FENCED_MS)
    assert not starts_in(cluster, "lekki", since=out_at + OUT_BOUND_MS)
    assert await has_ended(cluster, LONG_JOB)

    relays.heal()
    number = operator.number

    async def caught_up() -> bool:
        return await revision_of(cluster, "e2") == number

    await cluster_lib.until(caught_up, IN_FORCE_MS, "revision in the north")
    assert not starts_in(cluster, "lekki", since=out_at + OUT_BOUND_MS)
    back_at = await operator.set_domain("lekki", in_service=True)

    async def restarted() -> bool:
        return bool(starts_in(cluster, "lekki", since=back_at))

    await cluster_lib.until(restarted, FENCED_MS, "the job starts again")
    assert not await cluster.broken()


async def test_entry_finds_the_leader_again_after_all_its_connections_go_silent(
    parted,
):
    cluster, relays, _ = parted
    relays.silence_connections()
    await asyncio.sleep(1)
    relays.heal()

    async def answers() -> bool:
        answer = await cluster.get("e2", "/v1/status")
        return answer is not None and answer.status == 200

    await cluster_lib.until(answers, FOUND_AGAIN_MS, "e2 finds the leader")
