"""Derives from a state and reports how far runs have come, for `speeds`."""

from collections.abc import Iterator
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import speeds


def progress_of(
    state: batch.BatchState,
    reported: Mapping[room_lib.RunKey, tuple[int, int]],
    racks: Mapping[str, str],
) -> Iterator[speeds.RunProgress]:
    """Yields the progress of each run that works, once for a whole gang.

    Args:
      state: State of the batch jobs.
      reported: Progress of the runs, 0 to 100, and the monotonic time of its
        report in milliseconds.
      racks: Rack of each worker that is present, by the worker's name.
    """
    gangs = set()
    for (task_id, run), (percent, at_ms) in reported.items():
        record = state.jobs.get(task_id.job_id)
        task = record and record.task(task_id)
        if not task or task.run != run or task.worker is None:
            continue
        if task.state != batch.TaskState.PLACED:
            continue
        step = record.content.steps[task_id.step]
        if step.long_running:
            continue
        step_key = (task_id.job_id, task_id.occurrence, task_id.step)
        members = [task]
        if step.gang:
            if (step_key, run) in gangs:
                continue
            gangs.add((step_key, run))
            tasks = record.occurrences[task_id.occurrence][task_id.step].tasks
            members = [t for t in tasks if t.worker and t.run == run]
        names = tuple(sorted({t.worker.name for t in members}))
        if any(name not in racks for name in names):
            continue
        yield speeds.RunProgress(
            key=(step_key, run) if step.gang else (task_id, run),
            step=(task_id.job_id, task_id.step),
            queue=(record.queue, task_id.step),
            workers=names,
            slowdown=placing.slowdown(step, {racks[name] for name in names}),
            percent=percent,
            at_ms=at_ms,
            estimate_ms=step.estimate_ms,
        )
