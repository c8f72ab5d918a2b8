"""Runs of batch jobs on the worker beside an agent.

The agent is the only one that gives orders to its worker. It extends the
lease of what runs only while it holds a lease itself, and brings about what
the leader desires of the worker's present life.
"""

import asyncio
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
from bilberryroute.agent import pacing
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life as life_lib
from bilberryroute.agent import worker_port
from bilberryroute.model import wire

# How long a look at the worker may wait for an end; a lease lasts several.
LOOK_MS = clock_lib.Millis(1_000)
# The last look before the agent's own lease ends, which extends the worker's
# lease for the last time, is sent this long before: some calls to a worker on
# the same machine. All that runs then has the longest time for a new leader.
LAST_LOOK_MS = clock_lib.Millis(50)
# Pause after a call without an answer.
RETRY_MS = clock_lib.Millis(100)
# A worker that has not answered for this long is not reported any more.
SILENT_MS = 2 * clock_lib.SECOND
# A refused connection for this long means that the worker's life is over.
DOWN_MS = clock_lib.Millis(500)
# Longest time between two plans without any event.
PLAN_MS = clock_lib.Millis(250)

logger = logging.getLogger(__name__)


class BatchAgent(mode.Service):
    """Keeps one worker's runs as the leader desires them."""

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
        self._life: life_lib.WorkerIncarnation | None = None
        self._wake = asyncio.Event()
        self._look_soon = asyncio.Event()

    # What the worker says.

    def announce(self, said: worker_port.BatchWorkerAnnouncement) -> None:
        """Takes in an announcement; one that was overtaken is dropped."""
        life = self._life
        if life is not None and not life.is_news(said):
            self._metrics.dropped("late_announcement")
            return
        if life is None or life.announced.born != said.born or life.over:
            self._begin_life(said)
        else:
            drains = said.draining and not life.announced.draining
            if drains:
                logger.info("worker drains", extra={"worker": said.name})
            life.announced = said
        self._publish()
        self._wake.set()

    def _begin_life(self, said: worker_port.BatchWorkerAnnouncement) -> None:
        logger.info(
            "worker announced", extra={"worker": said.name, "born": said.born}
        )
        self._life = life_lib.WorkerIncarnation(
            announced=said, heard_ms=self._clock.now()
        )
        self._look_soon.set()

    def withdraw(self, name: str) -> None:
        """Takes in that the worker leaves; what it still runs goes on."""
        life = self._life
        if life is not None and life.announced.name == name:
            logger.info("worker withdrew", extra={"worker": name})
            life.withdrawn = True
            life.announced = dataclasses.replace(life.announced, draining=True)
            self._publish()

    # Services.

    @mode.Service.task
    async def _watch_desired(self) -> None:
        await blackboard.forward(self._board.desired, self._wake)

    @mode.Service.task
    async def _watch_lease(self) -> None:
        await blackboard.forward(self._board.lease, self._wake)

    @mode.Service.task
    async def _watch_committed(self) -> None:
        await blackboard.forward(self._board.committed, self._look_soon)

    @mode.Service.task
    async def _plan(self) -> None:
        while not self.should_stop:
            try:
                async with asyncio.timeout(clock_lib.seconds(PLAN_MS)):
                    await self._wake.wait()
            except TimeoutError:
                pass  # The time that has passed is the event.
            self._wake.clear()
            self._act()

    @mode.Service.task
    async def _look(self) -> None:
        """Extends the lease and looks what runs, again and again."""
        while not self.should_stop:
            life = self._life
            if life is None or life.over:
                await self._rest(PLAN_MS)
                continue
            await self._look_once(life, self._look_ms(life))

    def _look_ms(self, life: life_lib.WorkerIncarnation) -> int:
        if life.listing is None:
            return 0
        wait_ms = pacing.LOOK_MS if self._pacing.has_work() else LOOK_MS
        left_ms = self._board.lease.get().left(self._clock.now())
        if left_ms > LAST_LOOK_MS:
            wait_ms = min(wait_ms, left_ms - LAST_LOOK_MS)
        return wait_ms

    @mode.Service.task
    async def _look_at_once(self) -> None:
        """Tells the worker without delay which ends it may forget."""
        while not self.should_stop:
            await self._look_soon.wait()
            self._look_soon.clear()
            life = self._life
            if life is not None and not life.over:
                await self._look_once(life, 0)

    async def _rest(self, duration: clock_lib.Millis) -> None:
        await self.sleep(clock_lib.seconds(duration))

    # Looking.

    async def _look_once(
        self, life: life_lib.WorkerIncarnation, wait_ms: int
    ) -> None:
        order = worker_port.ExtendLeaseOrder(
            fence=self._board.lease.get().term,
            until_ms=self._until_ms(life),
            committed=self._committed(life),
            wait_ms=wait_ms,
        )
        try:
            listing = await self._port.extend_lease(
                life.announced.address, order
            )
        except worker_port.WorkerDown as exc:
            self._note_down(life, exc)
            await self._rest(RETRY_MS)
        except errors.BilberryrouteError as exc:
            self._metrics.retried("worker_silent")
            logger.debug("worker does not answer: %s", exc)
            await self._rest(RETRY_MS)
        else:
            self._take(life, listing)
        self._publish()

    def _until_ms(self, life: life_lib.WorkerIncarnation) -> int | None:
        """Returns how long what runs may run on, on the worker's clock."""
        now = self._clock.now()
        if life.listing is None or self._board.lease.get().left(now) == 0:
            return None
        return life.worker_clock(now) + self._cfg.timing.run_lease_ms

    def _committed(self, life: life_lib.WorkerIncarnation) -> int:
        known = self._board.committed.get()
        return known.get((life.announced.name, life.announced.born), 0)

    def _take(
        self, life: life_lib.WorkerIncarnation, listing: worker_port.Listing
    ) -> None:
        life.heard_ms = self._clock.now()
        life.down_since_ms = None
        if listing.born and listing.born != life.announced.born:
            self._meet_other_life(life, listing)
            return
        known = life.listing
        if known is not None and listing.clock_ms <= known.clock_ms:
            return  # An older answer that was overtaken.
        life.listing = listing
        life.sampled_ms = life.heard_ms
        self._wake.set()

    def _meet_other_life(
        self, life: life_lib.WorkerIncarnation, listing: worker_port.Listing
    ) -> None:
        """The worker has started anew, and will announce itself."""
        if listing.born > life.announced.born and life is self._life:
            said = dataclasses.replace(
                life.announced,
                born=listing.born,
                sequence=0,
                draining=False,
            )
            self._begin_life(said)

    def _note_down(
        self, life: life_lib.WorkerIncarnation, exc: worker_port.WorkerDown
    ) -> None:
        now = self._clock.now()
        if life.down_since_ms is None:
            life.down_since_ms = now
            logger.info("worker refuses connections: %s", exc)
        # A worker that has not withdrawn may listen again in the same life.
        if life.withdrawn and now - life.down_since_ms >= DOWN_MS:
            life.over = True
            logger.info(
                "worker has ended", extra={"worker": life.announced.name}
            )

    # Acting.

    def _act(self) -> None:
        life = self._life
        if life is None or life.over or life.listing is None:
            return
        if not self._settle_earlier(life):
            return
        for action in run_plan.actions(self._view(life)):
            match action:
                case run_plan.StartRun(run=run):
                    self._begin(life, (run.task, run.run))
                    self.add_future(self._start(life, run))
                case run_plan.StopRun(key=key):
                    self._begin(life, key)
                    self.add_future(self._stop(life, key))
        self._pace(life)
        self._forget(life)
        self._publish()

    def _pace(self, life: life_lib.WorkerIncarnation) -> None:
        desired = self._board.desired.get().runs
        fence = self._board.lease.get().term
        now = self._clock.now()
        for order in self._pacing.orders(life, desired, now, fence):
            self.add_future(order)

    def _settle_earlier(self, life: life_lib.WorkerIncarnation) -> bool:
        """Bars what earlier lives were ordered to run; an order may be late.

        Returns whether that is done, so that this life may be reported.
        """
        if life.barred_before:
            return True
        if self._board.lease.get().left(self._clock.now()) == 0:
            return False
        earlier = [
            (run.task, run.run)
            for run in self._board.desired.get().runs
            if run.worker.name == life.announced.name
            and run.worker.born != life.announced.born
        ]
        open_keys = [
            key
            for key in earlier
            if life.progress_of(key).phase != run_plan.RunPhase.BARRED
        ]
        for key in open_keys:
            if not life.progress_of(key).call_in_flight:
                self._begin(life, key)
                self.add_future(self._stop(life, key))
        life.barred_before = not open_keys
        return life.barred_before

    def _begin(
        self, life: life_lib.WorkerIncarnation, key: run_plan.RunKey
    ) -> None:
        life.progress_of(key).call_in_flight = True

    def _view(self, life: life_lib.WorkerIncarnation) -> run_plan.RunPlanInput:
        board = self._board
        said = life.announced
        desired = board.desired.get()
        closed = said.draining or said.failure_domain in desired.evacuated
        leased = board.lease.get().left(self._clock.now()) > 0
        return run_plan.RunPlanInput(
            worker=life.ref(self._cfg.host),
            desired=desired.runs,
            covered=life_lib.incarnation_name(said.name, said.born)
            in board.covered.get(),
            may_start=leased and not closed and not board.draining.get(),
            closed=closed,
            payloads=frozenset(board.payloads.get()),
            listing=life.listing,
            progress=life.progress,
        )

    async def _start(
        self, life: life_lib.WorkerIncarnation, run: wire.DesiredRun
    ) -> None:
        state = life.progress_of((run.task, run.run))
        lease = self._board.lease.get()
        until_ms = self._until_ms(life)
        if until_ms is None:
            state.call_in_flight = False
            return
        fields = run_plan.key_fields((run.task, run.run))
        order = worker_port.StartOrder(
            worker=life.announced.name,
            task=run.task,
            run=run.run,
            payload=self._board.payloads.get()[run.task.job_id],
            saved=run.saved,
            permit=run.permit,
            until_ms=until_ms,
            fence=lease.term,
        )
        try:
            answer = await self._port.start_run(life.announced.address, order)
        except errors.BilberryrouteError as exc:
            self._metrics.retried("start_unanswered")
            logger.info("start unanswered: %s", exc, extra=fields)
            await self._rest(RETRY_MS)
        else:
            run_plan.apply_start_answer(state, answer)
            logger.info(
                "start: %s",
                answer.verdict,
                extra=fields | {"term": lease.term},
            )
            if answer.verdict != worker_port.StartVerdict.STARTED:
                self._metrics.retried(f"start_{answer.verdict}")
                await self._rest(RETRY_MS)
        state.call_in_flight = False
        self._wake.set()
        self._look_soon.set()

    async def _stop(
        self, life: life_lib.WorkerIncarnation, key: run_plan.RunKey
    ) -> None:
        state = life.progress_of(key)
        task, run = key
        fence = self._board.lease.get().term
        try:
            clock_ms = await self._port.stop_run(
                life.announced.address, task, run, fence
            )
        except errors.BilberryrouteError as exc:
            self._metrics.retried("stop_unanswered")
            logger.info(
                "stop unanswered: %s", exc, extra=run_plan.key_fields(key)
            )
            await self._rest(RETRY_MS)
        else:
            state.phase = run_plan.RunPhase.BARRED
            state.clock_ms = clock_ms
            logger.info("stopped", extra=run_plan.key_fields(key))
        state.call_in_flight = False
        self._wake.set()
        self._look_soon.set()

    def _forget(self, life: life_lib.WorkerIncarnation) -> None:
        """Drops what was done about runs that nobody speaks of any more."""
        spoken = {(r.task, r.run) for r in self._board.desired.get().runs}
        spoken |= {(r.task, r.run) for r in life.listing.running}
        for key in [
            k for k, p in life.progress.items() if not p.call_in_flight
        ]:
            if key not in spoken:
                del life.progress[key]

    # Reporting.

    def _publish(self) -> None:
        """Writes the worker's report on the board."""
        life = self._life
        report = () if life is None else self._report(life)
        if report != self._board.batch.get():
            self._board.batch.set(report)

    def _report(
        self, life: life_lib.WorkerIncarnation
    ) -> tuple[wire.WorkerReport, ...]:
        silent = self._clock.now() - life.heard_ms > SILENT_MS
        if life.listing is None or (silent and not life.over):
            return ()
        if not life.barred_before:
            return ()
        ends = life.listing.ends + run_plan.inferred_ends(self._view(life))
        return (life.report(ends),)
