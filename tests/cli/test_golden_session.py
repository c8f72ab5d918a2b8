"""A whole session of commands, compared with a golden file.

Each line that starts with `$` is a command; what follows is its output,
messages included, and its exit status if that is not 0. After a wanted change
run this test with UPDATE_GOLDEN=1 and read the difference.
"""

import asyncio
import os
import pathlib
import shlex

import pytest

from bilberryroute import core
from bilberryroute.cli import client
from tests.utils import entries
from tests.utils import environment

ROOT = pathlib.Path(__file__).resolve().parents[2]
GOLDEN = ROOT / "tests" / "golden" / "commands.txt"


@pytest.fixture
async def entry():
    fake = entries.FakeEntry()
    await fake.client.start_server()
    yield fake
    await fake.client.close()


@pytest.fixture
def run(entry, monkeypatch, tmp_path):
    monkeypatch.chdir(ROOT)
    monkeypatch.setenv("COLUMNS", "80")
    for name, token in (
        ("operator", entries.OPERATOR),
        ("trust", entries.TRUST),
        ("wrong", "wrong-token-0123456789"),
    ):
        (tmp_path / name).write_text(token)

    async def run_command(line):
        words = shlex.split(line)[1:]
        token = "operator"
        if words[0].startswith(f"{client.TOKEN_FILE_VARIABLE}="):
            token = words.pop(0).partition("=")[2]
        variables = {
            client.ENTRY_VARIABLE: entry.url,
            client.TOKEN_FILE_VARIABLE: str(tmp_path / token),
        }
        env = environment.fake_environment(variables=variables)
        env.stderr = env.stdout
        code = await asyncio.to_thread(core.main, words[1:], env)
        ended = f"[exit status {int(code)}]\n" if code else ""
        return f"{line}\n{env.stdout.getvalue()}{ended}"

    return run_command


async def test_session_is_as_in_the_golden_file(run):
    golden = GOLDEN.read_text()
    commands = [x for x in golden.splitlines() if x.startswith("$ ")]
    shown = "".join([await run(line) for line in commands])
    if os.environ.get("UPDATE_GOLDEN"):
        GOLDEN.write_text(shown)
    assert shown == golden
