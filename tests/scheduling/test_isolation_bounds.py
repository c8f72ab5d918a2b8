"""What is left to others while workers are kept for suspects of crashes."""

import pytest

from bilberryroute.model import batch
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import planner
from bilberryroute.scheduling.batch import views
from tests.utils import batches

# Well beyond the time within which a guaranteed job has to start.
LATE_MS = 10_000
# A job that has nothing running for so long counts as lost if most of the
# capacity is idle.
LOST_AFTER_MS = 3_000
# A suspect shares its worker only once it has outlived this run.
CRASHED_RUN_MS = 60_000


@pytest.fixture
def log():
    return batches.Log()


def crash_beside_another(log, job_id, run=1, ran_ms=CRASHED_RUN_MS):
    """Lets a worker crash under a job and another one, which is cancelled."""
    other = f"other-{job_id}-{run}"
    log.submit(other, batches.content(), "nightly")
    gone = batches.ref(f"gone-{job_id}", run)
    log.place(batches.unit(job_id, gone, run=run))
    log.now += 1
    log.place(batches.unit(other, gone))
    log.now += ran_ms
    task = batches.task(job_id)
    log.crash_together(task, batches.task(other), runs={task: run})
    log.cancel(other, "nightly")


def test_guaranteed_job_waits_beside_suspect_that_must_stay_available(log):
    """The disruption budget forbids to stop the suspect service."""
    service = batches.step(2, long_running=True, max_unavailable=1)
    log.submit("web", batches.content(service), "nightly")
    log.place(batches.unit("web", *[batches.ref("gone")] * 2))
    log.now += CRASHED_RUN_MS
    log.crash_together(batches.task("web", 0), batches.task("web", 1))
    log.place(batches.unit("web", batches.ref("w1"), run=2))
    log.submit("own", batches.content(), "urgent")
    log.now += LATE_MS
    serving = frozenset({(batches.task("web", 0), 2)})
    decided = planner.plan(
        log.held, [batches.worker("w1")], {}, log.now, available_runs=serving
    )
    assert "own" in {unit.job_id for unit in decided.units}


def test_guaranteed_gang_waits_for_a_kept_worker_and_one_to_reclaim(log):
    """One member fits beside a guaranteed suspect, one where work is stopped."""
    log.submit("suspect", batches.content(), "urgent")
    crash_beside_another(log, "suspect")
    log.place(batches.unit("suspect", batches.ref("w1"), run=2))
    log.submit("other", batches.content(batches.step(1, 8)), "nightly")
    log.place(batches.unit("other", batches.ref("w2")))
    gang = batches.step(2, 3, gang=True, spread_limit=1)
    log.submit("own", batches.content(gang), "urgent")
    log.now += LATE_MS
    workers = [batches.worker("w1"), batches.worker("w2")]
    decided = planner.plan(log.held, workers, {}, log.now)
    assert decided.units or decided.stops


def test_innocent_job_waits_for_a_suspect_on_the_only_worker_of_a_pool(log):
    log.submit("suspect", batches.content())
    crash_beside_another(log, "suspect")
    log.place(batches.unit("suspect", batches.ref("w1"), run=2))
    log.submit("j1", batches.content())
    log.now += LOST_AFTER_MS
    decided = planner.plan(log.held, [batches.worker("w1")], {}, log.now)
    assert [unit.job_id for unit in decided.units] == ["j1"]


def test_innocent_job_waits_for_a_suspect_on_the_only_worker_with_its_label(
    log,
):
    log.submit("suspect", batches.content())
    crash_beside_another(log, "suspect")
    log.place(batches.unit("suspect", batches.ref("w1"), run=2))
    step = batches.step(required_label="special")
    log.submit("j1", batches.content(step))
    log.now += LOST_AFTER_MS
    workers = [
        batches.worker("w1", labels=("special",)),
        *(batches.worker(f"w{number}") for number in range(2, 9)),
    ]
    decided = planner.plan(log.held, workers, {}, log.now)
    assert [unit.job_id for unit in decided.units] == ["j1"]


def test_innocent_job_joins_a_suspect_whose_next_crash_ends_its_job(log):
    log.submit("suspect", batches.content())
    for run in range(1, crash_model.LAST_CHANCE_CRASHES + 1):
        crash_beside_another(log, "suspect", run=run)
    last = crash_model.LAST_CHANCE_CRASHES + 1
    log.place(batches.unit("suspect", batches.ref("w1"), run=last))
    log.submit("j1", batches.content())
    log.now += LATE_MS
    decided = planner.plan(log.held, [batches.worker("w1")], {}, log.now)
    assert decided.units == ()


def test_suspect_with_its_last_chance_joins_others_once_it_was_preempted(log):
    """Its next crash ends the job, also if others cause it."""
    log.submit("suspect", batches.content())
    for run in (1, 2, 3):
        crash_beside_another(log, "suspect", run=run, ran_ms=1_000)
    log.place(batches.unit("suspect", batches.ref("w1"), run=4))
    log.now += CRASHED_RUN_MS + 1_000
    log.end(batches.task("suspect"), 4, batch.RunOutcome.STOPPED)
    workers = [batches.worker(name) for name in ("w1", "w2")]
    for number, worker in enumerate(workers):
        log.submit(f"own{number}", batches.content(), "urgent")
        log.place(batches.unit(f"own{number}", worker.ref))
    decided = planner.plan(log.held, workers, {}, log.now)
    assert decided.units == ()


def test_innocent_job_joins_the_probe_on_a_worker_that_just_failed(log):
    """The probe is a suspect, on a worker beyond the share for suspects."""
    for job_id in ("s1", "s2"):
        log.submit(job_id, batches.content())
        crash_beside_another(log, job_id)
    log.place(
        batches.unit("s1", batches.ref("w1"), run=2),
        batches.unit("s2", batches.ref("w2"), run=2),
    )
    log.submit("j1", batches.content())
    log.now += 1_500
    probation = views.Probation(failed_ago_ms=1_600, probe_ms=2_000)
    failed = views.WorkerHealth.DOUBTFUL
    workers = [
        *(
            batches.worker(name, health=failed, probation=probation)
            for name in ("w1", "w2")
        ),
        # As more than a quarter of all workers are not probed.
        *(batches.worker(f"x{number}", pool="other") for number in range(6)),
    ]
    decided = planner.plan(log.held, workers, {}, log.now)
    assert decided.units == ()
