"""Leader state: replication to each peer, the lease and leadership transfer."""

from collections.abc import Iterator

from bilberryroute import settings
from bilberryroute.consensus import following
from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import progress
from bilberryroute.consensus import records

BATCH_ENTRIES = 256
BATCH_BYTES = 1_048_576
CHUNK_BYTES = 262_144
IN_FLIGHT_BATCHES = 4


class Leading:
    """State of one leader for the length of its term.

    Attributes:
      peers: Replication progress of each other member.
      deadline_ms: When the next heartbeat is due.
      transfer_deadline_ms: When to give up a leadership transfer; None if
        none was started.
    """

    def __init__(
        self,
        *,
        own_id: str,
        journal: journal_lib.Journal,
        timing: settings.Timing,
        now: int,
    ):
        self.peers: dict[str, progress.Progress] = {}
        self.deadline_ms = now
        self.transfer_deadline_ms: int | None = None
        self._elected_ms = now
        self._id = own_id
        self._journal = journal
        self._timing = timing

    def heartbeat_due(self, now: int) -> bool:
        """Returns whether a heartbeat is due, and if so schedules the next."""
        if now < self.deadline_ms:
            return False
        self.deadline_ms = now + self._timing.raft_heartbeat_ms
        return True

    def acked_ms(self, now: int) -> int:
        """Returns the latest send time that a majority has acknowledged."""
        membership = self._journal.membership
        times = (
            now if voter == self._id else self._peer(voter).acked_ms
            for voter in membership.voters
        )
        return progress.quorum_value(times, membership.quorum)

    def lease_holds(self, now: int) -> bool:
        """Returns whether no other leader can commit anything yet."""
        if self.transfer_deadline_ms is not None:
            return False
        return now < self.acked_ms(now) + self._timing.leader_lease_ms

    def leave(self, now: int) -> None:
        """Ends the lease for good; the first call sets the transfer deadline."""
        if self.transfer_deadline_ms is None:
            self.transfer_deadline_ms = now + self._timing.election_ms

    def stays(self, now: int) -> bool:
        """Returns whether no leadership transfer has timed out."""
        return (
            self.transfer_deadline_ms is None or now < self.transfer_deadline_ms
        )

    def successor(self, now: int) -> str | None:
        """Returns the voter to transfer leadership to, or None.

        It has the whole log of this leader, all of it committed; of several,
        the one with the newest acknowledgment is chosen.
        """
        behind = self._journal.commit_index < self._journal.log.last_index
        if self.transfer_deadline_ms is None or behind:
            return None
        ready = [
            voter
            for voter in self._journal.membership.voters
            if voter != self._id
            and self.hears(voter, now)
            and self._peer(voter).match_index == self._journal.log.last_index
        ]
        return max(ready, key=lambda v: self._peer(v).acked_ms, default=None)

    def has_quorum_contact(self, now: int) -> bool:
        """Returns whether a majority replied within the election timeout.

        A new leader has one timeout from its election to get replies.
        """
        heard_ms = max(self.acked_ms(now), self._elected_ms)
        return now < heard_ms + self._timing.election_ms

    def hears(self, member_id: str, now: int) -> bool:
        """Returns whether a member acknowledged a recent message.

        The message must have been sent within the last election timeout.
        The leader always counts itself.
        """
        if member_id == self._id:
            return True
        return now < self._peer(member_id).acked_ms + self._timing.election_ms

    def match_index(self) -> int:
        """Returns the last index up to which a majority matches the leader.

        The logs of these voters are durable and equal to the leader's up to
        this index.
        """
        membership = self._journal.membership
        durable = self._journal.durable_index
        matches = (
            durable if voter == self._id else self._peer(voter).match_index
            for voter in membership.voters
        )
        return progress.quorum_value(matches, membership.quorum)

    def replicate(
        self, now: int, *, heartbeat: bool
    ) -> Iterator[tuple[str, messages.Message]]:
        """Yields receiver and message for everything to send now."""
        members = [m.id for m in self._journal.membership.members]
        for gone in self.peers.keys() - set(members):
            del self.peers[gone]
        for member_id in members:
            if member_id != self._id:
                peer = self._peer(member_id)
                for body in self._messages_for(peer, now, heartbeat=heartbeat):
                    yield member_id, body

    def handle_reply(
        self,
        sender: str,
        reply: messages.AppendReply | messages.SnapshotReply,
    ) -> None:
        """Updates the progress of a peer; ignores unknown senders."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        peer.acked_ms = max(peer.acked_ms, reply.sent_ms)
        match reply:
            case messages.AppendReply(success=True):
                peer.accept(reply.match_index)
            case messages.AppendReply():
                peer.reject(reply.hint_index)
            case messages.SnapshotReply(offset=following.SNAPSHOT_COMPLETE):
                peer.snapshot = None
                peer.accept(reply.index)
            case messages.SnapshotReply():
                peer.request_chunk(reply.index, reply.offset)

    def _peer(self, member_id: str) -> progress.Progress:
        if member_id not in self.peers:
            self.peers[member_id] = progress.Progress(
                next_index=max(1, self._journal.log.last_index)
            )
        return self.peers[member_id]

    def _messages_for(
        self, peer: progress.Progress, now: int, *, heartbeat: bool
    ) -> Iterator[messages.Message]:
        log = self._journal.log
        if peer.snapshot is None and log.term_at(peer.next_index - 1) is None:
            peer.begin_snapshot(log.snapshot)
        if peer.snapshot is not None:
            if peer.chunk_due(now, self._timing.raft_heartbeat_ms):
                yield self._chunk(peer, now)
            return
        sent = False
        while peer.may_send(log.last_index, IN_FLIGHT_BATCHES):
            yield self._batch(peer, now)
            sent = True
        if heartbeat and not sent:
            yield self._request(peer, (), now)

    def _batch(
        self, peer: progress.Progress, now: int
    ) -> messages.AppendRequest:
        log = self._journal.log
        last = min(log.last_index, peer.next_index + BATCH_ENTRIES - 1)
        entries = _limit_batch_size(log.between(peer.next_index, last))
        request = self._request(peer, entries, now)
        peer.record_sent(entries[-1].index)
        return request

    def _request(
        self,
        peer: progress.Progress,
        entries: tuple[records.Entry, ...],
        now: int,
    ) -> messages.AppendRequest:
        prev = peer.next_index - 1
        return messages.AppendRequest(
            term=self._journal.term,
            prev_index=prev,
            prev_term=self._journal.log.term_at(prev),
            entries=entries,
            commit=self._journal.commit_index,
            sent_ms=now,
        )

    def _chunk(
        self, peer: progress.Progress, now: int
    ) -> messages.SnapshotChunk:
        peer.chunk_sent_ms = now
        snapshot = peer.snapshot
        end = peer.offset + CHUNK_BYTES
        return messages.SnapshotChunk(
            term=self._journal.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            membership=snapshot.membership,
            offset=peer.offset,
            payload=snapshot.payload[peer.offset : end],
            done=end >= len(snapshot.payload),
            sent_ms=now,
        )


def _limit_batch_size(
    entries: tuple[records.Entry, ...],
) -> tuple[records.Entry, ...]:
    size = 0
    for position, entry in enumerate(entries):
        size += len(entry.payload)
        if size > BATCH_BYTES and position:
            return entries[:position]
    return entries
