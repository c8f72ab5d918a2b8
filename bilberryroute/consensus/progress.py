"""What a leader knows of the other replicas, and what follows from it."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from bilberryroute.consensus import records

NEVER_MS = -(1 << 60)


@dataclass(slots=True, kw_only=True)
class Progress:
    """One peer as its leader sees it.

    Attributes:
      next_index: First entry to send next.
      match_index: Up to where its durable log equals the leader's.
      acked_ms: Leader's clock when the newest answered message was sent.
      in_flight: Last index of each batch sent and not answered.
      probing: Whether the log's meeting point is still being looked for.
      snapshot: Snapshot being sent, or None.
      offset: Next byte of the snapshot that the peer wants.
      chunk_sent_ms: When the last piece was sent.
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
        """Notes that the peer holds all entries up to `match_index`."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.in_flight = [i for i in self.in_flight if i > self.match_index]
        self.probing = False

    def reject(self, hint_index: int) -> None:
        """Goes back to where the peer's log may meet the leader's."""
        self.next_index = max(self.match_index + 1, hint_index)
        self.in_flight.clear()
        self.probing = True

    def may_send(self, last_index: int, window: int) -> bool:
        """Returns whether a further batch may be in flight now."""
        allowed = 1 if self.probing else window
        return self.next_index <= last_index and len(self.in_flight) < allowed

    def note_sent(self, index: int) -> None:
        """Notes a batch up to `index`, which is taken to arrive."""
        self.next_index = index + 1
        self.in_flight.append(index)

    def begin_snapshot(self, snapshot: records.Snapshot) -> None:
        """Turns to sending a snapshot, as the log is too short."""
        self.snapshot = snapshot
        self.want_chunk(snapshot.index, 0)

    def want_chunk(self, index: int, offset: int) -> None:
        """Notes which piece of the snapshot the peer wants next."""
        if self.snapshot is not None and self.snapshot.index == index:
            self.offset = offset
            self.chunk_sent_ms = NEVER_MS

    def chunk_due(self, now: int, repeat_ms: int) -> bool:
        """Returns whether to send the wanted piece now, perhaps again."""
        return now >= self.chunk_sent_ms + repeat_ms


def quorum_value(values: Iterable[int], quorum: int) -> int:
    """Returns the largest value that `quorum` of the values reach."""
    ordered = sorted(values, reverse=True)
    return ordered[quorum - 1] if len(ordered) >= quorum else NEVER_MS
