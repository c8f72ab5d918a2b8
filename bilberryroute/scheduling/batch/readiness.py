"""Which units could start now, and in which order they are tried."""

import dataclasses
from collections.abc import Iterator
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import views

# An occurrence that is due within this time counts as due: clocks of hosts
# differ by some milliseconds, and a start may not be early.
DUE_MARGIN_MS = 20


def ready_units(
    held: batch.BatchState,
    guaranteed: set[str],
    wall_ms: int,
    typical_ms: Mapping[str, int],
) -> list[views.Ready]:
    """Returns all units that could start now, best rank first.

    Args:
      held: Batch jobs.
      guaranteed: Jobs within their accounts' guarantees.
      wall_ms: Unix time in milliseconds.
      typical_ms: How long a task of each queue has taken, in milliseconds.
    """
    found = []
    for record in held.jobs.values():
        queue = held.catalog.queue(record.queue)
        if record.result is not None or queue is None:
            continue
        for unit in _units_of(record, queue, wall_ms):
            rank = _rank(
                unit, guaranteed, wall_ms, typical_ms.get(queue.name, 0)
            )
            found.append((rank, unit))
    found.sort(key=lambda pair: pair[0])
    return [dataclasses.replace(unit, rank=rank) for rank, unit in found]


def guaranteed_jobs(held: batch.BatchState) -> set[str]:
    """Returns the jobs of priority 0 within their accounts' guarantees."""
    left = {a.name: a.guaranteed for a in held.catalog.accounts}
    urgent = {q.name for q in held.catalog.queues if q.priority == 0}
    found = set()
    for record in held.jobs.values():
        if record.result is None and record.queue in urgent:
            need = accelerators_of(record.content)
            if 0 < need <= left.get(record.account, 0):
                left[record.account] -= need
                found.add(record.id)
    return found


def accelerators_of(content: batch.Content) -> int:
    """Returns the most accelerators that one step holds at once."""
    return max(step.count * step.need.accelerators for step in content.steps)


def next_due_ms(held: batch.BatchState, wall_ms: int) -> int | None:
    """Returns when the next occurrence becomes due, or None."""
    due = []
    for record in held.jobs.values():
        if record.result is None and record.content.schedule is not None:
            for number in range(record.occurrence_count):
                at_ms = record.due_ms(number) + DUE_MARGIN_MS
                if number not in record.occurrences and at_ms > wall_ms:
                    due.append(at_ms)
                    break
    return min(due, default=None)


def _rank(
    unit: views.Ready, guaranteed: set[str], wall_ms: int, typical_ms: int
) -> tuple[int, ...]:
    """Orders units: what can still earn anything, urgency, due time.

    The guaranteed ones come first, whatever else waits.
    """
    if unit.record.id in guaranteed:
        return (0, 0, unit.since_ms, 0, unit.indexes[0])
    objective_ms = deadlines.objective(unit, typical_ms)
    due_ms = unit.since_ms + objective_ms
    worthless = wall_ms > unit.since_ms + deadlines.LATE_FACTOR * objective_ms
    return (
        int(worthless),
        1 + unit.queue.priority,
        due_ms,
        -unit.step.need.accelerators,
        unit.indexes[0],
    )


def _units_of(
    record: batch.BatchRecord, queue: catalog_model.Queue, wall_ms: int
) -> Iterator[views.Ready]:
    for number in range(record.occurrence_count):
        due_ms = record.due_ms(number)
        if record.content.schedule is not None:
            due_ms += DUE_MARGIN_MS
        if due_ms > wall_ms:
            return
        steps = record.occurrences.get(number)
        if steps is None:
            steps = batch.open_steps(record.content)
        for step_number, step in enumerate(record.content.steps):
            if not all(steps[each].finished() for each in step.depends_on):
                continue
            for indexes, run in _waiting(step, steps[step_number]):
                yield views.Ready(
                    record=record,
                    queue=queue,
                    occurrence=number,
                    step_number=step_number,
                    step=step,
                    indexes=indexes,
                    run=run,
                    since_ms=due_ms,
                )


def _waiting(
    step: batch.Step, progress: batch.StepRecord
) -> Iterator[tuple[tuple[int, ...], int]]:
    """Yields the indexes and run number of each unit that waits."""
    if progress.done:
        return
    if step.gang:
        if all(t.state == batch.TaskState.WAITING for t in progress.tasks):
            run = 1 + max(task.run for task in progress.tasks)
            yield tuple(range(step.count)), run
        return
    for index, task in enumerate(progress.tasks):
        if task.state == batch.TaskState.WAITING:
            yield (index,), task.run + 1
