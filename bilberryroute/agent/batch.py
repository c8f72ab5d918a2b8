"""Runs batch jobs on the agent's worker.

The agent is the only caller of its worker. It extends the lease of the runs
only while it holds a lease for this worker itself, and reconciles the runs of
the worker's present incarnation with the desired state from the leader.
"""

import asyncio
import contextlib
import dataclasses
import logging

import mode

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import crash_log
from bilberryroute.agent import pacing
from bilberryroute.agent import run_calls
from bilberryroute.agent import run_lease
from bilberryroute.agent import run_plan
from bilberryroute.agent import silence_log
from bilberryroute.agent import worker_life as life_lib
from bilberryroute.agent import worker_port
from bilberryroute.agent import worker_view
from bilberryroute.model import wire

# Longest time that a long poll waits for the end of a run; a lease outlasts
# several polls.
POLL_WAIT_MS = clock_lib.Millis(1_000)
# How long before the end of the agent's own lease the last poll is sent, which
# extends the lease of the runs once more: long enough for several calls to a
# worker on the same machine. The later the poll, the more time the runs have
# until a new leader must be found.
LAST_POLL_LEAD_MS = clock_lib.Millis(50)
# Pause after a call without an answer.
RETRY_MS = clock_lib.Millis(100)
# A worker that withdrew and refuses connections for this long has ended.
DOWN_MS = clock_lib.Millis(500)
# Longest time between two plans if no event occurs.
PLAN_INTERVAL_MS = clock_lib.Millis(250)

logger = logging.getLogger(__name__)


class BatchAgent(mode.Service):
    """Reconciles the runs of one worker with the desired state."""

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        board: board_lib.AgentBoard,
        port: worker_port.WorkerPort,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._cfg = cfg
        self._clock = env.clock
        self._board = board
        self._port = port
        self._metrics = metrics
        self._pacing = pacing.Pacing(port, metrics)
        self._calls = run_calls.RunCalls(env.clock, board, port, metrics)
        self._worker: life_lib.WorkerIncarnation | None = None
        self._held_starts: frozenset[run_plan.RunKey] = frozenset()
        self._wake = asyncio.Event()
        self._poll_soon = asyncio.Event()

    # Announcements of the worker.

    def announce(
        self, announcement: worker_port.BatchWorkerAnnouncement
    ) -> None:
        """Handles an announcement; drops one older than the newest known."""
        worker = self._worker
        if worker is not None and not worker.is_newer(announcement):
            self._metrics.dropped("late_announcement")
            return
        if (
            worker is None
            or worker.announced.born != announcement.born
            or worker.over
        ):
            self._begin_incarnation(announcement)
        else:
            drains = announcement.draining and not worker.announced.draining
            if drains:
                logger.info(
                    "worker drains", extra={"worker": announcement.name}
                )
            worker.announced = announcement
            # A withdrawal may come late, from an earlier incarnation.
            worker.withdrawn &= announcement.draining
        self._publish()
        self._wake.set()

    def _begin_incarnation(
        self, announcement: worker_port.BatchWorkerAnnouncement
    ) -> None:
        logger.info(
            "worker announced",
            extra={"worker": announcement.name, "born": announcement.born},
        )
        previous = self._worker
        crashed_runs = (
            previous.runs_ended_by_crash(self._clock.now())
            if previous is not None
            else {}
        )
        if previous is not None:
            crash_log.log_crash(previous, crashed_runs)
            run_calls.log_abandoned_stops(previous.progress)
        self._worker = life_lib.WorkerIncarnation(
            announced=announcement,
            last_answer_ms=self._clock.now(),
            unanswered_starts=previous.starts_still_under_way(self._clock.now())
            if previous is not None
            else {},
            crashed_runs=crashed_runs,
        )
        self._poll_soon.set()

    def withdraw(self, name: str) -> None:
        """Handles the worker's withdrawal; its present runs continue."""
        worker = self._worker
        if worker is not None and worker.announced.name == name:
            logger.info("worker withdrew", extra={"worker": name})
            worker.withdrawn = True
            worker.announced = dataclasses.replace(
                worker.announced, draining=True
            )
            self._publish()

    # Background tasks.

    @mode.Service.task
    async def _watch_desired(self) -> None:
        await blackboard.forward(self._board.desired, self._wake)

    @mode.Service.task
    async def _watch_lease(self) -> None:
        """Plans after each renewal; extends run leases after a lapse.

        A long poll that was sent without a lease extends nothing, and the runs
        may have less time left than it waits.
        """
        cell = self._board.lease
        seen = cell.version
        while True:
            previous = cell.get()
            seen = await cell.changed(seen)
            if self._lease_left_ms(previous) == 0:
                self._poll_soon.set()
            self._wake.set()

    @mode.Service.task
    async def _extend_once_more(self) -> None:
        """Extends the lease of the runs shortly before the agent's own ends.

        The polls are timed for that, but one without an answer lasts longer.
        """
        cell = self._board.lease
        while not self.should_stop:
            seen = cell.version
            left_ms = self._lease_left_ms(cell.get()) - LAST_POLL_LEAD_MS
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    clock_lib.seconds(left_ms) if left_ms > 0 else None
                ):
                    await cell.changed(seen)
                    continue
            worker = self._worker
            if worker is not None and not worker.over:
                self.add_future(self._poll_once(worker, 0))
            # Nothing is left to extend until the lease is renewed.
            await cell.changed(seen)

    @mode.Service.task
    async def _watch_committed(self) -> None:
        await blackboard.forward(self._board.committed, self._poll_soon)

    @mode.Service.task
    async def _plan(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(clock_lib.seconds(PLAN_INTERVAL_MS)):
                    await self._wake.wait()
            except TimeoutError:
                pass  # Plans also depend on the time.
            self._wake.clear()
            self._execute_plan()

    @mode.Service.task
    async def _poll(self) -> None:
        """Polls the worker in a loop, which also extends the lease."""
        while not self.should_stop:
            worker = self._worker
            if worker is None or worker.over:
                await self._pause(PLAN_INTERVAL_MS)
                continue
            await self._poll_once(worker, self._poll_wait_ms(worker))

    def _lease_left_ms(self, lease: board_lib.Lease) -> int:
        return run_lease.left_ms(self._worker, lease, self._clock.now())

    def _poll_wait_ms(self, worker: life_lib.WorkerIncarnation) -> int:
        # After a call without an answer, it matters how soon there is one.
        if worker.listing is None or worker.may_have_restarted:
            return 0
        wait_ms = (
            pacing.POLL_WAIT_MS
            if self._pacing.has_fill_runs()
            else POLL_WAIT_MS
        )
        left_ms = self._lease_left_ms(self._board.lease.get())
        if left_ms > LAST_POLL_LEAD_MS:
            wait_ms = min(wait_ms, left_ms - LAST_POLL_LEAD_MS)
        return wait_ms

    @mode.Service.task
    async def _poll_on_demand(self) -> None:
        """Polls at once to pass on committed ends or to list new runs."""
        while not self.should_stop:
            await self._poll_soon.wait()
            self._poll_soon.clear()
            worker = self._worker
            if worker is not None and not worker.over:
                await self._poll_once(worker, 0)

    async def _pause(self, duration: clock_lib.Millis) -> None:
        await self.sleep(clock_lib.seconds(duration))

    # Polling.

    async def _poll_once(
        self, worker: life_lib.WorkerIncarnation, wait_ms: int
    ) -> None:
        order = worker_port.ExtendLeaseOrder(
            fence=self._board.lease.get().term,
            until_ms=self._extend_lease(worker),
            committed=run_lease.confirmed_end(
                worker, self._board.committed.get()
            ),
            wait_ms=wait_ms,
        )
        # Calls that fail meanwhile may have come after the listing was made.
        unanswered_calls = worker.unanswered_calls
        try:
            listing = await self._port.extend_lease(
                worker.announced.address, order
            )
        except worker_port.WorkerDown as exc:
            self._handle_refused_connection(worker, exc)
            await self._pause(RETRY_MS)
        except errors.BilberryrouteError as exc:
            worker.unanswered_calls += 1
            self._metrics.retried("worker_silent")
            logger.debug("worker does not answer: %s", exc)
            await self._pause(RETRY_MS)
        else:
            self._apply_listing(worker, listing, unanswered_calls)
        self._publish()

    def _extend_lease(self, worker: life_lib.WorkerIncarnation) -> int | None:
        """Returns the lease end to send now, or None to leave it as it is."""
        now = self._clock.now()
        end_ms = run_lease.extended_end_ms(
            worker,
            self._board.lease.get(),
            now,
            self._cfg.timing.run_lease_ms,
        )
        if end_ms is not None:
            worker.last_extension_ms = now
        return end_ms

    def _apply_listing(
        self,
        worker: life_lib.WorkerIncarnation,
        listing: worker_port.Listing,
        explained_calls: int,
    ) -> None:
        worker.last_answer_ms = self._clock.now()
        silence_log.log_change(worker, worker.last_answer_ms)
        if listing.born and listing.born != worker.announced.born:
            self._handle_restart(worker, listing)
            return
        worker.down_since_ms = None
        known = worker.listing
        if known is not None and listing.clock_ms <= known.clock_ms:
            return  # Older than the newest listing.
        worker.listing = listing
        worker.explained_calls = max(worker.explained_calls, explained_calls)
        worker.listing_received_ms = worker.last_answer_ms
        self._wake.set()

    def _handle_restart(
        self, worker: life_lib.WorkerIncarnation, listing: worker_port.Listing
    ) -> None:
        """Handles a listing of another incarnation than the known one.

        A newer incarnation is used before it announces itself.
        """
        if listing.born > worker.announced.born and worker is self._worker:
            announcement = dataclasses.replace(
                worker.announced,
                born=listing.born,
                sequence=life_lib.UNANNOUNCED,
                draining=False,
            )
            self._begin_incarnation(announcement)

    def _handle_refused_connection(
        self, worker: life_lib.WorkerIncarnation, exc: worker_port.WorkerDown
    ) -> None:
        now = self._clock.now()
        worker.unanswered_calls += 1
        if worker.down_since_ms is None:
            worker.down_since_ms = now
            logger.info("worker refuses connections: %s", exc)
        # A worker that has not withdrawn may accept connections again without
        # a restart.
        if worker.withdrawn and now - worker.down_since_ms >= DOWN_MS:
            worker.over = True
            logger.info(
                "worker has ended", extra={"worker": worker.announced.name}
            )
            run_calls.log_abandoned_stops(worker.progress)

    # Planning and calls.

    def _execute_plan(self) -> None:
        worker = self._worker
        if worker is None or worker.over or worker.listing is None:
            return
        if not self._bar_earlier_runs(worker):
            return
        plan_input = worker_view.plan_input(
            worker, self._board, self._cfg, self._clock.now()
        )
        self._note_held_starts(worker, run_plan.held_starts(plan_input))
        for action in run_plan.actions(plan_input):
            match action:
                case run_plan.StartRun(run=run):
                    self._mark_in_flight(worker, (run.task, run.run))
                    self.add_future(self._start(worker, run))
                case run_plan.StopRun(key=key):
                    self._mark_in_flight(worker, key)
                    self.add_future(self._stop(worker, key))
        self._pace(worker)
        if plan_input.covered:
            run_calls.log_abandoned_stops(
                worker.drop_stale_progress(plan_input.desired)
            )
        self._publish()

    def _note_held_starts(
        self,
        worker: life_lib.WorkerIncarnation,
        held: frozenset[run_plan.RunKey],
    ) -> None:
        """Counts and logs each run once when it begins to wait for capacity."""
        for key in sorted(held - self._held_starts, key=str):
            self._metrics.retried("no_capacity")
            logger.info(
                "start waits for capacity",
                extra=run_plan.key_fields(key)
                | {"worker": worker.announced.name},
            )
        self._held_starts = held

    def _pace(self, worker: life_lib.WorkerIncarnation) -> None:
        desired = self._board.desired.get().runs
        fence = self._board.lease.get().term
        now = self._clock.now()
        for call in self._pacing.pace_calls(worker, desired, now, fence):
            self.add_future(call)

    def _bar_earlier_runs(self, worker: life_lib.WorkerIncarnation) -> bool:
        """Bars the runs that were meant for earlier incarnations.

        A start sent to an earlier incarnation may arrive late, also of a run
        that has ended since. Returns whether all are barred, so that this
        incarnation may be reported.
        """
        if worker.earlier_runs_barred:
            return True
        if self._board.lease.get().left(self._clock.now()) == 0:
            return False
        earlier = {
            *run_plan.runs_of_earlier_incarnations(
                worker.ref(self._cfg.host), self._board.desired.get().runs
            ),
            *worker.unanswered_starts,
        }
        open_keys = [
            key
            for key in earlier
            if worker.progress_of(key).phase != run_plan.RunPhase.BARRED
        ]
        for key in open_keys:
            if not worker.progress_of(key).call_in_flight:
                self._mark_in_flight(worker, key)
                self.add_future(self._stop(worker, key))
        worker.earlier_runs_barred = not open_keys
        return worker.earlier_runs_barred

    def _mark_in_flight(
        self, worker: life_lib.WorkerIncarnation, key: run_plan.RunKey
    ) -> None:
        worker.progress_of(key).call_in_flight = True

    async def _start(
        self, worker: life_lib.WorkerIncarnation, run: wire.DesiredRun
    ) -> None:
        key = (run.task, run.run)
        until_ms = self._extend_lease(worker)
        if until_ms is None:
            worker.progress_of(key).call_in_flight = False
            return
        verdict = await self._calls.start(worker, run, until_ms)
        if verdict is None:
            self._poll_soon.set()
        if verdict != worker_port.StartVerdict.STARTED:
            await self._pause(RETRY_MS)
        self._end_call(worker, key)

    async def _stop(
        self, worker: life_lib.WorkerIncarnation, key: run_plan.RunKey
    ) -> None:
        if not await self._calls.stop(worker, key):
            await self._pause(RETRY_MS)
        self._end_call(worker, key)
        if worker.over or worker is not self._worker:
            run_calls.log_abandoned_stops(worker.progress)

    def _end_call(
        self, worker: life_lib.WorkerIncarnation, key: run_plan.RunKey
    ) -> None:
        worker.progress_of(key).call_in_flight = False
        self._wake.set()
        self._poll_soon.set()

    # Reporting.

    def _publish(self) -> None:
        """Publishes the worker's report on the blackboard."""
        worker = self._worker
        report = ()
        if worker is not None:
            now = self._clock.now()
            silence_log.log_change(worker, now)
            report = worker_view.reports(worker, self._board, self._cfg, now)
        if report != self._board.batch.get():
            self._board.batch.set(report)
