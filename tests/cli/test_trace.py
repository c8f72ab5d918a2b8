"""The story of a job, read off the logs of several processes."""

import json

import pytest

from bilberryroute import core
from bilberryroute import status
from tests.utils import environment


def line(second: int, message: str, **fields) -> str:
    return json.dumps(
        {
            "time": f"2026-12-04T10:00:{second:02}Z",
            "level": "INFO",
            "host": "h",
            "message": message,
        }
        | fields
    )


@pytest.fixture
def files(tmp_path):
    entry = [
        line(1, "SubmitBatch", job_id="j1"),
        line(2, "SubmitBatch", job_id="j2"),
        "not json",
        line(9, "SubmitBatch refused", path="/rosters/j3"),
    ]
    replica = [
        line(3, "placed", job_id="j1"),
        line(4, "leading"),
        line(5, "lease lost", level="WARNING"),
        line(6, "run ended", job_id="j1"),
        line(7, "leading"),
    ]
    paths = []
    for name, lines in (("entry", entry), ("replica", replica)):
        path = tmp_path / f"{name}.log"
        path.write_text("\n".join(lines))
        paths.append(str(path))
    return paths


def trace(id, *files, expected=status.ExitStatus.SUCCESS):
    env = environment.fake_environment()
    assert core.main(["trace", id, *files], env) == expected
    return env.stdout.getvalue().splitlines()


def test_story_is_in_order_with_what_befell_in_between(files):
    told = [row.split(": ")[1].split(" ")[0] for row in trace("j1", *files)]
    assert told == ["SubmitBatch", "placed", "leading", "lease", "run"]


def test_refused_request_is_found_by_its_path(files):
    (row,) = trace("j3", *files)
    assert "refused" in row


def test_unknown_id_is_said_so(files):
    assert trace("j9", *files, expected=status.ExitStatus.REFUSED) == []
