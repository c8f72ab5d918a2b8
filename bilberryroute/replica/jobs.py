"""Leader's controller of jobs: scheduler decisions in, commands out."""

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

RESTART_MS = clock_lib.SECOND


class JobController(mode.Service):
    """Runs the scheduler while this replica leads.

    Attributes:
      scheduler: The scheduler of the present term, or None.
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
        self._inbox: list[events.Event] = []
        self._ended: set[board_lib.TaskKey] = set()
        self._moving: set[str] = set()
        parts.machine.listeners.append(self._on_applied)

    def _on_applied(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        if self.scheduler is not None:
            state = self._machine.state
            self._inbox += event_rules.events_of(command, result, state)
            self._moving |= event_rules.placed_jobs(command)
        self._board.applied.touch()

    @mode.Service.task
    async def _lead(self) -> None:
        while not self.should_stop:
            if self._leadership.active():
                await self._lead_term(self._board.term.get().number)
            else:
                self.scheduler = None
                await self.sleep(clock_lib.seconds(self._cfg.timing.decide_ms))

    async def _lead_term(self, term: int) -> None:
        """Schedules until the term ends, with a new scheduler after a fault.

        Every replica runs the same code, so a fault that ended the process
        would only move on to the next leader.
        """
        while not self.should_stop and self._leads(term):
            try:
                self._begin_term()
                await self._run_rounds(term)
            except Exception:
                self.log.exception("scheduling failed; starting afresh")
                await self.sleep(clock_lib.seconds(RESTART_MS))

    async def _run_rounds(self, term: int) -> None:
        while not self.should_stop and self._leads(term):
            self._observe()
            await self._act()
            await self._wait_for_change()

    def _leads(self, term: int) -> bool:
        same = self._board.term.get().number == term
        return same and self._leadership.active()

    def _begin_term(self) -> None:
        state = self._machine.state
        self._inbox.clear()
        self._ended.clear()
        self._moving = {r.job.id for r in desired_lib.active_records(state)}
        self.scheduler = scheduler_lib.Scheduler(policy_lib.Policy(), self._rng)
        now = self._clock.wall()
        for event in event_rules.restoring_events(state):
            self.scheduler.observe(event, now)

    def _observe(self) -> None:
        """Feeds the scheduler all that happened since the last round."""
        inbox = self._inbox
        self._inbox = []
        now = self._clock.wall()
        for event in [*inbox, *self._task_events()]:
            self.scheduler.observe(event, now)

    def _task_events(self) -> list[events.Event]:
        """Returns tasks' ends, each once, and the progress of running ones."""
        found: list[events.Event] = []
        agents = self._board.agents.get()
        for name in self._board.changed_agents:
            for key, report in agents[name].tasks.items():
                self._moving.add(report.job_id)
                if report.state == "running":
                    found.append(_usage(report))
                elif self._ends_now(key, report):
                    found.append(_task_ended(report))
        self._board.changed_agents.clear()
        return found

    def _ends_now(
        self, key: board_lib.TaskKey, report: wire.TaskReport
    ) -> bool:
        """Says whether a report is the first one of a task's end."""
        if report.state not in progress.ENDED_STATES or key in self._ended:
            return False
        self._ended.add(key)
        return True

    async def _act(self) -> None:
        at_ms = self._clock.wall()
        moves = self._moves(at_ms)
        await asyncio.gather(*map(self._proposer.try_propose, moves))
        self._observe()
        decided = self.scheduler.decide(self._clock.wall())
        chosen = [self._command(d, at_ms) for d in decided]
        await asyncio.gather(*map(self._proposer.try_propose, chosen))

    def _moves(self, at_ms: int) -> list[commands.Command]:
        """Returns what placed jobs need next, judged from reports."""
        seen = self._observations()
        found: list[commands.Command] = []
        for job_id in sorted(self._moving):
            record = self._machine.state.jobs.get(job_id)
            if record is None or not record.assignments:
                self._moving.discard(job_id)
                continue
            command = progress.next_command(record, seen, at_ms)
            if command is not None:
                found.append(command)
            elif record.phase == jobs.JobPhase.RUNNING:
                self._moving.discard(job_id)
        return found

    def _observations(self) -> progress.Observations:
        timing = self._cfg.timing
        fence_ms = timing.agent_lease_ms + timing.task_lease_ms
        return progress.Observations(
            now=self._clock.now(),
            term_began=self._board.term.get().began,
            fence_ms=fence_ms + progress.FENCE_MARGIN_MS,
            board=self._board,
            wanted_version=self._wanted_version,
        )

    def _wanted_version(self, view: board_lib.AgentView) -> int:
        names = tuple(w.name for w in view.renewal.workers)
        wanted = self._desired.desired(
            self._machine.state,
            self._group.applied_index,
            view.renewal.agent,
            names,
        )
        return wanted.version

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
        """Waits for a report, an applied command, or the next round."""
        if self.scheduler.unfinished():
            await asyncio.sleep(0)
            return
        waits = [
            asyncio.ensure_future(cell.changed(cell.version))
            for cell in (self._board.agents, self._board.applied)
        ]
        timeout = clock_lib.seconds(self._cfg.timing.decide_ms)
        try:
            await asyncio.wait(
                waits, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for fut in waits:
                fut.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await fut


def _usage(report: wire.TaskReport) -> events.UsageReported:
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
