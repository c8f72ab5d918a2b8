"""Outlier detection: which endpoints get no work, or a single probe.

An endpoint is ejected after several faults in a row, or when most of its
recent requests failed. Once its time is over it gets one request at a time;
a good answer brings it back, a fault ejects it for twice as long. Never more
than a share of a service's endpoints are ejected, the worst first.
"""

import dataclasses
import enum
from collections.abc import Collection

from bilberryroute.routing import protocol

FAULTS_IN_A_ROW = 5
WINDOW_RESULTS = 20
FAULT_SHARE = 0.5
EJECT_MS = 1_000
EJECT_MAX_MS = 2_000
PAUSE_MS = 500
EJECTED_SHARE = 1 / 3


class Blame(enum.Enum):
    """What the end of one attempt says about its endpoint."""

    GOOD = enum.auto()
    FAULT = enum.auto()
    UNREACHABLE = enum.auto()
    PAUSE = enum.auto()
    NEUTRAL = enum.auto()


_BLAME = {
    "": Blame.GOOD,
    protocol.Reason.AGENT_UNREACHABLE: Blame.UNREACHABLE,
    protocol.Reason.ENDPOINT_UNREACHABLE: Blame.UNREACHABLE,
    protocol.Reason.AGENT_SILENT: Blame.FAULT,
    protocol.Reason.AGENT_BROKE: Blame.FAULT,
    protocol.Reason.AGENT_MALFORMED: Blame.FAULT,
    protocol.Reason.AGENT_ERROR: Blame.FAULT,
    protocol.Reason.ENDPOINT_TIMEOUT: Blame.FAULT,
    protocol.Reason.ENDPOINT_SILENT: Blame.FAULT,
    protocol.Reason.ENDPOINT_BROKE: Blame.FAULT,
    protocol.Reason.ENDPOINT_TRUNCATED: Blame.FAULT,
    protocol.Reason.ENDPOINT_UNFRAMED: Blame.FAULT,
    protocol.Reason.ENDPOINT_TOO_LONG: Blame.FAULT,
    protocol.Reason.ENDPOINT_MISMATCHED: Blame.FAULT,
    protocol.Reason.ENDPOINT_ERROR: Blame.FAULT,
    protocol.Reason.DRAINING: Blame.PAUSE,
    protocol.Reason.NO_LEASE: Blame.PAUSE,
    protocol.Reason.DOMAIN_OUT: Blame.PAUSE,
    protocol.Reason.ENDPOINT_GONE: Blame.PAUSE,
    protocol.Reason.ENDPOINT_LEAVING: Blame.PAUSE,
    protocol.Reason.MEMORY_FULL: Blame.PAUSE,
}


def blame(reason: str) -> Blame:
    """Returns what a reason for a failed attempt says about the endpoint."""
    return _BLAME.get(reason, Blame.NEUTRAL)


@dataclasses.dataclass(slots=True)
class _Health:
    """What is known of one endpoint.

    Attributes:
      recent: Last results, True for a fault.
      until: Instant until which it is ejected; 0 if it is not.
      paused_until: Instant until which its agent takes nothing.
      probing: Whether it is on trial after an ejection.
      ejections: How often it was ejected without a good answer between.
    """

    in_a_row: int = 0
    recent: list[bool] = dataclasses.field(default_factory=list)
    until: int = 0
    paused_until: int = 0
    probing: bool = False
    ejections: int = 0


class Outliers:
    """Health of the endpoints as one entry has met it."""

    def __init__(self):
        self._health: dict[str, _Health] = {}

    def observe(self, name: str, result: Blame, now: int) -> bool:
        """Takes in one result; returns whether `limits` may have changed."""
        health = self._health.setdefault(name, _Health())
        match result:
            case Blame.GOOD:
                return self._observe_good(health)
            case Blame.FAULT:
                return self._observe_fault(health, 1, now)
            case Blame.UNREACHABLE:
                return self._observe_fault(health, FAULTS_IN_A_ROW, now)
            case Blame.PAUSE:
                health.paused_until = now + PAUSE_MS
                return True
            case Blame.NEUTRAL:
                return False

    def limits(self, names: Collection[str], now: int) -> dict[str, int]:
        """Returns the requests at once for each endpoint that is not whole.

        Args:
          names: All endpoints of one service that may take work.
          now: Monotonic instant in milliseconds.
        """
        limits = {}
        for name in names:
            health = self._health.get(name)
            if health is None:
                continue
            if health.until and health.until <= now:
                health.until = 0
                health.probing = True
            if health.probing:
                limits[name] = 1
        for name in self._ejected(names):
            limits[name] = 0
        for name in names:
            health = self._health.get(name)
            if health is not None and health.paused_until > now:
                limits[name] = 0
        return limits

    def next_change(self, now: int) -> int | None:
        """Returns the milliseconds until a limit may lapse, or None."""
        instants = [
            instant
            for health in self._health.values()
            for instant in (health.until, health.paused_until)
            if instant > now
        ]
        return min(instants) - now if instants else None

    def keep_only(self, names: Collection[str]) -> None:
        """Forgets endpoints that are gone."""
        for name in self._health.keys() - set(names):
            del self._health[name]

    def _ejected(self, names: Collection[str]) -> list[str]:
        ejected = [
            name
            for name in names
            if name in self._health and self._health[name].until
        ]
        if len(names) < 2:
            return []
        bound = max(1, int(len(names) * EJECTED_SHARE))
        ejected.sort(key=lambda name: -self._health[name].ejections)
        return ejected[:bound]

    def _observe_good(self, health: _Health) -> bool:
        was_probing = health.probing
        health.in_a_row = 0
        self._note(health, False)
        if was_probing:
            health.probing = False
            health.ejections = 0
            health.recent.clear()
        return was_probing

    def _observe_fault(self, health: _Health, weight: int, now: int) -> bool:
        health.in_a_row += weight
        self._note(health, True)
        if health.until:
            return False
        if health.probing or self._is_outlier(health):
            self._eject(health, now)
            return True
        return False

    def _note(self, health: _Health, fault: bool) -> None:
        health.recent.append(fault)
        del health.recent[:-WINDOW_RESULTS]

    def _is_outlier(self, health: _Health) -> bool:
        if health.in_a_row >= FAULTS_IN_A_ROW:
            return True
        if len(health.recent) < WINDOW_RESULTS:
            return False
        return sum(health.recent) > FAULT_SHARE * WINDOW_RESULTS

    def _eject(self, health: _Health, now: int) -> None:
        length_ms = min(EJECT_MAX_MS, EJECT_MS << min(health.ejections, 8))
        health.until = now + length_ms
        health.ejections += 1
        health.probing = False
        health.in_a_row = 0
