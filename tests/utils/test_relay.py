import asyncio
import random

import pytest

from bilberryroute import clock as clock_lib
from tests.utils import relay


async def _echo(reader, writer):
    while content := await reader.read(1_024):
        writer.write(content)
        await writer.drain()
    writer.close()


class _EchoDatagrams(asyncio.DatagramProtocol):

    def connection_made(self, transport):
        """Keeps the transport."""
        self.transport = transport

    def datagram_received(self, data, addr):
        """Sends the datagram back."""
        self.transport.sendto(data, addr)


class _Collector(asyncio.DatagramProtocol):

    def __init__(self):
        self.received = []

    def datagram_received(self, data, addr):
        """Keeps the datagram."""
        self.received.append(data)


@pytest.fixture
async def tcp():
    server = await asyncio.start_server(_echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    tcp_relay = relay.TcpRelay(f"127.0.0.1:{port}", random.Random(1))
    await tcp_relay.start()
    yield tcp_relay
    await tcp_relay.stop()
    server.close()


@pytest.fixture
async def udp():
    loop = asyncio.get_running_loop()
    server, _ = await loop.create_datagram_endpoint(
        _EchoDatagrams, local_addr=("127.0.0.1", 0)
    )
    port = server.get_extra_info("sockname")[1]
    udp_relay = relay.UdpRelay(f"127.0.0.1:{port}", random.Random(1))
    host, _, port = (await udp_relay.start()).rpartition(":")
    client, collector = await loop.create_datagram_endpoint(
        _Collector, remote_addr=(host, int(port))
    )
    yield udp_relay, client, collector
    client.close()
    await udp_relay.stop()
    server.close()


async def _connect(tcp_relay):
    host, _, port = tcp_relay.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def _answer(reader, wait_ms=2_000):
    try:
        async with asyncio.timeout(clock_lib.seconds(wait_ms)):
            return await reader.read(1_024)
    except TimeoutError:
        return None


async def test_tcp_passes_and_delays(tcp):
    reader, writer = await _connect(tcp)
    tcp.forward.delay_ms = 30
    tcp.backward.delay_ms = 30
    began = asyncio.get_running_loop().time()
    writer.write(b"x")
    assert await _answer(reader) == b"x"
    assert asyncio.get_running_loop().time() - began >= 0.06


@pytest.mark.parametrize("way", ["forward", "backward"])
async def test_tcp_cut_holds_bytes_until_healed(tcp, way):
    reader, writer = await _connect(tcp)
    tcp.cut(forward=way == "forward", backward=way == "backward")
    writer.write(b"x")
    assert await _answer(reader, 100) is None
    tcp.heal()
    assert await _answer(reader) == b"x"


async def test_tcp_swallowed_connection_stays_silent(tcp):
    reader, writer = await _connect(tcp)
    tcp.backward.swallow = True
    writer.write(b"x")
    assert await _answer(reader, 100) is None
    tcp.heal()
    writer.write(b"y")
    assert await _answer(reader, 100) is None
    fresh_reader, fresh_writer = await _connect(tcp)
    fresh_writer.write(b"z")
    assert await _answer(fresh_reader) == b"z"


async def test_tcp_reset_ends_the_connection(tcp):
    reader, writer = await _connect(tcp)
    tcp.forward.reset = 1
    writer.write(b"x")
    with pytest.raises(ConnectionError):
        if await _answer(reader) == b"":
            raise ConnectionResetError


async def test_udp_drops_its_share(udp):
    udp_relay, client, collector = udp
    udp_relay.forward.loss = 0.5
    for i in range(200):
        client.sendto(b"%d" % i)
    async with asyncio.timeout(5):
        while len(collector.received) < 50:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    assert 50 <= len(collector.received) <= 150


async def test_udp_cut_and_heal(udp):
    udp_relay, client, collector = udp
    udp_relay.cut(forward=False, backward=True)
    client.sendto(b"lost")
    await asyncio.sleep(0.1)
    udp_relay.heal()
    client.sendto(b"kept")
    async with asyncio.timeout(5):
        while not collector.received:
            await asyncio.sleep(0.01)
    assert collector.received == [b"kept"]
