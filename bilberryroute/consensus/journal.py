"""Persistent Raft state: log, term, vote and group, and its durability."""

from collections.abc import Callable

from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import records

FOUNDING_TERM = 1


class Journal:
    """Persistent state of a replica, and how much of it is durable.

    Attributes:
      log: Entries and snapshot; may be ahead of what is durable.
      hard_state: Term, vote and group; may be ahead of what is durable.
      commit_index: Index of the last entry known to be committed.
      durable_index: Index of the last entry known to be durable here.
      written: Sequence number of the last write requested.
      synced: Sequence number up to which writes are durable.
      hard_state_write: Sequence number of the write with `hard_state`.
    """

    def __init__(
        self,
        log: memory_log.MemoryLog,
        hard_state: records.HardState,
        emit: Callable[[messages.Output], None],
    ):
        self.log = log
        self.hard_state = hard_state
        self.commit_index = log.snapshot.index
        self.durable_index = log.last_index
        self.written = 0
        self.synced = 0
        self.hard_state_write = 0
        self._pending: dict[int, messages.Write] = {}
        self._emit = emit

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.hard_state.term

    @property
    def membership(self) -> records.Membership:
        """The latest membership, committed or not."""
        return self.log.membership

    def set_term(self, term: int, vote: str) -> None:
        """Sets the current term and the vote in it."""
        self._save(
            records.HardState(term=term, vote=vote, group=self.hard_state.group)
        )

    def belongs_to(self, group: str) -> bool:
        """Returns whether a message is from the group of this replica.

        A data folder without a group is bound to that of its first message.
        """
        if group and not self.hard_state.group:
            self.bind(group)
        return bool(group) and group == self.hard_state.group

    def bind(self, group: str) -> None:
        """Binds the data folder to a group, for good."""
        state = self.hard_state
        self._save(
            records.HardState(term=state.term, vote=state.vote, group=group)
        )

    def found(self, own_id: str, membership: records.Membership) -> None:
        """Creates a group whose id is `own_id`, in one atomic write."""
        entry = records.Entry(
            index=1,
            term=FOUNDING_TERM,
            kind=records.EntryKind.MEMBERSHIP,
            payload=records.encode_membership(membership),
        )
        self.hard_state = records.HardState(
            term=FOUNDING_TERM, vote=own_id, group=own_id
        )
        self.log.append((entry,))
        self._write(hard_state=self.hard_state, entries=(entry,))
        self.hard_state_write = self.written

    def store(self, entries: tuple[records.Entry, ...]) -> None:
        """Replaces the log from the first entry's index on."""
        if not entries:
            return
        self.log.append(entries)
        self.durable_index = min(self.durable_index, entries[0].index - 1)
        self._write(entries=entries)

    def append(self, kind: records.EntryKind, payload: bytes) -> None:
        """Appends an entry of the current term."""
        entry = records.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            payload=payload,
        )
        self.store((entry,))

    def commit_to(self, index: int) -> None:
        """Advances the commit index and emits the entries to apply."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        self.commit_index = index
        self._emit(messages.Apply(entries=entries))

    def compact(self, index: int, payload: bytes, keep: int) -> None:
        """Replaces entries up to `index` by a snapshot of the own state.

        The last `keep` of these entries stay for followers that lag behind.
        """
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot.index:
            return
        snapshot = records.Snapshot(
            index=index,
            term=term,
            membership=self.log.membership_at(index),
            payload=payload,
        )
        keep_from = max(self.log.first_index, index - keep)
        self.log.compact(snapshot, keep_from)
        self._write_snapshot()

    def install(self, snapshot: records.Snapshot) -> None:
        """Installs the snapshot of a leader; its content is committed."""
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self.durable_index = min(self.durable_index, snapshot.index)
        self._write_snapshot()
        self._emit(messages.Restore(snapshot=snapshot))

    def mark_synced(self, sequence: int) -> None:
        """Records that all writes up to `sequence` are durable."""
        self.synced = sequence
        for done in [s for s in self._pending if s <= sequence]:
            self._advance_durable_index(self._pending.pop(done))

    def _save(self, state: records.HardState) -> None:
        if state == self.hard_state:
            return
        self.hard_state = state
        self._write(hard_state=state)
        self.hard_state_write = self.written

    def _write_snapshot(self) -> None:
        self._write(
            hard_state=self.hard_state,
            snapshot=self.log.snapshot,
            tail=self.log.between(self.log.first_index, self.log.last_index),
        )
        self.hard_state_write = self.written

    def _write(self, **content: object) -> None:
        self.written += 1
        write = messages.Write(sequence=self.written, **content)
        self._pending[self.written] = write
        self._emit(write)

    def _advance_durable_index(self, write: messages.Write) -> None:
        durable = self.durable_index
        if write.snapshot is not None:
            durable = max(durable, write.snapshot.index)
        entries = write.entries or write.tail
        if entries and self._is_current(entries[-1]):
            durable = max(durable, entries[-1].index)
        self.durable_index = durable

    def _is_current(self, entry: records.Entry) -> bool:
        """Returns whether the entry has not been replaced since."""
        return self.log.term_at(entry.index) == entry.term
