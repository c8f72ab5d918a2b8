import aiohttp
import pytest
from aiohttp import test_utils
from aiohttp import web

from bilberryroute import api
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import rights as rights_lib
from bilberryroute import settings

OPERATOR = "operator-token-0123456789"
TRUST = "trust-token-0123456789"
LIMITS = settings.Limits(body_bytes=64, header_bytes=2_048, ticket_bytes=128)


@pytest.fixture
def metrics():
    return metrics_lib.Metrics()


@pytest.fixture
def rights(tmp_path):
    operators = tmp_path / "operators"
    operators.write_text(f"# operators\n{OPERATOR}\n\n")
    callers = tmp_path / "callers"
    callers.write_text(f"trust {TRUST}\n")
    return rights_lib.load(
        settings.Tokens(operators=str(operators), callers=str(callers))
    )


@pytest.fixture
async def new_client(metrics):
    clients = []

    async def start(rights=rights_lib.Rights()):  # noqa: B008
        app = api.new_application(LIMITS, metrics, rights)
        app.router.add_post("/body", read)
        app.router.add_get("/operator", for_operators)
        app.router.add_get("/account", for_account)
        app.router.add_get("/fault", fault)
        app.router.add_get("/busy", busy)
        server = test_utils.TestServer(app)
        clients.append(test_utils.TestClient(server))
        await clients[-1].start_server()
        return clients[-1]

    yield start
    for client in clients:
        await client.close()


async def read(req):
    return web.json_response(
        await api.read_json(req, dict[str, int], LIMITS.body_bytes)
    )


async def for_operators(req):
    rights_lib.require_operator(req)
    return web.Response()


async def for_account(req):
    return web.Response(text=rights_lib.require_account(req))


async def fault(req):
    raise KeyError("secret detail")


async def busy(req):
    raise errors.Overloaded("the queue is full", retry_after_ms=1_200)


def bearer(token):
    return {"Authorization": f"Bearer {token}"}


async def problem(answer):
    assert answer.content_type == "application/problem+json"
    return await answer.json()


async def test_problem_names_kind_outcome_and_remedy(new_client, metrics):
    client = await new_client()
    answer = await client.get("/busy")
    assert answer.status == 429
    assert answer.headers["Retry-After"] == "2"
    assert await problem(answer) == {
        "type": "urn:bilberryroute:problem:overloaded",
        "title": "Overloaded",
        "status": 429,
        "detail": "the queue is full",
        "kind": "overloaded",
        "outcome": "not_run",
        "remedy": errors.Overloaded.remedy,
        "retry_after_ms": 1_200,
    }
    assert metrics.refusals.get({"reason": "overloaded"}) == 1


@pytest.mark.parametrize(
    "payload",
    [b"{", b'{"a": "1"}', b"[]", b"\xff", b"[" * 60, b'{"a": 1e999}', b""],
)
async def test_malformed_body_is_refused(new_client, metrics, payload):
    client = await new_client()
    answer = await client.post("/body", data=payload)
    assert answer.status == 400
    assert (await problem(answer))["kind"] == "malformed"
    assert metrics.refusals.get({"reason": "malformed"}) == 1


async def test_deep_nesting_is_malformed():
    with pytest.raises(errors.MalformedInput):
        api.decode_json(b"[" * 200_000, object)


async def chunks():
    for _ in range(9):
        yield b" " * 16


@pytest.mark.parametrize("payload", [b" " * 65, chunks])
async def test_oversized_body_is_refused(new_client, payload):
    client = await new_client()
    data = payload if isinstance(payload, bytes) else payload()
    answer = await client.post("/body", data=data)
    assert answer.status == 413
    assert (await problem(answer))["kind"] == "too_large"


async def test_oversized_headers_are_refused(new_client):
    client = await new_client()
    headers = {f"X-{n}": "x" * 300 for n in range(8)}
    answer = await client.get("/metrics", headers=headers)
    assert (await problem(answer))["kind"] == "too_large"


async def test_one_long_header_or_path_is_refused_as_typed(metrics):
    app = api.new_application(LIMITS, metrics)
    runner = api.new_runner(app, LIMITS)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    url = f"http://{host}:{port}/metrics"
    async with aiohttp.ClientSession() as session:
        for path, headers in (
            ("", {"X-Long": "x" * 3_000}),
            ("?" + "x" * 3_000, {}),
        ):
            async with session.get(url + path, headers=headers) as answer:
                assert (await problem(answer))["kind"] == "too_large"
        async with session.get(url + "?" + "x" * 30_000) as answer:
            assert answer.status == 400
    await runner.cleanup()


async def test_unexpected_error_shows_no_detail(new_client, metrics):
    client = await new_client()
    answer = await client.get("/fault")
    assert answer.status == 500
    assert (await problem(answer))["kind"] == "internal"
    assert "secret" not in await answer.text()
    assert metrics.errors.get({"reason": "internal"}) == 1


@pytest.mark.parametrize(
    ("method", "path", "kind"),
    [
        ("GET", "/nowhere", "not_found"),
        ("DELETE", "/account", "method_not_allowed"),
    ],
)
async def test_unknown_routes_are_problems(new_client, method, path, kind):
    client = await new_client()
    answer = await client.request(method, path)
    assert (await problem(answer))["kind"] == kind


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/operator", {}, 401),
        ("/operator", bearer(OPERATOR), 200),
        ("/operator", bearer(TRUST), 403),
        ("/operator", bearer("x" * 20), 401),
        ("/operator", {"Authorization": "Basic abc"}, 401),
        ("/account", {}, 401),
        ("/account", bearer(TRUST), 200),
        ("/account", bearer(TRUST) | {rights_lib.ACCOUNT_HEADER: "trust"}, 200),
        (
            "/account",
            bearer(TRUST) | {rights_lib.ACCOUNT_HEADER: "exchange"},
            403,
        ),
        (
            "/account",
            bearer(OPERATOR) | {rights_lib.ACCOUNT_HEADER: "trust"},
            403,
        ),
        ("/metrics", {}, 200),
    ],
)
async def test_rights_with_tokens(new_client, rights, path, headers, status):
    client = await new_client(rights)
    answer = await client.get(path, headers=headers)
    assert answer.status == status
    if path == "/account" and status == 200:
        assert await answer.text() == "trust"


async def test_loopback_may_do_all_without_tokens(new_client):
    client = await new_client()
    assert (await client.get("/operator")).status == 200
    headers = {rights_lib.ACCOUNT_HEADER: "trust"}
    answer = await client.get("/account", headers=headers)
    assert await answer.text() == "trust"
    assert (await client.get("/account")).status == 400


async def test_other_peers_may_do_nothing_without_tokens(
    new_client, monkeypatch
):
    monkeypatch.setattr(rights_lib, "is_loopback", lambda req: False)
    client = await new_client()
    headers = {rights_lib.ACCOUNT_HEADER: "trust"}
    for path in ("/operator", "/account"):
        answer = await client.get(path, headers=headers)
        assert answer.status == 401
        assert "loopback" in (await problem(answer))["remedy"]


def test_tokens_are_not_shown(rights):
    assert OPERATOR not in repr(rights)
    assert TRUST not in repr(rights)


@pytest.mark.parametrize("line", ["short", "two words-of-token-0123456"])
def test_bad_token_file_is_reported_without_the_token(tmp_path, line):
    path = tmp_path / "operators"
    path.write_text(line)
    with pytest.raises(errors.SettingsError) as caught:
        rights_lib.load(settings.Tokens(operators=str(path)))
    assert line not in str(caught.value)


def test_missing_token_file_is_reported():
    with pytest.raises(errors.SettingsError, match="cannot be read"):
        rights_lib.load(settings.Tokens(callers="/nonexistent/callers"))
