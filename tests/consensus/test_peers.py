"""Streams between replicas, when one of them comes back."""

import asyncio
import random

import grpc
import pytest_asyncio

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers
from bilberryroute.consensus import senders as senders_lib
from tests.utils import ports

CLOCK = clock_lib.SystemClock()
CONNECT_TIMEOUT_MS = 50
# Longer than the test waits for the message.
LONG_PAUSE_MS = 120_000
PATIENCE_MS = 20_000
ENVELOPE = messages.Envelope(
    group="g", sender="a", receiver="b", body=messages.StandNow(term=3)
)


@pytest_asyncio.fixture
async def waiting(monkeypatch):
    """Sender to an absent replica that pauses for long, and its address."""
    monkeypatch.setattr(peers, "CONNECT_TIMEOUT_MS", CONNECT_TIMEOUT_MS)
    monkeypatch.setattr(peers.Peer, "_next_backoff", lambda peer: LONG_PAUSE_MS)
    address = ports.free_address()
    senders = senders_lib.Senders(
        "here",
        lambda member_id, learned: address,
        CLOCK,
        random.Random(0),
        metrics_lib.Metrics(),
    )
    senders.send(ENVELOPE)
    await asyncio.sleep(clock_lib.seconds(10 * CONNECT_TIMEOUT_MS))
    yield senders, address
    senders.retain(set())


async def test_replica_that_is_heard_again_is_answered_without_a_pause(waiting):
    """After 6 s of darkness the pause is up to 2 s long."""
    senders, address = waiting
    arrived = asyncio.Event()
    server = grpc.aio.server()
    server.add_generic_rpc_handlers(
        (peers.handler(lambda received: arrived.set(), None, CLOCK),)
    )
    assert server.add_insecure_port(address)
    await server.start()
    try:
        senders.learn("b", address)
        senders.send(ENVELOPE)
        async with asyncio.timeout(clock_lib.seconds(PATIENCE_MS)):
            await arrived.wait()
    finally:
        await server.stop(None)


def test_pause_before_a_replica_that_was_away_is_shorter_than_an_election():
    """After 6 s of darkness it was up to 2 s, for both directions."""
    peer = peers.Peer(
        own_address="here",
        address="there",
        clock=CLOCK,
        rng=random.Random(0),
        metrics=metrics_lib.Metrics(),
    )
    pauses = [peer._next_backoff() for _ in range(200)]
    assert max(pauses) < settings.Timing().election_ms
