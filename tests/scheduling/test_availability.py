"""Preemption of steps that limit how many tasks are unavailable."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

WORKERS = tuple(batches.worker(f"w{number}") for number in (1, 2))
TASKS = 4


@pytest.fixture
def log():
    """Four long-running tasks fill two workers; two may be unavailable."""
    made = batches.Log()
    long_running = batches.step(TASKS, 4, long_running=True, max_unavailable=2)
    made.submit("web", batches.content(long_running), "nightly")
    decided = planner.plan(made.held, WORKERS, {}, made.now)
    made.place(*decided.units)
    return made


def serving(*indexes: int) -> frozenset:
    return frozenset((batches.task("web", index), 1) for index in indexes)


def stops(log, available_runs) -> list[batching.TaskRun]:
    decided = planner.plan(
        log.held, WORKERS, {}, log.now + 60_000, available_runs=available_runs
    )
    return list(decided.stops)


def submit_guaranteed(log, accelerators: int, name: str = "own") -> None:
    step = batches.step(1, accelerators)
    log.submit(name, batches.content(step), "urgent")


def test_no_more_are_stopped_than_may_be_unavailable(log):
    submit_guaranteed(log, 8)
    submit_guaranteed(log, 8, "more")
    assert len(stops(log, serving(0, 1, 2, 3))) == 2


@pytest.mark.parametrize("indexes", [(0, 1, 2), (0,), ()])
def test_starting_task_counts_as_unavailable(log, indexes):
    """Starting tasks use up the limit, so fewer serving ones are stopped."""
    submit_guaranteed(log, 8)
    stopped = stops(log, serving(*indexes))
    stopped_serving = [each for each in stopped if each.task.index in indexes]
    assert len(stopped_serving) <= max(0, 2 - (TASKS - len(indexes)))


def test_stopped_task_counts_as_unavailable(log):
    first = batching.TaskRun(task=batches.task("web", 0), run=1)
    second = batching.TaskRun(task=batches.task("web", 1), run=1)
    log.apply(batching.StopRuns(runs=(first, second), at_ms=1))
    log.end(first.task, outcome=batch.RunOutcome.STOPPED)
    log.end(second.task, outcome=batch.RunOutcome.STOPPED)
    submit_guaranteed(log, 8)
    submit_guaranteed(log, 8, "more")
    assert stops(log, serving(0, 1, 2, 3)) == []


def test_step_without_a_limit_can_be_preempted(log):
    made = batches.Log()
    long_running = batches.step(2, 8, long_running=True)
    made.submit("web", batches.content(long_running), "nightly")
    made.place(*planner.plan(made.held, WORKERS, {}, made.now).units)
    submit_guaranteed(made, 8)
    assert len(stops(made, serving(0, 1))) == 1


def test_nothing_waits_for_the_end_of_a_long_running_task():
    """Its resources do not count as free soon, whatever its estimate."""
    made = batches.Log()
    worker = batches.worker("w1")
    long_running = batches.step(1, 4, long_running=True, estimate_ms=1)
    made.submit("web", batches.content(long_running), "planned")
    made.place(*planner.plan(made.held, [worker], {}, made.now).units)
    made.submit("large", batches.content(batches.step(1, 8)), "planned")
    long = batches.step(1, 4, estimate_ms=60_000)
    made.submit("later", batches.content(long), "nightly")
    decided = planner.plan(made.held, [worker], {}, made.now + 2_000)
    assert [unit.job_id for unit in decided.units] == ["later"]
