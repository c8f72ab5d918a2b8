"""Explains what a job waits for and what would let it start."""

from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table


def explain(
    state: states.SchedulerState, entry: table.JobEntry, now_ms: int
) -> decisions.Explanation:
    """Returns why a job is in its phase."""
    waits_for, freed_by = "", ""
    if entry.phase == jobs.JobPhase.QUEUED:
        waits_for, freed_by = _waiting(state, entry)
    return decisions.Explanation(
        job_id=entry.job.id,
        phase=entry.phase,
        waits_for=waits_for,
        since_ms=entry.waiting_since_ms,
        freed_by=freed_by,
    )


def _waiting(
    state: states.SchedulerState, entry: table.JobEntry
) -> tuple[str, str]:
    """Returns what a queued job waits for, and what would let it start."""
    wanted = entry.job.shape.accelerators
    if not state.tree.nodes:
        return "a worker to join", "a worker that announces itself"
    reservation = state.reservations.get(entry.job.id)
    if reservation is not None:
        names = ", ".join(sorted(reservation.units))
        return (
            f"room set aside for it on {names}",
            "the jobs that are stopping there",
        )
    free = sum(
        max(0, node.room)
        for node in state.tree.nodes.values()
        if node.in_service
    )
    if free >= wanted:
        return (
            f"{wanted} adjacent accelerators within one"
            f" {entry.job.shape.adjacency}; {free} are free but scattered",
            "the end of jobs that lie between them",
        )
    return (
        f"{wanted} accelerators; {free} are free",
        "the end of running jobs",
    )
