"""How long calls wait for a leader is measured by how the wait ends."""

import asyncio
import logging

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import starting
from bilberryroute.entry import control as control_lib
from bilberryroute.model import batch
from bilberryroute.model import control
from tests.entry import test_call_failures

build = test_call_failures.build
Replica = test_call_failures.Replica
ADDRESS = test_call_failures.ADDRESS
SHORT_MS = clock_lib.Millis(300)


def counted(site, outcome):
    line = f'leader_wait_ms_count{{outcome="{outcome}"}} 1'
    return line in site.rendered()


@pytest.fixture
def waits(caplog):
    """The log lines of calls that were answered after a wait."""
    caplog.set_level(logging.INFO)
    return lambda: [
        record
        for record in caplog.records
        if "call waited for the leader" in record.getMessage()
    ]


async def test_call_that_finds_the_leader_at_once_is_no_wait(build, waits):
    site = await build(r1=Replica())
    await site.client.look_up(ADDRESS, test_call_failures.WITHIN_MS)
    assert "leader_wait_ms_count{" not in site.rendered()
    assert not waits()


async def test_call_answered_after_an_election_says_how_long_it_waited(
    build, waits
):
    replica = Replica(leader_id="r9")
    site = await build(r1=replica)
    call = asyncio.create_task(
        site.client.look_up(ADDRESS, test_call_failures.WITHIN_MS)
    )
    await asyncio.sleep(clock_lib.seconds(SHORT_MS))
    replica.leader_id = ""
    await call
    assert counted(site, "answered")
    (line,) = waits()
    assert SHORT_MS <= line.took_ms < test_call_failures.WITHIN_MS
    assert [each["failure"] for each in line.tries] == ["not_leader"]


async def test_call_refused_after_an_election_counts_as_answered(build):
    leader = Replica()
    leader.reply = control.Reply(
        error=control.ErrorReply(
            kind="not_found",
            message="no such queue",
            remedy="",
            leader_id="r2",
            retry_after_ms=None,
        )
    )
    site = await build(r1=Replica(leader_id="r2"), r2=leader)
    with pytest.raises(errors.NotFound):
        await site.client.look_up(ADDRESS, test_call_failures.WITHIN_MS)
    assert counted(site, "answered")


async def test_call_without_a_leader_counts_as_unavailable(build, waits):
    site = await build(r1=Replica(leader_id="r9"))
    with pytest.raises(errors.Unavailable):
        await site.client.look_up(ADDRESS, SHORT_MS)
    assert counted(site, "unavailable")
    assert not waits()


async def test_submission_to_a_silent_leader_counts_as_commit_unknown(build):
    site = await build(r1=Replica(silent=True))
    content = batch.Content(payload="", steps=())
    with pytest.raises(errors.CommitUnknown):
        await site.client.submit(ADDRESS, content, SHORT_MS)
    assert counted(site, "commit_unknown")


async def test_call_that_is_given_up_during_the_wait_counts_as_left(build):
    site = await build(r1=Replica(leader_id="r9"))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(clock_lib.seconds(SHORT_MS)):
            await site.client.look_up(ADDRESS, test_call_failures.WITHIN_MS)
    assert counted(site, control_lib.LEFT)


async def test_refusal_is_a_first_answer(build):
    leader = Replica()
    leader.reply = control.Reply(
        error=control.ErrorReply(
            kind="gone",
            message="there is no such job",
            remedy="",
            leader_id="r1",
            retry_after_ms=None,
        )
    )
    site = await build(r1=leader)
    site.metrics.began_ms = test_call_failures.CLOCK.now()
    with pytest.raises(errors.Gone):
        await site.client.look_up(ADDRESS, SHORT_MS)
    assert site.metrics.start_parts == {starting.Part.FIRST_ANSWER}
