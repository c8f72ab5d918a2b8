"""Datagram sockets for messages that may exceed one datagram.

A message that fits into one datagram is sent as it is. Any other is compressed
and sent in parts. If a part is lost, so is the message; nothing is repeated
here, as the next renewal repeats what matters.
"""

import asyncio
import itertools
import logging
import random
import socket
import struct
import zlib
from collections.abc import Callable

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib

Address = tuple[str, int]

# What UDP over IPv4 carries at most.
DATAGRAM_BYTES = 65_507
# A message has at most so many parts, about 2 MB when compressed. The renewal of
# an agent with 2,000 runs takes two.
MAX_PARTS = 32
# Between two parts. By default Linux buffers 208 KB for a socket, about three
# datagrams of this size, and drops those beyond.
PART_PAUSE_MS = clock_lib.Millis(2)
RECEIVE_BUFFER_BYTES = 1024 * 1024
# Bounds what a malicious message may unpack to.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Incomplete messages of all senders that a receiver keeps at most. The oldest
# are dropped beyond it.
MAX_HELD_BYTES = 16 * 1024 * 1024

# No msgpack message begins with this byte.
_PART_MARK = b"\xc1"
_ID_BITS = 48
# Message id, number of the part, number of all parts.
_HEADER = struct.Struct(">QHH")
PART_BYTES = DATAGRAM_BYTES - len(_PART_MARK) - _HEADER.size
_COMPRESSION_LEVEL = 1

logger = logging.getLogger(__name__)


def split(message: bytes, message_id: int) -> list[bytes]:
    """Returns the datagrams of a message.

    Raises:
      errors.TooLarge: If it exceeds what may be sent.
    """
    if len(message) <= DATAGRAM_BYTES:
        return [message]
    if len(message) > MAX_MESSAGE_BYTES:
        raise errors.TooLarge(
            f"{len(message)} bytes exceed {MAX_MESSAGE_BYTES} bytes"
        )
    packed = zlib.compress(message, _COMPRESSION_LEVEL)
    parts = [
        packed[start : start + PART_BYTES]
        for start in range(0, len(packed), PART_BYTES)
    ]
    if len(parts) > MAX_PARTS:
        raise errors.TooLarge(
            f"{len(message)} bytes take {len(parts)} parts of {MAX_PARTS}"
        )
    return [
        _PART_MARK + _HEADER.pack(message_id, number, len(parts)) + part
        for number, part in enumerate(parts)
    ]


class _Incomplete:
    """A message of which parts are missing."""

    def __init__(self, message_id: int, count: int):
        self.message_id = message_id
        self.count = count
        self.parts: dict[int, bytes] = {}

    @property
    def size(self) -> int:
        """Bytes held."""
        return sum(map(len, self.parts.values()))


class Assembler:
    """Reassembles messages; keeps one incomplete message for each sender."""

    def __init__(self):
        self._incomplete: dict[Address, _Incomplete] = {}

    def add(self, datagram: bytes, sender: Address) -> bytes | None:
        """Returns the message that a datagram completes, or None.

        Raises:
          errors.MalformedInput: If it is no part of a message.
        """
        if datagram[:1] != _PART_MARK:
            return datagram
        body = datagram[1 + _HEADER.size :]
        if not body:
            raise errors.MalformedInput("part of a message without content")
        message_id, number, count = _HEADER.unpack_from(datagram, 1)
        if not number < count <= MAX_PARTS:
            raise errors.MalformedInput(f"part {number} of {count}")
        held = self._incomplete.pop(sender, None)
        if held is None or (held.message_id, held.count) != (message_id, count):
            held = _Incomplete(message_id, count)
        held.parts[number] = body
        if len(held.parts) < count:
            self._incomplete[sender] = held
            self._drop_oldest()
            return None
        return _unpack(b"".join(held.parts[each] for each in range(count)))

    def _drop_oldest(self) -> None:
        size = sum(each.size for each in self._incomplete.values())
        while size > MAX_HELD_BYTES:
            oldest = next(iter(self._incomplete))
            size -= self._incomplete.pop(oldest).size


def _unpack(packed: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        message = unpacker.decompress(packed, MAX_MESSAGE_BYTES)
    except zlib.error as exc:
        raise errors.MalformedInput(f"compressed message: {exc}") from exc
    if not unpacker.eof:
        raise errors.MalformedInput("incomplete or oversized message")
    return message


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives messages, and reports what could not be sent."""

    def __init__(
        self,
        on_message: Callable[[bytes, Address], None],
        metrics: metrics_lib.Metrics,
    ):
        """Creates a socket that is not open yet.

        Args:
          on_message: Called with each message and the address of its sender.
          metrics: Counts what could not be sent or read.
        """
        self._on_message = on_message
        self._metrics = metrics
        self._assembler = Assembler()
        self._ids = itertools.count(random.getrandbits(_ID_BITS))
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        # The system grants less if its own limit is lower.
        self._transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def close(self) -> None:
        """Closes the socket; sends nothing any more."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: bytes, address: Address) -> bool:
        """Sends a message; returns whether all of it was handed over."""
        if self._transport is None or self._transport.is_closing():
            self._metrics.failed("datagram_socket_closed")
            logger.info("datagram not sent: the socket is closed")
            return False
        try:
            datagrams = split(message, next(self._ids))
        except errors.TooLarge as exc:
            self._metrics.failed("datagram_too_large")
            logger.error("message not sent to %s: %s", address[0], exc.message)
            return False
        loop = asyncio.get_running_loop()
        for number, datagram in enumerate(datagrams):
            delay_ms = number * PART_PAUSE_MS
            if delay_ms:
                loop.call_later(
                    clock_lib.seconds(delay_ms), self._send, datagram, address
                )
            else:
                self._send(datagram, address)
        return True

    def _send(self, datagram: bytes, address: Address) -> None:
        if self._transport.is_closing():
            self._metrics.failed("datagram_socket_closed")
            return
        self._transport.sendto(datagram, address)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Passes on the message that a datagram completes."""
        try:
            message = self._assembler.add(data, addr)
        except (errors.MalformedInput, struct.error) as exc:
            self._metrics.dropped("malformed_datagram")
            logger.warning("malformed datagram from %s: %s", addr[0], exc)
            return
        if message is not None:
            self._on_message(message, addr)

    def error_received(self, exc: OSError) -> None:
        """Reports a datagram that the system did not send."""
        self._metrics.failed("datagram_not_sent")
        logger.warning("datagram not sent: %s", exc)
