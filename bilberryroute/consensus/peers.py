"""Transport between replicas: one gRPC stream per direction, and a greeting.

A stream carries envelopes one way. Messages that cannot be queued or sent are
dropped and counted; Raft repeats those that matter.
"""

import asyncio
import logging
import random
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

import grpc
import grpc.aio

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.consensus import fragments
from bilberryroute.consensus import greeting
from bilberryroute.consensus import messages
from bilberryroute.transport import codec

STREAM = "Stream"
QUEUE_MESSAGES = 1_024
FIRST_BACKOFF_MS = 50
LAST_BACKOFF_MS = 200
CONNECT_TIMEOUT_MS = 1_000
ANSWER_EVERY_MS = 200
SILENT_MS = 1_500
BATCH_MESSAGES = 64
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", FIRST_BACKOFF_MS),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", LAST_BACKOFF_MS),
    ("grpc.use_local_subchannel_pool", 1),
)

logger = logging.getLogger(__name__)

_bodies = codec.Union(
    messages.VoteRequest,
    messages.VoteReply,
    messages.StandNow,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotChunk,
    messages.SnapshotReply,
    messages.LeaseRequest,
    messages.LeaseReply,
)
# Replicas of earlier releases end a stream at a kind that they don't know. They
# read this instead, which asks nothing, as no leader has term 0.
_STAND_IN = _bodies.encode(messages.StandNow(term=0))


@dataclass(frozen=True, slots=True, kw_only=True)
class _Wire:
    """An envelope on the wire.

    Attributes:
      added: Body of a kind that earlier releases don't know, or empty.
    """

    address: str
    group: str
    sender: str
    receiver: str
    body: bytes
    added: bytes = b""


_wire_decoder = codec.Decoder(_Wire)
_batch_decoder = codec.Decoder(list[bytes])


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedEnvelope:
    """A received envelope and the address that its sender listens on."""

    envelope: messages.Envelope
    address: str


def encode(envelope: messages.Envelope, address: str) -> bytes:
    """Encodes an envelope and the address that its sender listens on."""
    body = _bodies.encode(envelope.body)
    added = b""
    if isinstance(envelope.body, messages.LeaseRequest | messages.LeaseReply):
        body, added = _STAND_IN, body
    return codec.encode(
        _Wire(
            address=address,
            group=envelope.group,
            sender=envelope.sender,
            receiver=envelope.receiver,
            body=body,
            added=added,
        )
    )


def decode_batch(payload: bytes) -> list[ReceivedEnvelope]:
    """Decodes the envelopes of one batch.

    Raises:
      errors.MalformedInput: If the batch is malformed.
    """
    wires = map(_wire_decoder.decode, _batch_decoder.decode(payload))
    return [_received(wire) for wire in wires]


def _received(wire: _Wire) -> ReceivedEnvelope:
    envelope = messages.Envelope(
        group=wire.group,
        sender=wire.sender,
        receiver=wire.receiver,
        body=_bodies.decode(wire.added or wire.body),
    )
    return ReceivedEnvelope(envelope=envelope, address=wire.address)


def handler(
    on_envelope: Callable[[ReceivedEnvelope], None],
    on_hello: Callable[[greeting.Hello], Awaitable[greeting.Hello]],
    clock: clock_lib.Clock,
) -> grpc.GenericRpcHandler:
    """Returns the gRPC handler for calls from other replicas."""

    async def stream(
        requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[bytes]:
        acked_ms = clock.now()
        assembler = fragments.Assembler()
        async for message in requests:
            try:
                payload = assembler.add(message)
                for received in decode_batch(payload) if payload else ():
                    on_envelope(received)
            except errors.MalformedInput as exc:
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, exc.message
                )
            if clock.now() >= acked_ms + ANSWER_EVERY_MS:
                acked_ms = clock.now()
                yield b""

    async def hello(payload: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            return codec.encode(await on_hello(greeting.decode(payload)))
        except errors.BilberryrouteError as exc:
            return await context.abort(grpc.StatusCode.UNAVAILABLE, exc.message)

    return grpc.method_handlers_generic_handler(
        greeting.SERVICE,
        {
            STREAM: grpc.stream_stream_rpc_method_handler(stream),
            greeting.METHOD: grpc.unary_unary_rpc_method_handler(hello),
        },
    )


class Peer:
    """Sender for one direction, which reconnects until it is stopped.

    The receiver sends an empty acknowledgement from time to time, so that a
    connection that loses all messages is detected and replaced.
    """

    def __init__(
        self,
        *,
        own_address: str,
        address: str,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self.address = address
        self._metrics = metrics
        self._dropped = 0
        self._own_address = own_address
        self._clock = clock
        self._rng = rng
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_MESSAGES)
        self._backoff_ms = FIRST_BACKOFF_MS
        # Set once the receiver is heard; exists during a pause.
        self._heard: asyncio.Event | None = None
        self._sent_ms = 0
        self._unacked_since_ms: int | None = None

    def send(self, envelope: messages.Envelope) -> None:
        """Queues an envelope, or drops it if the queue is full."""
        try:
            self._queue.put_nowait(encode(envelope, self._own_address))
        except asyncio.QueueFull:
            self._count_drop("peer_queue_full")

    def record_heard(self) -> None:
        """Ends the pause before the next attempt, as the receiver is up."""
        if self._heard is not None and not self._heard.is_set():
            self._drop_queue()
            self._heard.set()

    async def run(self) -> None:
        """Keeps a stream open and sends the queued messages."""
        while True:
            try:
                await self._run_channel()
            except (
                grpc.RpcError,
                asyncio.InvalidStateError,
                TimeoutError,
            ):
                # Logged with the messages that it cost, once connected again.
                self._metrics.failed("peer_unreachable")
            await self._pause()

    async def _pause(self) -> None:
        """Waits before the next attempt; drops what was queued meanwhile."""
        pause_ms = self._next_backoff()
        await asyncio.sleep(clock_lib.seconds(FIRST_BACKOFF_MS))
        self._heard = asyncio.Event()
        try:
            rest = clock_lib.seconds(pause_ms - FIRST_BACKOFF_MS)
            async with asyncio.timeout(rest):
                await self._heard.wait()
        except TimeoutError:
            self._drop_queue()
        finally:
            self._heard = None

    async def _run_channel(self) -> None:
        options = list(_CHANNEL_OPTIONS)
        async with grpc.aio.insecure_channel(self.address, options) as channel:
            async with asyncio.timeout(clock_lib.seconds(CONNECT_TIMEOUT_MS)):
                await channel.channel_ready()
            self._backoff_ms = FIRST_BACKOFF_MS
            self._unacked_since_ms = None
            self._log_dropped()
            path = f"/{greeting.SERVICE}/{STREAM}"
            await self._run_call(channel.stream_stream(path)())

    async def _run_call(self, call: grpc.aio.StreamStreamCall) -> None:
        parts = (
            self._write(call),
            self._read(call),
            self._wait_for_ack_timeout(),
        )
        tasks = [asyncio.ensure_future(part) for part in parts]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            call.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            batch = [await self._queue.get()]
            while len(batch) < BATCH_MESSAGES and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            for message in fragments.split(codec.encode(batch)):
                self._record_send()
                await call.write(message)

    async def _read(self, call: grpc.aio.StreamStreamCall) -> None:
        async for _ in call:
            self._unacked_since_ms = None

    async def _wait_for_ack_timeout(self) -> None:
        while not self._ack_timed_out():
            await asyncio.sleep(clock_lib.seconds(ANSWER_EVERY_MS))

    def _record_send(self) -> None:
        now = self._clock.now()
        paused = now >= self._sent_ms + SILENT_MS // 2
        if self._unacked_since_ms is None or paused:
            # After a pause, messages sent before it may never be acknowledged.
            self._unacked_since_ms = now
        self._sent_ms = now

    def _ack_timed_out(self) -> bool:
        since = self._unacked_since_ms
        return since is not None and self._sent_ms >= since + SILENT_MS

    def _next_backoff(self) -> int:
        backoff = self._backoff_ms
        self._backoff_ms = min(LAST_BACKOFF_MS, 2 * backoff)
        return backoff + self._rng.randrange(backoff)

    def _drop_queue(self) -> None:
        while not self._queue.empty():
            self._queue.get_nowait()
            self._count_drop("peer_unreachable")

    def _count_drop(self, reason: str) -> None:
        self._metrics.dropped(reason)
        self._dropped += 1

    def _log_dropped(self) -> None:
        if self._dropped:
            logger.info(
                "messages to a replica were dropped",
                extra={"address": self.address, "dropped": self._dropped},
            )
            self._dropped = 0
