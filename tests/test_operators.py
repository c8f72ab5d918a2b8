import json

import hypothesis
import pytest
from hypothesis import strategies

from bilberryroute import api
from bilberryroute import errors
from bilberryroute.entry import operator_models as models
from tests.utils import entries

OPERATOR = entries.bearer(entries.OPERATOR)
TRUST = entries.bearer(entries.TRUST)
EXCHANGE = entries.bearer(entries.EXCHANGE)

TICKET = {
    "number": 1,
    "accounts": [{"name": "trust"}, {"name": "exchange", "weight": 2}],
    "failure_domains": [{"name": "apapa", "region": "lagos"}],
    "services": [{"name": "gang-alloc"}],
}
JOB = {"id": "j1", "shape": {"accelerators": 16}, "declared_ms": 60_000}


@pytest.fixture
async def entry():
    fake = entries.FakeEntry()
    await fake.client.start_server()
    yield fake
    await fake.client.close()


@pytest.fixture
async def configured(entry):
    answer = await post(entry, "/v1/tickets", TICKET)
    assert answer.status == 200
    entry.control.proposed.clear()
    return entry


async def post(entry, path, body, headers=OPERATOR):
    return await entry.client.post(path, json=body, headers=headers)


async def get(entry, path, headers=OPERATOR):
    return await entry.client.get(path, headers=headers)


async def refusal(entry, answer, kind):
    """Returns a problem; asserts its kind, that it counts, and no change."""
    problem = await answer.json()
    assert problem["kind"] == kind
    assert problem["outcome"] == "not_run"
    assert entry.metrics.refusals.get({"reason": kind}) == 1
    return problem


async def test_ticket_is_accepted_once_and_answered_again(entry):
    first = await (await post(entry, "/v1/tickets", TICKET)).json()
    reordered = TICKET | {"accounts": TICKET["accounts"][::-1]}
    again = await (await post(entry, "/v1/tickets", reordered)).json()
    assert first == again
    assert first["number"] == 1
    assert len(first["digest"]) == 64


async def test_other_content_names_winner_and_next_number(configured):
    other = TICKET | {"accounts": [{"name": "trust", "weight": 9}]}
    answer = await post(configured, "/v1/tickets", other)
    problem = await refusal(configured, answer, "ticket_conflict")
    accepted = await (await get(configured, "/v1/tickets/1")).json()
    assert problem["winner_digest"] == accepted["digest"]
    assert problem["next_number"] == 2
    assert accepted["ticket"]["accounts"][0] == {
        "name": "exchange",
        "guarantees": [],
        "weight": 2,
        "removed": False,
    }


async def test_ticket_view_says_where_it_is_in_force(configured):
    view = await (await get(configured, "/v1/tickets/1")).json()
    assert view["applied_by"] == ["agent a1"]
    assert view["pending"] == ["agent a2"]


@pytest.mark.parametrize(
    "change",
    [
        {"number": 0},
        {"number": -1},
        {"number": 2**60},
        {"number": 10**40},
        {"number": "1"},
        {"number": None},
        {"bogus": 1},
        {"accounts": {}},
        {"accounts": [{}]},
        {"accounts": [{"name": ""}]},
        {"accounts": [{"name": "a b"}]},
        {"accounts": [{"name": "a\n"}]},
        {"accounts": [{"name": "a" * 200}]},
        {"accounts": [{"name": "a"}, {"name": "a"}]},
        {"accounts": [{"name": "a", "weight": -1}]},
        {"accounts": [{"name": "a", "guarantees": [{"accelerators": 0}]}]},
        {"accounts": [{"name": "a", "guarantees": [{"accelerators": 1e9}]}]},
        {"services": [{"name": "s", "queue_ms": -5}]},
        {"failure_domains": [{"name": "d", "in_service": "no"}]},
    ],
    ids=str,
)
async def test_malformed_ticket_is_refused(entry, change):
    answer = await post(entry, "/v1/tickets", TICKET | change)
    assert answer.status == 400
    await refusal(entry, answer, "malformed")
    assert entry.control.proposed == []


async def test_malformed_json_and_oversized_bodies_are_refused(entry):
    answer = await entry.client.post(
        "/v1/tickets", data=b'{"number": 1,', headers=OPERATOR
    )
    await refusal(entry, answer, "malformed")
    answer = await entry.client.post(
        "/v1/tickets", data=b" " * 20_000, headers=OPERATOR
    )
    await refusal(entry, answer, "too_large")
    assert entry.control.proposed == []


@pytest.mark.parametrize(
    ("method", "path", "headers", "kind"),
    [
        ("POST", "/v1/tickets", {}, "unauthenticated"),
        ("POST", "/v1/tickets", TRUST, "forbidden"),
        ("POST", "/v1/tickets", entries.bearer("w" * 20), "unauthenticated"),
        ("GET", "/v1/tickets/1", TRUST, "forbidden"),
        ("GET", "/v1/configuration", TRUST, "forbidden"),
        ("GET", "/v1/status", {}, "unauthenticated"),
        ("GET", "/v1/jobs", {}, "unauthenticated"),
        ("GET", "/v1/jobs?account=exchange", TRUST, "forbidden"),
        ("GET", "/v1/jobs/j1", {}, "unauthenticated"),
        ("GET", "/v1/jobs/j1", EXCHANGE, "forbidden"),
        ("DELETE", "/v1/jobs/j1", EXCHANGE, "forbidden"),
        ("DELETE", "/v1/jobs/none", OPERATOR, "not_found"),
        ("GET", "/v1/tickets/99", OPERATOR, "not_found"),
        ("GET", "/v1/tickets/x", OPERATOR, "malformed"),
        ("GET", "/v1/tickets/-1", OPERATOR, "malformed"),
        ("GET", "/v1/tickets/" + "9" * 99, OPERATOR, "malformed"),
        ("GET", "/v1/replicas", TRUST, "forbidden"),
        ("POST", "/v1/replicas", TRUST, "forbidden"),
        ("POST", "/v1/replicas", OPERATOR, "malformed"),
        ("POST", "/v1/replicas/r1/promote", {}, "unauthenticated"),
        ("DELETE", "/v1/replicas/r1", TRUST, "forbidden"),
        ("POST", "/v1/drain", {}, "unauthenticated"),
        ("POST", "/v1/drain", TRUST, "forbidden"),
    ],
)
async def test_rights_and_names(configured, method, path, headers, kind):
    await post(configured, "/v1/jobs", JOB, TRUST)
    configured.control.proposed.clear()
    answer = await configured.client.request(
        method, path, json=TICKET, headers=headers
    )
    await refusal(configured, answer, kind)
    assert configured.control.proposed == configured.control.changes == []
    assert not configured.drained


async def test_job_is_taken_once_for_the_account_of_the_token(configured):
    first = await post(configured, "/v1/jobs", JOB, TRUST)
    assert first.status == 202
    view = await first.json()
    assert view["record"]["job"]["account"] == "trust"
    assert view["explanation"] == "waits for a worker"
    again = await (await post(configured, "/v1/jobs", JOB, TRUST)).json()
    assert again == view
    listed = await (await get(configured, "/v1/jobs", TRUST)).json()
    assert [each["job"]["id"] for each in listed["records"]] == ["j1"]
    other = await (await get(configured, "/v1/jobs", EXCHANGE)).json()
    assert other["records"] == []


async def test_job_without_id_gets_one(configured):
    body = {k: v for k, v in JOB.items() if k != "id"}
    view = await (await post(configured, "/v1/jobs", body, TRUST)).json()
    assert view["record"]["job"]["id"].startswith("job-")


@pytest.mark.parametrize(
    ("change", "headers", "kind"),
    [
        ({"account": "exchange"}, TRUST, "forbidden"),
        ({"account": "unknown"}, OPERATOR, "not_found"),
        ({}, OPERATOR, "malformed"),
        ({}, {}, "unauthenticated"),
        ({"shape": {"accelerators": -1}}, TRUST, "malformed"),
        ({"shape": {"accelerators": 1, "copies": 2}}, TRUST, "malformed"),
        ({"shape": {"accelerators": 10**30}}, TRUST, "malformed"),
        ({"declared_ms": 0}, TRUST, "malformed"),
        ({"declared_ms": "soon"}, TRUST, "malformed"),
        ({"kind": "someday"}, TRUST, "malformed"),
        ({"id": "../x"}, TRUST, "malformed"),
        ({"memory_mb_per_accelerator": -1}, TRUST, "malformed"),
        ({"id": "x" * 5_000}, TRUST, "too_large"),
    ],
    ids=str,
)
async def test_bad_job_is_refused(configured, change, headers, kind):
    answer = await post(configured, "/v1/jobs", JOB | change, headers)
    await refusal(configured, answer, kind)
    assert configured.control.machine.state.jobs == {}


async def test_same_id_with_other_content_is_refused(configured):
    await post(configured, "/v1/jobs", JOB, TRUST)
    answer = await post(configured, "/v1/jobs", JOB | {"declared_ms": 1}, TRUST)
    await refusal(configured, answer, "request_conflict")


async def test_many_jobs_are_cancelled_in_one_command(configured):
    for name in ("j1", "j2", "j3"):
        await post(configured, "/v1/jobs", JOB | {"id": name}, TRUST)
    body = {"job_ids": ["j1", "j2"]}
    answer = await post(configured, "/v1/jobs/cancel", body, TRUST)
    assert await answer.json() == {"job_ids": ["j1", "j2"], "changed": True}
    phases = {
        name: record.phase
        for name, record in configured.control.machine.state.jobs.items()
    }
    assert phases == {"j1": "ended", "j2": "ended", "j3": "queued"}
    answer = await configured.client.delete("/v1/jobs/j1", headers=TRUST)
    assert await answer.json() == {"job_ids": ["j1"], "changed": False}


@pytest.mark.parametrize(
    ("body", "headers", "kind"),
    [
        ({"job_ids": []}, TRUST, "malformed"),
        ({}, TRUST, "malformed"),
        ({"job_ids": "j1"}, TRUST, "malformed"),
        ({"job_ids": ["j1", "none"]}, TRUST, "not_found"),
        ({"job_ids": ["j1"]}, EXCHANGE, "not_found"),
        ({"job_ids": ["j1"]}, {}, "unauthenticated"),
    ],
)
async def test_bad_cancellation_changes_nothing(
    configured, body, headers, kind
):
    await post(configured, "/v1/jobs", JOB, TRUST)
    answer = await post(configured, "/v1/jobs/cancel", body, headers)
    await refusal(configured, answer, kind)
    assert configured.control.machine.state.jobs["j1"].phase == "queued"


async def test_configuration_and_status(configured):
    configuration = await (await get(configured, "/v1/configuration")).json()
    assert configuration["revision"] == 1
    assert list(configuration["services"]) == ["gang-alloc"]
    status = await (await get(configured, "/v1/status")).json()
    assert status["leader_id"] == "r1"


@pytest.mark.parametrize(
    ("fault", "status", "outcome"),
    [
        (errors.Unavailable("no leader", retry_after_ms=900), 503, "not_run"),
        (errors.CommitUnknown("leader lost"), 503, "unknown"),
    ],
)
async def test_faults_say_what_is_known(entry, fault, status, outcome):
    entry.control.fault = fault
    answer = await post(entry, "/v1/tickets", TICKET)
    assert answer.status == status
    assert (await answer.json())["outcome"] == outcome
    assert entry.metrics.errors.get({"reason": fault.kind}) == 1


async def test_accepted_job_is_answered_when_the_leader_is_lost(
    configured, monkeypatch
):
    async def query(query):
        raise errors.Unavailable("no leader")

    monkeypatch.setattr(configured.control, "query", query)
    answer = await post(configured, "/v1/jobs", JOB, TRUST)
    assert answer.status == 202


async def test_drain_and_probes(entry):
    assert (await get(entry, "/healthz", {})).status == 200
    assert (await get(entry, "/readyz", {})).status == 200
    answer = await entry.client.post("/v1/drain", headers=OPERATOR)
    assert answer.status == 202
    assert entry.drained


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(
            ["number", "accounts", "name", "shape", "accelerators", "id"]
        ),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@hypothesis.given(value=JSON, cut=strategies.integers(0, 40))
@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
def test_any_body_is_a_model_or_malformed(value, cut):
    payload = json.dumps(value).encode()
    for body in (payload, payload[:cut]):
        for model in (
            models.TicketModel,
            models.JobModel,
            models.CancelModel,
        ):
            try:
                assert isinstance(api.decode_json(body, model), model)
            except errors.MalformedInput:
                continue


@hypothesis.given(
    names=strategies.sets(strategies.from_regex(r"\A[a-z0-9]{1,8}\Z")),
    rng=strategies.randoms(use_true_random=False),
)
@hypothesis.settings(max_examples=50, derandomize=True, deadline=None)
def test_digest_does_not_depend_on_the_order_of_objects(names, rng):
    accounts = [models.AccountModel(name=name) for name in names]
    shuffled = accounts[:]
    rng.shuffle(shuffled)
    first, second = (
        models.to_ticket(models.TicketModel(number=1, accounts=tuple(each)))
        for each in (accounts, shuffled)
    )
    assert models.digest(first) == models.digest(second)
