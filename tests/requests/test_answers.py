import asyncio
import tracemalloc

import aiohttp
import pytest

from tests.requests import fakes

LONG_BYTES = 24 * 1_024 * 1_024
BUFFERED_BYTES_MAX = 4 * 1_024 * 1_024
LONG = bytes(range(256)) * (LONG_BYTES // 256)


class RawEndpoint:
    """Endpoint that sends the given raw answers in turn."""

    def __init__(self, *answers: bytes):
        self.answers = answers
        self.requests_received = 0

    async def handle(self, reader, writer) -> None:
        """Reads one request and sends the next answer."""
        await reader.readuntil(b"\r\n\r\n")
        answer = self.answers[self.requests_received % len(self.answers)]
        self.requests_received += 1
        writer.write(answer)
        await writer.drain()
        writer.close()


def raw_answer(headers: str, body: bytes) -> bytes:
    return f"HTTP/1.1 200 OK\r\n{headers}\r\n\r\n".encode() + body


VALID_ANSWER = raw_answer("Content-Length: 2", b"ok")


@pytest.fixture
async def raw_stack(make_stack):
    stack = await make_stack(1)
    servers = []

    async def make(*answers: bytes):
        endpoint = RawEndpoint(*answers)
        server = await asyncio.start_server(endpoint.handle, "127.0.0.1", 0)
        servers.append(server)
        host, port = server.sockets[0].getsockname()
        stack.agents[0].announce(
            stack.endpoints[0], address=f"{host}:{port}", answers_probes=False
        )
        return stack, endpoint

    yield make
    for server in servers:
        server.close()


@pytest.mark.parametrize(
    "bad",
    [
        raw_answer("Content-Length: 9", b"short"),
        raw_answer("Transfer-Encoding: chunked", b"5\r\nshort\r\n"),
        raw_answer("Server: x", b"unframed"),
        raw_answer(
            "Content-Length: 5\r\nBilberryroute-Request-Id: other", b"other"
        ),
        b"",
        b"nonsense\r\n\r\n",
    ],
    ids=["short", "cut_chunks", "unframed", "mismatched", "nothing", "junk"],
)
async def test_bad_answer_is_never_passed_on(raw_stack, bad):
    stack, endpoint = await raw_stack(bad, VALID_ANSWER)
    response = await fakes.send(
        stack.session, stack.entries[0], idempotent=True
    )
    assert (response.outcome, response.body, response.attempts) == (
        "answered",
        b"ok",
        2,
    )
    stack, endpoint = await raw_stack(bad, VALID_ANSWER)
    response = await fakes.send(stack.session, stack.entries[0], "r1")
    assert (response.status, response.outcome) == (502, "unknown")
    assert endpoint.requests_received == 1


async def test_answer_sent_twice_reaches_one_caller_only(raw_stack):
    first = raw_answer("Content-Length: 5", b"first")
    stack, _ = await raw_stack(first + first, VALID_ANSWER)
    for expected in (b"first", b"ok"):
        response = await fakes.send(stack.session, stack.entries[0])
        assert response.body == expected


async def test_long_answer_is_whole_in_bounded_memory(make_stack):
    stack = await make_stack(1, relayed=True, probe_timeout_ms=300)
    stack.endpoints[0].padding = LONG
    entry = stack.entries[0]
    resp = await fakes.post(stack.session, entry, "r1")
    received = await resp.content.readexactly(len("r1:x"))
    assert received == b"r1:x"
    # The caller stops reading, so the entry must not buffer the answer.
    tracemalloc.start()
    await asyncio.sleep(0.3)
    buffered_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    stack.to_agents[0].reset_connections()
    assert buffered_bytes < BUFFERED_BYTES_MAX
    assert await resp.read() == LONG


async def test_long_answer_that_cannot_be_whole_is_cut_off(make_stack):
    stack = await make_stack(1)
    stack.endpoints[0].padding = LONG
    resp = await fakes.post(stack.session, stack.entries[0], "r1")
    await stack.kill_agent(0)
    with pytest.raises(aiohttp.ClientPayloadError):
        await resp.read()


async def test_error_of_an_endpoint_is_retried_then_passed_on(make_stack):
    stack = await make_stack(2)
    stack.endpoints[0].status = 500
    responses = [
        await fakes.send(stack.session, stack.entries[0], idempotent=True)
        for _ in range(20)
    ]
    assert {each.status for each in responses} == {200}
    stack.endpoints[1].status = 500
    response = await fakes.send(
        stack.session, stack.entries[0], idempotent=True
    )
    assert (response.status, response.outcome) == (500, "answered")
    response = await fakes.send(stack.session, stack.entries[0], "r1")
    assert (response.status, response.outcome, stack.run_counts["r1"]) == (
        500,
        "answered",
        1,
    )
