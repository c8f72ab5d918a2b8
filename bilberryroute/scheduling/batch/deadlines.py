"""When batch jobs should end, and how much time they can spare. Pure.

Submitters' estimates are often far off. Where a queue's tasks have been seen
to end, what they took is the better guess.
"""

from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# A job earns nothing any more after this multiple of its objective.
LATE_FACTOR = 3


def objective(unit: views.Ready, typical_ms: int) -> int:
    """Returns the time in which a job should end, in milliseconds.

    A job whose estimate is far below what its queue's tasks have taken is
    given the time that they took.
    """
    chain_ms = max(longest_chain(unit.record.content), typical_ms)
    return _allowed(unit.queue, chain_ms)


def longest_chain(content: batch.Content) -> int:
    """Returns the estimates of the steps that follow one another, in ms."""
    return max(_chain_ends([s.estimate_ms for s in content.steps], content))


def _allowed(queue: catalog_model.Queue, chain_ms: int) -> int:
    return int(queue.slack_factor * chain_ms) + queue.target_ms


def _chain_ends(spans: list[int], content: batch.Content) -> list[int]:
    """Returns when each step ends if each takes its span, from 0."""
    ends: list[int] = []
    for step, span in zip(content.steps, spans, strict=True):
        begin = max((ends[each] for each in step.depends_on), default=0)
        ends.append(begin + span)
    return ends


class Deadlines:
    """How jobs stand to their objectives in one round."""

    def __init__(
        self,
        held: batch.BatchState,
        typical_ms: Mapping[str, int],
        left_ms: Mapping[room_lib.RunKey, int],
        wall_ms: int,
    ):
        """Takes in what is known.

        Args:
          held: Batch jobs.
          typical_ms: How long a task of each queue has taken, in milliseconds.
          left_ms: Forecasts of how long runs go on, in milliseconds.
          wall_ms: Unix time in milliseconds.
        """
        self._held = held
        self._typical_ms = typical_ms
        self._left_ms = left_ms
        self._wall_ms = wall_ms

    def run_ms(self, unit: views.Ready) -> int:
        """Returns how long a unit is expected to run."""
        return self._span(unit.record, unit.step)

    def slack_ms(self, unit: views.Ready) -> int:
        """Returns how much later a unit may start and be in time."""
        ends = self._ends(unit.record)
        begin = ends[unit.step_number] - self.run_ms(unit)
        due_ms = unit.since_ms + _allowed(unit.queue, max(ends))
        return due_ms - self._wall_ms - (max(ends) - begin)

    def spare_ms(self, task_id: batch.TaskId) -> int:
        """Returns how much longer a running task's job may take.

        A job that is late already earns the same until it earns nothing.
        """
        record = self._held.jobs[task_id.job_id]
        queue = self._held.catalog.queue(record.queue)
        if queue is None:
            return 0
        ends = self._ends(record)
        since_ms = record.due_ms(task_id.occurrence)
        allowed_ms = _allowed(queue, max(ends))
        rest_ms = self._rest_ms(record, task_id)
        rest_ms += max(ends) - ends[task_id.step]
        spare_ms = since_ms + allowed_ms - self._wall_ms - rest_ms
        if spare_ms < 0:
            spare_ms += (LATE_FACTOR - 1) * allowed_ms
        return spare_ms

    def _rest_ms(self, record: batch.BatchRecord, task_id: batch.TaskId) -> int:
        """Returns how long the task's step goes on, as far as is known."""
        progress = record.occurrences[task_id.occurrence][task_id.step]
        step = record.content.steps[task_id.step]
        span_ms = self._span(record, step)
        task = progress.tasks[task_id.index]
        ran_ms = self._wall_ms - task.placed_ms
        left_ms = self._left_ms.get((task_id, task.run), span_ms - ran_ms)
        waits = any(t.state == batch.TaskState.WAITING for t in progress.tasks)
        return max(0, left_ms, span_ms if waits else 0)

    def _ends(self, record: batch.BatchRecord) -> list[int]:
        spans = [self._span(record, step) for step in record.content.steps]
        return _chain_ends(spans, record.content)

    def _span(self, record: batch.BatchRecord, step: batch.Step) -> int:
        return self._typical_ms.get(record.queue, step.estimate_ms)
