"""Room on workers, as far as the replicated state and reports tell."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views

StepKey = tuple[str, int, int]


class Room:
    """Free resources of each worker during one round.

    Attributes:
      workers: Workers by name.
      free: What nobody uses and nobody has reserved, by worker.
      soon: The same, with all that is being stopped counted as free.
    """

    def __init__(
        self,
        held: batch.BatchState,
        workers: Iterable[views.WorkerView],
        foreign: Mapping[str, batch.Resources],
    ):
        """Counts the room.

        Args:
          held: Batch jobs with all their placed tasks.
          workers: Workers that are present.
          foreign: What runs on a worker that no task accounts for.
        """
        self.workers = {worker.ref.name: worker for worker in workers}
        self.free: dict[str, batch.Resources] = {}
        self.soon: dict[str, batch.Resources] = {}
        self._tasks: dict[str, collections.Counter[StepKey]] = {}
        for name, worker in self.workers.items():
            self._count(held, name, worker, foreign.get(name, batch.NOTHING))

    def _count(
        self,
        held: batch.BatchState,
        name: str,
        worker: views.WorkerView,
        foreign: batch.Resources,
    ) -> None:
        free = worker.capacity.minus(foreign)
        soon = worker.capacity
        counter: collections.Counter[StepKey] = collections.Counter()
        for task_id in held.placed.get(worker.ref.agent, ()):
            record = held.jobs[task_id.job_id]
            task = record.task(task_id)
            if task.worker != worker.ref:
                continue
            need = needed(record.content.steps[task_id.step])
            free = free.minus(need)
            if task.state == batch.TaskState.PLACED:
                soon = soon.minus(need)
            counter[task_id.job_id, task_id.occurrence, task_id.step] += 1
        self.free[name] = free
        self.soon[name] = soon
        self._tasks[name] = counter

    def allows(
        self, unit: views.Ready, worker: views.WorkerView, evacuated: list[str]
    ) -> bool:
        """Says whether a unit's tasks may run on a worker, room aside."""
        label = unit.step.required_label
        return (
            worker.open
            and worker.pool == unit.queue.pool
            and worker.failure_domain not in evacuated
            and (not label or label in worker.labels)
        )

    def spread_left(self, unit: views.Ready, name: str) -> int:
        """Returns how many more tasks of the step a worker may take."""
        limit = unit.step.spread_limit
        if not limit:
            return unit.step.count
        key = (unit.record.id, unit.occurrence, unit.step_number)
        return limit - self._tasks[name][key]

    def take(self, unit: views.Ready, names: Iterable[str]) -> None:
        """Uses or reserves a unit's need, once for each name."""
        need = needed(unit.step)
        key = (unit.record.id, unit.occurrence, unit.step_number)
        for name in names:
            self.free[name] = self.free[name].minus(need)
            self.soon[name] = self.soon[name].minus(need)
            self._tasks[name][key] += 1


def needed(step: batch.Step) -> batch.Resources:
    """Returns what a task of a step counts for on its worker."""
    if not step.fills:
        return step.need
    return batch.Resources(
        memory_mb=step.need.memory_mb, accelerators=step.need.accelerators
    )
