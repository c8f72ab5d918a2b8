"""Selects the units that are ready to start, and ranks them."""

import dataclasses
import heapq
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import paths as paths_lib
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

# New occurrences of a job that one round starts at most. All are alike, and the
# next round follows as soon as these have started.
MAX_NEW_OCCURRENCES = 32

# Worker that crashed last under a suspect, and whether it is within a guarantee.
_SuspectGroup = tuple[batch.WorkerRef, bool]
# Job id and number of an occurrence.
_Occurrence = tuple[str, int]


class ReadyUnits:
    """Units that are ready to start, in order of rank.

    Tasks of a step that were never placed differ by their index only. There may
    be far more of them than fit, so they are made one after another.
    """

    def __init__(self, heads: list["Head"]):
        """Sorts the units.

        Args:
          heads: Units that were placed before, and the first new one of each
            step, in the order in which jobs were accepted.
        """
        queue = [
            (head.unit.rank, number, head) for number, head in enumerate(heads)
        ]
        queue.sort(key=lambda entry: entry[:2])
        ordered = _newest_suspects_first([head for _, _, head in queue])
        self._queue = [
            (rank, number, head)
            for (rank, number, _), head in zip(queue, ordered, strict=True)
        ]
        self._further = range(0)

    def __iter__(self) -> Iterator[views.ReadyUnit]:
        """Yields the units; `drop_further` leaves out some."""
        while self._queue:
            _, number, head = heapq.heappop(self._queue)
            self._further = head.further
            yield head.unit
            if self._further:
                following = head.following()
                entry = (following.unit.rank, number, following)
                heapq.heappush(self._queue, entry)

    def drop_further(self) -> int:
        """Leaves out the new units that follow the last one of its step.

        Returns:
          Their number.
        """
        dropped = len(self._further)
        self._further = range(0)
        return dropped


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """A ready unit, and the new tasks of its step that follow it.

    Attributes:
      further: Their indexes; empty for a unit that was placed before.
    """

    unit: views.ReadyUnit
    further: range = range(0)

    def following(self) -> "Head":
        """Returns the head with the next of the new tasks as its unit."""
        index = self.further[0]
        unit = dataclasses.replace(
            self.unit, indexes=(index,), rank=(*self.unit.rank[:-1], index)
        )
        return Head(unit=unit, further=self.further[1:])


Reorder = Callable[[list[Head]], Generator[None, None, list[Head]]]


def ready_units(
    state: batch.BatchState,
    guaranteed: set[str],
    wall_ms: int,
    job_deadlines: deadlines.Deadlines,
    paths: paths_lib.PathCache,
    reorder: Reorder | None = None,
) -> Generator[None, None, ReadyUnits]:
    """Returns all units that are ready to start.

    Yields again and again, so that the caller may do other work meanwhile.

    Args:
      state: State of the batch jobs.
      guaranteed: Ids of the jobs within their accounts' guarantees.
      wall_ms: Unix time in milliseconds.
      job_deadlines: Objectives and expected durations of the jobs.
      paths: What is known of the jobs' steps.
      reorder: Replaces the ranks of the units, if given.
    """
    heads = []
    running = _running_occurrences(state)
    for record in list(state.jobs.values()):
        queue = state.catalog.queue(record.queue)
        if record.result is not None or queue is None:
            continue
        job_paths = paths.of(record)
        for head in ready_heads(record, queue, wall_ms, running, job_paths):
            rank = _rank(head.unit, guaranteed, job_deadlines)
            unit = dataclasses.replace(head.unit, rank=rank)
            heads.append(Head(unit=unit, further=head.further))
            yield
    if reorder is not None:
        heads = yield from reorder(heads)
    return ReadyUnits(heads)


def _running_occurrences(state: batch.BatchState) -> set[_Occurrence]:
    """Returns the occurrences of which a task is placed, by job and number."""
    return {
        (task_id.job_id, task_id.occurrence)
        for task_ids in state.placed.values()
        for task_id in task_ids
        if state.jobs[task_id.job_id].task(task_id).state
        == batch.TaskState.PLACED
    }


def _newest_suspects_first(ready: list[Head]) -> list[Head]:
    """Lets the suspects of a crash that started last before it run first.

    Few workers are idle for suspects, and those that ran for longer are less
    likely to have caused the crash. All other units keep their places, so that
    the suspects of one crash do not overtake more urgent ones of another. Those
    within a guarantee come before all others, which they may stop.
    """
    by_crash: dict[_SuspectGroup, list[Head]] = {}
    for head in ready:
        if head.unit.suspect:
            by_crash.setdefault(_suspect_group(head.unit), []).append(head)
    ordered = {
        group: iter(
            sorted(heads, key=lambda h: _unit_placed_ms(h.unit), reverse=True)
        )
        for group, heads in by_crash.items()
    }
    return [
        next(ordered[_suspect_group(head.unit)]) if head.unit.suspect else head
        for head in ready
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


def guaranteed_jobs(
    state: batch.BatchState, paths: paths_lib.PathCache | None = None
) -> set[str]:
    """Returns ids of priority-0 jobs within their accounts' guarantees."""
    paths = paths or paths_lib.PathCache()
    remaining = {a.name: a.guaranteed for a in state.catalog.accounts}
    priority_0_queues = {
        q.name for q in state.catalog.queues if q.priority == 0
    }
    job_ids = set()
    for record in state.jobs.values():
        if record.result is None and record.queue in priority_0_queues:
            need = paths.of(record).max_accelerators
            if 0 < need <= remaining.get(record.account, 0):
                remaining[record.account] -= need
                job_ids.add(record.id)
    return job_ids


def next_due_ms(state: batch.BatchState, wall_ms: int) -> int | None:
    """Returns the Unix time when the next occurrence is due, or None."""
    due = []
    for record in state.jobs.values():
        if record.result is None and record.content.schedule is not None:
            number = _due_count(record, wall_ms)
            if number < record.occurrence_count:
                due.append(record.due_ms(number) + DUE_MARGIN_MS)
    return min(due, default=None)


def _due_count(record: batch.BatchRecord, wall_ms: int) -> int:
    """Returns how many occurrences of a job are due, the first ones."""
    schedule = record.content.schedule
    if schedule is None:
        return 1
    since_first_ms = wall_ms - schedule.first_ms - DUE_MARGIN_MS
    if since_first_ms < 0:
        return 0
    if schedule.interval_ms <= 0:
        return schedule.count
    return min(schedule.count, since_first_ms // schedule.interval_ms + 1)


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


def ready_heads(
    record: batch.BatchRecord,
    queue: catalog_model.Queue,
    wall_ms: int,
    running: Set[_Occurrence],
    paths: paths_lib.JobPaths,
) -> Iterator[Head]:
    """Yields the ready units of a job, of each step the first of the new ones.

    Args:
      record: The job.
      queue: Its queue.
      wall_ms: Unix time in milliseconds.
      running: Occurrences of which a task is placed.
      paths: What is known of the job's steps.
    """
    new_occurrences = 0
    for number in range(
        record.first_open_occurrence, _due_count(record, wall_ms)
    ):
        if new_occurrences == MAX_NEW_OCCURRENCES:
            return
        new_occurrences += number not in record.occurrences
        due_ms = record.due_ms(number)
        if record.content.schedule is not None:
            due_ms += DUE_MARGIN_MS
        for step_number, step_record in _ready_steps(record, number, paths):
            yield from _step_heads(
                views.ReadyUnit(
                    record=record,
                    queue=queue,
                    occurrence=number,
                    step_number=step_number,
                    step=record.content.steps[step_number],
                    indexes=(),
                    run=0,
                    # The host that accepted the job may have another time.
                    due_since_ms=min(due_ms, wall_ms),
                    job_runs=(record.id, number) in running,
                ),
                step_record,
                wall_ms,
            )


def _ready_steps(
    record: batch.BatchRecord, number: int, paths: paths_lib.JobPaths
) -> Iterator[tuple[int, batch.StepRecord]]:
    """Yields the unfinished steps of an occurrence that wait for no other."""
    steps = record.content.steps
    step_records = record.occurrences.get(number)
    if step_records is None:
        for each in paths.first_steps:
            yield each, batch.StepRecord(tasks=[], count=steps[each].count)
        return
    first_open = record.first_open_steps.get(number, 0)
    for each in range(first_open, len(steps)):
        if not step_records[each].finished() and all(
            step_records[other].finished() for other in steps[each].depends_on
        ):
            yield each, step_records[each]


def _step_heads(
    unit: views.ReadyUnit, step_record: batch.StepRecord, wall_ms: int
) -> Iterator[Head]:
    """Yields the waiting units of a step.

    Args:
      unit: A unit with what all units of the step share.
      step_record: Tasks of the step.
      wall_ms: Unix time in milliseconds.
    """
    step = unit.step
    for indexes, run in _placed_before(step, step_record):
        crashes = step_record.crashes(indexes[0], gang=step.gang)
        failed_on = _failed_on(step_record, indexes)
        yield Head(
            unit=dataclasses.replace(
                unit,
                indexes=indexes,
                run=run,
                suspect=_isolation(
                    step, step_record, indexes, crashes, wall_ms
                ),
                crash_count=crash_model.crash_count(crashes),
                step_runs=any(t.active for _, t in step_record.open_tasks())
                if crashes
                else False,
                failed_on=failed_on,
                failed_recently=bool(failed_on)
                and _placed_recently(step_record, indexes, wall_ms),
                last_attempt=_is_last_attempt(
                    unit.queue, step, step_record, indexes
                ),
            )
        )
    first_new = len(step_record.tasks)
    if first_new == step_record.count:
        return
    # The tasks of a gang are placed together.
    indexes = range(step.count) if step.gang else (first_new,)
    yield Head(
        unit=dataclasses.replace(
            unit,
            indexes=tuple(indexes),
            run=1,
            new=True,
            last_attempt=not step.long_running and unit.queue.max_attempts <= 1,
        ),
        further=range(0) if step.gang else range(first_new + 1, step.count),
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


def _placed_before(
    step: batch.Step, step_record: batch.StepRecord
) -> Iterator[tuple[tuple[int, ...], int]]:
    """Yields indexes and next run number of the waiting units with a record."""
    if step.gang:
        tasks = step_record.tasks
        if tasks and all(t.state == batch.TaskState.WAITING for t in tasks):
            run = 1 + max(task.run for task in tasks)
            yield tuple(range(step.count)), run
        return
    for index, task in step_record.open_tasks():
        if task.state == batch.TaskState.WAITING:
            yield (index,), task.run + 1
