"""When a long-running task starts again after crashes of its workers."""

import pytest

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

NAMES = ("w1", "w2", "w3", "w4")
WORKERS = [batches.worker(name) for name in NAMES]
# A task that lasts counts as lost if it has no run for so long.
LOST_AFTER_MS = 3_000
RAN_MS = 60_000


@pytest.fixture
def log():
    """Long-running tasks hold more than half of each worker."""
    log = batches.Log()
    need = batch.Resources(cpu_millis=20_000, memory_mb=16_000, accelerators=5)
    large = batches.step(4, long_running=True, spread_limit=1, need=need)
    log.submit("large", batches.content(large))
    for index, name in enumerate(NAMES):
        log.place(batches.unit("large", batches.ref(name), first=index))
    return log


def crash(log, run: int) -> None:
    """Crashes two workers under a small task each, beside other work."""
    tasks = [batches.task("web", index) for index in range(2)]
    others = []
    for task in tasks:
        ref = batches.ref(f"gone-{task.index}", run)
        log.place(batches.unit("web", ref, run=run, first=task.index))
        other = f"other-{task.index}-{run}"
        log.submit(other, batches.content(), "nightly")
        log.place(batches.unit(other, ref))
        others.append(batches.task(other))
    log.now += RAN_MS
    log.crash_together(*tasks, *others, runs=dict.fromkeys(tasks, run))
    for other in others:
        log.cancel(other.job_id, "nightly")


@pytest.mark.parametrize("crashes", [1, 2, 3])
@pytest.mark.parametrize("queue", ["urgent", "planned"])
def test_long_running_task_does_not_wait_long_after_crashes_in_a_busy_pool(
    log, crashes, queue
):
    """No worker is idle, and most of the pool is in use."""
    step = batches.step(2, 0, long_running=True)
    log.submit("web", batches.content(step), queue)
    for run in range(1, crashes + 1):
        crash(log, run)
    leader = batches.Leader(log)
    started = set()
    for _ in range(LOST_AFTER_MS // 100):
        log.now += 100
        decided = leader.plan(WORKERS)
        started |= {
            unit.task(m) for unit in decided.units for m in unit.members
        }
        log.place(*decided.units)
    assert started == {batches.task("web", 0), batches.task("web", 1)}


def test_long_running_task_starts_beside_guaranteed_work_after_a_crash(log):
    log.submit("own", batches.content(batches.step(4, 2)), "urgent")
    for index, name in enumerate(NAMES):
        log.place(batches.unit("own", batches.ref(name), first=index))
    step = batches.step(2, 0, long_running=True)
    log.submit("web", batches.content(step), "nightly")
    crash(log, 1)
    log.now += LOST_AFTER_MS
    decided = planner.plan(log.held, WORKERS, {}, log.now)
    assert {unit.job_id for unit in decided.units} == {"web"}
