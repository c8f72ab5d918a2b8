import asyncio
import json

from tests.requests import fakes


async def test_idempotent_request_is_answered(make_stack):
    stack = await make_stack()
    told = await fakes.send(
        stack.session, stack.entries[0], "r1", b"hello", idempotent=True
    )
    assert (told.status, told.outcome) == (200, "answered")
    assert told.body == b"r1:hello"
    assert told.attempts == 1
    assert stack.log.proposals == 0


async def test_resend_through_other_entry_gets_same_answer(make_stack):
    stack = await make_stack()
    first = await fakes.send(stack.session, stack.entries[0], "r1", b"a")
    again = await fakes.send(stack.session, stack.entries[1], "r1", b"a")
    assert first.outcome == again.outcome == "answered"
    assert first.body == again.body == b"r1:a"
    assert stack.ran["r1"] == 1


async def test_resend_while_running_waits_for_the_same_answer(make_stack):
    stack = await make_stack(run_ms=700, probe_ms=100)
    told = await asyncio.gather(
        *(
            fakes.send(stack.session, entry, "r1", b"a")
            for entry in stack.entries
        )
    )
    assert {t.body for t in told} == {b"r1:a"}
    assert stack.ran["r1"] == 1


async def test_made_id_is_returned_and_other_content_refused(make_stack):
    stack = await make_stack()
    first = await fakes.send(stack.session, stack.entries[0], body=b"a")
    other = await fakes.send(
        stack.session, stack.entries[1], first.request_id, b"b"
    )
    assert first.outcome == "answered"
    assert (other.status, other.outcome) == (409, "not_run")
    assert json.loads(other.body)["kind"] == "request_conflict"
    assert stack.ran[first.request_id] == 1
