"""The leader's controller of batch jobs.

Commits the ends of runs that agents report, then the placements and stops that
the planner decides.
"""

import asyncio
import math
from collections.abc import Mapping

import mode
import msgspec

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
from bilberryroute.replica import batch_presence
from bilberryroute.replica import batch_upkeep
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import forecasts as forecasts_lib
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import neighbours as neighbours_lib
from bilberryroute.replica import overdue as overdue_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import turns
from bilberryroute.replica import worker_speeds
from bilberryroute.scheduling.batch import paths
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import policy as policy_lib
from bilberryroute.scheduling.batch import readiness
from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import wait_times

# Pause between two rounds, which batches events that arrive together. It is a
# fraction of a commit, which takes a disk sync of about 9 ms.
ROUND_PAUSE_MS = clock_lib.Millis(5)
# Maximum time between two rounds without an event.
IDLE_ROUND_MS = clock_lib.Millis(250)
# Pause after a round that failed.
FAILURE_PAUSE_MS = clock_lib.Millis(250)
# A new leader places nothing for this fraction of a renewal interval after the
# first worker's report, so that it chooses among most workers.
SETTLE_RENEWALS = 0.6
# Interval at which new checkpoints are committed, all in one command: about
# the interval at which workers make them (every 1 or 2 s of work).
CHECKPOINT_COMMIT_MS = clock_lib.Millis(1_000)
# Interval at which the log says again why a job still waits: the age beyond
# which a forecast in the log tells little.
WAIT_LOG_MS = clock_lib.Millis(3_000)


class BatchController(mode.Service):
    """Commits the ends that agents report and the planner's decisions."""

    def __init__(
        self,
        parts: parts_lib.ReplicaParts,
        leases: lease_lib.LeaseService,
        metrics: metrics_lib.Metrics,
        advisor: advice_lib.Advisor | None = None,
    ):
        super().__init__()
        self._timing = parts.cfg.timing
        self._policy = policy_lib.Policy(
            **msgspec.structs.asdict(parts.cfg.batch)
        )
        self._board = parts.board
        self._leadership = parts.leadership
        self._machine = parts.machine
        self._proposer = parts.proposer
        self._clock = parts.clock
        self._leases = leases
        self._metrics = metrics
        self._health = batch_health.BatchWorkerHealth(parts.clock)
        self._forecasts = forecasts_lib.Forecasts(
            extends_stalled=self._policy.forecast_tails
        )
        self._history = forecasts_lib.RunHistory()
        self._overdue = overdue_lib.OverdueRuns(
            self._history.run_times, metrics
        )
        self._speeds = worker_speeds.WorkerSpeeds(parts.clock, metrics)
        self._neighbours = neighbours_lib.Neighbours(parts, metrics)
        self._wait_times = wait_times.WaitTimes()
        self._paths = paths.PathCache()
        self._explained_ms: dict[str, clock_lib.Millis] = {}
        self._wakeup = asyncio.Event()
        self._first_report_ms = clock_lib.Millis(0)
        self._first_report_term = 0
        self._permits = advice_lib.Permits(advisor, parts.clock, self._wakeup)
        parts.machine.listeners.append(self._on_applied)

    async def on_start(self) -> None:
        """Starts the service that requests permits."""
        await self.add_runtime_dependency(self._permits)

    def typical_ms(self) -> Mapping[str, int]:
        """Returns the typical measured duration of a task, by queue."""
        return self._history.average.by_queue

    def _on_applied(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        """Notes ended runs and logs the jobs that a new catalog ends."""
        del result
        if self._policy.learn_speeds:
            self._speeds.on_applied(command, self._batch_state)
        if isinstance(command, batching.ApplyCatalog) and (
            self._leadership.active()
        ):
            batch_log.log_jobs_ended_at(command.at_ms, self._batch_state)

    @property
    def _batch_state(self) -> batch.BatchState:
        return self._machine.state.batch

    @property
    def _reports(self) -> dict[str, board_lib.BatchWorker]:
        return self._board.batch_workers.get()

    @mode.Service.task
    async def _watch_reports(self) -> None:
        await blackboard.forward(self._board.batch_workers, self._wakeup)

    @mode.Service.task
    async def _watch_applied(self) -> None:
        await blackboard.forward(self._board.applied, self._wakeup)

    @mode.Service.task
    async def _commit_checkpoints(self) -> None:
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(CHECKPOINT_COMMIT_MS))
            if not self._leadership.active():
                continue
            saves = batch_upkeep.new_checkpoints(
                self._batch_state, self._reports
            )
            if saves:
                command = batching.NoteSaved(saves=saves, at_ms=0)
                await self._proposer.try_propose(command)

    @mode.Service.task
    async def _run_rounds(self) -> None:
        """Runs scheduling rounds until the service stops.

        An exception doesn't end the process: every replica runs the same
        code, so the next leader would fail in the same way.
        """
        while not self.should_stop:
            try:
                if self._leadership.active():
                    await self._run_round()
                await self._wait_for_event()
            except Exception:
                self.log.exception(
                    "scheduling round failed; retrying after a pause"
                )
                await self.sleep(clock_lib.seconds(FAILURE_PAUSE_MS))

    async def _wait_for_event(self) -> None:
        wait_ms = IDLE_ROUND_MS
        wall = self._clock.wall()
        due = readiness.next_due_ms(self._batch_state, wall)
        if due is not None:
            wait_ms = clock_lib.Millis(max(1, min(wait_ms, due - wall)))
        settle_ms = self._settle_left_ms()
        if settle_ms > 0:
            wait_ms = min(wait_ms, settle_ms)
        try:
            async with asyncio.timeout(clock_lib.seconds(wait_ms)):
                await self._wakeup.wait()
        except TimeoutError:
            return
        await asyncio.sleep(clock_lib.seconds(ROUND_PAUSE_MS))
        self._wakeup.clear()

    async def _run_round(self) -> None:
        self._note_first_report()
        await self._commit_ends()
        if self._settle_left_ms() > 0:
            return
        left_ms = self._forecasts.left_ms(self._clock.now())
        forced_stops = batch_upkeep.required_stops(
            self._batch_state, self._reports, left_ms
        )
        await asyncio.sleep(0)
        if self._policy.learn_speeds:
            await self._speeds.update(
                self._batch_state,
                self._reports,
                self._board.term.get().number,
                self._leadership.active,
            )
        if self._policy.keep_apart:
            await self._neighbours.update(speeds=self._speeds.well_known())
        plan = await self._plan(left_ms)
        if plan is None:
            return
        if plan.complete:
            self._permits.retain(set(plan.permit_candidates))
        for key, workers in plan.permit_candidates.items():
            self._permits.request(key, workers)
        self._log_plan(plan, forced_stops)
        await asyncio.gather(
            *map(self._proposer.try_propose, _commands(plan, forced_stops))
        )

    def _settle_left_ms(self) -> clock_lib.Millis:
        """Returns how long this leader still places nothing."""
        settle_ms = math.ceil(SETTLE_RENEWALS * self._timing.renewal_ms)
        if self._first_report_term != self._board.term.get().number:
            return clock_lib.Millis(settle_ms)
        waited_ms = self._clock.now() - self._first_report_ms
        return clock_lib.Millis(max(0, settle_ms - waited_ms))

    def _note_first_report(self) -> None:
        term = self._board.term.get().number
        if self._reports and self._first_report_term != term:
            self._first_report_term = term
            self._first_report_ms = self._clock.now()

    async def _commit_ends(self) -> None:
        """Commits the ends of runs, then allows workers to discard them."""
        self._forecasts.update(self._reports.values())
        ends = [
            self._record_end(worker, end, task)
            for worker, end, task in batch_ends.reported_ends(
                self._batch_state, self._board
            )
        ]
        reported = {(end.task, end.run) for end in ends}
        ends += [
            end
            for end in batch_ends.lost_runs(
                self._batch_state, self._board, self._timing, self._clock.now()
            )
            if (end.task, end.run) not in reported
        ]
        for part in batch_ends.divide(ends, self._batch_state):
            if not await self._commit_together(part):
                return
        agents = batch_ends.update_committed_ends(
            self._batch_state, self._board
        )
        if agents:
            self._leases.push_to(agents)

    async def _commit_together(self, ends: list[batching.RunEnd]) -> bool:
        """Commits ends in one command, unless they have been committed."""
        ends = [
            end
            for end in ends
            if batch_ends.active_task(self._batch_state, end.task, end.run)
        ]
        if not ends:
            return True
        before = batch_log.before_ends(ends, self._batch_state)
        command = batching.EndRuns(ends=tuple(ends), at_ms=0)
        if await self._proposer.try_propose(command) is None:
            return False
        for end in ends:
            self._metrics.run_ends.inc({"outcome": end.cause or end.outcome})
        batch_log.log_ended(ends, before, self._batch_state)
        return True

    def _record_end(
        self, worker: str, end: wire.EndReport, task: batch.TaskRecord
    ) -> batching.RunEnd:
        """Updates health, run times and permits; returns the end to commit."""
        took_ms = self._clock.wall() - task.placed_ms
        self._health.record_end(worker, end, took_ms, task.worker)
        if end.outcome == batch.RunOutcome.DONE and task.run == 1:
            record = self._batch_state.jobs[end.task.job_id]
            self._history.add(record, end.task, took_ms, self._clock.now())
        if end.outcome == batch.RunOutcome.REJECTED:
            step = (end.task.job_id, end.task.occurrence, end.task.step)
            self._permits.discard(step)
        return batching.RunEnd(
            task=end.task,
            run=end.run,
            outcome=end.outcome,
            saved=end.saved,
            cause=end.cause,
            down_after_ms=end.down_after_ms,
        )

    async def _plan(
        self, left_ms: dict[forecasts_lib.RunKey, int]
    ) -> views.BatchPlan | None:
        """Plans a round, or returns None if this replica leads no more.

        Elections, leases and callers have their turns meanwhile.
        """
        began = self._clock.now()
        slices = planner.plan_in_slices(
            self._batch_state,
            self._worker_snapshots(),
            left_ms,
            self._clock.wall(),
            self._history.average.by_queue,
            self._permits.valid_permits(),
            batch_upkeep.serving_runs(self._reports),
            self._recently_explained(),
            self._wait_times.waited_ms(began),
            self._paths,
            self._policy,
            self._history.run_times,
            self._neighbours.interference,
        )
        plan = await turns.run(slices, self._leadership.active, self._clock)
        if plan is None:
            return None
        self._paths.retain(self._batch_state)
        self._wait_times.update(plan, began)
        self._metrics.round_ms.add({}, self._clock.now() - began)
        return plan

    def _worker_snapshots(self) -> list[views.WorkerSnapshot]:
        present = batch_presence.present_workers(
            self._board, self._timing, self._clock.now()
        )
        self._health.forget_absent({w.report.name for w in present})
        return [self._worker_snapshot(worker) for worker in present]

    def _worker_snapshot(
        self, worker: board_lib.BatchWorker
    ) -> views.WorkerSnapshot:
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
            largest_capacity=worker.largest_capacity,
            open=not (report.draining or report.over or leaving),
            health=self._health.assess(report.name),
            probation=self._health.probation(report.name),
            crashed=self._health.has_crashed(report.name),
            speed=self._speeds.speed(report.name),
        )

    def _log_plan(
        self, plan: views.BatchPlan, forced_stops: list[batching.TaskRun]
    ) -> None:
        for unit in plan.units:
            self._record_first_start(unit)
        if self._policy.forecast_tails:
            self._overdue.update(
                plan.units, self._batch_state, self._clock.wall()
            )
        batch_log.log_placed(plan)
        batch_log.log_stopped(forced_stops, "stopped: it cannot go on here")
        for job_id in plan.stopped_for.values():
            self._metrics.stops.inc({"reason": plan.stop_reason(job_id)})
        batch_log.log_preempted(plan, self._batch_state, self._clock.wall())
        batch_log.log_waiting(
            plan, self._batch_state, len(self._reports), self._clock.wall()
        )
        self._note_explained(plan)

    def _recently_explained(self) -> set[str]:
        """Returns the jobs for which the log need not say why they wait."""
        since = self._clock.now() - WAIT_LOG_MS
        return {
            job_id for job_id, at in self._explained_ms.items() if at > since
        }

    def _note_explained(self, plan: views.BatchPlan) -> None:
        now = self._clock.now()
        for job_id, wait in plan.waits.items():
            if job_id not in self._explained_ms:
                self._metrics.waited(str(wait.reason))
            self._explained_ms[job_id] = now
        if not plan.complete:
            return
        for job_id in self._explained_ms.keys() - plan.waiting_jobs:
            del self._explained_ms[job_id]

    def _record_first_start(self, unit: batching.Unit) -> None:
        record = self._batch_state.jobs.get(unit.job_id)
        if record is None:
            return
        if not record.begun and record.content.schedule is None:
            waited_ms = self._clock.wall() - record.accepted_ms
            self._metrics.first_start_ms.add(
                {"queue": record.queue}, max(0, waited_ms)
            )


def _commands(
    plan: views.BatchPlan, forced_stops: list[batching.TaskRun]
) -> list[commands.Command]:
    result: list[commands.Command] = []
    if forced_stops:
        runs = tuple(forced_stops)
        result.append(batching.StopRuns(runs=runs, at_ms=0, forced=True))
    if plan.stops:
        result.append(batching.StopRuns(runs=plan.stops, at_ms=0))
    if plan.units:
        result.append(batching.PlaceRuns(units=plan.units, at_ms=0))
    return result
