"""Batch jobs and the catalog over the project's own HTTP and commands."""

import asyncio
import json
import pathlib

import pytest

from bilberryroute import core
from bilberryroute import settings
from bilberryroute import status
from tests.utils import environment

EXTRAS = pathlib.Path(__file__).parents[2] / "extras" / "batch"
KEY = "rosters-key-0123456789"


@pytest.fixture
def run(site):
    entry = site.processes[settings.ProcessRole.ENTRY]

    async def run_command(*args, expected=status.ExitStatus.SUCCESS):
        fake = environment.fake_environment(
            variables={"BILBERRYROUTE_ENTRY": f"http://{entry.http.address}"}
        )
        ended = await asyncio.to_thread(core.main, args, fake)
        assert ended == expected, fake.stderr.getvalue()
        return fake.stdout.getvalue()

    return run_command


@pytest.fixture
async def catalog(run, tmp_path):
    """The sample catalog, above the version that the site has in force."""
    text = (EXTRAS / "catalog.toml").read_text()
    path = tmp_path / "catalog.toml"
    path.write_text(text.replace("version = 1", "version = 9"))
    assert "True" in await run("catalog", "apply", str(path))


async def test_job_is_submitted_and_shown(run, catalog):
    job = str(EXTRAS / "roster.toml")
    assert "roster-17" in await run("batch", "submit", job, "--key", KEY)
    async with asyncio.timeout(10):
        while "done" not in (shown := await run("batch", "list")):
            await asyncio.sleep(0.05)
    assert "rosters" in shown
    detail = json.loads(await run("batch", "show", "roster-17", "--json"))
    assert detail["record"]["result"] == "done"
    assert "0.1.2" in await run("batch", "show", "roster-17")


async def test_catalog_is_shown_without_its_keys(run, catalog):
    shown = await run("catalog", "show")
    assert "rosters" in shown and KEY not in shown


@pytest.mark.parametrize(
    "args",
    [
        ("batch", "submit", str(EXTRAS / "roster.toml")),
        ("batch", "show", "nothing"),
        ("batch", "cancel", "roster-17", "--queue", "nowhere"),
        ("batch", "cancel", "other", "--queue", "rosters", "--key", KEY),
    ],
)
async def test_refusals_have_their_exit_status(run, catalog, args):
    await run(*args, expected=status.ExitStatus.REFUSED)
