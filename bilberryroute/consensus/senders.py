"""Message senders to the other members, created on first use."""

import asyncio
import random
from collections.abc import Callable

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers


class Senders:
    """Sends envelopes to data folders by identity."""

    def __init__(
        self,
        own_address: str,
        address_of: Callable[[str, str | None], str | None],
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self._own_address = own_address
        self._address_of = address_of
        self._learned: dict[str, str] = {}
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._peers: dict[str, peers.Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, envelope: messages.Envelope) -> None:
        """Sends an envelope, or drops it if its receiver is unknown."""
        peer = self._peer(envelope.receiver)
        if peer is None:
            self._metrics.dropped("peer_unknown")
            return
        peer.send(envelope)

    def address(self, member_id: str) -> str | None:
        """Returns the gRPC address of a member, or None if it is unknown."""
        return self._address_of(member_id, self._learned.get(member_id))

    def learn(self, member_id: str, address: str) -> None:
        """Records the address that a message names for its sender."""
        peer = self._peers.get(member_id)
        if peer is not None:
            peer.record_heard()
        if self._learned.get(member_id) == address:
            return
        self._learned[member_id] = address
        if peer and peer.address != self._address_of(member_id, address):
            self._stop(member_id)

    def retain(self, member_ids: set[str]) -> None:
        """Stops the senders to all other members."""
        for gone in self._peers.keys() - member_ids:
            self._stop(gone)
        for gone in self._learned.keys() - member_ids:
            del self._learned[gone]

    def _stop(self, member_id: str) -> None:
        if self._peers.pop(member_id, None) is not None:
            self._tasks.pop(member_id).cancel()

    def _peer(self, member_id: str) -> peers.Peer | None:
        if member_id not in self._peers:
            address = self.address(member_id)
            if address is None:
                return None
            peer = peers.Peer(
                own_address=self._own_address,
                address=address,
                clock=self._clock,
                rng=self._rng,
                metrics=self._metrics,
            )
            self._peers[member_id] = peer
            self._tasks[member_id] = asyncio.create_task(peer.run())
        return self._peers[member_id]
