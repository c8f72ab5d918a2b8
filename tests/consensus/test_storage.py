import errno
import os

import pytest

from bilberryroute import errors
from bilberryroute.consensus import files as files_lib
from bilberryroute.consensus import messages
from bilberryroute.consensus import records
from bilberryroute.consensus import storage as storage_lib

_SEGMENT_BYTES = 1 << 20


def _entry(index: int) -> records.Entry:
    return records.Entry(index=index, term=1, payload=b"payload %d" % index)


def _open(folder, files=None, segment_bytes=_SEGMENT_BYTES):
    store = storage_lib.LogStorage(
        files or files_lib.Files(folder), segment_bytes
    )
    return store, store.open("r0")


def _write(store, *indexes: int) -> None:
    store.write(
        [messages.Write(sequence=i, entries=(_entry(i),)) for i in indexes]
    )


def _segments(folder) -> list:
    return sorted(folder.glob("log-*"))


def _replace_log(folder, segment, content: bytes) -> None:
    for path in _segments(folder):
        path.unlink()
    segment.write_bytes(content)


@pytest.fixture
def written(tmp_path):
    """Returns a folder that holds entries 1 to 4."""
    store, _ = _open(tmp_path)
    state = records.HardState(term=1, vote="r0#x", group="g")
    store.write([messages.Write(sequence=1, hard_state=state)])
    _write(store, 1, 2)
    _write(store, 3, 4)
    store.close()
    return tmp_path


def test_reopened_log_holds_what_was_written(written):
    store, recovered = _open(written)
    assert recovered.entries == [_entry(i) for i in range(1, 5)]
    assert recovered.hard_state.vote == "r0#x"
    store.close()
    _, again = _open(written)
    assert again.id == recovered.id


def test_entries_replace_the_tail_they_meet(written):
    store, _ = _open(written)
    other = records.Entry(index=3, term=2, payload=b"other")
    store.write([messages.Write(sequence=1, entries=(other,))])
    store.close()
    assert _open(written)[1].entries == [_entry(1), _entry(2), other]


def test_tail_torn_at_any_byte_is_cut(written):
    segment = _segments(written)[0]
    whole = segment.read_bytes()
    previous = -1
    for size in range(len(whole), 0, -1):
        _replace_log(written, segment, whole[:size])
        try:
            store, recovered = _open(written)
        except errors.LogDamaged as exc:
            assert "no beginning" in str(exc)
            break
        count = len(recovered.entries)
        assert recovered.entries == [_entry(i + 1) for i in range(count)]
        assert previous in (-1, count, count + 1)
        previous = count
        _write(store, count + 1)
        store.close()
        store, recovered = _open(written)
        assert len(recovered.entries) == count + 1
        store.close()
    assert previous == 0


def test_crash_at_any_call_of_opening_loses_nothing(written):
    segment = _segments(written)[0]
    segment.write_bytes(segment.read_bytes() + b"torn")
    for fail_at in range(1, 30):
        files = FailingFiles(written)
        files.fail_at = fail_at
        try:
            store, recovered = _open(written, files)
        except errors.StorageError as exc:
            assert not isinstance(exc, errors.LogDamaged)
            continue
        assert fail_at > 3
        assert len(recovered.entries) == 4
        store.close()
        return
    pytest.fail("the log never opened")


def test_torn_tail_of_zeros_is_cut(written):
    segment = _segments(written)[0]
    segment.write_bytes(segment.read_bytes() + bytes(700))
    store, recovered = _open(written)
    assert len(recovered.entries) == 4
    store.close()


def test_flipped_bit_anywhere_refuses_to_start(written):
    segment = _segments(written)[0]
    whole = segment.read_bytes()
    for position in range(len(whole)):
        damaged = bytearray(whole)
        damaged[position] ^= 1 << position % 8
        _replace_log(written, segment, bytes(damaged))
        with pytest.raises(errors.LogDamaged):
            _open(written)
    _replace_log(written, segment, whole)
    assert len(_open(written)[1].entries) == 4


def test_missing_segment_refuses_to_start(tmp_path):
    store, _ = _open(tmp_path, segment_bytes=1)
    for index in range(1, 5):
        _write(store, index)
    store.close()
    _segments(tmp_path)[2].unlink()
    with pytest.raises(errors.LogDamaged):
        _open(tmp_path)


def test_torn_segment_before_the_last_refuses_to_start(tmp_path):
    store, _ = _open(tmp_path, segment_bytes=1)
    for index in range(1, 5):
        _write(store, index)
    store.close()
    os.truncate(_segments(tmp_path)[2], 20)
    with pytest.raises(errors.LogDamaged):
        _open(tmp_path)


def test_emptied_folder_gets_another_identity(written):
    store, recovered = _open(written)
    store.close()
    for path in written.iterdir():
        path.unlink()
    _, fresh = _open(written)
    assert fresh.id != recovered.id
    assert fresh.hard_state == records.HardState()


def test_lost_log_refuses_to_start(written):
    for path in _segments(written):
        path.unlink()
    with pytest.raises(errors.LogDamaged):
        _open(written)


def test_lost_identity_file_refuses_to_start(tmp_path):
    store, _ = _open(tmp_path, segment_bytes=1)
    _write(store, 1)
    _write(store, 2)
    store.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(errors.LogDamaged):
        _open(tmp_path)


def _snapshot_write(index: int) -> messages.Write:
    return messages.Write(
        sequence=9,
        hard_state=records.HardState(term=1, vote="", group="g"),
        snapshot=records.Snapshot(index=index, term=1, payload=b"state"),
        tail=(_entry(4),),
    )


def test_snapshot_replaces_the_entries_before_it(written):
    store, _ = _open(written)
    store.write([_snapshot_write(3)])
    _write(store, 5)
    store.close()
    store, recovered = _open(written)
    assert recovered.snapshot.payload == b"state"
    assert recovered.entries == [_entry(4), _entry(5)]
    assert len(_segments(written)) == 1
    store.close()


def test_damaged_snapshot_refuses_to_start(written):
    store, _ = _open(written)
    store.write([_snapshot_write(3)])
    store.close()
    snapshot = next(written.glob("snapshot-*"))
    content = bytearray(snapshot.read_bytes())
    content[-1] ^= 1
    snapshot.write_bytes(content)
    with pytest.raises(errors.LogDamaged):
        _open(written)


class FailingFiles(files_lib.Files):
    """Fails at a chosen call, and counts the calls.

    Attributes:
      fail_at: Number of the call that fails; later ones fail no more.
      space: Bytes that may still be written, or None for no bound.
    """

    def __init__(self, folder):
        super().__init__(folder)
        self.calls = 0
        self.fail_at = None
        self.space = None

    def write(self, descriptor, content):
        """Writes as much as there is space for."""
        self._count(errno.EIO)
        if self.space is not None and len(content) > self.space:
            super().write(descriptor, content[: self.space])
            raise OSError(errno.ENOSPC, "no space left")
        super().write(descriptor, content)

    def sync(self, descriptor):
        """Syncs, or fails."""
        self._count(errno.EIO)
        super().sync(descriptor)

    def sync_folder(self):
        """Syncs, or fails."""
        self._count(errno.EIO)
        super().sync_folder()

    def rename(self, old, new):
        """Renames, or fails."""
        self._count(errno.EIO)
        super().rename(old, new)

    def _count(self, code: int) -> None:
        self.calls += 1
        if self.calls == self.fail_at:
            raise OSError(code, "injected")


@pytest.mark.parametrize("space", [0, 5, 40])
def test_full_disk_refuses_and_loses_nothing(written, space):
    files = FailingFiles(written)
    store, _ = _open(written, files)
    files.space = space
    with pytest.raises(errors.StorageError):
        _write(store, 5)
    store.close()
    _, recovered = _open(written)
    assert recovered.entries == [_entry(i) for i in range(1, 5)]


def test_failed_sync_ends_all_writing(written):
    files = FailingFiles(written)
    store, _ = _open(written, files)
    files.fail_at = files.calls + 2
    with pytest.raises(errors.StorageError):
        _write(store, 5)
    files.fail_at = None
    with pytest.raises(errors.StorageError, match="failed before"):
        _write(store, 6)


def test_unsynced_content_is_written_anew_before_it_is_trusted(written):
    before = _segments(written)
    store, _ = _open(written)
    store.close()
    assert not set(before) & set(_segments(written))


def test_crash_at_any_call_of_a_snapshot_loses_nothing(written):
    for fail_at in range(1, 30):
        files = FailingFiles(written)
        store, before = _open(written, files)
        first = before.snapshot.index + 1
        assert before.entries[-1] == _entry(4)
        assert before.entries[0].index in (1, first)
        files.fail_at = files.calls + fail_at
        try:
            store.write([_snapshot_write(3)])
        except errors.StorageError:
            store.close()
            continue
        assert fail_at > 5
        store.close()
        assert _open(written)[1].snapshot.index == 3
        return
    pytest.fail("the snapshot was never written")
