"""Selects the units that are ready to start, and ranks them."""

import dataclasses
from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import views

# Added to the due time of scheduled occurrences: host clocks differ by some
# milliseconds, and a run must not start early.
DUE_MARGIN_MS = 20

# How long a suspect waits for a worker of its own.
ISOLATION_WAIT_MS = 2_000
# How long it does so if its job is given up after one more crash.
LONG_ISOLATION_WAIT_MS = 60_000
# How long it keeps away from guaranteed work, unless it is guaranteed too.
GUARANTEED_COMPANY_WAIT_MS = 15_000

# A task avoids the workers of its failed runs for this long after its last
# placement, and beyond that until a run has succeeded there.
AVOID_FAILED_MS = 10_000

# Worker that crashed last under a suspect, and whether it is within a guarantee.
_SuspectGroup = tuple[batch.WorkerRef, bool]


def ready_units(
    state: batch.BatchState,
    guaranteed: set[str],
    wall_ms: int,
    job_deadlines: deadlines.Deadlines,
) -> list[views.ReadyUnit]:
    """Returns all units that are ready to start, in order of rank.

    Args:
      state: State of the batch jobs.
      guaranteed: Ids of the jobs within their accounts' guarantees.
      wall_ms: Unix time in milliseconds.
      job_deadlines: Objectives and expected durations of the jobs.
    """
    ranked = []
    for record in state.jobs.values():
        queue = state.catalog.queue(record.queue)
        if record.result is not None or queue is None:
            continue
        for unit in _ready_units_of(record, queue, wall_ms):
            rank = _rank(unit, guaranteed, job_deadlines)
            ranked.append((rank, unit))
    ranked.sort(key=lambda pair: pair[0])
    return _newest_suspects_first(
        [dataclasses.replace(unit, rank=rank) for rank, unit in ranked]
    )


def _newest_suspects_first(
    ready: list[views.ReadyUnit],
) -> list[views.ReadyUnit]:
    """Lets the suspects of a crash that started last before it run first.

    Few workers are idle for suspects, and those that ran for longer are less
    likely to have caused the crash. All other units keep their places, so that
    the suspects of one crash do not overtake more urgent ones of another. Those
    within a guarantee come before all others, which they may stop.
    """
    by_crash: dict[_SuspectGroup, list[views.ReadyUnit]] = {}
    for unit in ready:
        if unit.suspect:
            by_crash.setdefault(_suspect_group(unit), []).append(unit)
    ordered = {
        group: iter(sorted(units, key=_unit_placed_ms, reverse=True))
        for group, units in by_crash.items()
    }
    return [
        next(ordered[_suspect_group(unit)]) if unit.suspect else unit
        for unit in ready
    ]


def _suspect_group(unit: views.ReadyUnit) -> _SuspectGroup:
    return (_last_crashed(unit), unit.guaranteed)


def _last_crashed(unit: views.ReadyUnit) -> batch.WorkerRef:
    """Returns the worker that crashed last under a suspect unit."""
    crashes = _step_record(unit).crashes(unit.indexes[0], gang=unit.step.gang)
    return max(crashes, key=lambda crash: crash.run).worker


def _unit_placed_ms(unit: views.ReadyUnit) -> int:
    return _last_placed_ms(_step_record(unit), unit.indexes)


def _last_placed_ms(
    step_record: batch.StepRecord, indexes: tuple[int, ...]
) -> int:
    return max(step_record.tasks[index].placed_ms for index in indexes)


def _step_record(unit: views.ReadyUnit) -> batch.StepRecord:
    return unit.record.occurrences[unit.occurrence][unit.step_number]


def guaranteed_jobs(state: batch.BatchState) -> set[str]:
    """Returns ids of priority-0 jobs within their accounts' guarantees."""
    remaining = {a.name: a.guaranteed for a in state.catalog.accounts}
    priority_0_queues = {
        q.name for q in state.catalog.queues if q.priority == 0
    }
    job_ids = set()
    for record in state.jobs.values():
        if record.result is None and record.queue in priority_0_queues:
            need = max_accelerators(record.content)
            if 0 < need <= remaining.get(record.account, 0):
                remaining[record.account] -= need
                job_ids.add(record.id)
    return job_ids


def max_accelerators(content: batch.Content) -> int:
    """Returns the most accelerators that any single step uses at once."""
    return max(step.count * step.need.accelerators for step in content.steps)


def next_due_ms(state: batch.BatchState, wall_ms: int) -> int | None:
    """Returns the Unix time when the next occurrence is due, or None."""
    due = []
    for record in state.jobs.values():
        if record.result is None and record.content.schedule is not None:
            for number in range(record.occurrence_count):
                at_ms = record.due_ms(number) + DUE_MARGIN_MS
                if number not in record.occurrences and at_ms > wall_ms:
                    due.append(at_ms)
                    break
    return min(due, default=None)


def _rank(
    unit: views.ReadyUnit,
    guaranteed: set[str],
    job_deadlines: deadlines.Deadlines,
) -> tuple[int, ...]:
    """Returns the sort key of a unit; lower keys are tried first.

    Units of guaranteed jobs come first. The others are ordered by whether
    their completion still has any value, then by their queue's priority
    and by deadline.
    """
    if unit.record.id in guaranteed:
        return (0, 0, unit.due_since_ms, 0, unit.indexes[0])
    prospect = job_deadlines.prospect(unit)
    return (
        int(prospect == deadlines.Prospect.WORTHLESS),
        1 + unit.queue.priority,
        int(prospect),
        job_deadlines.deadline_ms(unit),
        -unit.step.need.accelerators,
        unit.indexes[0],
    )


def _ready_units_of(
    record: batch.BatchRecord, queue: catalog_model.Queue, wall_ms: int
) -> Iterator[views.ReadyUnit]:
    for number in range(record.occurrence_count):
        due_ms = record.due_ms(number)
        if record.content.schedule is not None:
            due_ms += DUE_MARGIN_MS
            if due_ms > wall_ms:
                return
        step_records = record.occurrences.get(number)
        if step_records is None:
            step_records = batch.new_step_records(record.content)
        job_runs = any(
            task.state == batch.TaskState.PLACED
            for step_record in step_records
            for task in step_record.tasks
        )
        for step_number, step in enumerate(record.content.steps):
            if not all(
                step_records[each].finished() for each in step.depends_on
            ):
                continue
            step_record = step_records[step_number]
            for indexes, run in _waiting_units(step, step_record):
                failed_on = _failed_on(step_record, indexes)
                crashes = step_record.crashes(indexes[0], gang=step.gang)
                yield views.ReadyUnit(
                    record=record,
                    queue=queue,
                    occurrence=number,
                    step_number=step_number,
                    step=step,
                    indexes=indexes,
                    run=run,
                    # The host that accepted the job may have another time.
                    due_since_ms=min(due_ms, wall_ms),
                    suspect=_isolation(
                        step, step_record, indexes, crashes, wall_ms
                    ),
                    crash_count=crash_model.crash_count(crashes),
                    step_runs=any(t.active for t in step_record.tasks)
                    if crashes
                    else False,
                    job_runs=job_runs,
                    failed_on=failed_on,
                    failed_recently=bool(failed_on)
                    and _placed_recently(step_record, indexes, wall_ms),
                    last_attempt=_is_last_attempt(
                        queue, step, step_record, indexes
                    ),
                )


def _isolation(
    step: batch.Step,
    step_record: batch.StepRecord,
    indexes: tuple[int, ...],
    crashes: list[batch.Crash],
    wall_ms: int,
) -> views.Separation:
    """Returns how far a unit keeps away from others since a crash.

    Most suspects are innocent, so the wait is short, unless one more crash ends
    the job. A long-running task serves nobody while it waits, so it keeps away
    from nothing after that.
    """
    if not crash_model.is_suspect(crashes):
        return views.Separation.NONE
    last = max(step_record.tasks[index].run for index in indexes)
    placed_ms = _last_placed_ms(step_record, indexes)
    ran_ms = max((c.ran_ms for c in crashes if c.run == last), default=0)
    waited_ms = wall_ms - placed_ms - ran_ms
    if waited_ms <= (
        LONG_ISOLATION_WAIT_MS
        if crash_model.has_last_chance(crashes)
        else ISOLATION_WAIT_MS
    ):
        return views.Separation.WHOLE_WORKER
    if waited_ms <= GUARANTEED_COMPANY_WAIT_MS and not step.long_running:
        return views.Separation.NOT_BESIDE_GUARANTEED
    return views.Separation.LAST_RESORT


def _failed_on(
    step_record: batch.StepRecord, indexes: tuple[int, ...]
) -> frozenset[str]:
    return frozenset(
        name for index in indexes for name in step_record.tasks[index].failed_on
    )


def _placed_recently(
    step_record: batch.StepRecord, indexes: tuple[int, ...], wall_ms: int
) -> bool:
    last_ms = _last_placed_ms(step_record, indexes)
    return wall_ms - last_ms < AVOID_FAILED_MS


def _is_last_attempt(
    queue: catalog_model.Queue,
    step: batch.Step,
    step_record: batch.StepRecord,
    indexes: tuple[int, ...],
) -> bool:
    if step.long_running:
        return False
    task = step_record.tasks[indexes[0]]
    failures = step_record.failed if step.gang else task.failed
    return failures + 1 >= queue.max_attempts


def _waiting_units(
    step: batch.Step, step_record: batch.StepRecord
) -> Iterator[tuple[tuple[int, ...], int]]:
    """Yields the task indexes and next run number of each waiting unit."""
    if step_record.done:
        return
    if step.gang:
        if all(t.state == batch.TaskState.WAITING for t in step_record.tasks):
            run = 1 + max(task.run for task in step_record.tasks)
            yield tuple(range(step.count)), run
        return
    for index, task in enumerate(step_record.tasks):
        if task.state == batch.TaskState.WAITING:
            yield (index,), task.run + 1
