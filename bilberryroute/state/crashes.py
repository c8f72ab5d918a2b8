"""Records crashes of workers under the tasks that ran there."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import crashes as crash_model

# Runs of a task that crashed a worker on which its unit was alone, after which
# its job is given up.
MAX_CRASHES_ALONE = 3
# Fewer suffice if each crash came soon after a start and on another host:
# workers that crash by themselves rarely do that to the same task twice.
MAX_PROMPT_CRASHES_ALONE = 2
PROMPT_CRASH_MS = 5_000


def crashes_alone(crashes: Iterable[batch.Crash]) -> int:
    """Returns the number of runs of a task that crashed a worker alone."""
    return crash_model.crash_count(crash for crash in crashes if crash.alone)


def blamed_crashes(crashes: Iterable[batch.Crash]) -> int:
    """Returns the number of crashes for which a unit is given up."""
    crashes = list(crashes)
    count = crash_model.crash_count(crashes)
    return count if count >= crash_model.MAX_CRASHES else crashes_alone(crashes)


def has_proved_to_crash(crashes: Iterable[batch.Crash]) -> bool:
    """Returns whether a task most likely crashes the workers that run it."""
    crashes = list(crashes)
    if crash_model.crash_count(crashes) >= crash_model.MAX_CRASHES:
        return True
    alone = [crash for crash in crashes if crash.alone]
    prompt = [crash for crash in alone if _is_prompt(crash)]
    hosts = {crash.worker.agent for crash in prompt}
    return crash_model.crash_count(alone) >= MAX_CRASHES_ALONE or (
        min(crash_model.crash_count(prompt), len(hosts))
        >= MAX_PROMPT_CRASHES_ALONE
    )


def _is_prompt(crash: batch.Crash) -> bool:
    return (
        crash.down_after_ms is not None
        and crash.down_after_ms <= PROMPT_CRASH_MS
    )


def workers_with_one_unit(
    batch_state: batch.BatchState, ends: Iterable[batching.RunEnd]
) -> set[batch.WorkerRef]:
    """Returns the crashed workers on which one unit ran.

    Args:
      batch_state: State before the ends are recorded.
      ends: Ends that were reported together.
    """
    units: dict[batch.WorkerRef, set[crash_model.UnitKey]] = {}
    for end in ends:
        record = batch_state.jobs.get(end.task.job_id)
        task = record.task(end.task) if record is not None else None
        crashed = end.cause == batch.LossCause.CRASHED
        if crashed and task is not None and task.active and task.run == end.run:
            key = crash_model.unit_key(record, end.task)
            units.setdefault(task.worker, set()).add(key)
    return {worker for worker, keys in units.items() if len(keys) == 1}


def record_crash(
    task: batch.TaskRecord, end: batching.RunEnd, at_ms: int, *, alone: bool
) -> None:
    """Records that a worker crashed under the present run of a task."""
    ran_ms = max(0, at_ms - task.placed_ms)
    if ran_ms <= crash_model.BLAMED_RUN_MS:
        task.crashes.append(
            batch.Crash(
                worker=task.worker,
                run=task.run,
                ran_ms=ran_ms,
                down_after_ms=end.down_after_ms,
                alone=alone,
            )
        )


def forget_outlived_crashes(task: batch.TaskRecord, at_ms: int) -> None:
    """Clears the crashes under a task whose present run has gone on for long.

    A service would otherwise be given up for crashes that are years apart.
    """
    if at_ms - task.placed_ms > crash_model.BLAMED_RUN_MS:
        task.crashes.clear()


def explain_crashes(
    batch_state: batch.BatchState, ends: Iterable[batching.RunEnd]
) -> None:
    """Marks the crashes that are explained by what these ends prove.

    A unit that crashed a worker alone has probably caused the earlier crashes
    that it was part of.

    Args:
      batch_state: State after the ends were recorded.
      ends: Ends that were reported together.
    """
    causes = causes_by_worker(batch_state, ends)
    if not causes:
        return
    for key, task in _tasks_with_crashes(batch_state):
        task.crashes = [
            dataclasses.replace(crash, explained=True)
            if causes.get(crash.worker, set()) - {key}
            else crash
            for crash in task.crashes
        ]


def causes_by_worker(
    batch_state: batch.BatchState, ends: Iterable[batching.RunEnd]
) -> dict[batch.WorkerRef, set[crash_model.UnitKey]]:
    """Returns which units explain the crashes of which workers.

    Args:
      batch_state: State after the ends were recorded.
      ends: Ends that were reported together.
    """
    causes: dict[batch.WorkerRef, set[crash_model.UnitKey]] = {}
    seen: set[tuple[crash_model.UnitKey, int]] = set()
    for end in ends:
        if end.cause != batch.LossCause.CRASHED:
            continue
        record = batch_state.jobs.get(end.task.job_id)
        if record is None or record.task(end.task) is None:
            continue
        key = crash_model.unit_key(record, end.task)
        if (key, end.run) in seen:
            continue
        seen.add((key, end.run))
        crashes = crash_model.unit_crashes(record, end.task)
        if any(crash.alone and crash.run == end.run for crash in crashes):
            for crash in crashes:
                causes.setdefault(crash.worker, set()).add(key)
    return causes


def suspect_units(
    batch_state: batch.BatchState,
) -> dict[crash_model.UnitKey, set[batch.WorkerRef]]:
    """Returns the suspects of jobs that go on, with the workers that crashed."""
    crashes: dict[crash_model.UnitKey, list[batch.Crash]] = {}
    for key, task in _tasks_with_crashes(batch_state):
        if batch_state.jobs[key[0]].result is None:
            crashes.setdefault(key, []).extend(task.crashes)
    return {
        key: {crash.worker for crash in unit_crashes}
        for key, unit_crashes in crashes.items()
        if crash_model.is_suspect(unit_crashes)
    }


def _tasks_with_crashes(
    batch_state: batch.BatchState,
) -> Iterator[tuple[crash_model.UnitKey, batch.TaskRecord]]:
    for record in batch_state.jobs.values():
        for occurrence, steps in record.occurrences.items():
            for step, step_record in enumerate(steps):
                for index, task in enumerate(step_record.tasks):
                    if task.crashes:
                        task_id = batch.TaskId(
                            job_id=record.id,
                            occurrence=occurrence,
                            step=step,
                            index=index,
                        )
                        yield crash_model.unit_key(record, task_id), task
