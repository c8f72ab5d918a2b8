"""One renewal and its grant over each carrier: processor time of both ends."""

import asyncio
import time
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import grpc

from benchmarks import lease_agents
from bilberryroute import clock as clock_lib
from bilberryroute.model import wire
from bilberryroute.transport import codec

SERVICE = "bench.Leases"
WARM_UP = 200
US_PER_SECOND = 1_000_000

_renewals = codec.Decoder(wire.Renewal)
_grants = codec.Decoder(wire.Grant)

Exchange = Callable[[bytes], Awaitable[bytes]]


def answer(payload: bytes) -> bytes:
    """Returns the grant of one renewal, both encoded."""
    renewal = _renewals.decode(payload)
    grant = wire.Grant(
        term=3,
        echo_ms=renewal.sent_ms,
        lease_ms=2_200,
        leader_id="r1",
        replicas={f"r{n}": f"10.0.0.{n}:7072" for n in (1, 2, 3)},
        desired=None,
    )
    return codec.encode(grant)


async def time_exchanges(exchange: Exchange, count: int) -> float:
    """Returns the processor time of one exchange in microseconds."""
    agent = lease_agents.StandInAgent("s0001", clock_lib.SystemClock())

    async def run(times: int) -> None:
        for _ in range(times):
            reply = await exchange(codec.encode(agent.renewal()))
            agent.keeper.accept(_grants.decode(reply))

    await run(WARM_UP)
    began = time.process_time()
    await run(count)
    return (time.process_time() - began) * US_PER_SECOND / count


class _Answering(asyncio.DatagramProtocol):

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        self._transport.sendto(answer(data), addr)


class _Asking(asyncio.DatagramProtocol):

    def __init__(self):
        self.reply: asyncio.Future[bytes] | None = None

    def datagram_received(self, data, addr):
        self.reply.set_result(data)


async def datagrams(count: int) -> float:
    """Times exchanges by datagram."""
    loop = asyncio.get_running_loop()
    server, _ = await loop.create_datagram_endpoint(
        _Answering, local_addr=("127.0.0.1", 0)
    )
    client, asking = await loop.create_datagram_endpoint(
        _Asking, remote_addr=server.get_extra_info("sockname")
    )

    async def exchange(payload: bytes) -> bytes:
        asking.reply = loop.create_future()
        client.sendto(payload)
        return await asking.reply

    try:
        return await time_exchanges(exchange, count)
    finally:
        client.close()
        server.close()


async def _unary(payload: bytes, context: object) -> bytes:
    return answer(payload)


async def _stream(
    requests: AsyncIterator[bytes], context: object
) -> AsyncIterator[bytes]:
    async for payload in requests:
        yield answer(payload)


async def _grpc_server() -> tuple[grpc.aio.Server, grpc.aio.Channel]:
    server = grpc.aio.server()
    handlers = {
        "Unary": grpc.unary_unary_rpc_method_handler(_unary),
        "Stream": grpc.stream_stream_rpc_method_handler(_stream),
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE, handlers),)
    )
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    return server, grpc.aio.insecure_channel(f"127.0.0.1:{port}")


async def grpc_unary(count: int) -> float:
    """Times exchanges by one gRPC call each."""
    server, channel = await _grpc_server()
    call = channel.unary_unary(f"/{SERVICE}/Unary")

    async def exchange(payload: bytes) -> bytes:
        return await call(payload)

    try:
        return await time_exchanges(exchange, count)
    finally:
        await channel.close()
        await server.stop(None)


async def grpc_stream(count: int) -> float:
    """Times exchanges by messages on one open gRPC stream."""
    server, channel = await _grpc_server()
    call = channel.stream_stream(f"/{SERVICE}/Stream")()

    async def exchange(payload: bytes) -> bytes:
        await call.write(payload)
        return await call.read()

    try:
        return await time_exchanges(exchange, count)
    finally:
        call.cancel()
        await channel.close()
        await server.stop(None)


async def compare(count: int) -> dict[str, float]:
    """Returns microseconds an exchange, by carrier."""
    return {
        "datagram": await datagrams(count),
        "grpc_stream": await grpc_stream(count),
        "grpc_unary": await grpc_unary(count),
    }
