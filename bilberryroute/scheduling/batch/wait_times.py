"""Remembers since when units wait."""

from collections.abc import Set

from bilberryroute.scheduling.batch import views


class WaitTimes:
    """Since when each waiting unit waits, by the clock of the leader.

    A new leader starts anew. Unix times in the replicated state come from other
    hosts, whose clocks may differ.
    """

    def __init__(self):
        self._since: dict[views.UnitKey, int] = {}

    def update(self, waiting: Set[views.UnitKey], now_ms: int) -> None:
        """Takes account of a round.

        Args:
          waiting: All units that wait after the round.
          now_ms: Instant of the round on a monotonic clock, in milliseconds.
        """
        self._since = {key: self._since.get(key, now_ms) for key in waiting}

    def waited_ms(self, now_ms: int) -> dict[views.UnitKey, int]:
        """Returns for how long each unit has waited, in milliseconds."""
        return {key: now_ms - since for key, since in self._since.items()}
