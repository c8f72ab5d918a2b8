"""The leader's controller of batch jobs: ends in, placements and stops out."""

import asyncio
import logging

import mode

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import advice as advice_lib
from bilberryroute.replica import batch_health
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
# A new leader places nothing for this share of a renewal interval, so that
# it chooses among most workers and not among the first to report.
SETTLE_RENEWALS = 0.6
# How often new checkpoints are committed: about as often as workers make
# them (every 1 or 2 s of work), in one command for all.
KEEP_SAVED_MS = clock_lib.Millis(1_000)
# A run is moved away from a draining worker if it is expected to go on for
# longer than the worker stays, less this time for the stop itself.
LEAVE_MARGIN_MS = 700
# A worker counts as present for this many renewal intervals.
PRESENT_RENEWALS = 3
# Steady clocks of workers may be this much slow (DEPLOY: 2%).
DRIFT = 1.02
# Time for an order in flight when a lease was thought to end, in ms.
LAPSE_MARGIN_MS = 500

logger = logging.getLogger(__name__)


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
        self._cfg = parts.cfg
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
        self._wake = asyncio.Event()
        self._waits: set[str] = set()
        self._permits = advice_lib.Permits(advisor, parts.clock, self._wake)
        timing = parts.cfg.timing
        self._lapse_ms = (
            timing.agent_lease_ms
            + int(timing.run_lease_ms * DRIFT)
            + LAPSE_MARGIN_MS
        )

    async def on_start(self) -> None:
        """Starts what asks for permits."""
        await self.add_runtime_dependency(self._permits)

    @property
    def _held(self) -> batch.BatchState:
        return self._machine.state.batch

    @mode.Service.task
    async def _watch_reports(self) -> None:
        await self._forward(self._board.batch_workers)

    @mode.Service.task
    async def _watch_applied(self) -> None:
        await self._forward(self._board.applied)

    @mode.Service.task
    async def _keep_checkpoints(self) -> None:
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(KEEP_SAVED_MS))
            saves = self._new_saves() if self._leadership.active() else ()
            if saves:
                command = batching.NoteSaved(saves=saves, at_ms=0)
                await self._proposer.try_propose(command)

    def _new_saves(self) -> tuple[batching.SavedRun, ...]:
        """Returns the checkpoints that are reported and not yet kept."""
        found = []
        for worker in self._board.batch_workers.get().values():
            for run in worker.report.running:
                task = self._active(run.task, run.run)
                if task is not None and run.saved not in ("", task.saved):
                    found.append(
                        batching.SavedRun(
                            task=run.task, run=run.run, saved=run.saved
                        )
                    )
        return tuple(found)

    async def _forward(self, cell) -> None:
        """Wakes the rounds when a cell changes."""
        seen = cell.version
        while not self.should_stop:
            seen = await cell.changed(seen)
            self._wake.set()

    @mode.Service.task
    async def _run_rounds(self) -> None:
        while not self.should_stop:
            if self._leadership.active():
                await self._round()
            await self._next_event()

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
        self._forecasts.note(self._board.batch_workers.get().values())
        ends = [*self._reported_ends(), *self._lost_runs()]
        if ends:
            await self._commit_ends(ends)
        else:
            self._note_committed()
        if not self._settled():
            return
        left_ms = self._forecasts.left_ms(self._clock.now())
        stops = self._broken_gangs() + self._misplaced()
        stops += self._leaving(left_ms)
        planned_ms = self._clock.now()
        plan = planner.plan(
            self._held,
            self._workers(),
            left_ms,
            self._clock.wall(),
            self._typical.by_queue,
            self._permits.held(),
        )
        self._metrics.round_ms.add({}, self._clock.now() - planned_ms)
        self._permits.keep_only(set(plan.advised))
        for key, workers in plan.advised.items():
            self._permits.want(key, workers)
        commands = []
        if stops or plan.stops:
            commands.append(
                batching.StopRuns(
                    runs=tuple(stops) + plan.stops, reason="", at_ms=0
                )
            )
        if plan.units:
            commands.append(batching.PlaceRuns(units=plan.units, at_ms=0))
            self._log_units(plan)
        if plan.stops:
            self._log_stops(plan)
        self._log_waits(plan)
        await asyncio.gather(*map(self._proposer.try_propose, commands))

    def _settled(self) -> bool:
        term = self._board.term.get()
        settle_ms = SETTLE_RENEWALS * self._cfg.timing.renewal_ms
        return self._clock.now() - term.began >= settle_ms

    # Ends.

    def _reported_ends(self) -> list[batching.RunEnd]:
        """Returns the ends that agents list and the log does not know."""
        found = []
        for worker in self._board.batch_workers.get().values():
            for end in worker.report.ends:
                task = self._active(end.task, end.run)
                if task is not None:
                    found.append(_run_end(end))
                    if end.outcome == batch.RunOutcome.REJECTED:
                        self._permits.drop(_step_key(end.task))
                    self._learn(end, task)
                    self._health.note(worker.report.name, end)
        return found

    def _learn(self, end: wire.EndReport, task: batch.TaskRecord) -> None:
        """Notes how long a run took that went from its beginning to done."""
        if end.outcome == batch.RunOutcome.DONE and task.run == 1:
            queue = self._held.jobs[end.task.job_id].queue
            took_ms = self._clock.wall() - task.placed_ms
            self._typical.note(queue, took_ms)

    def _active(
        self, task_id: batch.TaskId, run: int
    ) -> batch.TaskRecord | None:
        record = self._held.jobs.get(task_id.job_id)
        task = record.task(task_id) if record is not None else None
        if task is None or not task.active or task.run != run:
            return None
        return task

    async def _commit_ends(self, ends: list[batching.RunEnd]) -> None:
        command = batching.EndRuns(ends=tuple(ends), at_ms=0)
        result = await self._proposer.try_propose(command)
        if result is not None:
            for end in ends:
                logger.info(
                    "run ended",
                    extra={
                        "job_id": end.task.job_id,
                        "task": _label(end.task),
                        "run": end.run,
                        "outcome": str(end.outcome),
                    },
                )
            self._log_ended_jobs({end.task.job_id for end in ends})
            self._note_committed()

    def _log_ended_jobs(self, job_ids: set[str]) -> None:
        for job_id in sorted(job_ids):
            record = self._held.jobs.get(job_id)
            if record is not None and record.result is not None:
                logger.info(
                    "job ended",
                    extra={
                        "job_id": job_id,
                        "result": str(record.result),
                        "reason": record.reason,
                        "took_ms": record.ended_ms - record.accepted_ms,
                    },
                )

    def _note_committed(self) -> None:
        """Lets agents know which ends their workers may forget."""
        told = set()
        for worker in self._board.batch_workers.get().values():
            report = worker.report
            numbers = [
                end.number
                for end in report.ends
                if self._active(end.task, end.run) is None
            ]
            unknown = [
                end.number
                for end in report.ends
                if end.number and self._active(end.task, end.run) is not None
            ]
            highest = max(numbers, default=0)
            if unknown:
                highest = min(highest, min(unknown) - 1)
            key = (report.name, report.born)
            if highest > self._board.committed_ends.get(key, 0):
                self._board.committed_ends[key] = highest
                told.add(worker.agent)
        if told:
            self._leases.push_to(told)

    def _lost_runs(self) -> list[batching.RunEnd]:
        """Returns the runs that have surely ended without anybody saying so."""
        found = []
        for task_ids in self._held.placed.values():
            for task_id in task_ids:
                record = self._held.jobs[task_id.job_id]
                task = record.task(task_id)
                if self._surely_over(task):
                    found.append(
                        batching.RunEnd(
                            task=task_id,
                            run=task.run,
                            outcome=batch.RunOutcome.LOST,
                            saved=task.saved,
                        )
                    )
        return found

    def _surely_over(self, task: batch.TaskRecord) -> bool:
        """Says whether the worker's life, or its lease, is over."""
        ref = task.worker
        began = self._board.term.get().began
        for report in self._reports_of(ref.agent):
            # A host holds one worker: a later one follows an earlier one.
            if report.born > ref.born or (
                report.over and report.born == ref.born
            ):
                return True
        worker = self._board.batch_workers.get().get(ref.name)
        if worker is None:
            return self._clock.now() - began > self._lapse_ms
        heard = max(began, worker.heard_ms)
        return self._clock.now() - heard > self._lapse_ms

    def _reports_of(self, agent: str) -> tuple[wire.WorkerReport, ...]:
        view = self._board.agents.get().get(agent)
        return () if view is None else view.renewal.batch

    # Placements.

    def _workers(self) -> list[views.WorkerView]:
        present_ms = PRESENT_RENEWALS * self._cfg.timing.renewal_ms
        now = self._clock.now()
        return [
            self._view(worker)
            for worker in self._board.batch_workers.get().values()
            if now - worker.heard_ms <= present_ms
        ]

    def _view(self, worker: board_lib.BatchWorker) -> views.WorkerView:
        report = worker.report
        agent = self._board.agents.get().get(worker.agent)
        leaving = agent is None or agent.renewal.draining
        return views.WorkerView(
            ref=batch.WorkerRef(
                agent=worker.agent, name=report.name, born=report.born
            ),
            pool=report.pool,
            failure_domain=report.failure_domain,
            rack=report.rack,
            labels=report.labels,
            capacity=report.capacity,
            open=not (report.draining or report.over or leaving),
            doubtful=self._health.doubtful(report.name),
        )

    def _broken_gangs(self) -> list[batching.TaskRun]:
        """Returns the members whose gang has lost one of its own."""
        found = []
        for task_ids in self._held.placed.values():
            for task_id in task_ids:
                record = self._held.jobs[task_id.job_id]
                if not record.content.steps[task_id.step].gang:
                    continue
                steps = record.occurrences[task_id.occurrence]
                progress = steps[task_id.step]
                task = progress.tasks[task_id.index]
                whole = all(
                    each.active and each.run == task.run
                    for each in progress.tasks
                )
                placed = task.state == batch.TaskState.PLACED
                if placed and not whole and not progress.done:
                    found.append(batching.TaskRun(task=task_id, run=task.run))
        return found

    def _misplaced(self) -> list[batching.TaskRun]:
        """Returns runs that have not begun and may not begin any more."""
        found = []
        workers = self._board.batch_workers.get()
        for task_ids in self._held.placed.values():
            for task_id in task_ids:
                record = self._held.jobs[task_id.job_id]
                task = record.task(task_id)
                worker = workers.get(task.worker.name)
                if task.state != batch.TaskState.PLACED or worker is None:
                    continue
                report = worker.report
                shut = (
                    report.draining
                    or report.failure_domain in self._held.evacuated
                )
                begun = any(
                    run.task == task_id and run.run == task.run
                    for run in report.running
                )
                if shut and not begun and report.born == task.worker.born:
                    found.append(batching.TaskRun(task=task_id, run=task.run))
        return found

    def _leaving(
        self, left_ms: dict[forecasts_lib.RunKey, int]
    ) -> list[batching.TaskRun]:
        """Returns runs that save their progress and outlast their worker."""
        found = []
        for worker in self._board.batch_workers.get().values():
            if not worker.report.draining or worker.report.over:
                continue
            stays_ms = worker.report.remaining_ms - LEAVE_MARGIN_MS
            for run in worker.report.running:
                task = self._active(run.task, run.run)
                if task is None or task.state != batch.TaskState.PLACED:
                    continue
                record = self._held.jobs[run.task.job_id]
                saves = record.content.steps[run.task.step].checkpointing
                if saves and left_ms.get((run.task, run.run), 0) > stays_ms:
                    found.append(batching.TaskRun(task=run.task, run=run.run))
        return found

    def _log_units(self, plan: views.Plan) -> None:
        for unit in plan.units:
            self._note_first_start(unit)
            logger.info(
                "placed",
                extra={
                    "job_id": unit.job_id,
                    "tasks": [_label(unit.task(m)) for m in unit.members],
                    "run": unit.run,
                    "workers": [m.worker.name for m in unit.members],
                    "waiting": plan.waiting,
                },
            )

    def _note_first_start(self, unit: batching.Unit) -> None:
        record = self._held.jobs[unit.job_id]
        if not record.begun and record.content.schedule is None:
            waited_ms = self._clock.wall() - record.accepted_ms
            self._metrics.first_start_ms.add(
                {"queue": record.queue}, max(0, waited_ms)
            )

    def _log_waits(self, plan: views.Plan) -> None:
        """Says once of each job that it has begun to wait for room."""
        for job_id in sorted(plan.waits.keys() - self._waits):
            logger.info(
                "waits for room",
                extra={
                    "job_id": job_id,
                    "rank": plan.waits[job_id],
                    "waiting": plan.waiting,
                    "workers": len(self._workers()),
                },
            )
        self._waits = set(plan.waits)

    def _log_stops(self, plan: views.Plan) -> None:
        for run in plan.stops:
            logger.info(
                "stopped to make room",
                extra={
                    "job_id": run.task.job_id,
                    "task": _label(run.task),
                    "run": run.run,
                },
            )


def _run_end(end: wire.EndReport) -> batching.RunEnd:
    return batching.RunEnd(
        task=end.task, run=end.run, outcome=end.outcome, saved=end.saved
    )


def _step_key(task: batch.TaskId) -> views.StepKey:
    return (task.job_id, task.occurrence, task.step)


def _label(task: batch.TaskId) -> str:
    return f"{task.occurrence}.{task.step}.{task.index}"
