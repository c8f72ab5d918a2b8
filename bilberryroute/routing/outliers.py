"""Outlier ejection: temporarily stops sending requests to bad endpoints.

An endpoint is ejected after several consecutive failures, or when most of its
recent requests failed. When the ejection expires, it is limited to one request
at a time as a probe: a success restores it, a failure ejects it again for
twice as long. At most a fixed ratio of a service's endpoints is ejected, those
with the most ejections first.
"""

import dataclasses
import enum
from collections.abc import Collection

from bilberryroute.routing import protocol

CONSECUTIVE_FAILURES_MAX = 5
WINDOW_SIZE = 20
FAILURE_RATIO_MAX = 0.5
EJECTION_BASE_MS = 1_000
EJECTION_MAX_MS = 2_000
PAUSE_MS = 500
EJECTED_RATIO_MAX = 1 / 3


class HealthSignal(enum.Enum):
    """How the result of one attempt affects the health of its endpoint.

    Attributes:
      SUCCESS: Counts as a success.
      FAILURE: Counts as a failure.
      UNREACHABLE: Ejects at once, without waiting for more failures.
      PAUSE: Suspends the endpoint briefly; its health is unaffected.
      IGNORED: Says nothing about the endpoint.
    """

    SUCCESS = enum.auto()
    FAILURE = enum.auto()
    UNREACHABLE = enum.auto()
    PAUSE = enum.auto()
    IGNORED = enum.auto()


_SIGNALS = {
    "": HealthSignal.SUCCESS,
    protocol.Reason.AGENT_UNREACHABLE: HealthSignal.UNREACHABLE,
    protocol.Reason.ENDPOINT_UNREACHABLE: HealthSignal.UNREACHABLE,
    protocol.Reason.AGENT_SILENT: HealthSignal.FAILURE,
    protocol.Reason.AGENT_BROKE: HealthSignal.FAILURE,
    protocol.Reason.AGENT_MALFORMED: HealthSignal.FAILURE,
    protocol.Reason.AGENT_ERROR: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_TIMEOUT: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_SILENT: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_BROKE: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_TRUNCATED: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_UNFRAMED: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_TOO_LONG: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_MISMATCHED: HealthSignal.FAILURE,
    protocol.Reason.ENDPOINT_ERROR: HealthSignal.FAILURE,
    protocol.Reason.DRAINING: HealthSignal.PAUSE,
    protocol.Reason.NO_LEASE: HealthSignal.PAUSE,
    protocol.Reason.DOMAIN_OUT: HealthSignal.PAUSE,
    protocol.Reason.ENDPOINT_GONE: HealthSignal.PAUSE,
    protocol.Reason.ENDPOINT_LEAVING: HealthSignal.PAUSE,
    protocol.Reason.MEMORY_FULL: HealthSignal.PAUSE,
}


def classify_reason(reason: str) -> HealthSignal:
    """Returns the health signal of a failure reason; empty is a success."""
    return _SIGNALS.get(reason, HealthSignal.IGNORED)


@dataclasses.dataclass(slots=True)
class _EndpointHealth:
    """Health of one endpoint.

    Attributes:
      consecutive_failures: Failures since the last success or ejection.
      recent: Latest results, True for a failure.
      ejected_until: Monotonic time at which the ejection expires; 0 if not
        ejected.
      paused_until: Monotonic time until which its agent refuses requests.
      probing: Whether it is limited to one request after an ejection.
      ejections: Number of ejections since the last successful probe.
    """

    consecutive_failures: int = 0
    recent: list[bool] = dataclasses.field(default_factory=list)
    ejected_until: int = 0
    paused_until: int = 0
    probing: bool = False
    ejections: int = 0


class OutlierDetector:
    """Endpoint health as observed by one entry."""

    def __init__(self):
        self._health: dict[str, _EndpointHealth] = {}

    def record(self, name: str, signal: HealthSignal, now: int) -> bool:
        """Records a result; returns whether the limits may have changed."""
        health = self._health.setdefault(name, _EndpointHealth())
        match signal:
            case HealthSignal.SUCCESS:
                return self._record_success(health)
            case HealthSignal.FAILURE:
                return self._record_failure(health, 1, now)
            case HealthSignal.UNREACHABLE:
                return self._record_failure(
                    health, CONSECUTIVE_FAILURES_MAX, now
                )
            case HealthSignal.PAUSE:
                health.paused_until = now + PAUSE_MS
                return True
            case HealthSignal.IGNORED:
                return False

    def concurrency_limits(
        self, names: Collection[str], now: int
    ) -> dict[str, int]:
        """Returns the concurrency limit of each unhealthy endpoint.

        Args:
          names: All eligible endpoints of one service.
          now: Monotonic time in milliseconds.
        """
        concurrency_limits = {}
        for name in names:
            health = self._health.get(name)
            if health is None:
                continue
            if health.ejected_until and health.ejected_until <= now:
                health.ejected_until = 0
                health.probing = True
            if health.probing:
                concurrency_limits[name] = 1
        for name in self._ejected_names(names):
            concurrency_limits[name] = 0
        for name in names:
            health = self._health.get(name)
            if health is not None and health.paused_until > now:
                concurrency_limits[name] = 0
        return concurrency_limits

    def next_change_ms(self, now: int) -> int | None:
        """Returns the milliseconds until a limit may expire, or None."""
        expiry_times = [
            expiry
            for health in self._health.values()
            for expiry in (health.ejected_until, health.paused_until)
            if expiry > now
        ]
        return min(expiry_times) - now if expiry_times else None

    def retain_only(self, names: Collection[str]) -> None:
        """Drops the health of endpoints that are not named."""
        for name in self._health.keys() - set(names):
            del self._health[name]

    def _ejected_names(self, names: Collection[str]) -> list[str]:
        ejected = [
            name
            for name in names
            if name in self._health and self._health[name].ejected_until
        ]
        if len(names) < 2:
            return []
        max_ejected = max(1, int(len(names) * EJECTED_RATIO_MAX))
        ejected.sort(key=lambda name: -self._health[name].ejections)
        return ejected[:max_ejected]

    def _record_success(self, health: _EndpointHealth) -> bool:
        was_probing = health.probing
        health.consecutive_failures = 0
        self._append_result(health, False)
        if was_probing:
            health.probing = False
            health.ejections = 0
            health.recent.clear()
        return was_probing

    def _record_failure(
        self, health: _EndpointHealth, weight: int, now: int
    ) -> bool:
        health.consecutive_failures += weight
        self._append_result(health, True)
        if health.ejected_until:
            return False
        if health.probing or self._is_outlier(health):
            self._eject(health, now)
            return True
        return False

    def _append_result(self, health: _EndpointHealth, failed: bool) -> None:
        health.recent.append(failed)
        del health.recent[:-WINDOW_SIZE]

    def _is_outlier(self, health: _EndpointHealth) -> bool:
        if health.consecutive_failures >= CONSECUTIVE_FAILURES_MAX:
            return True
        if len(health.recent) < WINDOW_SIZE:
            return False
        return sum(health.recent) > FAILURE_RATIO_MAX * WINDOW_SIZE

    def _eject(self, health: _EndpointHealth, now: int) -> None:
        duration_ms = min(
            EJECTION_MAX_MS, EJECTION_BASE_MS << min(health.ejections, 8)
        )
        health.ejected_until = now + duration_ms
        health.ejections += 1
        health.probing = False
        health.consecutive_failures = 0
