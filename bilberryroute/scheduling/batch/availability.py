"""Limits how many tasks of a step preemption makes unavailable, without I/O.

A step may limit how many of its tasks are unavailable at once because of
preemption. A task counts as available only while its worker reports that it
serves: a task that was just stopped, waits or is starting is unavailable.
"""

import collections
from collections.abc import Iterable
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views


class DisruptionBudget:
    """Number of available tasks that may still be stopped, by step."""

    def __init__(
        self, state: batch.BatchState, available_runs: Set[room_lib.RunKey]
    ):
        """Counts the available tasks of each step.

        Args:
          state: State of the batch jobs.
          available_runs: Runs that their workers report as serving.
        """
        self._state = state
        self._available_runs = available_runs
        self._available = collections.Counter(
            _step_key(task)
            for task, run in available_runs
            if self._is_current(task, run)
        )

    def _is_current(self, task_id: batch.TaskId, run: int) -> bool:
        record = self._state.jobs.get(task_id.job_id)
        task = record.task(task_id) if record is not None else None
        return (
            task is not None
            and task.run == run
            and task.state == batch.TaskState.PLACED
        )

    def allows(self, runs: Iterable[batching.TaskRun]) -> bool:
        """Returns whether these runs, all of one step, may be stopped."""
        runs = list(runs)
        step = self._step(runs[0].task)
        if not step.max_unavailable:
            return True
        newly_unavailable = self._count_available(runs)
        unavailable = step.count - self._available[_step_key(runs[0].task)]
        return (
            newly_unavailable == 0
            or unavailable + newly_unavailable <= step.max_unavailable
        )

    def spend(self, runs: Iterable[batching.TaskRun]) -> None:
        """Counts runs, all of one step, as unavailable."""
        runs = list(runs)
        self._available[_step_key(runs[0].task)] -= self._count_available(runs)

    def _count_available(self, runs: list[batching.TaskRun]) -> int:
        return sum(
            (each.task, each.run) in self._available_runs for each in runs
        )

    def _step(self, task: batch.TaskId) -> batch.Step:
        return self._state.jobs[task.job_id].content.steps[task.step]


def _step_key(task: batch.TaskId) -> views.StepKey:
    return (task.job_id, task.occurrence, task.step)
