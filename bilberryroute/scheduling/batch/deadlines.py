"""Completion time objectives of batch jobs and their slack, without I/O.

Submitters' estimates are often far off. Where durations of a queue's tasks have
been measured, they replace the estimates.
"""

import enum
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.scheduling.batch import paths as paths_lib
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import run_times as run_times_lib
from bilberryroute.scheduling.batch import views

# A job has no value any more after this multiple of its objective.
ZERO_VALUE_FACTOR = 3


def _objective_ms(queue: catalog_model.Queue, path_ms: int) -> int:
    return int(queue.slack_factor * path_ms) + queue.target_ms


class Prospect(enum.IntEnum):
    """What a job earns if its waiting unit starts now; lower is better."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class Deadlines:
    """Expected durations and slack of jobs in one planning round."""

    def __init__(
        self,
        state: batch.BatchState,
        typical_ms: Mapping[str, int],
        remaining_ms: Mapping[room_lib.RunKey, int],
        wall_ms: int,
        paths: paths_lib.PathCache,
        run_times: run_times_lib.RunTimes | None = None,
    ):
        """Stores the inputs of the round.

        Args:
          state: State of the batch jobs.
          typical_ms: Typical measured duration of a task, by queue.
          remaining_ms: Forecast remaining time of each run, in milliseconds.
          wall_ms: Unix time in milliseconds.
          paths: What is known of the jobs' steps.
          run_times: Distributions of run times, used instead of `typical_ms`.
        """
        self._state = state
        self._typical_ms = typical_ms
        self._remaining_ms = remaining_ms
        self._wall_ms = wall_ms
        self._paths = paths
        self._run_times = run_times
        self._waiting_steps: dict[views.StepKey, bool] = {}

    def run_ms(self, unit: views.ReadyUnit) -> int:
        """Returns the expected duration of a unit."""
        return self._duration_ms(unit.record, unit.step)

    def expected_run_ms(self, task_id: batch.TaskId) -> int:
        """Returns the expected duration of a run of a task."""
        record = self._state.jobs[task_id.job_id]
        return self._duration_ms(record, record.content.steps[task_id.step])

    def waiting_slack_ms(self, unit: views.ReadyUnit) -> int:
        """Returns how much later a unit may start and meet its objective."""
        finish_ms, path_ms = self._finish_ms(unit.record, unit.step_number)
        start = finish_ms - self.run_ms(unit)
        deadline_ms = unit.due_since_ms + _objective_ms(unit.queue, path_ms)
        return deadline_ms - self._wall_ms - (path_ms - start)

    def path_left_ms(self, unit: views.ReadyUnit) -> int:
        """Returns how long a unit and what depends on it take."""
        finish_ms, path_ms = self._finish_ms(unit.record, unit.step_number)
        return path_ms - finish_ms + self.run_ms(unit)

    def prospect(self, unit: views.ReadyUnit) -> Prospect:
        """Returns what the unit's job earns if the unit starts now."""
        slack_ms = self.waiting_slack_ms(unit)
        if slack_ms >= 0:
            return Prospect.IN_TIME
        objective_ms = self._job_objective_ms(unit)
        if slack_ms + (ZERO_VALUE_FACTOR - 1) * objective_ms >= 0:
            return Prospect.LATE
        return Prospect.WORTHLESS

    def deadline_ms(self, unit: views.ReadyUnit) -> int:
        """Returns the Unix time at which the unit's job is due."""
        return unit.due_since_ms + self._job_objective_ms(unit)

    def objective_ms(
        self, record: batch.BatchRecord, queue: catalog_model.Queue
    ) -> int:
        """Returns the time in which a job of a queue should be done."""
        _, path_ms = self._finish_ms(record, 0)
        return _objective_ms(queue, path_ms)

    def _job_objective_ms(self, unit: views.ReadyUnit) -> int:
        _, path_ms = self._finish_ms(unit.record, unit.step_number)
        return _objective_ms(unit.queue, path_ms)

    def running_slack_ms(self, task_id: batch.TaskId) -> int:
        """Returns how much a running task's job may be delayed.

        The limit is the job's objective. Once that is missed, the value of the
        job stays the same until it drops to zero, which is then the limit.
        """
        slack_ms, objective_ms = self._running_slack_ms(task_id)
        if slack_ms < 0:
            slack_ms += (ZERO_VALUE_FACTOR - 1) * objective_ms
        return slack_ms

    def running_prospect(self, task_id: batch.TaskId) -> Prospect:
        """Returns what a running task's job earns if it goes on."""
        slack_ms, objective_ms = self._running_slack_ms(task_id)
        if slack_ms >= 0:
            return Prospect.IN_TIME
        if slack_ms + (ZERO_VALUE_FACTOR - 1) * objective_ms >= 0:
            return Prospect.LATE
        return Prospect.WORTHLESS

    def _running_slack_ms(self, task_id: batch.TaskId) -> tuple[int, int]:
        """Returns the time left to a running task's job, and its objective."""
        record = self._state.jobs[task_id.job_id]
        queue = self._state.catalog.queue(record.queue)
        if queue is None:
            return 0, 0
        finish_ms, path_ms = self._finish_ms(record, task_id.step)
        due_since_ms = record.due_ms(task_id.occurrence)
        objective_ms = _objective_ms(queue, path_ms)
        job_remaining_ms = self._step_remaining_ms(record, task_id)
        job_remaining_ms += path_ms - finish_ms
        return (
            due_since_ms + objective_ms - self._wall_ms - job_remaining_ms,
            objective_ms,
        )

    def _step_remaining_ms(
        self, record: batch.BatchRecord, task_id: batch.TaskId
    ) -> int:
        """Returns the expected remaining time of the task's step."""
        step_record = record.occurrences[task_id.occurrence][task_id.step]
        step = record.content.steps[task_id.step]
        duration_ms = self._duration_ms(record, step)
        task = step_record.tasks[task_id.index]
        ran_ms = self._wall_ms - task.placed_ms
        remaining_ms = self._remaining_ms.get((task_id, task.run))
        if remaining_ms is None:
            remaining_ms = duration_ms - ran_ms
            if self._run_times is not None and not step.long_running:
                remaining_ms = self._run_times.remaining_ms(
                    record.queue, step.estimate_ms, ran_ms
                )
        key = (task_id.job_id, task_id.occurrence, task_id.step)
        if key not in self._waiting_steps:
            self._waiting_steps[key] = step_record.has_waiting
        any_waiting = self._waiting_steps[key]
        return max(0, remaining_ms, duration_ms if any_waiting else 0)

    def _finish_ms(
        self, record: batch.BatchRecord, step: int
    ) -> tuple[int, int]:
        """Returns when a step finishes after the job's start, and the last one."""
        paths = self._paths.of(record)
        if self._run_times is not None:
            return self._run_times.path_ms(
                record.queue,
                paths.estimated_finish_ms[step],
                paths.depths[step],
            ), self._run_times.path_ms(
                record.queue, paths.estimated_length_ms, paths.depth
            )
        typical_ms = self._typical_ms.get(record.queue)
        if typical_ms is None:
            return paths.estimated_finish_ms[step], paths.estimated_length_ms
        return paths.depths[step] * typical_ms, paths.depth * typical_ms

    def _duration_ms(self, record: batch.BatchRecord, step: batch.Step) -> int:
        if self._run_times is not None:
            return self._run_times.expected_ms(record.queue, step.estimate_ms)
        return self._typical_ms.get(record.queue, step.estimate_ms)
