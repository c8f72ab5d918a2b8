"""docs/WORKERS.md shows the messages that the agent sends and reads."""

import json
import pathlib
import re

import msgspec
import pytest

from bilberryroute.agent import worker_api
from extras.fakes import fake_worker

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "WORKERS.md").read_text()

MESSAGES = {
    "POST /v1/tasks": worker_api.StartTaskRequest,
    "GET /v1/tasks": worker_api.Tasks,
    "POST /v1/leases": worker_api.Leases,
    "POST /v1/checkpoints": worker_api.TaskName,
    "DELETE /v1/tasks": worker_api.TaskName,
}


def example(call: str) -> str:
    """Returns the JSON shown for one call."""
    section = PAGE.split(f"### `{call}`\n")[1].split("\n### ")[0]
    lines = re.findall(r"^    (.*)$", section, re.MULTILINE)
    return "\n".join(lines)


@pytest.mark.parametrize("call", MESSAGES)
def test_example_is_the_message(call):
    message = msgspec.json.decode(example(call), type=MESSAGES[call])
    assert json.loads(msgspec.json.encode(message)) == json.loads(example(call))


def test_calls_are_those_of_the_fake():
    app = fake_worker.FakeWorker(None, "", None, None, None).app()
    served = {
        f"{route.method} {route.resource.canonical}"
        for route in app.router.routes()
        if route.method != "HEAD"
    }
    documented = set(re.findall(r"^### `(.*)`$", PAGE, re.MULTILINE))
    assert documented == served == set(MESSAGES)


def test_all_states_are_named():
    for state in worker_api.WorkerTaskState:
        assert f"`{state}`" in PAGE
