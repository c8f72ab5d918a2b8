"""The senders to all other members, made when first needed."""

import asyncio
import random
from collections.abc import Callable

from bilberryroute import clock as clock_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers


class Carrier:
    """Sends envelopes to data folders by their identity."""

    def __init__(
        self,
        address_of: Callable[[str], str | None],
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        self._address_of = address_of
        self._clock = clock
        self._rng = rng
        self._peers: dict[str, peers.Peer] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, envelope: messages.Envelope) -> None:
        """Sends an envelope, or drops it if its receiver is unknown."""
        peer = self._peer(envelope.receiver)
        if peer is not None:
            peer.send(envelope)

    def keep_only(self, member_ids: set[str]) -> None:
        """Ends the senders to all others."""
        for gone in self._peers.keys() - member_ids:
            del self._peers[gone]
            self._tasks.pop(gone).cancel()

    def _peer(self, member_id: str) -> peers.Peer | None:
        if member_id not in self._peers:
            address = self._address_of(member_id)
            if address is None:
                return None
            peer = peers.Peer(address, self._clock, self._rng)
            self._peers[member_id] = peer
            self._tasks[member_id] = asyncio.create_task(peer.run())
        return self._peers[member_id]
