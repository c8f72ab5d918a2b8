"""The leader's controller of jobs; commits the scheduler's decisions."""

import asyncio
import contextlib

import mode

from bilberryroute import clock as clock_lib
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import desired as desired_lib
from bilberryroute.replica import events as event_rules
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import progress
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from bilberryroute.scheduling import policy as policy_lib
from bilberryroute.scheduling import scheduler as scheduler_lib

RESTART_PAUSE_MS = clock_lib.SECOND


class JobController(mode.Service):
    """Runs the scheduler while this replica leads.

    Attributes:
      scheduler: The scheduler of the current term, or None.
    """

    def __init__(self, parts: parts_lib.ReplicaParts):
        super().__init__()
        self.scheduler: scheduler_lib.Scheduler | None = None
        self._cfg = parts.cfg
        self._board = parts.board
        self._group = parts.group
        self._machine = parts.machine
        self._proposer = parts.proposer
        self._clock = parts.clock
        self._rng = parts.rng
        self._leadership = parts.leadership
        self._desired = parts.desired
        self._pending_events: list[events.Event] = []
        self._ended_tasks: set[board_lib.TaskKey] = set()
        self._in_transition: set[str] = set()
        parts.machine.listeners.append(self._on_applied)

    def _on_applied(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        if self.scheduler is not None:
            state = self._machine.state
            self._pending_events += event_rules.scheduler_events(
                command, result, state
            )
            self._in_transition |= event_rules.jobs_in_transition(command)
        self._board.applied.touch()

    @mode.Service.task
    async def _lead_terms(self) -> None:
        while not self.should_stop:
            if self._leadership.active():
                await self._lead_term(self._board.term.get().number)
            else:
                self.scheduler = None
                await self.sleep(clock_lib.seconds(self._cfg.timing.decide_ms))

    async def _lead_term(self, term: int) -> None:
        """Schedules until the term ends, with a new scheduler after a failure.

        An exception doesn't end the process: every replica runs the same
        code, so the next leader would fail in the same way.
        """
        while not self.should_stop and self._leads(term):
            try:
                self._begin_term()
                await self._run_rounds(term)
            except Exception:
                self.log.exception(
                    "scheduling failed; restarting the scheduler"
                )
                await self.sleep(clock_lib.seconds(RESTART_PAUSE_MS))

    async def _run_rounds(self, term: int) -> None:
        while not self.should_stop and self._leads(term):
            self._pass_events()
            await self._run_round()
            await self._wait_for_change()

    def _leads(self, term: int) -> bool:
        current = self._board.term.get().number == term
        return current and self._leadership.active()

    def _begin_term(self) -> None:
        state = self._machine.state
        self._pending_events.clear()
        self._ended_tasks.clear()
        self._in_transition = {
            r.job.id for r in desired_lib.active_records(state)
        }
        self.scheduler = scheduler_lib.Scheduler(policy_lib.Policy(), self._rng)
        now = self._clock.wall()
        for event in event_rules.restore_events(state):
            self.scheduler.observe(event, now)

    def _pass_events(self) -> None:
        """Passes all events since the last round to the scheduler."""
        pending = self._pending_events
        self._pending_events = []
        now = self._clock.wall()
        for event in [*pending, *self._task_events()]:
            self.scheduler.observe(event, now)

    def _task_events(self) -> list[events.Event]:
        """Returns ends of tasks, each once, and progress of running tasks."""
        new_events: list[events.Event] = []
        agents = self._board.agents.get()
        for name in self._board.changed_agents:
            for key, report in agents[name].tasks.items():
                self._in_transition.add(report.job_id)
                if report.state == "running":
                    new_events.append(_usage_reported(report))
                elif self._is_first_end(key, report):
                    new_events.append(_task_ended(report))
        self._board.changed_agents.clear()
        return new_events

    def _is_first_end(
        self, key: board_lib.TaskKey, report: wire.TaskReport
    ) -> bool:
        """Returns whether a report is the first that shows a task's end."""
        if (
            report.state not in progress.ENDED_STATES
            or key in self._ended_tasks
        ):
            return False
        self._ended_tasks.add(key)
        return True

    async def _run_round(self) -> None:
        at_ms = self._clock.wall()
        transitions = self._transitions(at_ms)
        await asyncio.gather(*map(self._proposer.try_propose, transitions))
        self._pass_events()
        decided = self.scheduler.decide(self._clock.wall())
        decided_commands = [self._command(d, at_ms) for d in decided]
        await asyncio.gather(*map(self._proposer.try_propose, decided_commands))

    def _transitions(self, at_ms: int) -> list[commands.Command]:
        """Returns the due transitions of placed jobs, derived from reports."""
        observed = self._observed_reports()
        transitions: list[commands.Command] = []
        for job_id in sorted(self._in_transition):
            record = self._machine.state.jobs.get(job_id)
            if record is None or not record.assignments:
                self._in_transition.discard(job_id)
                continue
            command = progress.next_command(record, observed, at_ms)
            if command is not None:
                transitions.append(command)
            elif record.phase == jobs.JobPhase.RUNNING:
                self._in_transition.discard(job_id)
        return transitions

    def _observed_reports(self) -> progress.Observations:
        timing = self._cfg.timing
        leases_ms = timing.agent_lease_ms + timing.task_lease_ms
        return progress.Observations(
            now=self._clock.now(),
            term_began=self._board.term.get().began,
            fence_ms=clock_lib.with_drift(leases_ms) + progress.FENCE_MARGIN_MS,
            board=self._board,
            desired_version=self._desired_version_of,
        )

    def _desired_version_of(self, agent: board_lib.AgentRecord) -> int:
        worker_names = tuple(w.name for w in agent.renewal.workers)
        desired = self._desired.desired(
            self._machine.state,
            self._group.applied_index,
            agent.renewal.agent,
            worker_names,
        )
        return desired.version

    def _command(
        self, decision: decisions.Decision, at_ms: int
    ) -> commands.Command:
        match decision:
            case decisions.PlaceAttempt():
                return commands.PlaceJob(
                    job_id=decision.job_id,
                    attempt=decision.attempt,
                    assignments=decision.assignments,
                    at_ms=at_ms,
                )
            case decisions.StopAttempt():
                return commands.StopJob(
                    job_id=decision.job_id,
                    attempt=decision.attempt,
                    reason=decision.reason,
                    checkpoint=decision.checkpoint,
                    requeue=decision.requeue,
                    at_ms=at_ms,
                )
            case decisions.Refuse():
                return commands.RefuseJob(
                    job_id=decision.job_id, reason=decision.reason, at_ms=at_ms
                )
            case decisions.Fail():
                return self._fail(decision, at_ms)
        raise TypeError(f"unknown decision {decision!r}")

    def _fail(self, decision: decisions.Fail, at_ms: int) -> commands.Command:
        record = self._machine.state.jobs.get(decision.job_id)
        if record is not None and record.phase == jobs.JobPhase.QUEUED:
            return commands.RefuseJob(
                job_id=decision.job_id,
                reason=decision.reason,
                result=jobs.JobResult.FAILED,
                at_ms=at_ms,
            )
        return commands.StopJob(
            job_id=decision.job_id,
            attempt=decision.attempt,
            reason=decision.reason,
            checkpoint=False,
            requeue=False,
            at_ms=at_ms,
        )

    async def _wait_for_change(self) -> None:
        """Waits for a report, an applied command or the next round's time."""
        if self.scheduler.unfinished():
            await asyncio.sleep(0)
            return
        waiters = [
            asyncio.ensure_future(cell.changed(cell.version))
            for cell in (self._board.agents, self._board.applied)
        ]
        timeout = clock_lib.seconds(self._cfg.timing.decide_ms)
        try:
            await asyncio.wait(
                waiters, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for fut in waiters:
                fut.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await fut


def _usage_reported(report: wire.TaskReport) -> events.UsageReported:
    return events.UsageReported(
        worker=report.worker,
        job_id=report.job_id,
        progress_ms=report.progress_ms,
    )


def _task_ended(report: wire.TaskReport) -> events.TaskEnded:
    return events.TaskEnded(
        job_id=report.job_id,
        attempt=report.attempt,
        worker=report.worker,
        result=jobs.TaskResult(report.state),
        ran_ms=report.progress_ms,
    )
