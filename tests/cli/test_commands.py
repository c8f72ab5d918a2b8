import asyncio
import json

import pytest
from aiohttp import test_utils
from aiohttp import web

from bilberryroute import core
from bilberryroute import status
from bilberryroute.model import jobs
from bilberryroute.model import queries
from tests.utils import entries
from tests.utils import environment

TICKET = """\
number = 1
[[accounts]]
name = "trust"
[[failure_domains]]
name = "apapa"
"""


@pytest.fixture
async def entry():
    fake = entries.FakeEntry()
    await fake.client.start_server()
    yield fake
    await fake.client.close()


@pytest.fixture
def run(entry, tmp_path):
    token_file = tmp_path / "token"
    token_file.write_text(entries.OPERATOR + "\n")

    async def run_command(*args, expected=status.ExitStatus.SUCCESS, **env):
        fake = environment.fake_environment(
            variables={
                "BILBERRYROUTE_ENTRY": entry.url,
                "BILBERRYROUTE_TOKEN_FILE": str(token_file),
            },
            **env,
        )
        ended = await asyncio.to_thread(core.main, args, fake)
        assert ended == expected, fake.stderr.getvalue()
        assert "Traceback" not in fake.stderr.getvalue()
        return fake

    return run_command


@pytest.fixture
def ticket_file(tmp_path):
    path = tmp_path / "1.toml"
    path.write_text(TICKET)
    return str(path)


async def test_ticket_apply_and_show(run, ticket_file):
    env = await run("ticket", "apply", ticket_file)
    assert "ticket:            1\n" in env.stdout.getvalue()
    env = await run("ticket", "show", "1", "--json")
    shown = json.loads(env.stdout.getvalue())
    assert shown["ticket"]["accounts"][0]["name"] == "trust"
    env = await run("ticket", "show", "1")
    assert "in force at:  agent a1\n" in env.stdout.getvalue()
    assert "pending at:   agent a2\n" in env.stdout.getvalue()


async def test_refusal_names_remedy_and_exits_with_its_status(
    run, ticket_file, tmp_path
):
    await run("ticket", "apply", ticket_file)
    other = tmp_path / "other.json"
    other.write_text('{"number": 1}')
    env = await run(
        "ticket", "apply", str(other), expected=status.ExitStatus.REFUSED
    )
    assert env.stdout.getvalue() == ""
    message = env.stderr.getvalue()
    assert message.startswith("bilberryroute: error: another ticket holds")
    assert "next free number" in message


@pytest.mark.parametrize("text", ["{", "[]", "number = ", "\xff"])
async def test_unreadable_ticket_is_refused(run, tmp_path, text):
    for name in ("t.json", "t.toml"):
        path = tmp_path / name
        path.write_bytes(text.encode("latin-1"))
        if (name, text) == ("t.toml", "[]"):
            continue
        await run(
            "ticket", "apply", str(path), expected=status.ExitStatus.REFUSED
        )


async def test_job_submit_show_list_and_cancel(run, ticket_file):
    await run("ticket", "apply", ticket_file)
    env = await run(
        *("job", "submit", "--account", "trust", "--accelerators", "16"),
        *("--kind", "urgent", "--id", "j1"),
    )
    assert "phase:        queued\n" in env.stdout.getvalue()
    env = await run("job", "show", "j1")
    assert "explanation:  waits for a worker\n" in env.stdout.getvalue()
    env = await run("job", "list", "--account", "trust")
    assert "16 in one rack" in env.stdout.getvalue()
    env = await run("job", "cancel", "j1")
    assert env.stdout.getvalue() == "cancelled:  j1\n"
    env = await run("job", "show", "j1", "--json")
    record = json.loads(env.stdout.getvalue())["record"]
    assert record["result"] == "cancelled"


@pytest.mark.parametrize(
    "args",
    [
        ("job", "show", "none"),
        ("job", "show", "a/../b?c"),
        ("job", "cancel"),
        ("job", "submit", "--account", "unknown"),
        ("job", "submit", "--account", "trust", "--accelerators=-1"),
        ("job", "submit", "--account", "trust", "--accelerators=" + "9" * 40),
        ("ticket", "show", "7"),
        ("ticket", "show", "9" * 30),
    ],
)
async def test_bad_names_and_numbers_are_refused(run, ticket_file, args):
    await run("ticket", "apply", ticket_file)
    env = await run(*args, expected=status.ExitStatus.REFUSED)
    assert env.stderr.getvalue().startswith("bilberryroute: error: ")


async def test_wrong_token_is_refused(run, tmp_path):
    path = tmp_path / "wrong"
    path.write_text("wrong-token-0123456789")
    env = await run(
        *("status", "--token-file", str(path)),
        expected=status.ExitStatus.REFUSED,
    )
    assert "wrong-token" not in env.stderr.getvalue()


@pytest.mark.parametrize("content", [b"", b"two secret", b"secret\xff"])
async def test_token_file_must_hold_one_token(run, tmp_path, content):
    path = tmp_path / "bad"
    path.write_bytes(content)
    env = await run(
        *("status", "--token-file", str(path)),
        expected=status.ExitStatus.USAGE,
    )
    assert "secret" not in env.stderr.getvalue()


async def test_status_shows_tables_and_checks(run, entry):
    env = await run("status")
    assert "leader:    r1 in term 3\n" in env.stdout.getvalue()
    env = await run("status", "--check")
    assert env.stdout.getvalue() == "all invariants hold\n"
    entry.control.status = queries.StatusView(
        term=3,
        leader_id="r1",
        revision=0,
        now_ms=100_000,
        batch_queues=(
            queries.BatchQueueView(
                name="urgent", pool="p1", priority=0, pending=4, open=7
            ),
        ),
        batch_accounts=(
            queries.BatchAccountView(
                name="trust", keys=2, guaranteed=16, accelerators=5
            ),
        ),
        gangs=(
            queries.GangView(
                job_id="j1",
                account="trust",
                attempt=1,
                phase=jobs.JobPhase.RUNNING,
                phase_since_ms=1_000,
                failure_domains=("apapa",),
                tasks=2,
                running=1,
            ),
        ),
    )
    shown = (await run("status")).stdout.getvalue()
    assert ["urgent", "p1", "0", "4", "7"] in map(str.split, shown.splitlines())
    assert ["trust", "2", "16", "5"] in map(str.split, shown.splitlines())
    env = await run(
        "status", "--check", expected=status.ExitStatus.CHECK_FAILED
    )
    assert "gang in part" in env.stdout.getvalue()
    assert "1 of 2 tasks run" in env.stdout.getvalue()
    assert "1 invariant broken" in env.stderr.getvalue()


async def test_drain(run, entry):
    env = await run("drain")
    assert env.stdout.getvalue() == "draining\n"
    assert entry.drained


@pytest.fixture
async def service():
    received = []

    async def answer(req):
        body = await req.read()
        received.append((dict(req.headers), body))
        if body == b"lost":
            req.transport.abort()
        return web.Response(
            text="gang 7",
            status=409 if body == b"problem" else 200,
            content_type="application/problem+json",
            headers={"Bilberryroute-Outcome": "answered"},
        )

    app = web.Application()
    app.router.add_post("/v1/services/{service}/requests", answer)
    client = test_utils.TestClient(test_utils.TestServer(app))
    await client.start_server()
    client.received = received
    yield client
    await client.close()


async def test_request_prints_the_whole_answer(run, service):
    url = str(service.make_url("/"))
    env = await run(
        *("request", "gang-alloc", "--entry", url, "--account", "trust"),
        *("--body", '{"berth": 3}', "--deadline-ms", "900", "--json"),
    )
    shown = json.loads(env.stdout.getvalue())
    headers, body = service.received[0]
    assert body == b'{"berth": 3}'
    assert headers["Bilberryroute-Request-Id"] == shown["request_id"]
    assert headers["Bilberryroute-Account"] == "trust"
    assert headers["Bilberryroute-Idempotent"] == "false"
    assert headers["Bilberryroute-Resend"] == "false"
    assert headers["Bilberryroute-Deadline-Ms"] == "900"
    assert shown["outcome"] == "answered"
    assert shown["body"] == "gang 7"
    assert shown["request_id"] in env.stderr.getvalue()


async def test_an_endpoints_own_problem_is_an_answer(run, service):
    url = str(service.make_url("/"))
    env = await run(
        *("request", "s", "--entry", url, "--body", "problem", "--id", "q1")
    )
    assert env.stdout.getvalue() == "gang 7\n"
    assert service.received[0][0]["Bilberryroute-Resend"] == "true"


async def test_lost_answer_is_unknown(run, service):
    url = str(service.make_url("/"))
    env = await run(
        *("request", "s", "--entry", url, "--body", "lost"),
        expected=status.ExitStatus.UNKNOWN,
    )
    assert "never under a new one" in env.stderr.getvalue()
