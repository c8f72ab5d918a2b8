"""Crashes of workers under batch tasks, in the replicated state."""

import msgspec
import pytest

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import crashes as crash_model
from bilberryroute.model import jobs
from bilberryroute.state import crashes as crash_rules
from bilberryroute.state import machine as machine_lib
from bilberryroute.transport import codec
from tests.utils import batches

Outcome = batch.RunOutcome
Cause = batch.LossCause
GANG = batches.step(2, gang=True)


@pytest.fixture
def log():
    log = batches.Log()
    log.submit("j1", batches.content())
    return log


def crash(log, *task_ids, run=1, down_after_ms=10):
    """Ends runs by a crash of the one worker that they are on."""
    ends = tuple(
        batching.RunEnd(
            task=each,
            run=run,
            outcome=Outcome.LOST,
            cause=Cause.CRASHED,
            down_after_ms=down_after_ms,
        )
        for each in task_ids
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))


def place_and_crash(log, *job_ids, run=1, worker="w1", down_after_ms=10):
    for job_id in job_ids:
        log.place(batches.unit(job_id, batches.ref(worker, run), run=run))
    log.now += 500
    crash(
        log,
        *map(batches.task, job_ids),
        run=run,
        down_after_ms=down_after_ms,
    )


def is_suspect(log, job_id="j1") -> bool:
    record = log.held.jobs[job_id]
    return crash_model.is_suspect(
        crash_model.unit_crashes(record, batches.task(job_id))
    )


def test_task_that_crashes_every_worker_is_given_up(log):
    for run in (1, 2):
        assert log.held.jobs["j1"].result is None
        place_and_crash(log, "j1", run=run, worker=f"w{run}")
    record = log.held.jobs["j1"]
    assert record.result == jobs.JobResult.FAILED
    assert record.reason == "step 0 crashed its worker 2 times"


def crash_until_given_up(log, workers, down_after_ms):
    """Returns after how many crashes the job was given up."""
    for run, worker in enumerate(workers, 1):
        place_and_crash(
            log, "j1", run=run, worker=worker, down_after_ms=down_after_ms
        )
        if log.held.jobs["j1"].result is not None:
            return run
    return None


def test_job_is_not_given_up_for_two_crashes_of_one_bad_host(log):
    assert crash_until_given_up(log, ["w1"] * 5, 10) == 3


@pytest.mark.parametrize(
    "down_after_ms", [crash_rules.PROMPT_CRASH_MS + 1, None]
)
def test_job_is_not_given_up_for_two_crashes_long_after_its_start(
    log, down_after_ms
):
    workers = [f"w{number}" for number in range(5)]
    assert crash_until_given_up(log, workers, down_after_ms) == 3


def test_service_is_not_given_up_for_crashes_before_a_long_run(log):
    log.submit("s", batches.content(batches.step(long_running=True)))
    place_and_crash(log, "s", run=1, worker="w1")
    log.place(batches.unit("s", batches.ref("w2"), run=2))
    log.now += crash_model.BLAMED_RUN_MS + 1
    log.end(batches.task("s"), 2, Outcome.FAILED)
    place_and_crash(log, "s", run=3, worker="w3")
    assert log.held.jobs["s"].result is None


def test_long_running_task_that_crashes_every_worker_is_given_up(log):
    log.submit("s", batches.content(batches.step(long_running=True)))
    for run in (1, 2):
        assert log.held.jobs["s"].result is None
        place_and_crash(log, "s", run=run, worker=f"w{run}")
    assert log.held.jobs["s"].result == jobs.JobResult.FAILED


@pytest.mark.parametrize(
    "cause", [None, Cause.RESTARTED, Cause.WITHDRAWN, Cause.SILENT]
)
def test_task_on_a_host_that_lost_power_is_not_suspect(log, cause):
    for run in range(1, 6):
        log.place(batches.unit(run=run))
        log.end(batches.task(), run=run, outcome=Outcome.LOST, cause=cause)
    assert not is_suspect(log)
    assert log.held.jobs["j1"].result is None


def test_run_of_hours_is_not_blamed_for_the_crash_of_its_worker(log):
    log.place(batches.unit())
    log.now += crash_model.BLAMED_RUN_MS + 1
    crash(log, batches.task())
    assert not is_suspect(log)


def test_all_tasks_on_a_crashed_worker_are_suspect(log):
    log.submit("j2", batches.content())
    place_and_crash(log, "j1", "j2")
    assert is_suspect(log, "j1") and is_suspect(log, "j2")


def test_neighbour_of_a_task_that_crashes_workers_is_cleared(log):
    log.submit("j2", batches.content())
    place_and_crash(log, "j1", "j2")
    place_and_crash(log, "j1", run=2, worker="w2")
    assert is_suspect(log, "j1")
    assert not is_suspect(log, "j2")


def test_task_that_was_not_alone_clears_nobody(log):
    for job_id in ("j2", "j3"):
        log.submit(job_id, batches.content())
    place_and_crash(log, "j1", "j2")
    place_and_crash(log, "j1", "j3", run=2, worker="w2")
    assert is_suspect(log, "j2") and is_suspect(log, "j3")


def test_task_cleared_twice_stays_suspect(log):
    """Others may hide it from suspicion by crashing their own workers."""
    for number, other in enumerate(("j2", "j3"), 1):
        log.submit(other, batches.content())
        log.place(
            batches.unit("j1", batches.ref("w1", number), run=number),
            batches.unit(other, batches.ref("w1", number)),
        )
        ends = (
            batching.RunEnd(
                task=batches.task("j1"),
                run=number,
                outcome=Outcome.LOST,
                cause=Cause.CRASHED,
            ),
            batching.RunEnd(
                task=batches.task(other),
                run=1,
                outcome=Outcome.LOST,
                cause=Cause.CRASHED,
            ),
        )
        log.apply(batching.EndRuns(ends=ends, at_ms=log.now))
        place_and_crash(log, other, run=2, worker="w2")
    assert is_suspect(log, "j1")


def test_crash_under_one_member_makes_the_whole_gang_suspect(log):
    log.submit("g", batches.content(GANG))
    log.place(batches.unit("g", batches.ref("w1"), batches.ref("w2")))
    crash(log, batches.task("g", 0))
    log.end(batches.task("g", 1), outcome=Outcome.BROKEN)
    record = log.held.jobs["g"]
    for index in (0, 1):
        crashes = crash_model.unit_crashes(record, batches.task("g", index))
        assert crash_model.is_suspect(crashes)


def test_task_is_given_up_only_for_the_fifth_crash_beside_others(log):
    for run in range(1, crash_model.MAX_CRASHES + 1):
        assert log.held.jobs["j1"].result is None
        log.submit(f"other{run}", batches.content())
        log.place(
            batches.unit("j1", batches.ref("w1", run), run=run),
            batches.unit(f"other{run}", batches.ref("w1", run)),
        )
        ends = [
            batching.RunEnd(
                task=task,
                run=number,
                outcome=Outcome.LOST,
                cause=Cause.CRASHED,
            )
            for task, number in (
                (batches.task("j1"), run),
                (batches.task(f"other{run}"), 1),
            )
        ]
        log.apply(batching.EndRuns(ends=tuple(ends), at_ms=log.now))
    record = log.held.jobs["j1"]
    assert record.result == jobs.JobResult.FAILED
    assert record.reason == "step 0 crashed its worker 5 times"


def test_crashes_of_several_workers_under_one_run_of_a_gang_count_once(log):
    log.submit("g", batches.content(batches.step(3, gang=True)))
    refs = [batches.ref(name) for name in ("w1", "w2", "w3")]
    log.place(batches.unit("g", *refs))
    for index in range(3):
        crash(log, batches.task("g", index))
    assert log.held.jobs["g"].result is None


def test_crashes_survive_a_snapshot(log):
    place_and_crash(log, "j1")
    restored = machine_lib.StateMachine()
    restored.restore(log.machine.snapshot())
    assert restored.state == log.machine.state
    log.machine = restored
    assert is_suspect(log)


def test_snapshot_without_crashes_still_loads(log):
    place_and_crash(log, "j1")
    old = msgspec.msgpack.decode(log.machine.snapshot())
    assert _drop_key(old, "crashes")
    restored = machine_lib.StateMachine()
    restored.restore(codec.encode(old))
    log.machine = restored
    assert not is_suspect(log)


def _drop_key(value, key: str) -> int:
    """Removes a key from all dictionaries; returns how many had it."""
    match value:
        case dict():
            found = int(value.pop(key, None) is not None)
            return found + sum(_drop_key(each, key) for each in value.values())
        case list():
            return sum(_drop_key(each, key) for each in value)
    return 0


def test_older_replica_can_read_the_end_of_a_crashed_run():
    """An outcome that it does not know would halt it."""
    end = batching.RunEnd(
        task=batches.task(), run=1, outcome=Outcome.LOST, cause=Cause.CRASHED
    )
    encoded = msgspec.msgpack.decode(codec.encode(end))
    assert encoded["outcome"] == "lost"
