"""Reconciles the tasks on the workers with the desired state."""

import asyncio
import logging

from mode import Service

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import surveys as surveys_lib
from bilberryroute.agent import task_plan
from bilberryroute.agent import worker_api
from bilberryroute.agent import workers as workers_lib
from bilberryroute.model import jobs

POLL_INTERVAL_MS = 500
PLAN_INTERVAL_MS = 1_000
START_RETRY_MS = 200
STOP_RETRY_MS = 200

logger = logging.getLogger(__name__)


class TaskService(Service):
    """Reserves, starts, renews and stops the tasks on this agent's workers.

    Attributes:
      board: The agent's blackboard.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        board: board_lib.AgentBoard,
        workers: workers_lib.WorkerService,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._metrics = metrics
        self._cfg = cfg
        self._clock = env.clock
        self.board = board
        self._workers = workers
        self._held: dict[task_plan.TaskKey, task_plan.HeldTask] = {}
        self._task_lists = surveys_lib.WorkerTaskLists()
        self._polling: set[str] = set()
        self._answered_ms: dict[str, int] = {}
        self._started_ms = env.clock.now()
        self._client: worker_api.WorkerApiClient | None = None
        self._replan = blackboard.Cell(None)

    async def on_start(self) -> None:
        """Opens the connection pool."""
        self._started_ms = self._clock.now()
        self._client = worker_api.WorkerApiClient()

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._client is not None:
            await self._client.close()

    def plan_input(self) -> task_plan.TaskPlanInput:
        """Returns the input of a plan made now."""
        now = self._clock.now()
        return task_plan.TaskPlanInput(
            desired=self.board.desired.get(),
            covered=self.board.covered.get(),
            held=self._held,
            workers=self.board.workers.get(),
            task_lists=self._task_lists.tasks(),
            lease=self.board.lease.get(),
            started=self._started_ms,
            now=now,
            task_lease_ms=self._cfg.timing.task_lease_ms,
        )

    @Service.task
    async def _reconcile(self) -> None:
        while not self.should_stop:
            seen = self._replan.version
            self._drop_absent_workers()
            for action in task_plan.plan(self.plan_input()):
                self._execute(action)
            self._publish()
            await self._wait_for_change(seen)

    def _drop_absent_workers(self) -> None:
        contacts = self._workers.contacts
        self._task_lists.drop_stale(contacts)
        for name in self._answered_ms.keys() - contacts.keys():
            del self._answered_ms[name]

    @Service.task
    async def _watch_desired(self) -> None:
        await self._watch(self.board.desired)

    @Service.task
    async def _watch_covered(self) -> None:
        await self._watch(self.board.covered)

    @Service.task
    async def _watch_workers(self) -> None:
        await self._watch(self.board.workers)

    @Service.task
    async def _watch_lease(self) -> None:
        cell = self.board.lease
        seen = cell.version
        while not self.should_stop:
            seen = await cell.changed(seen)
            if self._held:
                self._replan.touch()

    async def _watch(self, cell: blackboard.Cell) -> None:
        seen = cell.version
        while not self.should_stop:
            seen = await cell.changed(seen)
            self._replan.touch()

    async def _wait_for_change(self, seen: int) -> None:
        try:
            async with asyncio.timeout(clock_lib.seconds(PLAN_INTERVAL_MS)):
                await self._replan.changed(seen)
        except TimeoutError:
            return

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            for contact in self._workers.contacts.values():
                if contact.name not in self._polling:
                    self._polling.add(contact.name)
                    self.add_future(self._poll_worker(contact))
            self._end_expired(self._held_without_contact())
            await self.sleep(clock_lib.seconds(POLL_INTERVAL_MS))

    def _execute(self, action: task_plan.TaskAction) -> None:
        match action:
            case task_plan.Reserve(task=task):
                key = task_plan.key_of(task)
                self._held[key] = task_plan.HeldTask(
                    key=key,
                    accelerators=task.accelerators,
                    phase=task_plan.TaskPhase.RESERVED,
                    progress_ms=task.progress_ms,
                )
            case task_plan.StartTask(key=key):
                self._held[key].phase = task_plan.TaskPhase.STARTING
                self.add_future(self._start(self._held[key]))
            case task_plan.Adopt(key=key, reported=reported):
                self._adopt(key, reported)
            case task_plan.StopTask(key=key, checkpoint=checkpoint):
                self._begin_stop(
                    self._held[key], jobs.TaskResult.STOPPED, checkpoint
                )
            case task_plan.End(key=key, result=result):
                self._end(key, result)
            case task_plan.Fence(key=key, result=result):
                self._fence(key, result)
            case task_plan.Forget(key=key):
                del self._held[key]
                self._task_lists.forget_task(key)

    def _end(self, key: task_plan.TaskKey, result: jobs.TaskResult) -> None:
        held = self._held.get(key)
        if held is None:
            held = task_plan.HeldTask(
                key=key, accelerators=(), phase=task_plan.TaskPhase.RUNNING
            )
            self._held[key] = held
        held.end(result)

    def _fence(self, key: task_plan.TaskKey, result: jobs.TaskResult) -> None:
        held = task_plan.HeldTask(
            key=key,
            accelerators=(),
            phase=task_plan.TaskPhase.STOPPING,
            lease_expires=self._lease_bound(self._clock.now()),
        )
        self._held[key] = held
        self._begin_stop(held, result, checkpoint=False)

    def _adopt(self, key: task_plan.TaskKey, reported: worker_api.Task) -> None:
        held = task_plan.HeldTask(
            key=key,
            accelerators=reported.accelerators,
            phase=task_plan.TaskPhase.RUNNING,
            progress_ms=reported.progress_ms,
            lease_expires=self._lease_bound(self._clock.now()),
        )
        self._held[key] = held
        self._apply_report(held, reported)

    async def _start(self, held: task_plan.HeldTask) -> None:
        """Starts a task on its worker if that is still allowed."""
        plan_input = self.plan_input()
        contact = self._workers.contacts.get(held.key[0])
        if contact is None or not task_plan.may_start(plan_input, held.key):
            self._metrics.refused("start_not_allowed")
            held.phase = task_plan.TaskPhase.RESERVED
            return
        call = self._start_call(held, contact, plan_input)
        held.lease_expires = self._lease_bound(plan_input.now)
        try:
            task = await self._client.start(contact, call)
        except worker_api.StartLate as exc:
            self._metrics.refused(exc.kind)
            logger.warning(
                "start of %s arrived after its deadline: %s", held.key, exc
            )
            await self.sleep(clock_lib.seconds(START_RETRY_MS))
            held.phase = task_plan.TaskPhase.RESERVED
        except worker_api.StartRefused as exc:
            self._metrics.refused(exc.kind)
            logger.warning("start of %s was refused: %s", held.key, exc)
            held.end(jobs.TaskResult.FAILED)
        except worker_api.WorkerUnreachable as exc:
            self._metrics.failed(exc.kind)
            logger.warning(
                "start of %s got no answer; stopping the task: %s",
                held.key,
                exc,
            )
            self._begin_stop(held, jobs.TaskResult.LOST, checkpoint=False)
        else:
            held.phase = task_plan.TaskPhase.RUNNING
            self._apply_report(held, task)
        self._replan.touch()

    def _start_call(
        self,
        held: task_plan.HeldTask,
        contact: workers_lib.WorkerContact,
        plan_input: task_plan.TaskPlanInput,
    ) -> worker_api.StartTaskRequest:
        worker, job_id, attempt = held.key
        until = plan_input.now + self._cfg.timing.task_lease_ms
        lease_left_ms = plan_input.lease.left_for(worker, plan_input.now)
        return worker_api.StartTaskRequest(
            job_id=job_id,
            attempt=attempt,
            incarnation=contact.incarnation,
            accelerators=held.accelerators,
            progress_ms=held.progress_ms,
            left_ms=lease_left_ms,
            not_after_ms=contact.to_worker_clock(
                plan_input.now + lease_left_ms
            ),
            lease_until_ms=contact.to_worker_clock(until),
        )

    def _begin_stop(
        self,
        held: task_plan.HeldTask,
        result: jobs.TaskResult,
        checkpoint: bool,
    ) -> None:
        held.phase = task_plan.TaskPhase.STOPPING
        self.add_future(self._stop_task(held, result, checkpoint))

    async def _stop_task(
        self,
        held: task_plan.HeldTask,
        result: jobs.TaskResult,
        checkpoint: bool,
    ) -> None:
        """Repeats a stop until the worker confirms or the lease ends."""
        while held.phase is task_plan.TaskPhase.STOPPING:
            if self._clock.now() >= held.lease_expires:
                held.end(jobs.TaskResult.LOST)
                break
            if await self._try_stop(held, result, checkpoint):
                break
            await self.sleep(clock_lib.seconds(STOP_RETRY_MS))
        self._replan.touch()

    async def _try_stop(
        self,
        held: task_plan.HeldTask,
        result: jobs.TaskResult,
        checkpoint: bool,
    ) -> bool:
        contact = self._workers.contacts.get(held.key[0])
        if contact is None:
            return False
        name = worker_api.TaskName(held.key[1], held.key[2])
        try:
            if checkpoint:
                left = max(1, held.lease_expires - self._clock.now())
                saved = await self._client.checkpoint(contact, name, left)
                held.progress_ms = saved.progress_ms
            task = await self._client.stop(contact, name)
        except worker_api.WorkerUnreachable:
            return False
        held.progress_ms = max(held.progress_ms, task.progress_ms)
        stopped = task.state is worker_api.WorkerTaskState.STOPPED
        held.end(result if stopped else jobs.TaskResult(task.state))
        return True

    async def _poll_worker(self, contact: workers_lib.WorkerContact) -> None:
        try:
            await self._query_worker(contact)
        except worker_api.WorkerUnreachable as exc:
            logger.warning("%s", exc)
            self._end_expired(self._held_on(contact.name))
        finally:
            self._polling.discard(contact.name)

    async def _query_worker(self, contact: workers_lib.WorkerContact) -> None:
        """Renews the leases of a worker's tasks and updates their states."""
        now = self._clock.now()
        running = [
            held
            for held in self._held_on(contact.name)
            if held.phase is task_plan.TaskPhase.RUNNING
        ]
        if running and self._may_renew(contact.name, now):
            tasks = await self._renew(contact, running, now)
        elif running or self._task_lists.needs_query(contact):
            tasks = await self._client.tasks(contact)
        else:
            return
        self._answered_ms[contact.name] = self._clock.now()
        reported = self._task_lists.update(contact, tasks)
        self._apply_reports(reported, running)
        self._replan.touch()

    def _may_renew(self, worker: str, now: int) -> bool:
        """Returns whether the leases of a worker's tasks may be renewed.

        Those of a worker that announces itself but answers no call would be
        renewed for good, although nobody knows whether the tasks go on.
        """
        answered_ms = self._answered_ms.setdefault(worker, now)
        silent = now - answered_ms > self._cfg.timing.task_lease_ms // 2
        return not silent and self.board.lease.get().left_for(worker, now) > 0

    async def _renew(
        self,
        contact: workers_lib.WorkerContact,
        running: list[task_plan.HeldTask],
        now: int,
    ) -> worker_api.Tasks:
        until = now + self._cfg.timing.task_lease_ms
        for held in running:
            held.lease_expires = self._lease_bound(now)
        names = tuple(worker_api.TaskName(h.key[1], h.key[2]) for h in running)
        leases = worker_api.Leases(
            tasks=names, until_ms=contact.to_worker_clock(until)
        )
        return await self._client.renew(contact, leases)

    def _apply_reports(
        self,
        reported: dict[task_plan.TaskKey, worker_api.Task],
        running: list[task_plan.HeldTask],
    ) -> None:
        for held in running:
            if held.phase is not task_plan.TaskPhase.RUNNING:
                continue
            task = reported.get(held.key)
            if task is None:
                held.end(jobs.TaskResult.LOST)
            else:
                self._apply_report(held, task)

    def _apply_report(
        self, held: task_plan.HeldTask, task: worker_api.Task
    ) -> None:
        held.progress_ms = max(held.progress_ms, task.progress_ms)
        if task.state is not worker_api.WorkerTaskState.RUNNING:
            held.end(jobs.TaskResult(task.state))

    def _held_on(self, worker: str) -> list[task_plan.HeldTask]:
        return [h for key, h in self._held.items() if key[0] == worker]

    def _held_without_contact(self) -> list[task_plan.HeldTask]:
        contacts = self._workers.contacts
        return [h for key, h in self._held.items() if key[0] not in contacts]

    def _end_expired(self, silent: list[task_plan.HeldTask]) -> None:
        """Marks running tasks of silent workers as lost after their lease."""
        now = self._clock.now()
        for held in silent:
            running = held.phase is task_plan.TaskPhase.RUNNING
            if running and now >= held.lease_expires:
                held.end(jobs.TaskResult.LOST)
                self._replan.touch()

    def _lease_bound(self, now: int) -> int:
        """Returns when a lease that is renewed at `now` has surely ended."""
        bound_ms = task_plan.lease_bound_ms(self._cfg.timing.task_lease_ms)
        return now + bound_ms

    def _publish(self) -> None:
        reports = {k: h.report() for k, h in self._held.items()}
        if reports != self.board.tasks.get():
            self.board.tasks.set(reports)
