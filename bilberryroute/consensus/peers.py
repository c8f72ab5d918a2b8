"""Carrier between replicas: one gRPC stream a direction, and a greeting.

A stream carries envelopes one way. What cannot be sent at once is dropped:
the protocol repeats what matters.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

import grpc
import grpc.aio

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import messages
from bilberryroute.transport import codec

SERVICE = "bilberryroute.consensus"
STREAM = f"/{SERVICE}/Stream"
HELLO = f"/{SERVICE}/Hello"
QUEUE_MESSAGES = 1_024
FIRST_BACKOFF_MS = 50
LAST_BACKOFF_MS = 1_000
HELLO_TIMEOUT_MS = 500
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", FIRST_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", FIRST_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", LAST_BACKOFF_MS),
    ("grpc.use_local_subchannel_pool", 1),
)

_bodies = codec.Union(
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotChunk,
    messages.SnapshotReply,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Wire:
    group: str
    sender: str
    receiver: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Who a replica is; sent and answered.

    Attributes:
      id: Identity of the data folder.
      group: Group it is bound to, or empty.
      grpc: Address of its gRPC server.
      datagram: Address of its datagram socket.
    """

    id: str
    group: str
    grpc: str
    datagram: str
    failure_domain: str = ""


_wire_decoder = codec.Decoder(_Wire)
_hello_decoder = codec.Decoder(Hello)


def encode(envelope: messages.Envelope) -> bytes:
    """Returns the wire form of an envelope."""
    return codec.encode(
        _Wire(
            group=envelope.group,
            sender=envelope.sender,
            receiver=envelope.receiver,
            body=_bodies.encode(envelope.body),
        )
    )


def decode(payload: bytes) -> messages.Envelope:
    """Returns the envelope.

    Raises:
      errors.MalformedInput: If the payload is not one.
    """
    wire = _wire_decoder.decode(payload)
    return messages.Envelope(
        group=wire.group,
        sender=wire.sender,
        receiver=wire.receiver,
        body=_bodies.decode(wire.body),
    )


def handler(
    on_envelope: Callable[[messages.Envelope], None],
    on_hello: Callable[[Hello], Awaitable[Hello]],
) -> grpc.GenericRpcHandler:
    """Returns the handler that a gRPC server serves to other replicas."""

    async def stream(
        requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> bytes:
        async for payload in requests:
            try:
                on_envelope(decode(payload))
            except errors.MalformedInput as exc:
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, exc.message
                )
        return b""

    async def hello(payload: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            return codec.encode(await on_hello(_hello_decoder.decode(payload)))
        except errors.BilberryrouteError as exc:
            return await context.abort(grpc.StatusCode.UNAVAILABLE, exc.message)

    return grpc.method_handlers_generic_handler(
        SERVICE,
        {
            "Stream": grpc.stream_unary_rpc_method_handler(stream),
            "Hello": grpc.unary_unary_rpc_method_handler(hello),
        },
    )


async def greet(address: str, own: Hello) -> Hello | None:
    """Returns who listens at an address, or None if nobody answers."""
    async with grpc.aio.insecure_channel(address) as channel:
        call = channel.unary_unary(HELLO)
        timeout = clock_lib.seconds(HELLO_TIMEOUT_MS)
        try:
            return _hello_decoder.decode(
                await call(codec.encode(own), timeout=timeout)
            )
        except (grpc.RpcError, errors.MalformedInput):
            return None


class Peer:
    """Sender of one direction, which reconnects until it is stopped."""

    def __init__(self, address: str, rng: random.Random):
        self.address = address
        self._rng = rng
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_MESSAGES)
        self._backoff_ms = FIRST_BACKOFF_MS

    def send(self, envelope: messages.Envelope) -> None:
        """Queues an envelope, or drops it if the queue is full."""
        try:
            self._queue.put_nowait(encode(envelope))
        except asyncio.QueueFull:
            return

    async def run(self) -> None:
        """Keeps a stream open and sends what is queued."""
        while True:
            with contextlib.suppress(grpc.RpcError, asyncio.InvalidStateError):
                await self._run_stream()
            await asyncio.sleep(clock_lib.seconds(self._next_backoff()))
            self._drop_queue()

    async def _run_stream(self) -> None:
        options = list(_CHANNEL_OPTIONS)
        async with grpc.aio.insecure_channel(self.address, options) as channel:
            await channel.channel_ready()
            self._backoff_ms = FIRST_BACKOFF_MS
            call = channel.stream_unary(STREAM)()
            while True:
                await call.write(await self._queue.get())

    def _next_backoff(self) -> int:
        backoff = self._backoff_ms
        self._backoff_ms = min(LAST_BACKOFF_MS, 2 * backoff)
        return backoff + self._rng.randrange(backoff)

    def _drop_queue(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()
