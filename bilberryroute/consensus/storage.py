"""Durable log of one replica: segments of frames, snapshots and an identity.

After a failed write or sync the folder must be opened again before use, because
the content of the file is then unknown.
"""

import errno
import secrets
from collections.abc import Sequence
from dataclasses import dataclass

from bilberryroute import errors
from bilberryroute.consensus import files as files_lib
from bilberryroute.consensus import frames
from bilberryroute.consensus import messages
from bilberryroute.consensus import records
from bilberryroute.consensus import reservations
from bilberryroute.transport import codec

_IDENTITY = "identity"
_SEGMENT = "log-"
_SNAPSHOT = "snapshot-"
_TEMPORARY = ".new"
_TOKEN_BYTES = 6
# Errors of a disk that may accept writes again later.
_DISK_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS, errno.EIO})


@dataclass(frozen=True, slots=True, kw_only=True)
class FolderIdentity:
    """Content of the identity file."""

    id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SegmentRecord:
    """One frame of a segment.

    Attributes:
      checkpoint: Index of the snapshot that, with these entries, replaces all
        earlier records; None for an ordinary record.
      hard_state: New hard state, or None if unchanged.
      entries: Entries that replace the log from the index of the first on.
    """

    checkpoint: int | None = None
    hard_state: records.HardState | None = None
    entries: tuple[records.Entry, ...] = ()


@dataclass(slots=True, kw_only=True)
class Recovered:
    """State recovered from the folder when it was opened.

    Attributes:
      locked_ms: When the folder was locked, if that was before it was opened.
    """

    id: str
    hard_state: records.HardState
    snapshot: records.Snapshot
    entries: list[records.Entry]
    locked_ms: int | None = None


_record_decoder = codec.Decoder(SegmentRecord)
_identity_decoder = codec.Decoder(FolderIdentity)
_snapshot_decoder = codec.Decoder(records.Snapshot)


class LogStorage:
    """The log in one folder; blocking, and to be used from one thread."""

    def __init__(self, files: files_lib.Files, segment_bytes: int):
        self._files = files
        self._segment_bytes = segment_bytes
        self._failure: OSError | None = None
        self._lock: int | None = None
        self._segment: int | None = None
        self._number = 0
        self._size = 0

    def open(self, replica: str) -> Recovered:
        """Locks the folder and recovers the log, without a torn tail.

        Args:
          replica: Replica id, for the identity of an empty folder.

        Raises:
          errors.LogDamaged: If anything but the tail is damaged.
          errors.DiskFailing: If the disk refuses writes; try again later.
          errors.StorageError: If the folder cannot be used.
        """
        try:
            reserved = reservations.take(self._files.folder)
            self._lock = (
                reserved.descriptor
                if reserved is not None
                else self._files.lock(reservations.LOCK)
            )
            if _IDENTITY not in self._files.names():
                self._create(replica)
            recovered = self._recover()
            if reserved is not None:
                recovered.locked_ms = reserved.since_ms
            return recovered
        except errors.LogDamaged:
            self.close()
            raise
        except OSError as exc:
            self.close()
            raise _storage_error("cannot open the log", exc) from exc

    def write(self, writes: Sequence[messages.Write]) -> None:
        """Makes writes durable with one sync.

        Raises:
          errors.StorageError: If this write or an earlier one failed, or the
            log is closed.
        """
        if self._segment is None:
            raise errors.StorageError("the log is closed")
        if self._failure is not None:
            raise _storage_error("log failed before", self._failure)
        try:
            self._write(writes)
        except OSError as exc:
            self._failure = exc
            raise _storage_error("cannot write the log", exc) from exc

    def close(self) -> None:
        """Closes the segment and unlocks the folder."""
        for descriptor in (self._segment, self._lock):
            if descriptor is not None:
                self._files.close(descriptor)
        self._segment = None
        self._lock = None
        self._failure = None

    def _write(self, writes: Sequence[messages.Write]) -> None:
        buffer = bytearray()
        for write in writes:
            if write.snapshot is not None:
                self._append(bytes(buffer))
                buffer.clear()
                self._checkpoint(write)
                continue
            record = SegmentRecord(
                hard_state=write.hard_state, entries=write.entries
            )
            buffer += frames.frame(codec.encode(record))
        self._append(bytes(buffer))

    def _append(self, content: bytes) -> None:
        if not content:
            return
        if self._size >= self._segment_bytes:
            self._start_segment()
        self._files.write(self._segment, content)
        self._files.sync(self._segment)
        self._size += len(content)

    def _checkpoint(self, write: messages.Write) -> None:
        name = _snapshot_name(write.snapshot.index)
        self._write_file(name, codec.encode(write.snapshot))
        record = SegmentRecord(
            checkpoint=write.snapshot.index,
            hard_state=write.hard_state,
            entries=write.tail,
        )
        self._start_segment(record)
        self._remove_before(self._number, name)

    def _start_segment(self, first: SegmentRecord | None = None) -> None:
        """Starts a segment; creates it atomically if it has a first record."""
        if self._segment is not None:
            self._files.close(self._segment)
            self._segment = None
        self._number += 1
        self._size = 0
        name = _segment_name(self._number)
        if first is not None:
            self._size = self._write_file(name, codec.encode(first))
        self._segment = self._files.open_append(name)
        if first is None:
            self._files.sync_folder()

    def _remove_before(self, number: int, snapshot: str) -> None:
        for name in self._files.names():
            old_segment = name.startswith(_SEGMENT) and (
                name < _segment_name(number)
            )
            old_snapshot = name.startswith(_SNAPSHOT) and name != snapshot
            leftover = name.endswith(_TEMPORARY)
            if old_segment or old_snapshot or leftover:
                self._files.remove(name)

    def _write_file(self, name: str, payload: bytes) -> int:
        """Atomically writes a file of one frame; returns its size."""
        content = frames.frame(payload)
        temporary = name + _TEMPORARY
        self._files.remove(temporary)
        descriptor = self._files.open_append(temporary)
        try:
            self._files.write(descriptor, content)
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
        self._files.rename(temporary, name)
        self._files.sync_folder()
        return len(content)

    def _create(self, replica: str) -> None:
        leftover = [n for n in self._files.names() if n.startswith(_SNAPSHOT)]
        if leftover or len(self._segments()) > 1:
            raise errors.LogDamaged("the identity file is missing")
        for name in self._segments():
            self._files.remove(name)
        empty = SegmentRecord(checkpoint=0, hard_state=records.HardState())
        self._start_segment(empty)
        token = secrets.token_hex(_TOKEN_BYTES)
        identity = FolderIdentity(id=records.identity(replica, token))
        self._write_file(_IDENTITY, codec.encode(identity))

    def _segments(self) -> list[str]:
        return [
            n
            for n in self._files.names()
            if n.startswith(_SEGMENT) and not n.endswith(_TEMPORARY)
        ]

    def _recover(self) -> Recovered:
        identity = _identity_decoder.decode(self._read_single_frame(_IDENTITY))
        recovered = Recovered(
            id=identity.id,
            hard_state=records.HardState(),
            snapshot=records.Snapshot(),
            entries=[],
        )
        checkpoint = self._replay(recovered)
        if checkpoint:
            payload = self._read_single_frame(_snapshot_name(checkpoint))
            recovered.snapshot = _snapshot_decoder.decode(payload)
        self._rewrite_log(recovered, checkpoint)
        return recovered

    def _rewrite_log(self, recovered: Recovered, checkpoint: int) -> None:
        """Rewrites the recovered log, as it may not be durable yet.

        After a failed sync, content may exist only in the page cache.
        """
        record = SegmentRecord(
            checkpoint=checkpoint,
            hard_state=recovered.hard_state,
            entries=tuple(recovered.entries),
        )
        self._start_segment(record)
        self._remove_before(self._number, _snapshot_name(checkpoint))

    def _read_single_frame(self, name: str) -> bytes:
        if name not in self._files.names():
            raise errors.LogDamaged(f"{name} is missing")
        scanned = frames.scan(self._files.read(name))
        if len(scanned.payloads) != 1 or scanned.damaged:
            raise errors.LogDamaged(f"{name} fails its checksum")
        return scanned.payloads[0]

    def _replay(self, recovered: Recovered) -> int:
        """Replays from the last segment that starts with a checkpoint."""
        checkpoint = None
        for name, replayed in self._live_segments():
            for record in replayed:
                if record.checkpoint is not None:
                    checkpoint = record.checkpoint
                    recovered.entries = []
                _extend(recovered, record, name)
        if checkpoint is None:
            raise errors.LogDamaged("the log has no beginning")
        entries = recovered.entries
        if entries and entries[0].index > checkpoint + 1:
            raise errors.LogDamaged("the first entries of the log are missing")
        return checkpoint

    def _live_segments(self) -> list[tuple[str, list[SegmentRecord]]]:
        live: list[tuple[str, list[SegmentRecord]]] = []
        names = self._segments()
        if not names:
            raise errors.LogDamaged("the log is missing")
        for name in reversed(names):
            replayed = self._records(name, last=name == names[-1])
            live.insert(0, (name, replayed))
            if replayed and replayed[0].checkpoint is not None:
                break
        numbers = [int(name.removeprefix(_SEGMENT)) for name, _ in live]
        if numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise errors.LogDamaged("a segment of the log is missing")
        self._number = numbers[-1]
        return live

    def _records(self, name: str, *, last: bool) -> list[SegmentRecord]:
        content = self._files.read(name)
        scanned = frames.scan(content)
        torn = scanned.size < len(content)
        if scanned.damaged or (torn and not last):
            raise errors.LogDamaged(f"{name} is damaged at byte {scanned.size}")
        return [_decode(payload, name) for payload in scanned.payloads]


def _storage_error(context: str, exc: OSError) -> errors.StorageError:
    """Returns the error to raise for a failed file operation."""
    failing = exc.errno in _DISK_ERRNOS
    kind = errors.DiskFailing if failing else errors.StorageError
    return kind(f"{context}: {exc}")


def _segment_name(number: int) -> str:
    return f"{_SEGMENT}{number:012d}"


def _snapshot_name(index: int) -> str:
    return f"{_SNAPSHOT}{index:020d}"


def _decode(payload: bytes, name: str) -> SegmentRecord:
    try:
        return _record_decoder.decode(payload)
    except errors.MalformedInput as exc:
        raise errors.LogDamaged(f"{name}: {exc.message}") from exc


def _extend(recovered: Recovered, record: SegmentRecord, name: str) -> None:
    if record.hard_state is not None:
        recovered.hard_state = record.hard_state
    for entry in record.entries:
        entries = recovered.entries
        if entries and entry.index > entries[-1].index + 1:
            raise errors.LogDamaged(f"{name} is missing entries")
        while entries and entries[-1].index >= entry.index:
            entries.pop()
        entries.append(entry)
