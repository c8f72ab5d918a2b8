"""The one-file program, built and run as a real process."""

import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys

import psutil
import pytest

from bilberryroute import status
from tests.utils import processes

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND_SECONDS = 60

TICKET = {
    "number": 1,
    "accounts": [{"name": "rosters"}],
    "failure_domains": [{"name": "local"}],
}


def build(output):
    script = ROOT / "extras" / "build_binary.py"
    subprocess.run(
        [sys.executable, str(script), "--output", str(output)],
        check=True,
        timeout=COMMAND_SECONDS,
        env=os.environ | {"PIP_NO_INDEX": "1"},
    )
    return output


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("binary")


@pytest.fixture(scope="module")
def binary(folder):
    return build(folder / "bilberryroute")


@pytest.fixture
def run(binary, folder):
    def run_command(*args, entry=""):
        return subprocess.run(
            [sys.executable, str(binary), *args],
            capture_output=True,
            text=True,
            timeout=COMMAND_SECONDS,
            env=os.environ
            | {
                "SHIV_ROOT": str(folder / "root"),
                "BILBERRYROUTE_ENTRY": entry,
            },
        )

    return run_command


def test_build_is_reproducible(binary, folder):
    again = build(folder / "again")
    digests = {
        hashlib.sha256(path.read_bytes()).hexdigest()
        for path in (binary, again)
    }
    assert len(digests) == 1


def test_commands_work_without_the_environments_packages(run):
    shown = run("version")
    assert shown.stdout.startswith("bilberryroute ")
    refused = run("ticket", "show", "x")
    assert refused.returncode == status.ExitStatus.USAGE
    assert "Traceback" not in refused.stderr


def test_daemon_starts_no_child_and_stops_gracefully(
    binary, folder, run, tmp_path
):
    cfg, entry = processes.write_single_process(tmp_path)
    log = tmp_path / "log.jsonl"
    ticket = tmp_path / "ticket.json"
    ticket.write_text(json.dumps(TICKET))
    command = [sys.executable, str(binary), "run", "--settings", str(cfg)]
    root = str(folder / "root")
    with processes.started(command, log, SHIV_ROOT=root) as daemon:
        processes.wait_for(f"{entry}/healthz", daemon, log)
        inspected = psutil.Process(daemon.pid)
        assert inspected.children(recursive=True) == []
        applied = run("ticket", "apply", str(ticket), entry=entry)
        assert applied.returncode == status.ExitStatus.SUCCESS, applied.stderr
        processes.wait_for(f"{entry}/readyz", daemon, log)
        checked = run("status", "--check", entry=entry)
        assert checked.returncode == status.ExitStatus.SUCCESS, checked.stdout
        assert inspected.children(recursive=True) == []
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(processes.STOP_SECONDS) == status.ExitStatus.SUCCESS
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    assert lines[-1]["message"] == "stopped"
    assert {line["role"] for line in lines} == {"replica+entry+agent"}
