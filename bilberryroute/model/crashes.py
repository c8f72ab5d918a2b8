"""Which tasks are suspected of crashing their workers.

A task may crash every worker that runs it. Any task that ran on a crashed
worker is suspect at first. The planner runs suspects apart from other work
where it can, which shows whose runs the crashes follow. The members of a gang
are suspects together.
"""

from collections.abc import Iterable

from bilberryroute.model import batch

# A run that goes on for longer neither is blamed for a crash of its worker nor
# runs apart any more.
BLAMED_RUN_MS = 10 * 60 * 1_000

# Runs of a unit that crashed a worker, alone or not, after which its job is
# given up: a task that crashes its workers must not hide among others for good.
MAX_CRASHES = 5
# Crashes of a unit whose job is given up after one more.
LAST_CHANCE_CRASHES = MAX_CRASHES - 1

UnitKey = tuple[str, int, int, int]


def unit_key(record: batch.BatchRecord, task_id: batch.TaskId) -> UnitKey:
    """Returns a key of the task's unit: its gang, or the task alone."""
    gang = record.content.steps[task_id.step].gang
    index = -1 if gang else task_id.index
    return (task_id.job_id, task_id.occurrence, task_id.step, index)


def unit_crashes(
    record: batch.BatchRecord, task_id: batch.TaskId
) -> list[batch.Crash]:
    """Returns the crashes under the unit of a task."""
    step_record = record.occurrences[task_id.occurrence][task_id.step]
    gang = record.content.steps[task_id.step].gang
    return step_record.crashes(task_id.index, gang=gang)


def crash_count(crashes: Iterable[batch.Crash]) -> int:
    """Returns the number of runs of a unit that ended by a crash."""
    return len({crash.run for crash in crashes})


def is_suspect(crashes: Iterable[batch.Crash]) -> bool:
    """Returns whether a unit should run apart from other work.

    A second crash makes it suspect even if others explain both.
    """
    crashes = list(crashes)
    unexplained = any(not crash.explained for crash in crashes)
    return unexplained or crash_count(crashes) > 1


def has_last_chance(crashes: Iterable[batch.Crash]) -> bool:
    """Returns whether one more crash ends the unit's job, whoever causes it."""
    return crash_count(crashes) >= LAST_CHANCE_CRASHES


def is_harmless_after(crashes: Iterable[batch.Crash], ran_ms: int) -> bool:
    """Returns whether a suspect that has run for a time may share its worker.

    That is so once it has outlived its only run that ended by a crash. After a
    second crash it runs apart for as long as it may be blamed.
    """
    crashes = list(crashes)
    if crash_count(crashes) > 1:
        return ran_ms > BLAMED_RUN_MS
    return all(ran_ms > crash.ran_ms for crash in crashes)
