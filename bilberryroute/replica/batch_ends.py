"""Which runs of batch jobs have ended, from reports and from silence."""

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib

# Steady clocks of workers may be this much slow, by the platform's bound.
DRIFT = 1.02
# Time for an order in flight when a lease was thought to end, in ms.
LAPSE_MARGIN_MS = 500


def active_task(
    held: batch.BatchState, task_id: batch.TaskId, run: int
) -> batch.TaskRecord | None:
    """Returns a task whose run of that number is not known to have ended."""
    record = held.jobs.get(task_id.job_id)
    task = record.task(task_id) if record is not None else None
    if task is None or not task.active or task.run != run:
        return None
    return task


def lapse_ms(timing: settings.Timing) -> int:
    """Returns how long after an agent's last report nothing runs any more.

    It extends leases as long as it holds one itself; a lease lasts longer on
    a slow clock.
    """
    run_lease_ms = int(timing.run_lease_ms * DRIFT)
    return timing.agent_lease_ms + run_lease_ms + LAPSE_MARGIN_MS


def reported(
    held: batch.BatchState, board: board_lib.ReplicaBoard
) -> list[tuple[str, wire.EndReport, batch.TaskRecord]]:
    """Returns worker, end and task of the ends that the log does not know."""
    return [
        (worker.report.name, end, task)
        for worker in board.batch_workers.get().values()
        for end in worker.report.ends
        if (task := active_task(held, end.task, end.run)) is not None
    ]


def lost(
    held: batch.BatchState,
    board: board_lib.ReplicaBoard,
    timing: settings.Timing,
    now: clock_lib.Millis,
) -> list[batching.RunEnd]:
    """Returns the runs that have surely ended without anybody saying so."""
    silent_ms = lapse_ms(timing)
    found = []
    for task_ids in held.placed.values():
        for task_id in task_ids:
            task = held.jobs[task_id.job_id].task(task_id)
            if _surely_over(task.worker, board, now, silent_ms):
                found.append(
                    batching.RunEnd(
                        task=task_id,
                        run=task.run,
                        outcome=batch.RunOutcome.LOST,
                        saved=task.saved,
                    )
                )
    return found


def _surely_over(
    ref: batch.WorkerRef,
    board: board_lib.ReplicaBoard,
    now: clock_lib.Millis,
    silent_ms: int,
) -> bool:
    """Says whether a worker's life, or its lease, is over."""
    agent = board.agents.get().get(ref.agent)
    for report in agent.renewal.batch if agent is not None else ():
        # A host holds one worker: a later one follows an earlier one.
        if report.born > ref.born or (report.over and report.born == ref.born):
            return True
    heard = board.term.get().began
    worker = board.batch_workers.get().get(ref.name)
    if worker is not None:
        if worker.report.born > ref.born:
            return True
        heard = max(heard, worker.heard_ms)
    return now - heard > silent_ms


def note_committed(
    held: batch.BatchState, board: board_lib.ReplicaBoard
) -> set[str]:
    """Writes on the board which ends workers may forget.

    Returns:
      Agents that should be told.
    """
    told = set()
    for worker in board.batch_workers.get().values():
        report = worker.report
        key = (report.name, report.born)
        highest = _committed_up_to(held, report)
        if highest > board.committed_ends.get(key, 0):
            board.committed_ends[key] = highest
            told.add(worker.agent)
    return told


def _committed_up_to(held: batch.BatchState, report: wire.WorkerReport) -> int:
    """Returns the number up to which no end on a worker is still unknown."""
    highest = 0
    for end in sorted(report.ends, key=lambda end: end.number):
        if end.number == 0:
            continue  # Found out by the agent; the worker does not list it.
        if active_task(held, end.task, end.run) is not None:
            break
        highest = end.number
    return highest
