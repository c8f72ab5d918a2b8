"""Real processes of the program, for tests at process level."""

import contextlib
import os
import pathlib
import socket
import subprocess
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from collections.abc import Sequence

from tests.utils import ports

START_SECONDS = 60.0
STOP_SECONDS = 30.0
POLL_SECONDS = 0.05

SINGLE_PROCESS = """\
host = "local"
failure_domain = "local"
roles = ["replica", "entry", "agent"]
replica_id = "local"
data_folder = "{folder}/data"
[listen]
http = "{http}"
grpc = "{grpc}"
datagram = "{datagram}"
[timing]
balancer_lag_ms = 0
[[replicas]]
id = "local"
grpc = "{grpc}"
datagram = "{datagram}"
"""


def write_single_process(folder: pathlib.Path) -> tuple[pathlib.Path, str]:
    """Writes the settings of one process that holds all roles.

    Returns:
      The file, and the URL at which the process will serve.
    """
    http = ports.free_address()
    path = folder / "single.toml"
    path.write_text(
        SINGLE_PROCESS.format(
            folder=folder,
            http=http,
            grpc=ports.free_address(),
            datagram=ports.free_address(socket.SOCK_DGRAM),
        )
    )
    return path, f"http://{http}"


@contextlib.contextmanager
def started(
    command: Sequence[str], log: pathlib.Path, **variables: str
) -> Iterator[subprocess.Popen]:
    """Runs a command with its output in a file; kills it if still alive."""
    with log.open("wb") as stream:
        process = subprocess.Popen(
            list(command),
            stdout=stream,
            stderr=stream,
            cwd=log.parent,
            env=os.environ | variables,
        )
        try:
            yield process
        finally:
            if process.poll() is None:
                process.kill()
            process.wait(STOP_SECONDS)


def wait_for(url: str, process: subprocess.Popen, log: pathlib.Path) -> str:
    """Returns the body of the first answer with status 200."""
    deadline = time.monotonic() + START_SECONDS
    while time.monotonic() < deadline:
        assert process.poll() is None, log.read_text()
        # Refused connections and 503 are what starting looks like.
        with contextlib.suppress(urllib.error.URLError, ConnectionError):
            with urllib.request.urlopen(url, timeout=5) as answer:
                return answer.read().decode()
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"{url} did not answer; log:\n{log.read_text()}")
