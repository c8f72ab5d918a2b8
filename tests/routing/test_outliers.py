from bilberryroute.routing import outliers
from bilberryroute.routing import protocol

NAMES = [f"e{i}" for i in range(9)]
FAULT = outliers.Blame.FAULT
GOOD = outliers.Blame.GOOD


def eject(health: outliers.Outliers, name: str, now: int) -> None:
    for _ in range(outliers.FAULTS_IN_A_ROW):
        health.observe(name, FAULT, now)


def test_endpoint_is_ejected_probed_and_brought_back():
    health = outliers.Outliers()
    eject(health, "e0", 0)
    assert health.limits(NAMES, 1) == {"e0": 0}
    assert health.next_change(1) == outliers.EJECT_MS - 1
    assert health.limits(NAMES, outliers.EJECT_MS) == {"e0": 1}
    health.observe("e0", GOOD, outliers.EJECT_MS)
    assert health.limits(NAMES, outliers.EJECT_MS) == {}


def test_failed_probe_ejects_for_twice_as_long():
    health = outliers.Outliers()
    eject(health, "e0", 0)
    now = outliers.EJECT_MS
    health.limits(NAMES, now)
    health.observe("e0", FAULT, now)
    assert health.next_change(now) == 2 * outliers.EJECT_MS


def test_flapping_endpoint_is_ejected():
    health = outliers.Outliers()
    for turn in range(outliers.WINDOW_RESULTS + 5):
        health.observe("e0", GOOD if turn % 3 == 0 else FAULT, 0)
    assert health.limits(NAMES, 1) == {"e0": 0}


def test_never_more_than_a_share_is_ejected():
    health = outliers.Outliers()
    for name in NAMES:
        eject(health, name, 0)
    ejected = [n for n, limit in health.limits(NAMES, 1).items() if limit == 0]
    assert len(ejected) == len(NAMES) * outliers.EJECTED_SHARE
    assert health.limits(NAMES[:1], 1) == {}


def test_only_faults_of_the_endpoint_count():
    health = outliers.Outliers()
    for _ in range(50):
        health.observe("e0", outliers.blame(protocol.Reason.NO_SLOT), 0)
    assert health.limits(NAMES, 1) == {}
    health.observe("e0", outliers.blame(protocol.Reason.DRAINING), 0)
    assert health.limits(NAMES, 1) == {"e0": 0}
    assert health.limits(NAMES, outliers.PAUSE_MS) == {}
    health.observe("e1", outliers.blame(protocol.Reason.AGENT_UNREACHABLE), 0)
    assert health.limits(NAMES, 1)["e1"] == 0


def test_every_reason_is_known():
    neutral = {
        reason
        for reason in protocol.Reason
        if outliers.blame(reason) is outliers.Blame.NEUTRAL
    }
    assert neutral == {
        protocol.Reason.AGENT_GONE,
        protocol.Reason.COMMIT_UNKNOWN,
        protocol.Reason.DEADLINE,
        protocol.Reason.ENDPOINT_NEVER_SEEN,
        protocol.Reason.EXPIRED,
        protocol.Reason.NEVER_SEEN,
        protocol.Reason.NO_SLOT,
        protocol.Reason.STALE_INCARNATION,
    }
