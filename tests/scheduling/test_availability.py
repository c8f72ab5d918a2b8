"""How much of a step that bounds its absences decisions take away."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

WORKERS = tuple(batches.worker(f"w{number}") for number in (1, 2))
TASKS = 4


@pytest.fixture
def log():
    """Four long-running tasks fill two workers; two of them may be away."""
    made = batches.Log()
    lasting = batches.step(TASKS, 4, long_running=True, max_unavailable=2)
    made.submit("web", batches.content(lasting), "nightly")
    decided = planner.plan(made.held, WORKERS, {}, made.now)
    made.place(*decided.units)
    return made


def at_work(*indexes: int) -> frozenset:
    return frozenset((batches.task("web", index), 1) for index in indexes)


def stops(log, working) -> list[batching.TaskRun]:
    decided = planner.plan(
        log.held, WORKERS, {}, log.now + 60_000, available_runs=working
    )
    return list(decided.stops)


def want(log, accelerators: int, name: str = "own") -> None:
    step = batches.step(1, accelerators)
    log.submit(name, batches.content(step), "urgent")


def test_as_many_are_stopped_as_may_be_away(log):
    want(log, 8)
    want(log, 8, "more")
    assert len(stops(log, at_work(0, 1, 2, 3))) == 2


@pytest.mark.parametrize("working", [(0, 1, 2), (0,), ()])
def test_task_on_its_way_counts_as_away(log, working):
    """Only what is not at work itself may still be stopped."""
    want(log, 8)
    stopped = stops(log, at_work(*working))
    lost = [each for each in stopped if each.task.index in working]
    assert len(lost) <= max(0, 2 - (TASKS - len(working)))


def test_task_that_was_stopped_counts_as_away(log):
    first = batching.TaskRun(task=batches.task("web", 0), run=1)
    second = batching.TaskRun(task=batches.task("web", 1), run=1)
    log.apply(batching.StopRuns(runs=(first, second), at_ms=1))
    log.end(first.task, outcome=batch.RunOutcome.STOPPED)
    log.end(second.task, outcome=batch.RunOutcome.STOPPED)
    want(log, 8)
    want(log, 8, "more")
    assert stops(log, at_work(0, 1, 2, 3)) == []


def test_step_without_a_bound_gives_way(log):
    made = batches.Log()
    lasting = batches.step(2, 8, long_running=True)
    made.submit("web", batches.content(lasting), "nightly")
    made.place(*planner.plan(made.held, WORKERS, {}, made.now).units)
    want(made, 8)
    assert len(stops(made, at_work(0, 1))) == 1


def test_nothing_waits_for_the_end_of_a_long_running_task():
    """Room that it holds is not expected to be free soon."""
    made = batches.Log()
    worker = batches.worker("w1")
    lasting = batches.step(1, 4, long_running=True, estimate_ms=1)
    made.submit("web", batches.content(lasting), "planned")
    made.place(*planner.plan(made.held, [worker], {}, made.now).units)
    made.submit("large", batches.content(batches.step(1, 8)), "planned")
    long = batches.step(1, 4, estimate_ms=60_000)
    made.submit("later", batches.content(long), "nightly")
    decided = planner.plan(made.held, [worker], {}, made.now + 2_000)
    assert [unit.job_id for unit in decided.units] == ["later"]
