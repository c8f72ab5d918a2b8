"""Weighs what stopping a run wins against what it throws away.

Answers bursts in which urgent work meets a full pool: the run that has done
least work may be the one whose job is about to be in time, while a late job has
more to lose by the clock than by its value.

All is counted as work, in thousandths of a core-millisecond. What a job earns is
counted as the work that earns as much on average.
"""

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import worth

# Time from the decision to stop a run until another one has started.
STOP_MS = 500
# A stop has to win this much more than it loses, unless a guarantee asks for it:
# forecasts of either are off by as much, and a caller prefers what runs already.
MARGIN = 1.5


class Weigher:
    """What stops win and lose in one planning round."""

    def __init__(
        self,
        state: batch.BatchState,
        job_deadlines: deadlines.Deadlines,
        worths: worth.Worths,
    ):
        """Stores the inputs of the round."""
        self._state = state
        self._job_deadlines = job_deadlines
        self._worths = worths

    def lost_value(self, run: batching.TaskRun, delay_ms: int) -> int | None:
        """Returns what its job earns less if a run is stopped, as work.

        The chance to be in time falls as the delay takes up the slack.

        Args:
          run: Any run of the unit.
          delay_ms: Time that the unit loses by the stop.

        Returns:
          None if its job earns nothing any more, whether it is stopped or not.
        """
        record = self._state.jobs[run.task.job_id]
        match self._job_deadlines.running_prospect(run.task):
            case deadlines.Prospect.IN_TIME:
                at_stake = 1.0 - worth.LATE_SHARE
            case deadlines.Prospect.LATE:
                at_stake = worth.LATE_SHARE
            case _:
                return None
        slack_ms = self._job_deadlines.running_slack_ms(run.task)
        risk = 1.0 - min(1.0, slack_ms / max(1, delay_ms))
        return self._as_work(at_stake * risk * self._worths.value(record))

    def reclaimed(self, unit: views.ReadyUnit) -> int:
        """Returns what a unit within a guarantee earns if it starts now."""
        return self._earned(unit, STOP_MS)

    def won(self, unit: views.ReadyUnit, fit: views.FutureFit | None) -> int:
        """Returns what a unit earns more if it need not wait for room.

        Args:
          unit: Unit that waits.
          fit: When it fits otherwise; None if no end of a run lets it start.
        """
        earned = self._earned(unit, STOP_MS)
        if fit is not None:
            earned -= self._earned(unit, fit.delay_ms)
        return max(0, earned)

    def _earned(self, unit: views.ReadyUnit, delay_ms: int) -> int:
        """Returns the unit's share of what its job earns after a delay."""
        slack_ms = self._job_deadlines.waiting_slack_ms(unit) - delay_ms
        objective_ms = self._job_deadlines.objective_ms(unit.record, unit.queue)
        if slack_ms >= 0:
            factor = 1.0
        elif slack_ms + (deadlines.ZERO_VALUE_FACTOR - 1) * objective_ms >= 0:
            factor = worth.LATE_SHARE
        else:
            return 0
        factor *= len(unit.indexes) / sum(
            step.count for step in unit.record.content.steps
        )
        return self._as_work(factor * self._worths.value(unit.record))

    def _as_work(self, value: float) -> int:
        return int(value * self._worths.work_per_value)
