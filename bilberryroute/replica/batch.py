"""The leader's controller of batch jobs: ends in, placements and stops out."""

import asyncio

import mode

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import commands
from bilberryroute.model import wire
from bilberryroute.replica import advice as advice_lib
from bilberryroute.replica import batch_ends
from bilberryroute.replica import batch_health
from bilberryroute.replica import batch_log
from bilberryroute.replica import batch_upkeep
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import forecasts as forecasts_lib
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import readiness
from bilberryroute.scheduling.batch import views

# Pause between two rounds, so that events that come together are decided
# together: a fraction of a commit, which takes a sync of about 9 ms.
ROUND_PAUSE_MS = clock_lib.Millis(5)
# Longest time between two rounds without any event.
IDLE_ROUND_MS = clock_lib.Millis(250)
# Pause after a round that failed.
FAULT_PAUSE_MS = clock_lib.Millis(250)
# A new leader places nothing for this share of a renewal interval, so that
# it chooses among most workers and not among the first to report.
SETTLE_RENEWALS = 0.6
# How often new checkpoints are committed: about as often as workers make
# them (every 1 or 2 s of work), in one command for all.
KEEP_SAVED_MS = clock_lib.Millis(1_000)
# A worker counts as present for this many renewal intervals.
PRESENT_RENEWALS = 3


class BatchController(mode.Service):
    """Commits what agents report and what the planner decides."""

    def __init__(
        self,
        parts: parts_lib.ReplicaParts,
        leases: lease_lib.LeaseService,
        metrics: metrics_lib.Metrics,
        advisor: advice_lib.Advisor | None = None,
    ):
        super().__init__()
        self._timing = parts.cfg.timing
        self._board = parts.board
        self._leadership = parts.leadership
        self._machine = parts.machine
        self._proposer = parts.proposer
        self._clock = parts.clock
        self._leases = leases
        self._metrics = metrics
        self._health = batch_health.Health(parts.clock)
        self._forecasts = forecasts_lib.Forecasts()
        self._typical = forecasts_lib.TypicalTimes()
        self._waits: set[str] = set()
        self._wake = asyncio.Event()
        self._permits = advice_lib.Permits(advisor, parts.clock, self._wake)

    async def on_start(self) -> None:
        """Starts what asks for permits."""
        await self.add_runtime_dependency(self._permits)

    @property
    def _held(self) -> batch.BatchState:
        return self._machine.state.batch

    @property
    def _reports(self) -> dict[str, board_lib.BatchWorker]:
        return self._board.batch_workers.get()

    @mode.Service.task
    async def _watch_reports(self) -> None:
        await blackboard.forward(self._board.batch_workers, self._wake)

    @mode.Service.task
    async def _watch_applied(self) -> None:
        await blackboard.forward(self._board.applied, self._wake)

    @mode.Service.task
    async def _keep_checkpoints(self) -> None:
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(KEEP_SAVED_MS))
            if not self._leadership.active():
                continue
            saves = batch_upkeep.new_saves(self._held, self._reports)
            if saves:
                command = batching.NoteSaved(saves=saves, at_ms=0)
                await self._proposer.try_propose(command)

    @mode.Service.task
    async def _run_rounds(self) -> None:
        """Decides until the end.

        Every replica runs the same code, so a fault that ended the process
        would only move on to the next leader.
        """
        while not self.should_stop:
            try:
                if self._leadership.active():
                    await self._round()
                await self._next_event()
            except Exception:
                self.log.exception("a round failed; the next one starts afresh")
                await self.sleep(clock_lib.seconds(FAULT_PAUSE_MS))

    async def _next_event(self) -> None:
        wait_ms = IDLE_ROUND_MS
        wall = self._clock.wall()
        due = readiness.next_due_ms(self._held, wall)
        if due is not None:
            wait_ms = clock_lib.Millis(max(1, min(wait_ms, due - wall)))
        try:
            async with asyncio.timeout(clock_lib.seconds(wait_ms)):
                await self._wake.wait()
        except TimeoutError:
            return
        await asyncio.sleep(clock_lib.seconds(ROUND_PAUSE_MS))
        self._wake.clear()

    async def _round(self) -> None:
        await self._take_in_ends()
        if not self._settled():
            return
        left_ms = self._forecasts.left_ms(self._clock.now())
        corrections = batch_upkeep.stops(self._held, self._reports, left_ms)
        plan = self._plan(left_ms)
        self._permits.keep_only(set(plan.permit_candidates))
        for key, workers in plan.permit_candidates.items():
            self._permits.want(key, workers)
        self._log(plan, corrections)
        await asyncio.gather(
            *map(self._proposer.try_propose, _commands(plan, corrections))
        )

    def _settled(self) -> bool:
        term = self._board.term.get()
        settle_ms = SETTLE_RENEWALS * self._timing.renewal_ms
        return self._clock.now() - term.began >= settle_ms

    # Ends.

    async def _take_in_ends(self) -> None:
        """Commits the ends of runs, then lets workers forget them."""
        self._forecasts.note(self._reports.values())
        ends = [
            self._learn(worker, end, task)
            for worker, end, task in batch_ends.reported(
                self._held, self._board
            )
        ]
        ends += batch_ends.lost(
            self._held, self._board, self._timing, self._clock.now()
        )
        if ends:
            command = batching.EndRuns(ends=tuple(ends), at_ms=0)
            if await self._proposer.try_propose(command) is None:
                return
            batch_log.ended(ends, self._held)
        told = batch_ends.note_committed(self._held, self._board)
        if told:
            self._leases.push_to(told)

    def _learn(
        self, worker: str, end: wire.EndReport, task: batch.TaskRecord
    ) -> batching.RunEnd:
        """Draws on an end what it says of worker, queue and permits."""
        self._health.note(worker, end)
        if end.outcome == batch.RunOutcome.DONE and task.run == 1:
            queue = self._held.jobs[end.task.job_id].queue
            took_ms = self._clock.wall() - task.placed_ms
            self._typical.note(queue, took_ms)
        if end.outcome == batch.RunOutcome.REJECTED:
            step = (end.task.job_id, end.task.occurrence, end.task.step)
            self._permits.drop(step)
        return batching.RunEnd(
            task=end.task, run=end.run, outcome=end.outcome, saved=end.saved
        )

    # Placements.

    def _plan(
        self, left_ms: dict[forecasts_lib.RunKey, int]
    ) -> views.BatchPlan:
        began = self._clock.now()
        plan = planner.plan(
            self._held,
            self._workers(),
            left_ms,
            self._clock.wall(),
            self._typical.by_queue,
            self._permits.held(),
            batch_upkeep.at_work(self._reports),
        )
        self._metrics.round_ms.add({}, self._clock.now() - began)
        return plan

    def _workers(self) -> list[views.WorkerSnapshot]:
        present_ms = PRESENT_RENEWALS * self._timing.renewal_ms
        now = self._clock.now()
        return [
            self._view(worker)
            for worker in self._reports.values()
            if now - worker.heard_ms <= present_ms
        ]

    def _view(self, worker: board_lib.BatchWorker) -> views.WorkerSnapshot:
        report = worker.report
        agent = self._board.agents.get().get(worker.agent)
        leaving = agent is None or agent.renewal.draining
        return views.WorkerSnapshot(
            ref=batch.WorkerRef(
                agent=worker.agent, name=report.name, born=report.born
            ),
            pool=report.pool,
            failure_domain=report.failure_domain,
            rack=report.rack,
            labels=report.labels,
            capacity=report.capacity,
            open=not (report.draining or report.over or leaving),
            suspect=self._health.doubtful(report.name),
        )

    def _log(
        self, plan: views.BatchPlan, corrections: list[batching.TaskRun]
    ) -> None:
        for unit in plan.units:
            self._note_first_start(unit)
        batch_log.placed(plan)
        batch_log.stopped(corrections, "stopped: it cannot go on here")
        batch_log.stopped(plan.stops, "stopped to make room")
        for job_id in sorted(plan.waiting_jobs.keys() - self._waits):
            batch_log.waits(plan, job_id, len(self._reports))
        self._waits = set(plan.waiting_jobs)

    def _note_first_start(self, unit: batching.Unit) -> None:
        record = self._held.jobs[unit.job_id]
        if not record.begun and record.content.schedule is None:
            waited_ms = self._clock.wall() - record.accepted_ms
            self._metrics.first_start_ms.add(
                {"queue": record.queue}, max(0, waited_ms)
            )


def _commands(
    plan: views.BatchPlan, corrections: list[batching.TaskRun]
) -> list[commands.Command]:
    found: list[commands.Command] = []
    runs = (*corrections, *plan.stops)
    if runs:
        found.append(batching.StopRuns(runs=runs, at_ms=0))
    if plan.units:
        found.append(batching.PlaceRuns(units=plan.units, at_ms=0))
    return found
