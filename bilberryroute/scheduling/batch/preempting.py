"""Chooses which runs give way to a unit that may stop others."""

import dataclasses
from collections.abc import Iterable

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Victim:
    """A unit that runs and could be stopped.

    Attributes:
      tasks: Its placed tasks with their workers' names.
      need: What each of its tasks holds.
      rank: Its queue's priority; 1 for urgent ones beyond a guarantee.
      loss_ms: Work that would be lost, weighed by what it holds.
    """

    tasks: tuple[tuple[batching.TaskRun, str], ...]
    need: batch.Resources
    rank: int
    loss_ms: int


def victims(
    held: batch.BatchState, guaranteed: set[str], wall_ms: int
) -> list[Victim]:
    """Returns all units that could be stopped, cheapest first."""
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
    chosen = [_victim(held, tasks, wall_ms) for tasks in found.values()]
    chosen.sort(key=lambda v: (-v.rank, v.loss_ms))
    return chosen


def _victim(
    held: batch.BatchState,
    tasks: list[tuple[batching.TaskRun, str]],
    wall_ms: int,
) -> Victim:
    first = tasks[0][0].task
    record = held.jobs[first.job_id]
    step = record.content.steps[first.step]
    queue = held.catalog.queue(record.queue)
    ran_ms = max(0, wall_ms - record.task(first).placed_ms)
    if step.checkpointing:
        # A stop makes a checkpoint, so little beside the restart is lost.
        ran_ms //= 10
    held_by_task = 1 + step.need.accelerators
    return Victim(
        tasks=tuple(tasks),
        need=room_lib.needed(step),
        rank=1 if queue is None else 1 + queue.priority,
        loss_ms=ran_ms * len(tasks) * held_by_task,
    )


def make_room(
    unit: views.Ready,
    room: room_lib.Room,
    candidates: Iterable[Victim],
    evacuated: list[str],
) -> tuple[tuple[str, ...], list[Victim]] | None:
    """Returns where a unit will fit and what must stop for it, or None.

    Cheap candidates are added until the unit fits near; if it fits nowhere
    near, until it fits at all. Those not needed for the place are left out.
    """
    for near in (True, False):
        within = dict(room.soon)
        added: list[Victim] = []
        for victim in candidates:
            for _, name in victim.tasks:
                if name in within:
                    within[name] = within[name].plus(victim.need)
            added.append(victim)
            names = placing.place(unit, room, within, evacuated, near=near)
            if names is not None:
                return names, _needed(unit, room, added, names)
    return None


def _needed(
    unit: views.Ready,
    room: room_lib.Room,
    added: list[Victim],
    names: tuple[str, ...],
) -> list[Victim]:
    """Drops the dearest victims again as long as the unit still fits."""
    need = room_lib.needed(unit.step)

    def fits(chosen: list[Victim]) -> bool:
        left = {name: room.soon[name] for name in names}
        for victim in chosen:
            for _, name in victim.tasks:
                if name in left:
                    left[name] = left[name].plus(victim.need)
        for name in names:
            left[name] = left[name].minus(need)
        return all(each.holds(batch.NOTHING) for each in left.values())

    chosen = [v for v in added if any(name in names for _, name in v.tasks)]
    for victim in reversed(list(chosen)):
        rest = [each for each in chosen if each is not victim]
        if fits(rest):
            chosen = rest
    return chosen
