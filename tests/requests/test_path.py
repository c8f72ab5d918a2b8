import asyncio
import json

from tests.requests import fakes


async def test_idempotent_request_is_answered(make_stack):
    stack = await make_stack()
    response = await fakes.send(
        stack.session, stack.entries[0], "r1", b"hello", idempotent=True
    )
    assert (response.status, response.outcome) == (200, "answered")
    assert response.body == b"r1:hello"
    assert response.attempts == 1
    assert stack.log.proposals == 0


async def test_resend_through_other_entry_gets_same_answer(make_stack):
    stack = await make_stack()
    first = await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    again = await fakes.send(stack.session, stack.entries[1], "r1", b"a")
    assert first.outcome == again.outcome == "answered"
    assert first.body == again.body == b"r1:a"
    assert stack.run_counts["r1"] == 1


async def test_resend_while_running_waits_for_the_same_answer(make_stack):
    stack = await make_stack(run_ms=700, probe_ms=100)
    responses = await asyncio.gather(
        *(
            fakes.send(stack.session, entry, "r1", b"a")
            for entry in stack.entries
        )
    )
    assert {response.body for response in responses} == {b"r1:a"}
    assert stack.run_counts["r1"] == 1


async def test_generated_id_is_returned_and_other_content_refused(make_stack):
    stack = await make_stack()
    first = await fakes.send(stack.session, stack.entries[0], body=b"a")
    other = await fakes.send(
        stack.session, stack.entries[1], first.request_id, b"b"
    )
    assert first.outcome == "answered"
    assert (other.status, other.outcome) == (409, "not_run")
    assert json.loads(other.body)["kind"] == "request_conflict"
    assert stack.run_counts[first.request_id] == 1
