"""How long runs took, from the log that every replica applies.

Answers the loss of a leader: its successor has no reports of what ran before its
term. So each replica notes where runs were placed and how long those took that
ended as done, and a new leader knows the workers' speeds at once.
"""

import dataclasses
from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import commands
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import speeds

# Placed runs that are remembered at most, the newest ones: more than twice what
# a deployment of the target size runs at once.
MAX_PLACED = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndedRun:
    """A run, or a whole gang, that ended as done.

    Attributes:
      took_ms: Time from its placement to its end, by the clocks of the leaders
        that committed them.
    """

    progress: speeds.RunProgress
    took_ms: int


class EndedRuns:
    """Follows the runs that are placed and end."""

    def __init__(self):
        self._placed: dict[tuple, tuple[speeds.RunProgress, int]] = {}

    def apply(
        self, command: commands.Command, state: batch.BatchState, now_ms: int
    ) -> Iterator[EndedRun]:
        """Yields the runs that a command ended.

        Args:
          command: Command that was just applied.
          state: State of the batch jobs with the command applied.
          now_ms: Monotonic time of the command in milliseconds.
        """
        match command:
            case batching.PlaceRuns(units=units, at_ms=at_ms):
                for unit in units:
                    self._note_placed(unit, at_ms, state)
            case batching.EndRuns(ends=ends, at_ms=at_ms):
                for end in ends:
                    placed = self._pop(end)
                    if placed and end.outcome == batch.RunOutcome.DONE:
                        progress, placed_ms = placed
                        yield EndedRun(
                            progress=dataclasses.replace(
                                progress, at_ms=now_ms
                            ),
                            took_ms=at_ms - placed_ms,
                        )

    def _note_placed(
        self, unit: batching.Unit, at_ms: int, state: batch.BatchState
    ) -> None:
        """Notes a unit, unless its time would not tell its workers' speed.

        Which racks the workers are in is not in the log.
        """
        record = state.jobs.get(unit.job_id)
        if record is None:
            return
        step = record.content.steps[unit.step]
        names = tuple(sorted({m.worker.name for m in unit.members}))
        first = record.task(unit.task(unit.members[0]))
        if (
            step.long_running
            or step.data_rack
            or (len(names) > 1 and placing.has_preference(step))
            or first is None
            or first.run != unit.run
            or first.placed_ms != at_ms
            or first.resumed
        ):
            return
        key = _key(unit.task(unit.members[0]), unit.run, gang=step.gang)
        progress = speeds.RunProgress(
            key=key,
            step=(unit.job_id, unit.step),
            queue=(record.queue, unit.step),
            workers=names,
            slowdown=1.0,
            percent=100,
            at_ms=0,
            estimate_ms=step.estimate_ms,
        )
        self._placed[key] = (progress, at_ms)
        while len(self._placed) > MAX_PLACED:
            self._placed.pop(next(iter(self._placed)))

    def _pop(
        self, end: batching.RunEnd
    ) -> tuple[speeds.RunProgress, int] | None:
        for gang in (False, True):
            placed = self._placed.pop(_key(end.task, end.run, gang=gang), None)
            if placed is not None:
                return placed
        return None


def _key(task: batch.TaskId, run: int, *, gang: bool) -> tuple:
    """Returns the key under which the reports of a run are known too."""
    if gang:
        return ((task.job_id, task.occurrence, task.step), run)
    return (task, run)
