"""Which batch workers can be given runs. Pure."""

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.replica import board as board_lib

# A worker is considered present for this many renewal intervals after its
# last report.
PRESENT_RENEWALS = 3


def present_workers(
    board: board_lib.ReplicaBoard,
    timing: settings.Timing,
    now: clock_lib.Millis,
) -> list[board_lib.BatchWorker]:
    """Returns the workers that their agents reported last and recently."""
    present_ms = PRESENT_RENEWALS * timing.renewal_ms
    return [
        worker
        for worker in board.batch_workers.get().values()
        if now - worker.last_seen_ms <= present_ms
        and _is_reported(worker, board)
    ]


def _is_reported(
    worker: board_lib.BatchWorker, board: board_lib.ReplicaBoard
) -> bool:
    """Returns whether the agent's newest renewal has this incarnation."""
    agent = board.agents.get().get(worker.agent)
    if agent is None:
        return False
    own = (worker.report.name, worker.report.born)
    return any((r.name, r.born) == own for r in agent.renewal.batch)
