import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import task_plan
from bilberryroute.agent import worker_api
from bilberryroute.model import jobs
from bilberryroute.model import wire
from tests.utils import leader as leader_lib

KEY = ("w1", "j1", 1)
WORKER = jobs.Worker(
    name="w1",
    incarnation="i1",
    agent="a1",
    rack="k1",
    failure_domain="apapa",
    accelerators=8,
    cores=30,
    memory_mb=65_536,
)


def task(state: str, **changes: object) -> wire.DesiredTask:
    fields: dict[str, object] = {
        "job_id": "j1",
        "attempt": 1,
        "worker": "w1",
        "accelerators": (0, 1),
    }
    return wire.DesiredTask(state=state, **(fields | changes))


def held(phase: task_plan.TaskPhase, **changes: object) -> task_plan.HeldTask:
    fields: dict[str, object] = {"key": KEY, "accelerators": (0, 1)}
    return task_plan.HeldTask(phase=phase, **(fields | changes))


def plan_input(
    *tasks: wire.DesiredTask,
    held_task: task_plan.HeldTask | None = None,
    domains: tuple[str, ...] = ("apapa",),
    **changes: object,
) -> task_plan.TaskPlanInput:
    fields: dict[str, object] = {
        "desired": leader_lib.desired_state(3, *tasks, domains=domains),
        "covered": frozenset({"w1"}),
        "held": {held_task.key: held_task} if held_task else {},
        "workers": {"w1": WORKER},
        "task_lists": {"w1": {}},
        "lease": board_lib.Lease(workers={"w1": clock_lib.Millis(2_000)}),
        "started": 0,
        "now": 1_000,
        "task_lease_ms": 10_000,
    }
    return task_plan.TaskPlanInput(**(fields | changes))


def test_accelerators_are_reserved_before_a_start():
    desired_task = task("reserved")
    assert task_plan.plan(plan_input(desired_task)) == [
        task_plan.Reserve(task=desired_task)
    ]


@pytest.mark.parametrize(
    "changes",
    [
        {"domains": ()},
        {"workers": {}},
        {"task_lists": {}},
        {"held_task": held(task_plan.TaskPhase.RUNNING, key=("w1", "j0", 1))},
    ],
    ids=[
        "domain out",
        "worker gone",
        "worker not queried yet",
        "accelerator in use",
    ],
)
def test_reservation_waits(changes):
    actions = task_plan.plan(plan_input(task("reserved"), **changes))
    assert not any(isinstance(s, task_plan.Reserve) for s in actions)


def test_two_reservations_never_share_an_accelerator():
    first = task("reserved")
    second = task("reserved", job_id="j2", accelerators=(1, 2))
    assert task_plan.plan(plan_input(first, second)) == [
        task_plan.Reserve(task=first)
    ]


def test_reserved_task_starts_under_a_lease():
    reserved = held(task_plan.TaskPhase.RESERVED)
    actions = task_plan.plan(plan_input(task("running"), held_task=reserved))
    assert actions == [task_plan.StartTask(key=KEY)]


@pytest.mark.parametrize(
    "changes",
    [
        {"lease": board_lib.Lease()},
        {"lease": board_lib.Lease(expires=clock_lib.Millis(2_000))},
        {"domains": ("lekki",)},
        {"workers": {}},
    ],
    ids=["no lease", "worker not reported", "domain out", "worker gone"],
)
def test_start_is_withheld(changes):
    reserved = held(task_plan.TaskPhase.RESERVED)
    assert not task_plan.plan(
        plan_input(task("running"), held_task=reserved, **changes)
    )


@pytest.mark.parametrize(
    "phase",
    [
        task_plan.TaskPhase.STARTING,
        task_plan.TaskPhase.RUNNING,
        task_plan.TaskPhase.STOPPING,
        task_plan.TaskPhase.ENDED,
    ],
)
def test_task_is_not_started_twice(phase):
    started = held(phase, result=jobs.TaskResult.DONE)
    assert not task_plan.plan(plan_input(task("running"), held_task=started))


def test_task_not_reserved_here_is_fenced_and_never_started():
    assert task_plan.plan(plan_input(task("running"))) == [
        task_plan.Fence(key=KEY, result=jobs.TaskResult.LOST)
    ]


def test_task_on_an_unknown_worker_is_lost_once_its_lease_has_ended():
    unknown = {"workers": {}, "task_lists": {}}
    bound_ms = task_plan.lease_bound_ms(10_000)
    assert bound_ms > clock_lib.with_drift(10_000)
    assert not task_plan.plan(
        plan_input(task("running"), **unknown, now=bound_ms - 1)
    )
    assert task_plan.plan(
        plan_input(task("running"), **unknown, now=bound_ms)
    ) == [task_plan.End(key=KEY, result=jobs.TaskResult.LOST)]


def test_task_started_by_an_earlier_incarnation_is_adopted():
    reported = worker_api.Task(
        job_id="j1", attempt=1, state=worker_api.WorkerTaskState.RUNNING
    )
    task_lists = {"w1": {KEY: reported}}
    adopted = [task_plan.Adopt(key=KEY, reported=reported)]
    assert (
        task_plan.plan(plan_input(task("running"), task_lists=task_lists))
        == adopted
    )
    assert task_plan.plan(plan_input(task_lists=task_lists)) == adopted


def test_task_no_longer_desired_is_stopped():
    running = held(task_plan.TaskPhase.RUNNING)
    assert task_plan.plan(plan_input(held_task=running)) == [
        task_plan.StopTask(key=KEY, checkpoint=False)
    ]
    ended = held(task_plan.TaskPhase.ENDED, result=jobs.TaskResult.DONE)
    assert task_plan.plan(plan_input(held_task=ended)) == [
        task_plan.Forget(key=KEY)
    ]


def test_stop_saves_a_checkpoint_if_desired():
    running = held(task_plan.TaskPhase.RUNNING)
    desired_task = task("stopped", checkpoint=True)
    assert task_plan.plan(plan_input(desired_task, held_task=running)) == [
        task_plan.StopTask(key=KEY, checkpoint=True)
    ]


def test_reservation_ends_as_stopped():
    reserved = held(task_plan.TaskPhase.RESERVED)
    assert task_plan.plan(plan_input(task("stopped"), held_task=reserved)) == [
        task_plan.End(key=KEY, result=jobs.TaskResult.STOPPED)
    ]


@pytest.mark.parametrize(
    "phase", [task_plan.TaskPhase.RUNNING, task_plan.TaskPhase.ENDED]
)
def test_desired_state_made_without_the_worker_stops_nothing(phase):
    """This occurs before the first grant and after a worker was silent."""
    kept = held(phase, result=jobs.TaskResult.DONE)
    assert task_plan.plan(plan_input(held_task=kept, covered=frozenset())) == []
    reported = worker_api.Task(
        job_id="j1", attempt=1, state=worker_api.WorkerTaskState.RUNNING
    )
    task_lists = {"w1": {KEY: reported}}
    assert (
        task_plan.plan(plan_input(task_lists=task_lists, covered=frozenset()))
        == []
    )


def test_end_on_a_worker_that_is_gone_is_reported_until_it_expires():
    ended = held(
        task_plan.TaskPhase.ENDED,
        result=jobs.TaskResult.LOST,
        lease_expires=500,
    )
    gone = {"workers": {}, "task_lists": {}, "covered": frozenset()}
    assert task_plan.plan(plan_input(held_task=ended, **gone, now=10_499)) == []
    assert task_plan.plan(plan_input(held_task=ended, **gone, now=10_500)) == [
        task_plan.Forget(key=KEY)
    ]
