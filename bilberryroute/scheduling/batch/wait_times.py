"""Remembers since when units wait."""

from bilberryroute.scheduling.batch import views


class WaitTimes:
    """Since when each waiting unit waits, by the clock of the leader.

    A new leader starts anew. Unix times in the replicated state come from other
    hosts, whose clocks may differ.
    """

    def __init__(self):
        self._since: dict[views.UnitKey, int] = {}

    def update(self, plan: views.BatchPlan, now_ms: int) -> None:
        """Takes account of a round.

        Units that an incomplete round did not reach wait on.

        Args:
          plan: What was decided in the round.
          now_ms: Instant of the round on a monotonic clock, in milliseconds.
        """
        since = {
            key: self._since.get(key, now_ms) for key in plan.waiting_units
        }
        self._since = since if plan.complete else self._since | since

    def waited_ms(self, now_ms: int) -> dict[views.UnitKey, int]:
        """Returns for how long each unit has waited, in milliseconds."""
        return {key: now_ms - since for key, since in self._since.items()}
