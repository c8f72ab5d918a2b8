"""Replication progress of a peer, as tracked by the leader."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from bilberryroute.consensus import records

NEVER_MS = -(1 << 60)


@dataclass(slots=True, kw_only=True)
class Progress:
    """Replication progress of one peer.

    Attributes:
      next_index: First entry to send next.
      match_index: Last index known to be durable on the peer.
      acked_ms: When the newest acknowledged message was sent, by the leader's
        clock.
      in_flight: Last index of each batch sent but not acknowledged.
      probing: Whether the last common entry of the logs is still unknown.
      snapshot: Snapshot being sent, or None.
      offset: Next byte of the snapshot that the peer wants.
      chunk_sent_ms: When the last chunk was sent.
    """

    next_index: int
    match_index: int = 0
    acked_ms: int = NEVER_MS
    in_flight: list[int] = field(default_factory=list)
    probing: bool = True
    snapshot: records.Snapshot | None = None
    offset: int = 0
    chunk_sent_ms: int = NEVER_MS

    def accept(self, match_index: int) -> None:
        """Records that the peer has all entries up to `match_index`."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.in_flight = [i for i in self.in_flight if i > self.match_index]
        self.probing = False

    def reject(self, hint_index: int) -> None:
        """Moves `next_index` back to retry from an earlier entry."""
        self.next_index = max(self.match_index + 1, hint_index)
        self.in_flight.clear()
        self.probing = True

    def may_send(self, last_index: int, window: int) -> bool:
        """Returns whether to send another batch now."""
        allowed = 1 if self.probing else window
        return self.next_index <= last_index and len(self.in_flight) < allowed

    def record_sent(self, index: int) -> None:
        """Records a batch up to `index`, assuming that it arrives."""
        self.next_index = index + 1
        self.in_flight.append(index)

    def begin_snapshot(self, snapshot: records.Snapshot) -> None:
        """Starts sending a snapshot to a peer too far behind for the log."""
        self.snapshot = snapshot
        self.request_chunk(snapshot.index, 0)

    def request_chunk(self, index: int, offset: int) -> None:
        """Sets the offset of the next chunk to send."""
        if self.snapshot is not None and self.snapshot.index == index:
            self.offset = offset
            self.chunk_sent_ms = NEVER_MS

    def chunk_due(self, now: int, repeat_ms: int) -> bool:
        """Returns whether to send, or send again, the next chunk now."""
        return now >= self.chunk_sent_ms + repeat_ms


def quorum_value(values: Iterable[int], quorum: int) -> int:
    """Returns the largest value that at least `quorum` values reach."""
    ordered = sorted(values, reverse=True)
    return ordered[quorum - 1] if len(ordered) >= quorum else NEVER_MS
