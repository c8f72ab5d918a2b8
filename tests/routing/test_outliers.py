from bilberryroute.routing import outliers
from bilberryroute.routing import protocol

NAMES = [f"e{i}" for i in range(9)]
FAILURE = outliers.HealthSignal.FAILURE
SUCCESS = outliers.HealthSignal.SUCCESS


def eject(detector: outliers.OutlierDetector, name: str, now: int) -> None:
    for _ in range(outliers.CONSECUTIVE_FAILURES_MAX):
        detector.record(name, FAILURE, now)


def test_endpoint_is_ejected_probed_and_brought_back():
    detector = outliers.OutlierDetector()
    eject(detector, "e0", 0)
    assert detector.concurrency_limits(NAMES, 1) == {"e0": 0}
    assert detector.next_change_ms(1) == outliers.EJECTION_BASE_MS - 1
    assert detector.concurrency_limits(NAMES, outliers.EJECTION_BASE_MS) == {
        "e0": 1
    }
    detector.record("e0", SUCCESS, outliers.EJECTION_BASE_MS)
    assert detector.concurrency_limits(NAMES, outliers.EJECTION_BASE_MS) == {}


def test_failed_probe_ejects_for_twice_as_long():
    detector = outliers.OutlierDetector()
    eject(detector, "e0", 0)
    now = outliers.EJECTION_BASE_MS
    detector.concurrency_limits(NAMES, now)
    detector.record("e0", FAILURE, now)
    assert detector.next_change_ms(now) == 2 * outliers.EJECTION_BASE_MS


def test_flapping_endpoint_is_ejected():
    detector = outliers.OutlierDetector()
    for number in range(outliers.WINDOW_SIZE + 5):
        detector.record("e0", SUCCESS if number % 3 == 0 else FAILURE, 0)
    assert detector.concurrency_limits(NAMES, 1) == {"e0": 0}


def test_never_more_than_a_share_is_ejected():
    detector = outliers.OutlierDetector()
    for name in NAMES:
        eject(detector, name, 0)
    ejected = [
        n
        for n, limit in detector.concurrency_limits(NAMES, 1).items()
        if limit == 0
    ]
    assert len(ejected) == len(NAMES) * outliers.EJECTED_RATIO_MAX
    assert detector.concurrency_limits(NAMES[:1], 1) == {}


def test_only_endpoint_failures_count():
    detector = outliers.OutlierDetector()
    for _ in range(50):
        detector.record(
            "e0", outliers.classify_reason(protocol.Reason.NO_SLOT), 0
        )
    assert detector.concurrency_limits(NAMES, 1) == {}
    detector.record("e0", outliers.classify_reason(protocol.Reason.DRAINING), 0)
    assert detector.concurrency_limits(NAMES, 1) == {"e0": 0}
    assert detector.concurrency_limits(NAMES, outliers.PAUSE_MS) == {}
    detector.record(
        "e1", outliers.classify_reason(protocol.Reason.AGENT_UNREACHABLE), 0
    )
    assert detector.concurrency_limits(NAMES, 1)["e1"] == 0


def test_only_these_reasons_are_ignored():
    ignored = {
        reason
        for reason in protocol.Reason
        if outliers.classify_reason(reason) is outliers.HealthSignal.IGNORED
    }
    assert ignored == {
        protocol.Reason.AGENT_GONE,
        protocol.Reason.COMMIT_UNKNOWN,
        protocol.Reason.DEADLINE,
        protocol.Reason.ENDPOINT_NEVER_SEEN,
        protocol.Reason.EXPIRED,
        protocol.Reason.NEVER_SEEN,
        protocol.Reason.NO_SLOT,
        protocol.Reason.STALE_INCARNATION,
    }
