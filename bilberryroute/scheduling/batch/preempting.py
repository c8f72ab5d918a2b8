"""Chooses which runs give way to a unit that may stop others."""

import dataclasses
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import availability
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# The platform prices an accelerator's time like that of eight cores.
MILLIS_PER_ACCELERATOR = 8_000
# What a run loses that saves its progress when it is stopped: the restart,
# and the part that ran since the stop was decided.
RESTART_MS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Victim:
    """A unit that runs and could be stopped.

    Attributes:
      tasks: Its placed tasks with their workers' names.
      need: What each of its tasks holds.
      loss: Work that would be lost, in thousandths of a core-millisecond.
      priority: Of its queue; 0 is the most urgent.
      saves: Whether it saves its progress when it is stopped.
      spare_ms: How much longer its job may take.
    """

    tasks: tuple[tuple[batching.TaskRun, str], ...]
    need: batch.Resources
    loss: int
    priority: int
    saves: bool
    spare_ms: int

    def yields_to(self, priority: int, run_ms: int) -> bool:
        """Says whether it gives way to more urgent work and loses nothing.

        Args:
          priority: Of the work that waits.
          run_ms: How long that is expected to run.
        """
        later = self.priority > priority
        return later and self.saves and self.spare_ms >= run_ms + RESTART_MS

    def held_on(self, name: str) -> batch.Resources:
        """Returns what all its tasks on one worker hold."""
        held = batch.NOTHING
        for _, each in self.tasks:
            if each == name:
                held = held.plus(self.need)
        return held


def victims(
    held: batch.BatchState,
    guaranteed: set[str],
    wall_ms: int,
    budget: availability.Budget,
    times: deadlines.Deadlines,
) -> list[Victim]:
    """Returns all units that could be stopped, cheapest first.

    Of a step that bounds how many of its tasks may be away, no more are among
    them than it allows.
    """
    found: dict[tuple, list[tuple[batching.TaskRun, str]]] = {}
    for task_ids in held.placed.values():
        for task_id in task_ids:
            record = held.jobs[task_id.job_id]
            task = record.task(task_id)
            placed = task.state == batch.TaskState.PLACED
            if not placed or record.id in guaranteed:
                continue
            gang = record.content.steps[task_id.step].gang
            index = -1 if gang else task_id.index
            key = (record.id, task_id.occurrence, task_id.step, index)
            each = batching.TaskRun(task=task_id, run=task.run)
            found.setdefault(key, []).append((each, task.worker.name))
    units = [_victim(held, tasks, wall_ms, times) for tasks in found.values()]
    units.sort(key=lambda victim: victim.loss)
    return [unit for unit in units if _may_go(unit, budget)]


def _may_go(unit: Victim, budget: availability.Budget) -> bool:
    runs = [run for run, _ in unit.tasks]
    allowed = budget.allows(runs)
    if allowed:
        budget.spend(runs)
    return allowed


def _victim(
    held: batch.BatchState,
    tasks: list[tuple[batching.TaskRun, str]],
    wall_ms: int,
    times: deadlines.Deadlines,
) -> Victim:
    first = tasks[0][0].task
    record = held.jobs[first.job_id]
    step = record.content.steps[first.step]
    ran_ms = max(0, wall_ms - record.task(first).placed_ms)
    if step.checkpointing:
        ran_ms = min(ran_ms, RESTART_MS)
    weight = (
        step.need.cpu_millis + MILLIS_PER_ACCELERATOR * step.need.accelerators
    )
    queue = held.catalog.queue(record.queue)
    return Victim(
        tasks=tuple(tasks),
        need=room_lib.needed(step),
        loss=ran_ms * len(tasks) * weight,
        priority=queue.priority if queue is not None else 0,
        saves=step.checkpointing,
        spare_ms=min(times.spare_ms(run.task) for run, _ in tasks),
    )


def make_room(
    unit: views.Ready,
    room: room_lib.Room,
    candidates: list[Victim],
    evacuated: list[str],
) -> tuple[tuple[str, ...], list[Victim]] | None:
    """Returns where a unit will fit and what must stop for it, or None.

    Of the places at full speed, the one that loses least is taken; of the
    others only if there is none.
    """
    for near in (True, False):
        found = [
            attempt
            for group in placing.groups(unit, room, evacuated, near=near)
            if (attempt := _Attempt(unit, room, candidates, group)).made
        ]
        if found:
            best = min(found, key=lambda attempt: attempt.loss)
            return tuple(best.names), best.chosen
    return None


class _Attempt:
    """Room for a unit within one group of workers.

    Attributes:
      names: A worker for each task.
      chosen: What must stop.
      made: Whether all tasks fit.
    """

    def __init__(
        self,
        unit: views.Ready,
        room: room_lib.Room,
        candidates: list[Victim],
        group: list[views.WorkerSnapshot],
    ):
        self._need = room_lib.needed(unit.step)
        soon = room.within(0)
        self._left = {w.ref.name: soon[w.ref.name] for w in group}
        self._spread = {n: room.spread_left(unit, n) for n in self._left}
        self._on: Mapping[str, list[Victim]] = _by_worker(candidates)
        self.names: list[str] = []
        self.chosen: list[Victim] = []
        self.made = all(self._place_one() for _ in unit.indexes)

    @property
    def loss(self) -> int:
        """Work that is lost in all."""
        return sum(victim.loss for victim in self.chosen)

    def _place_one(self) -> bool:
        options = []
        for name in self._left:
            if self._spread[name] > 0:
                stopped = self._cheapest_on(name)
                if stopped is not None:
                    loss = sum(victim.loss for victim in stopped)
                    options.append((loss, name, stopped))
        if not options:
            return False
        _, name, stopped = min(options, key=lambda option: option[:2])
        for victim in stopped:
            self.chosen.append(victim)
            for _, each in victim.tasks:
                if each in self._left:
                    self._left[each] = self._left[each].plus(victim.need)
        self._left[name] = self._left[name].minus(self._need)
        self._spread[name] -= 1
        self.names.append(name)
        return True

    def _cheapest_on(self, name: str) -> list[Victim] | None:
        """Returns what must stop on a worker for one more task, or None."""
        left = self._left[name]
        stopped: list[Victim] = []
        for victim in self._on.get(name, ()):
            if left.holds(self._need):
                break
            if victim not in self.chosen:
                left = left.plus(victim.held_on(name))
                stopped.append(victim)
        if not left.holds(self._need):
            return None
        for victim in reversed(list(stopped)):
            rest = left.minus(victim.held_on(name))
            if rest.holds(self._need):
                left = rest
                stopped.remove(victim)
        return stopped


def _by_worker(candidates: list[Victim]) -> dict[str, list[Victim]]:
    """Returns the victims on each worker, cheapest first."""
    found: dict[str, list[Victim]] = {}
    for victim in candidates:
        for name in {each for _, each in victim.tasks}:
            found.setdefault(name, []).append(victim)
    return found
