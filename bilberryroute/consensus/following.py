"""A follower's answers to its leader's entries and snapshots."""

from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import records

SNAPSHOT_HELD = -1


class Following:
    """Takes over what a leader of the present term sends."""

    def __init__(self, journal: journal_lib.Journal):
        self._journal = journal
        self._incoming_source = (0, 0)
        self._incoming = bytearray()

    def append(
        self, req: messages.AppendRequest
    ) -> tuple[messages.AppendReply, int]:
        """Returns the answer, and the write that it has to wait for."""
        journal = self._journal
        known = journal.log.term_at(req.prev_index)
        if known != req.prev_term and req.prev_index > journal.commit_index:
            return self.refusal(req, self._hint(req)), journal.hard_state_write
        last = req.entries[-1].index if req.entries else req.prev_index
        journal.store(self._unknown(req.entries))
        journal.commit_to(min(req.commit, last))
        if req.entries:
            return self._acceptance(req, last), journal.written
        # A heartbeat waits for no entry on its way to the disk.
        match = min(last, journal.durable_index)
        return self._acceptance(req, match), journal.hard_state_write

    def refusal(
        self, req: messages.AppendRequest, hint: int
    ) -> messages.AppendReply:
        """Returns the answer to entries that cannot be appended."""
        return messages.AppendReply(
            term=self._journal.term,
            success=False,
            match_index=0,
            hint_index=hint,
            sent_ms=req.sent_ms,
        )

    def take_chunk(
        self, chunk: messages.SnapshotChunk
    ) -> messages.SnapshotReply:
        """Returns the answer, which has to wait for all writes."""
        return messages.SnapshotReply(
            term=self._journal.term,
            index=chunk.index,
            offset=self._wanted_after(chunk),
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
        # Skip the whole run of entries of the conflicting term.
        conflict = log.term_at(req.prev_index)
        index = req.prev_index
        first = self._journal.commit_index + 1
        while index > first and log.term_at(index - 1) == conflict:
            index -= 1
        return index

    def _unknown(
        self, entries: tuple[records.Entry, ...]
    ) -> tuple[records.Entry, ...]:
        journal = self._journal
        for position, entry in enumerate(entries):
            if entry.index <= journal.commit_index:
                continue
            if journal.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def _wanted_after(self, chunk: messages.SnapshotChunk) -> int:
        if chunk.index <= self._journal.commit_index:
            return SNAPSHOT_HELD
        # Leaders may write the same state differently, so pieces of two
        # leaders' snapshots don't fit together.
        if self._incoming_source != (chunk.term, chunk.index):
            self._incoming_source = (chunk.term, chunk.index)
            self._incoming.clear()
        if chunk.offset != len(self._incoming):
            return len(self._incoming)
        self._incoming += chunk.payload
        if not chunk.done:
            return len(self._incoming)
        self._install(chunk)
        return SNAPSHOT_HELD

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
