"""In-memory log: entries since the snapshot, and the memberships in them."""

from collections.abc import Iterable

from bilberryroute.consensus import records

_EMPTY = records.Snapshot()


class MemoryLog:
    """Entries after `base_index`; the snapshot covers the earlier ones.

    Attributes:
      snapshot: The last snapshot; may be ahead of `base_index`.
    """

    def __init__(
        self,
        snapshot: records.Snapshot = _EMPTY,
        entries: Iterable[records.Entry] = (),
    ):
        self.snapshot = snapshot
        self._entries = list(entries)
        self._set_base()
        self._memberships = [(snapshot.index, snapshot.membership)]
        for entry in self._entries:
            self._record_membership(entry)

    @property
    def first_index(self) -> int:
        """Index of the first entry in memory."""
        return self._base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, in memory or in the snapshot."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def membership(self) -> records.Membership:
        """The latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry that set the latest membership."""
        return self._memberships[-1][0]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not known."""
        if index == self._base_index:
            return self._base_term
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def membership_at(self, index: int) -> records.Membership:
        """Returns the membership in effect at an entry."""
        return next(m for i, m in reversed(self._memberships) if i <= index)

    def memberships_from(self, index: int) -> list[records.Membership]:
        """Returns the membership in effect at an entry and all later ones."""
        later = [m for i, m in self._memberships if i > index]
        return [self.membership_at(index), *later]

    def between(self, first: int, last: int) -> tuple[records.Entry, ...]:
        """Returns the entries from `first` to `last`, inclusive."""
        start = max(0, first - self._base_index - 1)
        return tuple(self._entries[start : last - self._base_index])

    def append(self, entries: Iterable[records.Entry]) -> None:
        """Appends entries; they replace all from the first one's index on."""
        for entry in entries:
            if entry.index <= self.last_index:
                self._truncate(entry.index)
            self._entries.append(entry)
            self._record_membership(entry)

    def compact(self, snapshot: records.Snapshot, keep_from: int) -> None:
        """Sets a snapshot of the own state; keeps entries from `keep_from` on."""
        self._entries = list(self.between(keep_from, self.last_index))
        self.snapshot = snapshot
        self._set_base()
        later = [m for m in self._memberships if m[0] > snapshot.index]
        self._memberships = [(snapshot.index, snapshot.membership), *later]

    def install(self, snapshot: records.Snapshot) -> None:
        """Replaces the log by a leader's snapshot, keeping a matching tail."""
        tail: tuple[records.Entry, ...] = ()
        if self.term_at(snapshot.index) == snapshot.term:
            tail = self.between(snapshot.index + 1, self.last_index)
        self.__init__(snapshot, tail)  # type: ignore[misc]

    def _set_base(self) -> None:
        self._base_index = self.snapshot.index
        self._base_term = self.snapshot.term
        if self._entries and self._entries[0].index <= self.snapshot.index:
            self._base_index = self._entries[0].index
            self._base_term = self._entries[0].term
            del self._entries[0]

    def _truncate(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        while self._memberships[-1][0] >= index:
            self._memberships.pop()

    def _record_membership(self, entry: records.Entry) -> None:
        if entry.kind is not records.EntryKind.MEMBERSHIP:
            return
        if entry.index > self._memberships[-1][0]:
            membership = records.decode_membership(entry.payload)
            self._memberships.append((entry.index, membership))
