"""Relays on loopback that delay, lose, cut and swallow traffic, by seed."""

import asyncio
import contextlib
import random
from dataclasses import dataclass

from bilberryroute import clock as clock_lib

_CHUNK_BYTES = 65_536
_POLL_MS = 5
_RETRANSMIT_MS = 200


@dataclass(slots=True, kw_only=True)
class Faults:
    """What happens to the traffic of one direction; change it at any time.

    Attributes:
      delay_ms: Added to each chunk or datagram.
      first_delay_ms: Added to the first chunk of a TCP connection.
      jitter_ms: Largest random addition to the delay.
      loss: Share of datagrams dropped; share of TCP chunks that come late by
        a retransmission.
      reset: Share of TCP chunks at which the connection is reset.
      duplicate: Share of datagrams sent twice.
      cut: Nothing passes: TCP bytes wait as unacknowledged ones do,
        datagrams are dropped.
      swallow: Bytes and datagrams vanish while the sender sees no error; a
        TCP connection that lost bytes never carries any again.
    """

    delay_ms: float = 0
    first_delay_ms: float = 0
    jitter_ms: float = 0
    loss: float = 0
    reset: float = 0
    duplicate: float = 0
    cut: bool = False
    swallow: bool = False

    def draw_delay_ms(self, rng: random.Random) -> float:
        """Returns the delay of one chunk or datagram, in milliseconds."""
        return self.delay_ms + self.jitter_ms * rng.random()


class _Relay:
    """What both relays share.

    Attributes:
      address: Where the relay listens, once started.
      forward: Faults from the clients to the target.
      backward: Faults from the target to the clients.
    """

    def __init__(self, target: str, rng: random.Random):
        self.target = target
        self.address = ""
        self.forward = Faults()
        self.backward = Faults()
        self._rng = rng

    def cut(self, *, forward: bool = True, backward: bool = True) -> None:
        """Stops one direction or both."""
        self.forward.cut = forward
        self.backward.cut = backward

    def heal(self) -> None:
        """Ends all faults."""
        self.forward = Faults()
        self.backward = Faults()


class TcpRelay(_Relay):
    """Relay of TCP connections."""

    def __init__(self, target: str, rng: random.Random):
        super().__init__(target, rng)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, listen: str = "127.0.0.1:0") -> str:
        """Starts to listen; returns the address."""
        host, port = _split(listen)
        self._server = await asyncio.start_server(self._accept, host, port)
        self.address = _join(self._server.sockets[0].getsockname())
        return self.address

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._server.close()
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_connections(self) -> None:
        """Resets all connections at once."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._join_streams(reader, writer)
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _join_streams(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = _split(self.target)
        target_reader, target_writer = await asyncio.open_connection(host, port)
        self._writers.add(target_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, target_writer, "forward")),
            asyncio.create_task(self._pump(target_reader, writer, "backward")),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Reads at once and writes when due, so delay costs no throughput."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(1_024)
        sender = asyncio.create_task(self._send_due(queue, writer, direction))
        loop = asyncio.get_running_loop()
        first = True
        try:
            while content := await reader.read(_CHUNK_BYTES):
                faults: Faults = getattr(self, direction)
                if faults.reset and self._rng.random() < faults.reset:
                    return
                delay_ms = faults.draw_delay_ms(self._rng)
                if first:
                    delay_ms += faults.first_delay_ms
                    first = False
                if faults.loss and self._rng.random() < faults.loss:
                    delay_ms += _RETRANSMIT_MS
                due = loop.time() + clock_lib.seconds(delay_ms)
                await queue.put((due, content))
            await queue.put((loop.time(), b""))
            await sender
        finally:
            sender.cancel()

    async def _send_due(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        lost = False
        while True:
            due, content = await queue.get()
            await asyncio.sleep(max(0, due - loop.time()))
            while getattr(self, direction).cut:
                await asyncio.sleep(clock_lib.seconds(_POLL_MS))
            if not content:
                return
            lost = lost or getattr(self, direction).swallow
            if not lost:
                writer.write(content)
                await writer.drain()


class UdpRelay(_Relay):
    """Relay of datagrams; each client gets a socket of its own."""

    def __init__(self, target: str, rng: random.Random):
        super().__init__(target, rng)
        self._front: asyncio.DatagramTransport | None = None
        self._backs: dict[object, asyncio.DatagramTransport] = {}

    async def start(self, listen: str = "127.0.0.1:0") -> str:
        """Starts to listen; returns the address."""
        loop = asyncio.get_running_loop()
        self._front, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._from_client), local_addr=_split(listen)
        )
        self.address = _join(self._front.get_extra_info("sockname"))
        return self.address

    async def stop(self) -> None:
        """Closes all sockets."""
        for transport in (self._front, *self._backs.values()):
            transport.close()

    def _from_client(self, content: bytes, client: tuple[str, int]) -> None:
        asyncio.ensure_future(self._to_target(content, client))

    async def _to_target(self, content: bytes, client: tuple[str, int]) -> None:
        back = self._backs.get(client)
        if back is None:
            loop = asyncio.get_running_loop()
            back, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(
                    lambda answer, _: self._pass(
                        self.backward, answer, self._front, client
                    )
                ),
                remote_addr=_split(self.target),
            )
            self._backs[client] = back
        self._pass(self.forward, content, back, None)

    def _pass(
        self,
        faults: Faults,
        content: bytes,
        transport: asyncio.DatagramTransport,
        client: tuple[str, int] | None,
    ) -> None:
        lost = self._rng.random() < faults.loss
        if faults.cut or faults.swallow or lost:
            return
        copies = 2 if self._rng.random() < faults.duplicate else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay = clock_lib.seconds(faults.draw_delay_ms(self._rng))
            loop.call_later(delay, _send, transport, content, client)


class _Datagrams(asyncio.DatagramProtocol):
    """Hands each datagram to a function."""

    def __init__(self, on_datagram):
        self._on_datagram = on_datagram

    def datagram_received(self, data, addr):
        """Hands on a datagram."""
        self._on_datagram(data, addr)


def _send(transport, content, client) -> None:
    if not transport.is_closing():
        transport.sendto(content, client)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _join(sockname: tuple) -> str:
    return f"{sockname[0]}:{sockname[1]}"
