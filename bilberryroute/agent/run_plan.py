"""Pure decisions on a worker's runs: what to start, stop and report."""

import dataclasses
import enum

from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire

RunKey = tuple[batch.TaskId, int]


def key_fields(key: RunKey) -> dict[str, object]:
    """Returns the fields of a log line on a run."""
    task, run = key
    return {
        "job_id": task.job_id,
        "task": f"{task.occurrence}.{task.step}.{task.index}",
        "run": run,
    }


class RunPhase(enum.StrEnum):
    """How far an agent has come with one run.

    `REFUSED`: the worker would not take it; it is being barred there, as an
    unanswered start may still arrive.
    """

    PENDING = "pending"
    STARTED = "started"
    REFUSED = "refused"
    BARRED = "barred"


@dataclasses.dataclass(slots=True, kw_only=True)
class RunProgress:
    """What the agent has done about one run in one life of the worker.

    Attributes:
      clock_ms: Worker's clock at the answer that led to the phase.
      busy: Whether an order is on its way.
      why: Outcome to report if the run turns out never to have begun.
    """

    phase: RunPhase = RunPhase.PENDING
    clock_ms: int = 0
    call_in_flight: bool = False
    outcome_if_absent: batch.RunOutcome = batch.RunOutcome.ABSENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunPlanInput:
    """All that a plan is made from.

    Attributes:
      worker: The life that answers now.
      desired: Runs that the leader wants there, or wants stopped.
      covered: Whether the leader had heard of this life when it said so.
      may_start: Whether the agent holds a lease and the worker is open.
      payloads: Batch jobs whose payload is here.
      listing: The worker's newest answer.
      progress: By run.
    """

    worker: batch.WorkerRef
    desired: tuple[wire.DesiredRun, ...]
    covered: bool
    may_start: bool
    closed: bool
    payloads: frozenset[str]
    listing: worker_port.Listing
    progress: dict[RunKey, RunProgress]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Order the run to begin."""

    run: wire.DesiredRun


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Order the run to end, or bar it if it has not begun."""

    key: RunKey


Action = StartRun | StopRun


def actions(view: RunPlanInput) -> list[Action]:
    """Returns the orders to give now."""
    found: list[Action] = []
    running = {(r.task, r.run) for r in view.listing.running}
    ended = {(e.task, e.run) for e in view.listing.ends}
    wanted = {}
    for run in view.desired:
        if run.worker == view.worker:
            wanted[run.task, run.run] = run
    for key, run in wanted.items():
        state = view.progress.get(key, RunProgress())
        if state.call_in_flight or key in ended:
            continue
        if _must_stop(run, state, view) and state.phase != RunPhase.BARRED:
            found.append(StopRun(key=key))
        elif _may_begin(run, key, state, running, view):
            found.append(StartRun(run=run))
    if view.covered:
        for key in running - wanted.keys():
            state = view.progress.get(key, RunProgress())
            if not state.call_in_flight and state.phase != RunPhase.BARRED:
                found.append(StopRun(key=key))
    return found


def _must_stop(
    run: wire.DesiredRun, state: RunProgress, view: RunPlanInput
) -> bool:
    if run.stop or state.phase == RunPhase.REFUSED:
        return True
    return view.closed and state.phase == RunPhase.PENDING


def _may_begin(
    run: wire.DesiredRun,
    key: RunKey,
    state: RunProgress,
    running: set[RunKey],
    view: RunPlanInput,
) -> bool:
    return (
        not run.stop
        and state.phase == RunPhase.PENDING
        and key not in running
        and view.may_start
        and run.task.job_id in view.payloads
    )


def inferred_ends(view: RunPlanInput) -> tuple[wire.EndReport, ...]:
    """Returns the ends that the worker does not list.

    A run that was stopped, or started, before the listing and is neither
    running nor among the ends is gone: it never began there.
    """
    running = {(r.task, r.run) for r in view.listing.running}
    ended = {(e.task, e.run) for e in view.listing.ends}
    found = []
    for run in view.desired:
        key = (run.task, run.run)
        state = view.progress.get(key)
        if run.worker != view.worker or state is None or state.call_in_flight:
            continue
        if key in running or key in ended:
            continue
        settled = state.phase in (RunPhase.BARRED, RunPhase.STARTED)
        if settled and view.listing.clock_ms > state.clock_ms:
            found.append(
                wire.EndReport(
                    number=0,
                    task=run.task,
                    run=run.run,
                    outcome=state.outcome_if_absent,
                )
            )
    return tuple(found)


def apply_start_answer(
    state: RunProgress, answer: worker_port.StartAnswer
) -> None:
    """Takes in a worker's answer to a start."""
    verdicts = worker_port.StartVerdict
    match answer.verdict:
        case verdicts.STARTED:
            state.phase = RunPhase.STARTED
            state.clock_ms = answer.clock_ms
        case verdicts.OLD:
            state.phase = RunPhase.BARRED
            state.clock_ms = answer.clock_ms
        case verdicts.NO_ROOM | verdicts.INVALID:
            state.phase = RunPhase.REFUSED
            state.outcome_if_absent = batch.RunOutcome.REJECTED
        case verdicts.LATE | verdicts.FENCED | verdicts.BUSY:
            # Nothing was done; the order is given anew in time.
            state.clock_ms = answer.clock_ms
