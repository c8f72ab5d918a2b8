"""How many tasks of a step decisions may still take away. Pure.

A step may bound how many of its tasks are away at once by our doing. A task
counts as here only while it is known to be at work: one that was just stopped,
has not come back or is on its way counts as away.
"""

import collections
from collections.abc import Iterable
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views


class Budget:
    """Tasks at work that may yet be stopped, by step."""

    def __init__(self, held: batch.BatchState, at_work: Set[room_lib.RunKey]):
        """Counts what is here.

        Args:
          held: Batch jobs.
          at_work: Runs that their workers report as at work.
        """
        self._held = held
        self._at_work = at_work
        self._here = collections.Counter(
            _step_key(task) for task, run in at_work if self._goes_on(task, run)
        )

    def _goes_on(self, task_id: batch.TaskId, run: int) -> bool:
        record = self._held.jobs.get(task_id.job_id)
        task = record.task(task_id) if record is not None else None
        return (
            task is not None
            and task.run == run
            and task.state == batch.TaskState.PLACED
        )

    def allows(self, runs: Iterable[batching.TaskRun]) -> bool:
        """Says whether these runs, all of one step, may be stopped."""
        runs = list(runs)
        step = self._step(runs[0].task)
        if not step.max_unavailable:
            return True
        taken = self._working(runs)
        away = step.count - self._here[_step_key(runs[0].task)]
        return taken == 0 or away + taken <= step.max_unavailable

    def spend(self, runs: Iterable[batching.TaskRun]) -> None:
        """Counts runs as stopped from now on."""
        runs = list(runs)
        self._here[_step_key(runs[0].task)] -= self._working(runs)

    def _working(self, runs: list[batching.TaskRun]) -> int:
        return sum((each.task, each.run) in self._at_work for each in runs)

    def _step(self, task: batch.TaskId) -> batch.Step:
        return self._held.jobs[task.job_id].content.steps[task.step]


def _step_key(task: batch.TaskId) -> views.StepKey:
    return (task.job_id, task.occurrence, task.step)
