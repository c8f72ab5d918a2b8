"""A leader's bookkeeping: what to send to whom, its lease, what is committed."""

from collections.abc import Callable
from collections.abc import Iterator
from functools import partial

from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import progress
from bilberryroute.consensus import records

SNAPSHOT_HELD = -1
BATCH_ENTRIES = 256
BATCH_BYTES = 1_048_576
CHUNK_BYTES = 262_144
IN_FLIGHT_BATCHES = 4

Body = Callable[[int, int], messages.Message]


class Leading:
    """State of one leader for the length of its term.

    Attributes:
      peers: What is known of each other member.
      deadline_ms: When the next heartbeat is due.
      began_ms: When the term's leadership began.
    """

    def __init__(self, *, heartbeat_ms: int, now: int):
        self.peers: dict[str, progress.Progress] = {}
        self.deadline_ms = now
        self._heartbeat_ms = heartbeat_ms
        self.began_ms = now

    def heartbeat_due(self, now: int) -> bool:
        """Returns whether a heartbeat is due, and sets the next one."""
        if now < self.deadline_ms:
            return False
        self.deadline_ms = now + self._heartbeat_ms
        return True

    def acked_ms(
        self, membership: records.Membership, own_id: str, now: int
    ) -> int:
        """Returns since when a majority has certainly heard this leader."""
        times = []
        for voter in membership.voters:
            if voter == own_id:
                times.append(now)
                continue
            peer = self.peers.get(voter)
            acked = progress.NEVER_MS if peer is None else peer.acked_ms
            times.append(acked)
        return progress.quorum_value(times, membership.quorum)

    def match_index(
        self, membership: records.Membership, own_id: str, durable: int
    ) -> int:
        """Returns up to where a majority's durable logs equal the leader's."""
        matches = []
        for voter in membership.voters:
            peer = self.peers.get(voter)
            match = 0 if peer is None else peer.match_index
            matches.append(durable if voter == own_id else match)
        return progress.quorum_value(matches, membership.quorum)

    def replicate(
        self,
        log: memory_log.MemoryLog,
        membership: records.Membership,
        own_id: str,
        now: int,
        *,
        heartbeat: bool,
    ) -> Iterator[tuple[str, Body]]:
        """Yields what to send to each peer now."""
        self._match_peers(log, membership, own_id)
        for member_id, peer in self.peers.items():
            for body in self._bodies(log, peer, now, heartbeat=heartbeat):
                yield member_id, body

    def on_snapshot_reply(
        self, peer: progress.Progress, reply: messages.SnapshotReply
    ) -> None:
        """Notes how much of the snapshot the peer holds."""
        if reply.offset == SNAPSHOT_HELD:
            peer.snapshot = None
            peer.accept(reply.index)
        elif peer.snapshot is not None and peer.snapshot.index == reply.index:
            peer.offset = reply.offset
            peer.chunk_sent_ms = progress.NEVER_MS

    def _match_peers(
        self,
        log: memory_log.MemoryLog,
        membership: records.Membership,
        own_id: str,
    ) -> None:
        wanted = [m.id for m in membership.members if m.id != own_id]
        for gone in self.peers.keys() - set(wanted):
            del self.peers[gone]
        for member_id in wanted:
            if member_id not in self.peers:
                start = progress.Progress(next_index=log.last_index)
                start.next_index = max(1, log.last_index)
                self.peers[member_id] = start

    def _bodies(
        self,
        log: memory_log.MemoryLog,
        peer: progress.Progress,
        now: int,
        *,
        heartbeat: bool,
    ) -> Iterator[Body]:
        if peer.snapshot is None and log.term_at(peer.next_index - 1) is None:
            peer.snapshot = log.snapshot
            peer.offset = 0
            peer.chunk_sent_ms = progress.NEVER_MS
        if peer.snapshot is not None:
            yield from self._chunks(peer, now)
            return
        sent = False
        while self._may_send(log, peer):
            yield self._batch(log, peer, now)
            sent = True
        if heartbeat and not sent:
            yield self._entries(log, peer, (), now)

    def _may_send(
        self, log: memory_log.MemoryLog, peer: progress.Progress
    ) -> bool:
        if peer.next_index > log.last_index:
            return False
        window = 1 if peer.probing else IN_FLIGHT_BATCHES
        return len(peer.in_flight) < window

    def _batch(
        self, log: memory_log.MemoryLog, peer: progress.Progress, now: int
    ) -> Body:
        last = min(log.last_index, peer.next_index + BATCH_ENTRIES - 1)
        entries = _bounded(log.between(peer.next_index, last))
        body = self._entries(log, peer, entries, now)
        peer.next_index = entries[-1].index + 1
        peer.in_flight.append(entries[-1].index)
        return body

    def _entries(
        self,
        log: memory_log.MemoryLog,
        peer: progress.Progress,
        entries: tuple[records.Entry, ...],
        now: int,
    ) -> Body:
        prev = peer.next_index - 1
        return partial(
            _append_request, prev, log.term_at(prev) or 0, entries, now
        )

    def _chunks(self, peer: progress.Progress, now: int) -> Iterator[Body]:
        if now < peer.chunk_sent_ms + self._heartbeat_ms:
            return
        peer.chunk_sent_ms = now
        yield partial(_snapshot_chunk, peer.snapshot, peer.offset, now)


def _bounded(entries: tuple[records.Entry, ...]) -> tuple[records.Entry, ...]:
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.payload)
        if size > BATCH_BYTES and position:
            return entries[:position]
    return entries


def _append_request(
    prev_index: int,
    prev_term: int,
    entries: tuple[records.Entry, ...],
    sent_ms: int,
    term: int,
    commit: int,
) -> messages.AppendRequest:
    return messages.AppendRequest(
        term=term,
        prev_index=prev_index,
        prev_term=prev_term,
        entries=entries,
        commit=commit,
        sent_ms=sent_ms,
    )


def _snapshot_chunk(
    snapshot: records.Snapshot,
    offset: int,
    sent_ms: int,
    term: int,
    commit: int,
) -> messages.SnapshotChunk:
    del commit  # The follower learns it with the entries that follow.
    end = offset + CHUNK_BYTES
    return messages.SnapshotChunk(
        term=term,
        index=snapshot.index,
        snapshot_term=snapshot.term,
        membership=snapshot.membership,
        offset=offset,
        payload=snapshot.payload[offset:end],
        done=end >= len(snapshot.payload),
        sent_ms=sent_ms,
    )
