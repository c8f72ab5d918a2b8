"""Transitions of batch jobs in the replicated state."""

import dataclasses

import pytest

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.state import batch_runs
from bilberryroute.state import machine as machine_lib
from bilberryroute.transport import codec
from tests.utils import batches

Outcome = batch.RunOutcome


@pytest.fixture
def log():
    return batches.Log()


def test_resend_remains_one_job(log):
    first = log.submit("j1", batches.content())
    again = log.submit("j1", batches.content())
    assert first == batching.BatchAccepted(job_id="j1", first=True)
    assert again == batching.BatchAccepted(job_id="j1", first=False)
    assert list(log.held.jobs) == ["j1"]


def test_id_with_other_content_is_refused(log):
    log.submit("j1", batches.content())
    refused = log.submit("j1", batches.content(batches.step(2)))
    assert refused.kind == errors.RequestConflict.kind


@pytest.mark.parametrize(
    "address, kind",
    [
        (batches.address("nowhere", "j1"), errors.NotFound.kind),
        (batches.address(job_id="j1", key="x"), errors.Unauthenticated.kind),
        (batches.address(job_id="j1", key=""), errors.Unauthenticated.kind),
        (batches.address(job_id="j2"), errors.Gone.kind),
        (batches.address("urgent", "j1"), errors.Gone.kind),
    ],
)
def test_invalid_address_or_key_is_refused(log, address, kind):
    log.submit("j1", batches.content())
    refused = log.apply(batching.CancelBatch(address=address, at_ms=1))
    assert refused.kind == kind
    assert log.held.jobs["j1"].result is None


def test_withdrawn_key_is_refused_from_the_next_command_on(log):
    without_accounts = batches.catalog(2, accounts=())
    log.apply(batching.ApplyCatalog(catalog=without_accounts, at_ms=1))
    assert log.submit("j1", batches.content()).kind == "unauthenticated"


@pytest.mark.parametrize("version", [0, 1])
def test_lower_or_equal_version_changes_nothing(log, version):
    other = batches.catalog(version, accounts=())
    result = log.apply(batching.ApplyCatalog(catalog=other, at_ms=1))
    assert result == batching.CatalogHeld(version=1, changed=False)
    assert log.held.catalog.accounts


def test_longest_prefix_chooses_the_queue():
    queues = tuple(
        catalog_model.Queue(name=name, host="h", path_prefix=prefix, pool="p")
        for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
    )
    queue = catalog_model.Catalog(version=1, queues=queues).match("h", "/a/b/c")
    assert queue.name == "long"


def test_second_run_waits_for_the_end_of_the_first(log):
    log.submit("j1", batches.content())
    log.place(batches.unit())
    assert isinstance(log.place(batches.unit(run=2)), commands.Unchanged)
    log.end(batches.task(), outcome=Outcome.LOST)
    assert isinstance(log.place(batches.unit(run=2)), commands.Changed)


def test_run_number_is_used_once(log):
    log.submit("j1", batches.content())
    log.place(batches.unit())
    log.end(batches.task(), outcome=Outcome.STOPPED)
    assert isinstance(log.place(batches.unit(run=1)), commands.Unchanged)


def test_end_of_a_run_counts_once(log):
    log.submit("j1", batches.content())
    log.place(batches.unit())
    log.end(batches.task(), outcome=Outcome.FAILED)
    log.end(batches.task(), outcome=Outcome.FAILED)
    assert log.held.jobs["j1"].task(batches.task()).failed == 1


def test_step_waits_for_the_steps_before_it(log):
    second = batches.step(depends_on=(0,))
    log.submit("j1", batches.content(batches.step(), second))
    early = log.place(batches.unit(step_number=1))
    assert isinstance(early, commands.Unchanged)
    log.place(batches.unit())
    log.end(batches.task())
    placed = log.place(batches.unit(step_number=1))
    assert isinstance(placed, commands.Changed)


def test_job_is_done_with_its_last_task(log):
    log.submit("j1", batches.content(batches.step(2)))
    log.place(batches.unit("j1", batches.ref(), batches.ref()))
    log.end(batches.task(index=0))
    assert log.held.jobs["j1"].result is None
    log.end(batches.task(index=1))
    assert log.held.jobs["j1"].result == jobs.JobResult.DONE


def test_one_done_member_completes_a_gang(log):
    log.submit("j1", batches.content(batches.step(2, gang=True)))
    log.place(batches.unit("j1", batches.ref("w1"), batches.ref("w2")))
    log.end(batches.task(index=0))
    assert log.held.jobs["j1"].result is None  # The other is still active.
    log.end(batches.task(index=1), outcome=Outcome.LOST)
    assert log.held.jobs["j1"].result == jobs.JobResult.DONE


def test_job_fails_after_its_attempts(log):
    log.submit("j1", batches.content())
    for run in (1, 2):
        log.place(batches.unit(run=run))
        log.end(batches.task(), run=run, outcome=Outcome.FAILED)
    assert log.held.jobs["j1"].result == jobs.JobResult.FAILED


@pytest.mark.parametrize(
    "outcome", [Outcome.LOST, Outcome.LAPSED, Outcome.STOPPED, Outcome.BROKEN]
)
def test_only_failures_count_as_attempts(log, outcome):
    log.submit("j1", batches.content())
    for run in (1, 2, 3):
        log.place(batches.unit(run=run))
        log.end(batches.task(), run=run, outcome=outcome)
    assert log.held.jobs["j1"].result is None


def change_queues(log, version: int, queues: tuple) -> None:
    catalog = batches.catalog(version, queues=queues)
    log.apply(batching.ApplyCatalog(catalog=catalog, at_ms=log.now))


def fail_twice_while_the_queue_is_gone(log, *workers) -> tuple:
    """Returns the queues as they were before."""
    queues = log.held.catalog.queues
    for run in (1, 2):
        log.place(batches.unit("j1", *workers, run=run))
        if run == 2:
            change_queues(log, 2, ())
        log.end(batches.task(), run, Outcome.FAILED)
    assert log.held.jobs["j1"].result is None
    return queues


def test_task_without_attempts_left_does_not_start_once_its_queue_is_back(log):
    log.submit("j1", batches.content())
    change_queues(log, 3, fail_twice_while_the_queue_is_gone(log))
    record = log.held.jobs["j1"]
    assert (record.result, record.reason) == ("failed", "step 0 failed 2 times")
    assert isinstance(log.place(batches.unit(run=3)), commands.Unchanged)


def test_task_does_not_start_beyond_a_lowered_number_of_attempts(log):
    log.submit("j1", batches.content(batches.step(2)))
    log.place(batches.unit())
    log.place(batches.unit(first=1))
    log.end(batches.task(), 1, Outcome.FAILED)
    queues = log.held.catalog.queues
    lowered = tuple(dataclasses.replace(q, max_attempts=1) for q in queues)
    change_queues(log, 2, lowered)
    assert log.held.jobs["j1"].result == "failed"


def test_running_attempt_may_end_although_fewer_are_allowed_meanwhile(log):
    log.submit("j1", batches.content())
    log.place(batches.unit())
    log.end(batches.task(), 1, Outcome.FAILED)
    log.place(batches.unit(run=2))
    queues = log.held.catalog.queues
    lowered = tuple(dataclasses.replace(q, max_attempts=1) for q in queues)
    change_queues(log, 2, lowered)
    assert log.held.jobs["j1"].result is None
    log.end(batches.task(), 2)
    assert log.held.jobs["j1"].result == "done"


@pytest.mark.parametrize(
    "step",
    [batches.step(long_running=True), batches.step(2, gang=True)],
    ids=["lasting", "done gang"],
)
def test_new_catalog_does_not_end_what_may_go_on(log, step):
    log.submit("j1", batches.content(step, batches.step(depends_on=(0,))))
    log.place(batches.unit("j1", *[batches.ref()] * step.count))
    for run in (1, 2):
        log.end(batches.task(), run, Outcome.FAILED)
    if step.gang:
        log.end(batches.task(index=1), 1)
    change_queues(log, 2, log.held.catalog.queues)
    assert log.held.jobs["j1"].result is None


def test_failed_run_of_a_gang_counts_once(log):
    log.submit("j1", batches.content(batches.step(2, gang=True)))
    log.place(batches.unit("j1", batches.ref("w1"), batches.ref("w2")))
    log.end(batches.task(index=0), outcome=Outcome.FAILED)
    log.end(batches.task(index=1), outcome=Outcome.FAILED)
    assert log.held.jobs["j1"].result is None


def test_cancelled_job_stops_its_runs_and_places_no_more(log):
    log.submit("j1", batches.content(batches.step(2)))
    log.place(batches.unit())
    log.cancel("j1")
    task = log.held.jobs["j1"].task(batches.task())
    assert task.state == batch.TaskState.STOPPING
    placed = log.place(batches.unit("j1", batches.ref(), first=1))
    assert isinstance(placed, commands.Unchanged)
    log.end(batches.task(), outcome=Outcome.STOPPED)
    assert log.held.jobs["j1"].result == jobs.JobResult.CANCELLED
    assert not log.held.placed


def test_long_running_task_waits_again_however_it_ends(log):
    log.submit("j1", batches.content(batches.step(long_running=True)))
    for run, outcome in enumerate((Outcome.DONE, *[Outcome.FAILED] * 4), 1):
        log.place(batches.unit(run=run))
        log.end(batches.task(), run=run, outcome=outcome)
    record = log.held.jobs["j1"]
    assert record.result is None
    assert record.task(batches.task()).state == batch.TaskState.WAITING


def test_every_occurrence_must_be_done(log):
    schedule = batch.Schedule(count=2, first_ms=0, interval_ms=10)
    log.submit("j1", batches.content(schedule=schedule))
    for occurrence in (1, 0):
        assert log.held.jobs["j1"].result is None
        log.place(batches.unit(occurrence=occurrence))
        log.end(batches.task(occurrence=occurrence))
    assert log.held.jobs["j1"].result == jobs.JobResult.DONE


def test_ended_jobs_are_pruned_after_their_retention_time(log):
    log.submit("j1", batches.content())
    log.cancel("j1")
    log.now += batches.KEEP_MS - 1
    log.submit("j2", batches.content())
    assert "j1" in log.held.jobs
    log.now += 2
    log.submit("j3", batches.content())
    assert "j1" not in log.held.jobs


def test_checkpoint_of_a_stopped_run_is_kept(log):
    log.submit("j1", batches.content(batches.step(2, gang=True)))
    log.place(batches.unit("j1", batches.ref("w1"), batches.ref("w2")))
    log.end(batches.task(index=0), outcome=Outcome.STOPPED, saved="c7")
    assert log.held.jobs["j1"].occurrences[0][0].saved == "c7"


def test_snapshot_contains_batch_jobs(log):
    log.submit("j1", batches.content())
    log.place(batches.unit())
    restored = machine_lib.StateMachine()
    restored.restore(log.machine.snapshot())
    assert restored.state == log.machine.state


def test_last_workers_that_failed_a_task_outlive_a_snapshot(log):
    log.submit("j1", batches.content(batches.step(long_running=True)))
    names = [f"w{number}" for number in range(6)]
    for run, name in enumerate(names, 1):
        log.place(batches.unit("j1", batches.ref(name), run=run))
        log.end(batches.task(), run, Outcome.FAILED)
    restored = machine_lib.StateMachine()
    restored.restore(log.machine.snapshot())
    task = restored.state.batch.jobs["j1"].task(batches.task())
    assert task.failed_on == names[-batch_runs.MAX_FAILED_ON :]


def test_checkpoints_outlive_the_run_that_made_them(log):
    log.submit("j1", batches.content(batches.step(2, gang=True)))
    log.place(batches.unit("j1", batches.ref("w1"), batches.ref("w2")))
    checkpoint = batching.SavedRun(
        task=batches.task(index=1), run=1, saved="c3"
    )
    log.apply(batching.NoteSaved(saves=(checkpoint,), at_ms=1))
    for index in (0, 1):
        log.end(batches.task(index=index), outcome=Outcome.LOST)
    assert log.held.jobs["j1"].occurrences[0][0].saved == "c3"


def test_checkpoint_of_an_earlier_run_is_not_kept(log):
    log.submit("j1", batches.content())
    log.place(batches.unit())
    log.end(batches.task(), outcome=Outcome.STOPPED, saved="c5")
    late = batching.SavedRun(task=batches.task(), run=1, saved="c4")
    log.apply(batching.NoteSaved(saves=(late,), at_ms=1))
    assert log.held.jobs["j1"].task(batches.task()).saved == "c5"


def test_members_of_a_gang_resume_from_one_checkpoint(log):
    log.submit("j1", batches.content(batches.step(2, gang=True)))
    workers = (batches.ref("w1"), batches.ref("w2"))
    log.place(batches.unit("j1", *workers))
    log.end(batches.task(index=0), outcome=Outcome.STOPPED, saved="c1")
    log.end(batches.task(index=1), outcome=Outcome.STOPPED, saved="c2")
    log.place(batches.unit("j1", *workers, run=2))
    tasks = log.held.jobs["j1"].occurrences[0][0].tasks
    assert {task.resumed for task in tasks} == {"c2"}


def test_state_of_an_earlier_release_has_a_record_of_each_task():
    """It names neither the number of tasks nor the first open one."""
    stored = {"tasks": [{"state": "done"}, {"state": "waiting"}]}
    step_record = codec.Decoder(batch.StepRecord).decode(codec.encode(stored))
    assert (step_record.count, step_record.first_open) == (2, 1)
    assert not step_record.finished()
    step_record.mark_done(step_record.tasks[1])
    assert step_record.finished()
