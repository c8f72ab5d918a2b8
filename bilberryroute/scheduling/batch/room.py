"""Room on workers, now and as runs are expected to end."""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views

RunKey = tuple[batch.TaskId, int]

# Least time that a run without any forecast is taken to go on.
UNKNOWN_LEFT_MS = 1_000
# Stands for the end of a run that goes on until its job is cancelled.
NEVER_MS = 1 << 40


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Use:
    """What one run holds, and for how long it is expected to."""

    need: batch.Resources
    left_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reservation:
    """Room that a waiting unit will need on a worker, and from when."""

    need: batch.Resources
    from_ms: int


class Room:
    """Free resources of each worker during one round.

    Times are milliseconds from now.

    Attributes:
      workers: Workers by name.
      free: What nobody uses and nobody has claimed, by worker.
    """

    def __init__(
        self,
        held: batch.BatchState,
        workers: Iterable[views.WorkerSnapshot],
        left_ms: Mapping[RunKey, int],
        wall_ms: int,
        permits: Mapping[views.StepKey, Mapping[str, str]],
    ):
        """Counts the room.

        Args:
          held: Batch jobs with all their placed tasks.
          workers: Workers that are present.
          left_ms: Forecasts of how long runs go on, in milliseconds.
          wall_ms: Unix time in milliseconds.
          permits: Permits of advised queues, by step and worker.
        """
        self._permits = permits
        self.workers = {worker.ref.name: worker for worker in workers}
        self.free: dict[str, batch.Resources] = {}
        self._uses: dict[str, list[_Use]] = {}
        self._reserved: dict[str, list[_Reservation]] = {}
        self._tasks: dict[str, collections.Counter[views.StepKey]] = {}
        for name, worker in self.workers.items():
            self._count(held, name, worker, left_ms, wall_ms)

    def _count(
        self,
        held: batch.BatchState,
        name: str,
        worker: views.WorkerSnapshot,
        left_ms: Mapping[RunKey, int],
        wall_ms: int,
    ) -> None:
        free = worker.capacity
        uses = []
        counter: collections.Counter[views.StepKey] = collections.Counter()
        for task_id in held.placed.get(worker.ref.agent, ()):
            record = held.jobs[task_id.job_id]
            task = record.task(task_id)
            if task.worker != worker.ref:
                continue
            step = record.content.steps[task_id.step]
            forecast = left_ms.get((task_id, task.run))
            use = _Use(
                need=needed(step),
                left_ms=_left(task, step, forecast, wall_ms),
            )
            free = free.minus(use.need)
            uses.append(use)
            counter[task_id.job_id, task_id.occurrence, task_id.step] += 1
        uses.sort(key=lambda use: use.left_ms)
        self.free[name] = free
        self._uses[name] = uses
        self._tasks[name] = counter

    def allows(
        self,
        unit: views.Ready,
        worker: views.WorkerSnapshot,
        evacuated: list[str],
    ) -> bool:
        """Says whether a unit's tasks may run on a worker, room aside."""
        advised = unit.queue.advised
        if advised and worker.ref.name not in self.permits(unit):
            return False
        return _suits(unit, worker, evacuated)

    def permits(self, unit: views.Ready) -> Mapping[str, str]:
        """Returns the permits of a unit's step, by worker."""
        return self._permits.get(unit.step_key, {})

    def candidates(self, unit: views.Ready, evacuated: list[str]) -> list[str]:
        """Returns the workers on which an advised unit might run."""
        need = needed(unit.step)
        fitting = [
            worker
            for worker in self.workers.values()
            if _suits(unit, worker, evacuated) and worker.capacity.holds(need)
        ]
        fitting.sort(key=lambda w: not self.free[w.ref.name].holds(need))
        return [worker.ref.name for worker in fitting]

    def spread_left(self, unit: views.Ready, name: str) -> int:
        """Returns how many more tasks of the step a worker may take."""
        limit = unit.step.spread_limit
        if not limit:
            return unit.step.count
        return limit - self._tasks[name][unit.step_key]

    def within(self, ahead_ms: int) -> dict[str, batch.Resources]:
        """Returns the room once all that ends until then has ended."""
        return {name: self._free_at(name, ahead_ms) for name in self.workers}

    def ends(self) -> list[int]:
        """Returns when runs are expected to end, soonest first."""
        return sorted({u.left_ms for uses in self._uses.values() for u in uses})

    def usable(self, unit: views.Ready) -> dict[str, batch.Resources]:
        """Returns the room that a unit may take without delaying others.

        A unit that is expected to end before a reservation begins may use its
        room; another one only what the reservation leaves.
        """
        usable = dict(self.free)
        for name, reservations in self._reserved.items():
            for each in reservations:
                if unit.step.estimate_ms > each.from_ms:
                    later = self._free_at(name, each.from_ms).minus(each.need)
                    usable[name] = _smaller(usable[name], later)
        return usable

    def take(self, unit: views.Ready, names: Iterable[str]) -> None:
        """Uses or claims a unit's need at once, once for each name."""
        need = needed(unit.step)
        for name in names:
            self.free[name] = self.free[name].minus(need)
            self._tasks[name][unit.step_key] += 1

    def reserve(
        self, unit: views.Ready, names: Iterable[str], from_ms: int
    ) -> None:
        """Keeps a unit's need free from some time on."""
        each = _Reservation(need=needed(unit.step), from_ms=from_ms)
        for name in names:
            self._reserved.setdefault(name, []).append(each)

    def expect_end(self, name: str, need: batch.Resources) -> None:
        """Takes in that what holds a need is being stopped."""
        for use in self._uses[name]:
            if use.need == need and use.left_ms > 0:
                self._uses[name].remove(use)
                self._uses[name].insert(0, _Use(need=need, left_ms=0))
                return

    def _free_at(self, name: str, ahead_ms: int) -> batch.Resources:
        free = self.free[name]
        for use in self._uses[name]:
            if use.left_ms > ahead_ms:
                break
            free = free.plus(use.need)
        return free


def _suits(
    unit: views.Ready, worker: views.WorkerSnapshot, evacuated: list[str]
) -> bool:
    label = unit.step.required_label
    return (
        worker.open
        and worker.pool == unit.queue.pool
        and worker.failure_domain not in evacuated
        and (not label or label in worker.labels)
    )


def _left(
    task: batch.TaskRecord,
    step: batch.Step,
    forecast: int | None,
    wall_ms: int,
) -> int:
    if task.state != batch.TaskState.PLACED:
        return 0  # It is being stopped.
    if step.long_running:
        return NEVER_MS
    if forecast is not None:
        return max(0, forecast)
    ran_ms = wall_ms - task.placed_ms
    return max(UNKNOWN_LEFT_MS, step.estimate_ms - ran_ms)


def _smaller(a: batch.Resources, b: batch.Resources) -> batch.Resources:
    return batch.Resources(
        cpu_millis=min(a.cpu_millis, b.cpu_millis),
        memory_mb=min(a.memory_mb, b.memory_mb),
        accelerators=min(a.accelerators, b.accelerators),
    )


def needed(step: batch.Step) -> batch.Resources:
    """Returns what a task of a step counts for on its worker."""
    if not step.fills:
        return step.need
    return batch.Resources(
        memory_mb=step.need.memory_mb, accelerators=step.need.accelerators
    )
