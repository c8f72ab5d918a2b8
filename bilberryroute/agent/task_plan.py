"""Plans the tasks of one agent; does no I/O.

Compares the desired state with the tasks held and those that workers report,
and returns the actions that reconcile them.
"""

import dataclasses
import enum
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import worker_api
from bilberryroute.model import jobs
from bilberryroute.model import wire

TaskKey = tuple[str, str, int]

RESERVED = "reserved"
RUNNING = "running"
STOPPED = "stopped"

# A worker's clock is reckoned from its last announcement, some seconds ago; it
# may have drifted since then.
CLOCK_MARGIN_MS = 500


def lease_bound_ms(task_lease_ms: int) -> int:
    """Returns by how much a task may outlast its last renewal, at most.

    Args:
      task_lease_ms: Length of its lease on the worker's clock.
    """
    return clock_lib.with_drift(task_lease_ms) + CLOCK_MARGIN_MS


class TaskPhase(enum.Enum):
    """State of a task that the agent holds."""

    RESERVED = enum.auto()
    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()
    ENDED = enum.auto()


@dataclasses.dataclass(slots=True, kw_only=True)
class HeldTask:
    """A task that this agent is responsible for.

    Attributes:
      key: Worker, job id and attempt.
      result: How it ended; None while it has not.
      lease_expires: Agent's clock by which the worker has killed the task
        unless its lease was renewed.
    """

    key: TaskKey
    accelerators: tuple[int, ...]
    phase: TaskPhase
    result: jobs.TaskResult | None = None
    progress_ms: int = 0
    lease_expires: int = 0

    def report(self) -> wire.TaskReport:
        """Returns the report on the task."""
        worker, job_id, attempt = self.key
        return wire.TaskReport(
            job_id=job_id,
            attempt=attempt,
            worker=worker,
            state=self._state(),
            progress_ms=self.progress_ms,
        )

    def _state(self) -> str:
        match self.phase:
            case TaskPhase.RESERVED | TaskPhase.STARTING:
                return RESERVED
            case TaskPhase.RUNNING | TaskPhase.STOPPING:
                return RUNNING
            case TaskPhase.ENDED:
                return str(self.result)

    def end(self, result: jobs.TaskResult) -> None:
        """Marks the task as ended; later results are ignored."""
        if self.phase is not TaskPhase.ENDED:
            self.phase = TaskPhase.ENDED
            self.result = result


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskPlanInput:
    """Input of a plan.

    Attributes:
      desired: Desired state.
      covered: Workers that the desired state was made for.
      held: Tasks held, by key.
      workers: Workers announced here, by name.
      task_lists: Tasks that each worker listed, by worker; a worker that has
        not been queried yet is missing.
      lease: The agent's lease.
      started: Agent's clock when the process started.
      now: Agent's clock.
      task_lease_ms: Length of a task's lease.
    """

    desired: wire.Desired
    covered: frozenset[str]
    held: Mapping[TaskKey, HeldTask]
    workers: Mapping[str, jobs.Worker]
    task_lists: Mapping[str, Mapping[TaskKey, worker_api.Task]]
    lease: board_lib.Lease
    started: int
    now: int
    task_lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reserve:
    """Reserves the accelerators of a task."""

    task: wire.DesiredTask


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartTask:
    """Starts a reserved task."""

    key: TaskKey


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """Adopts a task that an earlier incarnation of the agent started."""

    key: TaskKey
    reported: worker_api.Task


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTask:
    """Stops a running task."""

    key: TaskKey
    checkpoint: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class End:
    """Marks a task as ended without a call to its worker."""

    key: TaskKey
    result: jobs.TaskResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Has the worker refuse later starts of a task, then reports its end.

    The worker does not list the task, but a start that an earlier incarnation
    of the agent sent may still arrive.
    """

    key: TaskKey
    result: jobs.TaskResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forget:
    """Drops a task that is no longer in the desired state."""

    key: TaskKey


TaskAction = Reserve | StartTask | Adopt | StopTask | End | Fence | Forget


def key_of(task: wire.DesiredTask) -> TaskKey:
    """Returns the key of a desired task."""
    return (task.worker, task.job_id, task.attempt)


def plan(plan_input: TaskPlanInput) -> list[TaskAction]:
    """Returns the actions that lead to the desired state."""
    desired_tasks = {key_of(task): task for task in plan_input.desired.tasks}
    actions: list[TaskAction] = []
    actions += _plan_undesired_tasks(plan_input, desired_tasks)
    in_use = _accelerators_in_use(plan_input)
    for key, task in desired_tasks.items():
        held = plan_input.held.get(key)
        if held is None:
            action = _plan_new_task(plan_input, key, task, in_use)
        else:
            action = _plan_held_task(plan_input, held, task)
        if action is not None:
            actions.append(action)
    return actions


def may_start(plan_input: TaskPlanInput, key: TaskKey) -> bool:
    """Returns whether a reserved task may start now."""
    worker = plan_input.workers.get(key[0])
    lease_left_ms = plan_input.lease.left_for(key[0], plan_input.now)
    if worker is None or lease_left_ms == 0:
        return False
    if worker.failure_domain not in plan_input.desired.domains_in_service:
        return False
    held = plan_input.held.get(key)
    if held is None or held.phase not in (
        TaskPhase.RESERVED,
        TaskPhase.STARTING,
    ):
        return False
    return any(
        key_of(task) == key and task.state == RUNNING
        for task in plan_input.desired.tasks
    )


def _plan_undesired_tasks(
    plan_input: TaskPlanInput, desired_tasks: Mapping[TaskKey, wire.DesiredTask]
) -> list[TaskAction]:
    """Returns the actions for tasks that are not in the desired state."""
    actions: list[TaskAction] = []
    for key, held in plan_input.held.items():
        if key in desired_tasks:
            continue
        action = _plan_undesired_task(plan_input, held)
        if action is not None:
            actions.append(action)
    for name, listed in plan_input.task_lists.items():
        if name not in plan_input.covered:
            continue
        for key, task in listed.items():
            unknown = key not in desired_tasks and key not in plan_input.held
            if unknown and task.state == worker_api.WorkerTaskState.RUNNING:
                actions.append(Adopt(key=key, reported=task))
    return actions


def _plan_undesired_task(
    plan_input: TaskPlanInput, held: HeldTask
) -> TaskAction | None:
    """Returns the action for a held task that is not in the desired state.

    If the leader did not know of the worker when it made the desired state,
    as before the first grant or while the worker was silent, the absence of
    the task means nothing.
    """
    covered = held.key[0] in plan_input.covered
    gone = held.key[0] not in plan_input.workers
    report_expired = (
        gone and plan_input.now >= held.lease_expires + plan_input.task_lease_ms
    )
    match held.phase:
        case TaskPhase.RESERVED if covered or gone:
            return Forget(key=held.key)
        case TaskPhase.ENDED if covered or report_expired:
            return Forget(key=held.key)
        case TaskPhase.RUNNING if covered:
            return StopTask(key=held.key, checkpoint=False)
    return None


def _accelerators_in_use(plan_input: TaskPlanInput) -> set[tuple[str, int]]:
    return {
        (held.key[0], index)
        for held in plan_input.held.values()
        if held.phase is not TaskPhase.ENDED
        for index in held.accelerators
    }


def _plan_new_task(
    plan_input: TaskPlanInput,
    key: TaskKey,
    task: wire.DesiredTask,
    in_use: set[tuple[str, int]],
) -> TaskAction | None:
    """Returns the action for a desired task that is not held yet."""
    reported = plan_input.task_lists.get(task.worker, {}).get(key)
    if reported is not None:
        return Adopt(key=key, reported=reported)
    if task.state == RESERVED:
        return _plan_reservation(plan_input, task, in_use)
    if task.worker in plan_input.task_lists:
        return Fence(key=key, result=_absent_result(task))
    bound_ms = lease_bound_ms(plan_input.task_lease_ms)
    if plan_input.now - plan_input.started >= bound_ms:
        return End(key=key, result=jobs.TaskResult.LOST)
    return None


def _absent_result(task: wire.DesiredTask) -> jobs.TaskResult:
    if task.state == STOPPED:
        return jobs.TaskResult.STOPPED
    return jobs.TaskResult.LOST


def _plan_reservation(
    plan_input: TaskPlanInput,
    task: wire.DesiredTask,
    in_use: set[tuple[str, int]],
) -> Reserve | None:
    worker = plan_input.workers.get(task.worker)
    if worker is None or task.worker not in plan_input.task_lists:
        return None
    if worker.failure_domain not in plan_input.desired.domains_in_service:
        return None
    indexes = {(task.worker, index) for index in task.accelerators}
    if indexes & in_use or max(task.accelerators) >= worker.accelerators:
        return None
    in_use |= indexes
    return Reserve(task=task)


def _plan_held_task(
    plan_input: TaskPlanInput, held: HeldTask, task: wire.DesiredTask
) -> TaskAction | None:
    """Returns the action for a desired task that is held."""
    match held.phase, task.state:
        case TaskPhase.RESERVED, "running":
            if may_start(plan_input, held.key):
                return StartTask(key=held.key)
        case TaskPhase.RESERVED, "stopped":
            return End(key=held.key, result=jobs.TaskResult.STOPPED)
        case TaskPhase.RUNNING, "stopped":
            return StopTask(key=held.key, checkpoint=task.checkpoint)
    return None
