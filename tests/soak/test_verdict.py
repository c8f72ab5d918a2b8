"""Each promise that the soak judges is found broken when it is."""

import pytest

from extras.fakes import journal as journal_lib
from tests.soak import clients
from tests.soak import records
from tests.soak import verdict

JOB_ID = "5c0e7a21d94b36f8"
ONE_TASK = {"spec": "berth", "steps": [{"count": 1}]}
TWO_STEPS = {
    "spec": "berth",
    "steps": [{"count": 1}, {"count": 1, "dependsOn": [0]}],
}


def line(event: str, at_ms: int, task: str = "", run: int = 1):
    return journal_lib.Line(
        event=event,
        monotonic_ms=at_ms,
        wall_ms=0,
        source="worker-1",
        subject=task or f"{JOB_ID}.0.0.0",
        attempt=run,
    )


def job(**fields) -> records.JobRecord:
    fields = {
        "body": ONE_TASK,
        "outcomes": [records.Outcome.ACCEPTED],
        "completed_ms": 1_000,
    } | fields
    return records.JobRecord(job_id=JOB_ID, **fields)


@pytest.fixture
def config():
    return records.ConfigRecord(
        acknowledged={1: 0},
        final=clients.config(1),
        sent={1: clients.config(1), 2: clients.config(2)},
    )


def judge(jobs, config, **journals) -> list[str]:
    return verdict.violations(
        jobs, config, {name: list(lines) for name, lines in journals.items()}
    )


def test_run_that_keeps_all_promises_is_sound(config):
    lines = [line("start", 100), line("done", 900)]
    assert not judge([job()], config, w1=lines)


@pytest.mark.parametrize(
    "fields, expected",
    [
        ({"gone": 1}, "was denied"),
        ({"completed_ms": None}, "was not completed"),
        ({"failed": True, "completed_ms": None}, "without a cause"),
    ],
)
def test_accepted_job_without_its_answer_is_found(config, fields, expected):
    found = judge([job(**fields)], config)
    assert len(found) == 1 and expected in found[0]


def test_job_that_was_refused_and_runs_is_found(config):
    refused = job(outcomes=[records.Outcome.REFUSED], completed_ms=None)
    assert not judge([refused], config)
    found = judge([refused], config, w1=[line("start", 1), line("done", 2)])
    assert found == [f"refused job {JOB_ID} has run"]


def test_job_with_an_unclear_answer_may_run(config):
    outcomes = [records.Outcome.UNCLEAR, records.Outcome.REFUSED]
    unclear = job(outcomes=outcomes, completed_ms=None)
    assert not judge([unclear], config, w1=[line("start", 1), line("done", 2)])


@pytest.mark.parametrize(
    "second, expected",
    [
        (line("start", 500, run=2), "ran twice at once"),
        (line("start", 950, run=1), "started twice"),
        (line("start", 2_500, run=2), "after its job was completed"),
    ],
)
def test_run_that_must_not_be_is_found(config, second, expected):
    first = [line("start", 100), line("done", 900)]
    found = judge([job()], config, w1=first, w2=[second])
    assert len(found) == 1 and expected in found[0]


def test_run_ends_with_its_worker(config):
    first = [line("start", 100), line("dead", 300)]
    second = [line("start", 400, run=2), line("done", 900, run=2)]
    assert not judge([job()], config, w1=first, w2=second)


def test_job_may_be_given_up_after_two_crashes_only(config):
    failed = job(failed=True, completed_ms=None)
    one = [line("start", 100), line("dead", 300)]
    two = [line("start", 400, run=2), line("dead", 500)]
    assert judge([failed], config, w1=one)
    assert not judge([failed], config, w1=one, w2=two)


def test_step_that_starts_too_early_is_found(config):
    second = f"{JOB_ID}.0.1.0"
    lines = [
        line("start", 100),
        line("start", 200, second),
        line("done", 300),
        line("done", 400, second),
    ]
    found = judge([job(body=TWO_STEPS)], config, w1=lines)
    assert found == [f"{second} started before {JOB_ID}.0.0.0 was done"]


@pytest.mark.parametrize("sent_ms, sound", [(1_900, True), (2_600, False)])
def test_configuration_that_goes_back_is_found(config, sent_ms, sound):
    config.acknowledged[2] = 500
    config.final = clients.config(2)
    config.reads.append(records.ConfigRead(sent_ms=sent_ms, version=1))
    assert bool(judge([], config)) != sound


@pytest.mark.parametrize(
    "final", [None, clients.config(1), clients.config(2) | {"routes": []}]
)
def test_lost_configuration_is_found(config, final):
    config.acknowledged[2] = 500
    config.final = final
    assert len(judge([], config)) == 1
