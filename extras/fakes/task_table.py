"""Tasks of a fake worker: leases, ends and refusals by its clock alone."""

import dataclasses
import re

from bilberryroute.agent import worker_api

_RUN_MS = re.compile(r"run(\d+)$")


@dataclasses.dataclass(slots=True, kw_only=True)
class Running:
    """One task.

    Attributes:
      started: Worker's clock at the start.
      run_ms: How long it runs in all, earlier progress included.
      lease_until: Worker's clock at which it is killed.
    """

    call: worker_api.StartTaskRequest
    started: int
    run_ms: int
    lease_until: int
    state: worker_api.WorkerTaskState = worker_api.WorkerTaskState.RUNNING
    ended: int = 0

    def progress_ms(self, now: int) -> int:
        """Returns the work done by `now`."""
        last = (
            now
            if self.state is worker_api.WorkerTaskState.RUNNING
            else self.ended
        )
        done = self.call.progress_ms + max(0, last - self.started)
        return min(self.run_ms, done)


class Refusal(Exception):
    """The start is refused; nothing runs.

    Attributes:
      kind: Kind in the problem document.
    """

    kind = "refused"


class Late(Refusal):
    """The start came after its deadline."""

    kind = worker_api.LATE


class TaskTable:
    """Runs tasks in name only.

    Attributes:
      fail_all: Whether every task fails as soon as it starts.
    """

    def __init__(
        self,
        incarnation: str,
        accelerators: int,
        run_ms: int,
        lag_ms: int,
        fail_all: bool,
    ):
        self.fail_all = fail_all
        self._incarnation = incarnation
        self._accelerators = accelerators
        self._run_ms = run_ms
        self._lag_ms = lag_ms
        self._tasks: dict[tuple[str, int], Running] = {}
        self._fenced: set[tuple[str, int]] = set()

    def start(
        self, call: worker_api.StartTaskRequest, now: int
    ) -> worker_api.Task:
        """Starts a task, or answers again for one that started before.

        Raises:
          Refusal: If the call is late or the accelerators are not free.
        """
        key = (call.job_id, call.attempt)
        if key in self._tasks:
            return self._report(self._tasks[key], now)
        if key in self._fenced:
            raise Refusal("the task was stopped before it started")
        if call.incarnation != self._incarnation:
            raise Late("meant for an earlier incarnation of this worker")
        if now >= call.not_after_ms:
            raise Late(f"late by {now - call.not_after_ms} ms")
        self._check_accelerators(call)
        task = Running(
            call=call,
            started=now,
            run_ms=self._run_time(call.job_id),
            lease_until=call.lease_until_ms,
        )
        self._tasks[key] = task
        return self._report(task, now)

    def renew(self, leases: worker_api.Leases, now: int) -> None:
        """Renews the leases of running tasks."""
        self.advance(now)
        for name in leases.tasks:
            task = self._tasks.get((name.job_id, name.attempt))
            if task is not None:
                task.lease_until = max(task.lease_until, leases.until_ms)

    def stop(self, name: worker_api.TaskName, now: int) -> worker_api.Task:
        """Stops a task, or bars one that never started."""
        self.advance(now)
        key = (name.job_id, name.attempt)
        self._fenced.add(key)
        task = self._tasks.get(key)
        if task is None:
            return worker_api.Task(
                job_id=name.job_id,
                attempt=name.attempt,
                state=worker_api.WorkerTaskState.STOPPED,
            )
        self._end(task, worker_api.WorkerTaskState.STOPPED, now)
        return self._report(task, now)

    def checkpoint(
        self, name: worker_api.TaskName, now: int
    ) -> worker_api.Task:
        """Returns the task with all its progress, without lag."""
        self.advance(now)
        task = self._tasks.get((name.job_id, name.attempt))
        if task is None:
            return self.stop(name, now)
        report = self._report(task, now)
        return worker_api.Task(
            job_id=report.job_id,
            attempt=report.attempt,
            state=report.state,
            accelerators=report.accelerators,
            progress_ms=task.progress_ms(now),
        )

    def tasks(self, now: int) -> worker_api.Tasks:
        """Returns all tasks."""
        self.advance(now)
        return worker_api.Tasks(
            tasks=tuple(self._report(t, now) for t in self._tasks.values())
        )

    def advance(self, now: int) -> list[Running]:
        """Ends the tasks that are over; returns them."""
        ended = []
        for task in self._tasks.values():
            if task.state is not worker_api.WorkerTaskState.RUNNING:
                continue
            done = task.started + task.run_ms - task.call.progress_ms
            if self.fail_all:
                self._end(task, worker_api.WorkerTaskState.FAILED, now)
            elif done <= min(now, task.lease_until):
                self._end(task, worker_api.WorkerTaskState.DONE, done)
            elif task.lease_until <= now:
                self._end(
                    task, worker_api.WorkerTaskState.LOST, task.lease_until
                )
            else:
                continue
            ended.append(task)
        return ended

    def _end(
        self, task: Running, state: worker_api.WorkerTaskState, ended: int
    ) -> None:
        if task.state is worker_api.WorkerTaskState.RUNNING:
            task.state = state
            task.ended = ended

    def _run_time(self, job_id: str) -> int:
        """Returns the run time; `run3000` at the end of a job id sets it."""
        match = _RUN_MS.search(job_id)
        return int(match.group(1)) if match else self._run_ms

    def _check_accelerators(self, call: worker_api.StartTaskRequest) -> None:
        busy = {
            index
            for task in self._tasks.values()
            if task.state is worker_api.WorkerTaskState.RUNNING
            for index in task.call.accelerators
        }
        wanted = set(call.accelerators)
        if wanted & busy:
            raise Refusal(f"accelerators {sorted(wanted & busy)} are taken")
        if not wanted or not wanted <= set(range(self._accelerators)):
            raise Refusal("no such accelerators")

    def _report(self, task: Running, now: int) -> worker_api.Task:
        seen = max(task.started, now - self._lag_ms)
        return worker_api.Task(
            job_id=task.call.job_id,
            attempt=task.call.attempt,
            state=task.state,
            accelerators=task.call.accelerators,
            progress_ms=task.progress_ms(seen),
        )
