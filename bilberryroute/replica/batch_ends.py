"""Detects ended runs of batch jobs, from reports and from lease expiry."""

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib

# An agent reckons a worker's clock from its last answer, some seconds ago; the
# clocks may have drifted apart since then.
FENCE_MARGIN_MS = 500


# Ends that one command records at most, unless one worker has more. Applying them
# takes about 20 us each.
MAX_ENDS = 500


def active_task(
    batch_state: batch.BatchState, task_id: batch.TaskId, run: int
) -> batch.TaskRecord | None:
    """Returns the task if its active run has this number, or None."""
    record = batch_state.jobs.get(task_id.job_id)
    task = record.task(task_id) if record is not None else None
    if task is None or not task.active or task.run != run:
        return None
    return task


def run_fence_ms(timing: settings.Timing) -> int:
    """Returns how long a worker must be silent until its runs have ended.

    The agent extends run leases as long as it holds the lease granted for the
    last renewal that reported the worker. Both leases last longer on slow
    clocks.
    """
    leases_ms = timing.agent_lease_ms + timing.run_lease_ms
    return clock_lib.with_drift(leases_ms) + FENCE_MARGIN_MS


def reported_ends(
    batch_state: batch.BatchState, board: board_lib.ReplicaBoard
) -> list[tuple[str, wire.EndReport, batch.TaskRecord]]:
    """Returns worker, end and task of reported ends that are not committed."""
    return [
        (worker.report.name, end, task)
        for worker in board.batch_workers.get().values()
        for end in worker.report.ends
        if (task := active_task(batch_state, end.task, end.run)) is not None
    ]


def lost_runs(
    batch_state: batch.BatchState,
    board: board_lib.ReplicaBoard,
    timing: settings.Timing,
    now: clock_lib.Millis,
) -> list[batching.RunEnd]:
    """Returns the runs that have certainly ended without a report of it."""
    fence_ms = run_fence_ms(timing)
    ends = []
    for task_ids in batch_state.placed.values():
        for task_id in task_ids:
            task = batch_state.jobs[task_id.job_id].task(task_id)
            cause = _loss_cause(task.worker, board, now, fence_ms)
            if cause is not None:
                ends.append(
                    batching.RunEnd(
                        task=task_id,
                        run=task.run,
                        outcome=batch.RunOutcome.LOST,
                        saved=task.saved,
                        cause=cause,
                    )
                )
    return ends


def _loss_cause(
    ref: batch.WorkerRef,
    board: board_lib.ReplicaBoard,
    now: clock_lib.Millis,
    fence_ms: int,
) -> batch.LossCause | None:
    """Returns why the runs of an incarnation have certainly ended, or None.

    A crash that the agent saw is among the ends that it reports.
    """
    agent = board.agents.get().get(ref.agent)
    for report in agent.renewal.batch if agent is not None else ():
        # A host runs one worker at a time: a newer one replaces the older.
        if report.born > ref.born:
            return _restart_cause(ref, agent)
        if report.over and report.born == ref.born:
            return batch.LossCause.WITHDRAWN
    last_seen = board.term.get().began
    worker = board.batch_workers.get().get(ref.name)
    if worker is not None:
        if worker.report.born > ref.born:
            return _restart_cause(ref, agent)
        last_seen = max(last_seen, worker.last_seen_ms)
    return batch.LossCause.SILENT if now - last_seen > fence_ms else None


def _restart_cause(
    ref: batch.WorkerRef, agent: board_lib.AgentRecord | None
) -> batch.LossCause:
    """Returns why a worker has restarted if its agent reports no crash.

    An agent that was restarted while its worker was down does not know of the
    crash.
    """
    down = agent.down_worker if agent is not None else None
    if (
        down is not None
        and down.born == ref.born
        and down.agent_incarnation != agent.renewal.incarnation
    ):
        return batch.LossCause.CRASHED
    return batch.LossCause.RESTARTED


def down_worker(
    renewal: wire.Renewal, previous: board_lib.AgentRecord | None
) -> board_lib.DownWorker | None:
    """Returns the worker that an agent has stopped to report, or None.

    That an agent goes on without its worker tells a crash from a loss of power.
    """
    if previous is None:
        return None
    reported = {report.born for report in renewal.batch}
    if renewal.incarnation == previous.renewal.incarnation:
        for report in previous.renewal.batch:
            ends = report.draining or report.over or renewal.draining
            if report.born not in reported and not ends:
                return board_lib.DownWorker(
                    born=report.born, agent_incarnation=renewal.incarnation
                )
    known = previous.down_worker
    return None if known is not None and known.born in reported else known


def divide(
    ends: list[batching.RunEnd], batch_state: batch.BatchState
) -> list[list[batching.RunEnd]]:
    """Divides ends into parts that are committed one after another.

    Those of one worker stay together, as they tell who ran beside whom when it
    crashed.
    """
    by_worker: dict[batch.WorkerRef, list[batching.RunEnd]] = {}
    for end in ends:
        task = batch_state.jobs[end.task.job_id].task(end.task)
        by_worker.setdefault(task.worker, []).append(end)
    parts: list[list[batching.RunEnd]] = []
    for worker_ends in by_worker.values():
        if not parts or len(parts[-1]) + len(worker_ends) > MAX_ENDS:
            parts.append([])
        parts[-1] += worker_ends
    return parts


def update_committed_ends(
    batch_state: batch.BatchState, board: board_lib.ReplicaBoard
) -> set[str]:
    """Stores on the board which ends workers may discard.

    Returns:
      Names of the agents to notify.
    """
    agents = set()
    for worker in board.batch_workers.get().values():
        report = worker.report
        key = (report.name, report.born)
        highest = _committed_up_to(batch_state, report)
        if highest > board.committed_ends.get(key, 0):
            board.committed_ends[key] = highest
            agents.add(worker.agent)
    return agents


def _committed_up_to(
    batch_state: batch.BatchState, report: wire.WorkerReport
) -> int:
    """Returns the number up to which all ends of a worker are committed."""
    highest = 0
    for end in sorted(report.ends, key=lambda end: end.number):
        if end.number == 0:
            continue  # Detected by the agent; not in the worker's list.
        if active_task(batch_state, end.task, end.run) is not None:
            break
        highest = end.number
    return highest
