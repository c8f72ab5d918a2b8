"""Decides which runs a worker starts, stops and reports; does no I/O."""

import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire

RunKey = tuple[batch.TaskId, int]

# How long a start is repeated that the worker is too busy for. A job of which
# nothing runs counts as lost after 3 s; this leaves time to start it elsewhere.
BUSY_MAX_MS = 1_000


def key_fields(key: RunKey) -> dict[str, object]:
    """Returns the fields of a log line on a run."""
    task, run = key
    return {
        "job_id": task.job_id,
        "task": f"{task.occurrence}.{task.step}.{task.index}",
        "run": run,
    }


class RunPhase(enum.StrEnum):
    """State of one run as the agent knows it.

    `PENDING`: the worker has not confirmed a start. `STARTED`: it has.
    `REFUSED`: the worker rejected the start. The agent still sends a stop,
    since an earlier start without an answer may arrive late.
    `BARRED`: the worker has confirmed that it will not start the run any more.
    """

    PENDING = "pending"
    STARTED = "started"
    REFUSED = "refused"
    BARRED = "barred"


@dataclasses.dataclass(slots=True, kw_only=True)
class RunProgress:
    """Progress of one run on one incarnation of the worker.

    Attributes:
      clock_ms: Worker's clock when it confirmed the start or the stop; only
        a later listing proves that the run is absent.
      call_in_flight: Whether a call on the run awaits its answer.
      start_sent_ms: Agent's clock when the last start was sent that may have
        begun the run; None if no start may have.
      busy_since_ms: Agent's clock when the worker first answered the start by
        `BUSY`; None if its last answer was another.
      unanswered_stops: Number of stops without an answer since the last answer.
      outcome_if_absent: Outcome to report if the worker does not list the
        run.
    """

    phase: RunPhase = RunPhase.PENDING
    clock_ms: int = 0
    call_in_flight: bool = False
    start_sent_ms: int | None = None
    busy_since_ms: int | None = None
    unanswered_stops: int = 0
    outcome_if_absent: batch.RunOutcome = batch.RunOutcome.ABSENT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunPlanInput:
    """Input of a plan for the runs of one worker.

    Attributes:
      worker: Present incarnation of the worker.
      desired: Runs that the leader wants started or stopped.
      covered: Whether the leader knew of this incarnation when it made the
        desired state.
      may_start: Whether the agent holds a lease and the worker accepts runs.
      closed: Whether the worker drains or its failure domain is evacuated.
      payloads: IDs of the batch jobs whose payload the agent has.
      listing: The worker's newest listing.
      progress: Progress by run.
      crashed_runs: Runs that ended by a crash of an earlier incarnation, with
        the time from their start until it was down, in milliseconds.
      capacity: Capacity that the worker has for certain.
    """

    worker: batch.WorkerRef
    desired: tuple[wire.DesiredRun, ...]
    covered: bool
    may_start: bool
    closed: bool
    payloads: frozenset[str]
    listing: worker_port.Listing
    progress: dict[RunKey, RunProgress]
    capacity: batch.Resources
    crashed_runs: Mapping[RunKey, int | None] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRun:
    """Starts a run."""

    run: wire.DesiredRun


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRun:
    """Stops a run, or bars it if it has not started."""

    key: RunKey


Action = StartRun | StopRun


def actions(plan_input: RunPlanInput) -> list[Action]:
    """Returns the calls to send to the worker now."""
    calls: list[Action] = []
    running = {(r.task, r.run) for r in plan_input.listing.running}
    ended = {(e.task, e.run) for e in plan_input.listing.ends}
    held = held_starts(plan_input)
    desired_runs = _desired_by_key(plan_input)
    for key, run in desired_runs.items():
        state = plan_input.progress.get(key, RunProgress())
        if state.call_in_flight or key in ended:
            continue
        if (
            _must_stop(run, state, running, plan_input)
            and state.phase != RunPhase.BARRED
        ):
            calls.append(StopRun(key=key))
        elif key not in held and _may_start_run(
            run, key, state, running, plan_input
        ):
            calls.append(StartRun(run=run))
    if plan_input.covered:
        for report in plan_input.listing.running:
            key = (report.task, report.run)
            state = plan_input.progress.get(key, RunProgress())
            if (
                key not in desired_runs
                and not state.call_in_flight
                and state.phase != RunPhase.BARRED
            ):
                calls.append(StopRun(key=key))
    return calls


def _desired_by_key(
    plan_input: RunPlanInput,
) -> dict[RunKey, wire.DesiredRun]:
    return {
        (run.task, run.run): run
        for run in plan_input.desired
        if run.worker == plan_input.worker
    }


def runs_of_earlier_incarnations(
    worker: batch.WorkerRef, desired: Iterable[wire.DesiredRun]
) -> list[RunKey]:
    """Returns the desired runs on the same worker before it restarted."""
    return [
        (run.task, run.run)
        for run in desired
        if run.worker.name == worker.name and run.worker.born != worker.born
    ]


def held_starts(plan_input: RunPlanInput) -> frozenset[RunKey]:
    """Returns the runs that must not start until the worker has capacity.

    A worker may have less capacity than when the leader placed the runs, and
    may start whatever it is told. So nothing starts while all runs that may be
    on the worker, together with those to start, exceed its capacity. The
    leader stops the runs that no longer fit.
    """
    running = {(r.task, r.run) for r in plan_input.listing.running}
    ended = {(e.task, e.run) for e in plan_input.listing.ends}
    desired_runs = _desired_by_key(plan_input)
    total = batch.NO_RESOURCES
    startable = set()
    for key, run in desired_runs.items():
        state = plan_input.progress.get(key, RunProgress())
        if key in ended or _is_absent(key, state, running, plan_input.listing):
            continue
        total = total.plus(run.need)
        if (
            run.need != batch.NO_RESOURCES
            and not state.call_in_flight
            and _may_start_run(run, key, state, running, plan_input)
        ):
            startable.add(key)
    if plan_input.capacity.holds(total) and not _has_run_of_unknown_need(
        desired_runs, running, plan_input
    ):
        return frozenset()
    return frozenset(startable)


def _has_run_of_unknown_need(
    desired_runs: dict[RunKey, wire.DesiredRun],
    running: set[RunKey],
    plan_input: RunPlanInput,
) -> bool:
    # A start without an answer may still be carried out.
    called = {
        key
        for key, state in plan_input.progress.items()
        if state.call_in_flight and state.phase == RunPhase.PENDING
    }
    return bool((running | called) - desired_runs.keys())


def _must_stop(
    run: wire.DesiredRun,
    state: RunProgress,
    running: set[RunKey],
    plan_input: RunPlanInput,
) -> bool:
    if run.stop or state.phase == RunPhase.REFUSED:
        return True
    # One that is listed was started by a call without an answer, or by an
    # earlier process of the agent.
    begun = state.phase != RunPhase.PENDING or (run.task, run.run) in running
    return plan_input.closed and not begun


def _may_start_run(
    run: wire.DesiredRun,
    key: RunKey,
    state: RunProgress,
    running: set[RunKey],
    plan_input: RunPlanInput,
) -> bool:
    return (
        not run.stop
        and state.phase == RunPhase.PENDING
        and key not in running
        and plan_input.may_start
        and run.task.job_id in plan_input.payloads
    )


def inferred_ends(plan_input: RunPlanInput) -> tuple[wire.EndReport, ...]:
    """Returns ends for the desired runs that the worker's listing lacks.

    Applies to runs whose start or stop the worker confirmed before it made the
    listing. If the listing shows such a run neither as running nor as ended,
    the worker never started it or has lost it.
    """
    running = {(r.task, r.run) for r in plan_input.listing.running}
    ended = {(e.task, e.run) for e in plan_input.listing.ends}
    ends = []
    for run in plan_input.desired:
        key = (run.task, run.run)
        state = plan_input.progress.get(key)
        if run.worker != plan_input.worker or state is None or key in ended:
            continue
        if _is_absent(key, state, running, plan_input.listing):
            ends.append(
                wire.EndReport(
                    number=0,
                    task=run.task,
                    run=run.run,
                    outcome=state.outcome_if_absent,
                )
            )
    return tuple(ends)


def crash_ends(plan_input: RunPlanInput) -> tuple[wire.EndReport, ...]:
    """Returns ends for the desired runs that a crash of the worker ended."""
    return tuple(
        wire.EndReport(
            number=0,
            task=run.task,
            run=run.run,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
            down_after_ms=plan_input.crashed_runs[run.task, run.run],
        )
        for run in plan_input.desired
        if run.worker != plan_input.worker
        and (run.task, run.run) in plan_input.crashed_runs
    )


def _is_absent(
    key: RunKey,
    state: RunProgress,
    running: set[RunKey],
    listing: worker_port.Listing,
) -> bool:
    """Returns whether a listing without a run proves that it has ended."""
    settled = state.phase in (RunPhase.BARRED, RunPhase.STARTED)
    return (
        key not in running
        and settled
        and not state.call_in_flight
        and listing.clock_ms > state.clock_ms
    )


def apply_start_answer(
    state: RunProgress, answer: worker_port.StartAnswer, now: int
) -> None:
    """Updates the progress of a run with the answer to its start.

    A worker that stays too busy is given up like one that rejects the run.

    Args:
      state: Progress of the run.
      answer: The worker's answer.
      now: Agent's clock, in milliseconds.
    """
    verdicts = worker_port.StartVerdict
    busy_since_ms = state.busy_since_ms
    state.busy_since_ms = None
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
        case verdicts.BUSY if (
            busy_since_ms is not None and now - busy_since_ms >= BUSY_MAX_MS
        ):
            state.phase = RunPhase.REFUSED
            state.outcome_if_absent = batch.RunOutcome.REJECTED
        case verdicts.BUSY:
            state.busy_since_ms = (
                now if busy_since_ms is None else busy_since_ms
            )
            state.clock_ms = answer.clock_ms
        case verdicts.LATE | verdicts.FENCED:
            # The worker did nothing; the start is retried by a later plan.
            state.clock_ms = answer.clock_ms
