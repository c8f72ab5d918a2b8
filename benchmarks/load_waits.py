"""Finds jobs that wait although most workers are idle."""

from collections.abc import Mapping
from collections.abc import Sequence

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views

# A job of which nothing runs for so long counts as lost if there is room for it
# twice over and less than half of the capacity is in use.
LOST_AFTER_MS = 3_000
ROOM_FACTOR = 2


class IdleWaits:
    """Tracks how long jobs wait beside idle workers.

    Attributes:
      lost: Ids of the jobs that waited for `LOST_AFTER_MS` at a stretch.
    """

    def __init__(self, workers: Sequence[views.WorkerSnapshot]):
        self.lost: set[str] = set()
        self._workers = {w.ref.agent: w for w in workers}
        self._since_ms: dict[str, int] = {}

    def note_round(self, state: batch.BatchState, now: int) -> None:
        """Notes which jobs wait after a planning round, at `now` in ms."""
        free = self._free(state)
        waiting = self._could_start(state, free) if self._idle(free) else set()
        self._since_ms = {
            job_id: self._since_ms.get(job_id, now) for job_id in waiting
        }
        self.lost |= {
            job_id
            for job_id, since_ms in self._since_ms.items()
            if now - since_ms >= LOST_AFTER_MS
        }

    def _free(self, state: batch.BatchState) -> dict[str, batch.Resources]:
        free = {name: w.capacity for name, w in self._workers.items()}
        for name, task_ids in state.placed.items():
            for task_id in task_ids:
                step = state.jobs[task_id.job_id].content.steps[task_id.step]
                free[name] = free[name].minus(batch.task_demand(step))
        return free

    def _idle(self, free: Mapping[str, batch.Resources]) -> bool:
        surplus = batch.NO_RESOURCES
        for name, worker in self._workers.items():
            surplus = surplus.plus(free[name]).plus(free[name])
            surplus = surplus.minus(worker.capacity)
        return surplus.holds(batch.NO_RESOURCES)

    def _could_start(
        self, state: batch.BatchState, free: Mapping[str, batch.Resources]
    ) -> set[str]:
        """Returns the jobs of which nothing runs and that fit twice over."""
        return {
            record.id
            for record in state.jobs.values()
            if record.result is None
            and not _runs(record)
            and self._fits(record.content.steps[0], free)
        }

    def _fits(
        self, step: batch.Step, free: Mapping[str, batch.Resources]
    ) -> bool:
        need = batch.task_demand(step)
        tasks = step.count if step.gang else 1
        fitting = sum(
            min(step.spread_limit or step.count, free[name].multiple_of(need))
            for name, worker in self._workers.items()
            if not step.required_label or step.required_label in worker.labels
        )
        return fitting >= ROOM_FACTOR * tasks


def _runs(record: batch.BatchRecord) -> bool:
    return any(
        task.active
        for steps in record.occurrences.values()
        for step_record in steps
        for task in step_record.tasks
    )
