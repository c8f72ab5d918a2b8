"""What the agent knows of its worker: input of its plans, and its report."""

import dataclasses

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life as life_lib
from bilberryroute.agent import worker_port
from bilberryroute.model import wire

# A worker that has not answered for this long is left out of the reports.
SILENT_MS = 2 * clock_lib.SECOND


def plan_input(
    worker: life_lib.WorkerIncarnation,
    board: board_lib.AgentBoard,
    cfg: settings.Settings,
    now: int,
) -> run_plan.RunPlanInput:
    """Returns the input of a plan for a worker that was listed.

    Args:
      worker: Present incarnation of the worker.
      board: What the leader wants, and the agent's lease.
      cfg: Settings of the agent.
      now: Agent's clock, in milliseconds.
    """
    announcement = worker.announced
    desired = board.desired.get()
    closed = (
        announcement.draining
        or announcement.failure_domain in desired.evacuated
    )
    may_start = (
        board.lease.get().left_for(worker.name, now) > 0
        and not closed
        and not board.draining.get()
        and not worker.may_have_restarted
    )
    return run_plan.RunPlanInput(
        worker=worker.ref(cfg.host),
        desired=desired.runs,
        covered=worker.name in board.covered.get(),
        may_start=may_start,
        closed=closed,
        payloads=frozenset(board.payloads.get()),
        listing=worker.listing,
        progress=worker.progress,
        crashed_runs=worker.crashed_runs,
        capacity=worker.known_capacity(now, cfg.timing.capacity_age_ms),
    )


def reports(
    worker: life_lib.WorkerIncarnation,
    board: board_lib.AgentBoard,
    cfg: settings.Settings,
    now: int,
) -> tuple[wire.WorkerReport, ...]:
    """Returns the worker's report to the leader, or none.

    A worker is left out while nothing can be started or listed there, and
    until the runs that were meant for earlier incarnations are barred.
    """
    if worker.listing is None or _is_unreachable(worker, now):
        return ()
    if not worker.earlier_runs_barred:
        return ()
    known = plan_input(worker, board, cfg, now)
    ends = (
        *worker.listing.ends,
        *run_plan.inferred_ends(known),
        *run_plan.crash_ends(known),
    )
    report = worker.report(ends, known.capacity)
    if cfg.batch.keep_apart:
        report = dataclasses.replace(
            report, tails=tails(known.desired, worker.listing)
        )
    return (report,)


def tails(
    desired: tuple[wire.DesiredRun, ...], listing: worker_port.Listing
) -> tuple[wire.TailReport, ...]:
    """Returns the tail latencies of the runs that serve within a target."""
    serving = [
        run
        for run in desired
        if run.tail_target_ms > 0 and (run.task, run.run) in listing.loads
    ]
    return tuple(
        wire.TailReport(
            task=run.task,
            run=run.run,
            tail_ms=listing.loads[run.task, run.run],
        )
        for run in serving
    )


def _is_unreachable(worker: life_lib.WorkerIncarnation, now: int) -> bool:
    if worker.over:
        return False
    if worker.down_since_ms is not None and not worker.withdrawn:
        return True
    return is_silent(worker, now)


def is_silent(worker: life_lib.WorkerIncarnation, now: int) -> bool:
    """Returns whether a worker has not answered for too long."""
    return now - worker.last_answer_ms > SILENT_MS
