"""A follower's handling of entries and snapshots from its leader."""

from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import records

SNAPSHOT_COMPLETE = -1


class Following:
    """Stores the entries and snapshots of the leader of the current term."""

    def __init__(self, journal: journal_lib.Journal):
        self._journal = journal
        self._incoming_source = (0, 0)
        self._incoming = bytearray()

    def append(
        self, req: messages.AppendRequest
    ) -> tuple[messages.AppendReply, int]:
        """Returns the reply and the write to wait for before sending it."""
        journal = self._journal
        known = journal.log.term_at(req.prev_index)
        if known != req.prev_term and req.prev_index > journal.commit_index:
            return self.refusal(req, self._hint(req)), journal.hard_state_write
        last = req.entries[-1].index if req.entries else req.prev_index
        journal.store(self._new_entries(req.entries))
        journal.commit_to(min(req.commit, last))
        if req.entries:
            return self._acceptance(req, last), journal.written
        # The reply to a heartbeat does not wait for entries being written.
        match = min(last, journal.durable_index)
        return self._acceptance(req, match), journal.hard_state_write

    def refusal(
        self, req: messages.AppendRequest, hint: int
    ) -> messages.AppendReply:
        """Returns the reply that rejects a request."""
        return messages.AppendReply(
            term=self._journal.term,
            success=False,
            match_index=0,
            hint_index=hint,
            sent_ms=req.sent_ms,
        )

    def receive_chunk(
        self, chunk: messages.SnapshotChunk
    ) -> messages.SnapshotReply:
        """Returns the reply, to be sent once all writes are durable."""
        return messages.SnapshotReply(
            term=self._journal.term,
            index=chunk.index,
            offset=self._next_offset(chunk),
            sent_ms=chunk.sent_ms,
        )

    def refuse_chunk(
        self, chunk: messages.SnapshotChunk
    ) -> messages.SnapshotReply:
        """Returns the reply that tells a stale leader of the term."""
        return messages.SnapshotReply(
            term=self._journal.term,
            index=chunk.index,
            offset=0,
            sent_ms=chunk.sent_ms,
        )

    def _acceptance(
        self, req: messages.AppendRequest, match: int
    ) -> messages.AppendReply:
        return messages.AppendReply(
            term=self._journal.term,
            success=True,
            match_index=match,
            hint_index=0,
            sent_ms=req.sent_ms,
        )

    def _hint(self, req: messages.AppendRequest) -> int:
        log = self._journal.log
        if req.prev_index > log.last_index:
            return log.last_index + 1
        # Skip all entries of the conflicting term.
        conflict = log.term_at(req.prev_index)
        index = req.prev_index
        first = self._journal.commit_index + 1
        while index > first and log.term_at(index - 1) == conflict:
            index -= 1
        return index

    def _new_entries(
        self, entries: tuple[records.Entry, ...]
    ) -> tuple[records.Entry, ...]:
        journal = self._journal
        for position, entry in enumerate(entries):
            if entry.index <= journal.commit_index:
                continue
            if journal.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def _next_offset(self, chunk: messages.SnapshotChunk) -> int:
        if chunk.index <= self._journal.commit_index:
            return SNAPSHOT_COMPLETE
        # Leaders may encode the same state differently, so chunks of two
        # leaders' snapshots cannot be combined.
        if self._incoming_source != (chunk.term, chunk.index):
            self._incoming_source = (chunk.term, chunk.index)
            self._incoming.clear()
        if chunk.offset != len(self._incoming):
            return len(self._incoming)
        self._incoming += chunk.payload
        if not chunk.done:
            return len(self._incoming)
        self._install(chunk)
        return SNAPSHOT_COMPLETE

    def _install(self, chunk: messages.SnapshotChunk) -> None:
        snapshot = records.Snapshot(
            index=chunk.index,
            term=chunk.snapshot_term,
            membership=chunk.membership,
            payload=bytes(self._incoming),
        )
        self._incoming_source = (0, 0)
        self._incoming.clear()
        self._journal.install(snapshot)
