"""The story of a job, read off the logs of several processes."""

import json
import pathlib

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
        line(4, "[^--Leadership]: leading"),
        line(5, "lease lost", level="WARNING"),
        line(6, "run ended", job_id="j1"),
        line(7, "[^--Leadership]: leading"),
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
    told = [row.split("h: ")[1] for row in trace("j1", *files)]
    starts = ("SubmitBatch", "placed", "[^--Leadership]", "lease", "run")
    assert len(told) == len(starts)
    assert all(map(str.startswith, told, starts))


def test_refused_request_is_found_by_its_path(files):
    (row,) = trace("j3", *files)
    assert "refused" in row


def test_unknown_id_is_said_so(files):
    assert trace("j9", *files, expected=status.ExitStatus.REFUSED) == []


RECORDED = str(pathlib.Path(__file__).parents[1] / "golden" / "played.jsonl")


def test_recorded_refusal_names_its_kind():
    (row,) = trace("d636a85e79aca48b", RECORDED)
    assert "the key is not in force" in row and "unauthenticated" in row


def test_recorded_late_job_shows_the_lost_run_and_the_new_leader():
    rows = trace("52db49947e44d0be", RECORDED)
    lost = next(n for n, row in enumerate(rows) if "outcome=lost" in row)
    assert any(": leading" in row for row in rows[:lost])
    assert "run=2" in rows[lost + 1] and "took_ms=19740" in rows[-1]


def test_recorded_failure_shows_the_task_that_failed_twice():
    rows = trace("b5b68276b58aff08", RECORDED)
    failed = [row for row in rows if "outcome=failed" in row]
    assert ["task=0.0.0" in row for row in failed] == [True, True]
    assert any("result=failed" in row for row in rows)


def test_recorded_crashes_show_which_of_them_ended_the_job():
    rows = trace("6bc017c7d5531017", RECORDED)
    crashed = [row for row in rows if "cause=crashed" in row]
    alone = ["alone=True" in row for row in crashed]
    assert alone == [False, True, True]
    assert "crashed its worker 2 times" in rows[-1]
