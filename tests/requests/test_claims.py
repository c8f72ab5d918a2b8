import asyncio
import json
import uuid

from bilberryroute import errors
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.routing import outcomes
from tests.requests import fakes

NOW_MS = 1_700_000_000_000


async def test_claim_of_an_earlier_incarnation_is_never_run(make_stack):
    stack = await make_stack(1)
    view = stack.agents[0].views()[0]
    await stack.log.propose(
        commands.ClaimRequest(
            request_id="r1",
            account="trust",
            service=fakes.SERVICE,
            fingerprint=outcomes.fingerprint(
                fakes.SERVICE, "application/octet-stream", b"a"
            ),
            agent=view.agent,
            incarnation=view.incarnation,
            endpoint=view.name,
            keep_ms=1,
            at_ms=0,
        )
    )
    await stack.kill_agent(0)
    await stack.restart_agent(0)
    response = await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    assert response.outcome == "unknown"
    assert stack.run_counts["r1"] == 0


async def test_claim_after_the_restart_goes_to_the_new_incarnation(make_stack):
    stack = await make_stack(1)
    old = stack.agents[0].views()
    await stack.kill_agent(0)
    await stack.restart_agent(0)
    stack.entries[0].publish_endpoints(*old)
    response = await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    assert (response.outcome, stack.run_counts["r1"]) == ("answered", 1)


async def test_refused_claim_is_closed_at_the_agent(make_stack):
    """A refusal leads to the next claim, so the first must never be run."""
    stack = await make_stack(1)
    agent = stack.agents[0]
    announced = agent.board.announcements.get()
    agent.board.announcements.set({})
    response = await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    assert response.outcome == "not_run"
    agent.board.announcements.set(announced)
    await asyncio.sleep(0.6)
    again = await fakes.send(stack.session, stack.entries[1], "r1", b"a")
    assert again.outcome == "not_run"
    assert json.loads(again.body)["remedy"] == outcomes.NEW_ID_REMEDY
    assert stack.run_counts["r1"] == 0


async def test_unknown_commit_is_claimed_again_and_run_once(make_stack):
    stack = await make_stack(1)
    stack.log.failures = [
        errors.CommitUnknown("lost"),
        errors.Unavailable("no leader"),
    ]
    response = await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    assert (response.outcome, stack.run_counts["r1"]) == ("answered", 1)


async def test_unreachable_log_is_not_run_only_if_sent_once(make_stack):
    stack = await make_stack(1)
    stack.log.failures = [errors.Unavailable("no leader")] * 99
    first = await fakes.send(
        stack.session, stack.entries[0], body=b"a", deadline_ms="200"
    )
    assert (first.status, first.outcome) == (503, "not_run")
    resent = await fakes.send(
        stack.session, stack.entries[0], "r1", b"a", deadline_ms="200"
    )
    assert resent.outcome == "unknown"


async def test_answer_is_kept_then_refused_with_a_type(make_stack):
    stack = await make_stack(1)
    agent = stack.agents[0]
    agent.board.services.set(
        {fakes.SERVICE: config.Service(name=fakes.SERVICE, answer_kept_ms=50)}
    )
    await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    await asyncio.sleep(0.1)
    late = await fakes.send(stack.session, stack.entries[1], "r1", b"a")
    assert (late.status, late.outcome) == (410, "unknown")
    assert stack.run_counts["r1"] == 1


def test_ids_contain_their_creation_time():
    request_id = outcomes.new_id(NOW_MS, (1 << 74) - 1)
    assert uuid.UUID(request_id).version == 7
    assert outcomes.id_timestamp_ms(request_id) == NOW_MS
    assert outcomes.id_timestamp_ms("r1") is None


async def test_old_and_future_ids_are_refused(make_stack):
    stack = await make_stack(1)
    for wall_ms, status in ((NOW_MS, 410), (10 * NOW_MS, 400)):
        request_id = outcomes.new_id(wall_ms, 1)
        response = await fakes.send(
            stack.session, stack.entries[0], request_id, b"a"
        )
        assert response.status == status
        assert stack.run_counts[request_id] == 0


async def test_entry_without_the_service_proves_nothing(make_stack):
    stack = await make_stack(1)
    entry = stack.entries[0]
    for configuration, status in (
        (config.Configuration(), 503),
        (config.Configuration(revision=2), 404),
    ):
        entry.board.configuration.set(configuration)
        response = await fakes.send(stack.session, entry, "r1")
        assert (response.status, response.outcome) == (status, "unknown")
        response = await fakes.send(stack.session, entry)
        assert (response.status, response.outcome) == (status, "not_run")
