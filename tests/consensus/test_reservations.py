"""The silence after a restart, counted from the lock of the data folder."""

import pathlib
import random

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import files
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import records
from bilberryroute.consensus import reservations
from bilberryroute.consensus import storage

TIMING = settings.Timing()
# Time that a replica's code takes to load on a busy host.
LOAD_MS = 750
NOW_MS = 50_000
LOCKED_MS = clock_lib.Millis(7)


def restarted(locked_ms: int | None, seed: int = 0) -> core_lib.Core:
    members = tuple(
        records.Member(
            id=name,
            address=settings.ReplicaAddress(id=name, grpc="", datagram=""),
        )
        for name in ("a", "b", "c")
    )
    entry = records.Entry(
        index=1,
        term=1,
        kind=records.EntryKind.MEMBERSHIP,
        payload=records.encode_membership(records.Membership(members=members)),
    )
    return core_lib.Core(
        identity="a",
        timing=TIMING,
        log=memory_log.MemoryLog(entries=[entry]),
        hard_state=records.HardState(term=1, vote="b", group="g"),
        rng=random.Random(seed),
        now=NOW_MS,
        locked_ms=locked_ms,
    )


def grants(core: core_lib.Core, now: int) -> bool:
    """Returns whether a replica grants a pre-vote."""
    request = messages.VoteRequest(term=2, pre=True, last_index=1, last_term=1)
    envelope = messages.Envelope(
        group="g", sender="b", receiver="a", body=request
    )
    sent = [o for o in core.step(envelope, now) if isinstance(o, messages.Send)]
    return any(output.envelope.body.granted for output in sent)


def stands_ms(core: core_lib.Core) -> int:
    """Returns when a replica that gets no message stands as a candidate."""
    while core.role is messages.Role.FOLLOWER:
        now = core.deadline_ms
        core.tick(now)
    return now


@pytest.mark.parametrize("seed", range(20))
def test_group_waits_no_longer_than_a_lease_after_loss_of_power(seed):
    """The time that the code took to load counts."""
    core = restarted(NOW_MS - LOAD_MS, seed)
    assert grants(core, NOW_MS)
    assert NOW_MS <= core.deadline_ms < NOW_MS + TIMING.election_ms // 2


@pytest.mark.parametrize("load_ms", [0, 100, TIMING.election_ms - 1])
def test_restarted_replica_grants_no_vote_before_leases_have_expired(load_ms):
    locked_ms = NOW_MS - load_ms
    core = restarted(locked_ms)
    assert not grants(core, locked_ms + TIMING.election_ms - 1)
    assert stands_ms(restarted(locked_ms)) >= locked_ms + TIMING.election_ms
    assert grants(core, locked_ms + TIMING.election_ms)


def test_folder_locked_when_it_was_opened_counts_from_then():
    core = restarted(None)
    assert not grants(core, NOW_MS + TIMING.election_ms - 1)
    assert stands_ms(restarted(None)) >= NOW_MS + TIMING.election_ms


class StoppedClock(clock_lib.SystemClock):
    """A clock that stands still."""

    def now(self):
        return LOCKED_MS


def opened(folder: pathlib.Path) -> storage.LogStorage:
    return storage.LogStorage(files.Files(folder), segment_bytes=100_000)


def test_folder_opened_after_it_was_reserved_was_locked_all_the_while(tmp_path):
    reservations.reserve(str(tmp_path), StoppedClock())
    with pytest.raises(BlockingIOError):
        files.Files(tmp_path).lock(reservations.LOCK)
    log = opened(tmp_path)
    assert log.open("r").locked_ms == LOCKED_MS
    with pytest.raises(BlockingIOError):
        files.Files(tmp_path).lock(reservations.LOCK)
    log.close()
    assert log.open("r").locked_ms is None
    log.close()


def test_silence_counts_from_after_the_lock_was_taken(tmp_path, monkeypatch):
    """Until then the predecessor may reply to a leader."""
    calls = []
    lock = files.Files.lock
    monkeypatch.setattr(
        files.Files,
        "lock",
        lambda self, name: (calls.append("lock"), lock(self, name))[1],
    )
    clock = StoppedClock()
    monkeypatch.setattr(
        clock, "now", lambda: (calls.append("now"), LOCKED_MS)[1]
    )
    reservations.reserve(str(tmp_path), clock)
    opened(tmp_path).open("r")
    assert calls[:2] == ["lock", "now"]


def test_folder_of_a_live_predecessor_is_not_reserved(tmp_path):
    predecessor = opened(tmp_path)
    predecessor.open("r")
    reservations.reserve(str(tmp_path), StoppedClock())
    predecessor.close()
    log = opened(tmp_path)
    assert log.open("r").locked_ms is None
    log.close()


@pytest.mark.parametrize("seed", range(10))
def test_replica_that_grants_a_pre_vote_leaves_that_candidate_time(seed):
    """Two candidates of three voters would split the votes."""
    core = restarted(NOW_MS - LOAD_MS, seed)
    now = core.deadline_ms - 5
    assert grants(core, now)
    core.tick(now + 10)
    assert core.role is messages.Role.FOLLOWER
