"""Callers and workers that connect to a process while it loads its code."""

import contextlib
import http.client
import pathlib
import sys
import time

import pytest

from tests.utils import ports
from tests.utils import processes

PORTS = ("callers", "readiness", "control")
TIMEOUT_SECONDS = 30.0
# Longer than a call waits for a leader.
ANSWER_SECONDS = 20.0

SETTINGS = """\
nodeName = "host"
ip = "{ip}"
zone = "apapa"
internalPorts = [7000,7015]
seedNodes = ["{control}"]
app = "{ip}:8600"
[listenAddrs]
frontendAddr = "{callers}"
readinessAddr = "{readiness}"
controlPlane = "{control}"
"""

# Runs the program, but has it wait before it imports the HTTP server.
HELD_PROGRAM = """\
import pathlib, sys, time
from importlib import abc

class Hold(abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "aiohttp":
            pathlib.Path("loading").touch()
            while not pathlib.Path("go").exists():
                time.sleep(0.01)

sys.meta_path.insert(0, Hold())
from bilberryroute import __main__
sys.exit(__main__.main())
"""

ANNOUNCEMENT = (
    '{"service":"gang-alloc","address":"127.0.0.1:8600","zone":"apapa",'
    '"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,'
    '"sequence":1,"clockMs":1,"capacity":{"cpu":32000,"memRequestMb":65536,"gpu":8},'
    '"labels":["a","r-1"]}'
)


@contextlib.contextmanager
def loading_process(folder: pathlib.Path, role: str):
    """Starts a process and has it wait in the middle of loading its code.

    Yields:
      Its addresses by name, and a function that has it go on.
    """
    addresses = {name: ports.free_address() for name in PORTS}
    ip = addresses["callers"].rsplit(":", 1)[0]
    path = folder / "node.toml"
    path.write_text(SETTINGS.format(ip=ip, **addresses))
    command = [sys.executable, "-c", HELD_PROGRAM]
    command += ["run", "--platform", role]
    log = folder / "log"
    variables = {"BILBERRYROUTE_SETTINGS": str(path)}
    with processes.started(command, log, **variables) as process:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not (folder / "loading").exists():
            assert process.poll() is None, log.read_text()
            assert time.monotonic() < deadline, log.read_text()
            time.sleep(0.01)
        yield addresses, (folder / "go").touch


def connect(address: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(address, timeout=ANSWER_SECONDS)
    connection.connect()
    return connection


@pytest.mark.parametrize(
    ("role", "api", "method", "path", "status"),
    [
        # Nobody leads, so the call has not run.
        ("entry", "callers", "GET", "/plan/5c0e7a21d94b36f8", 503),
        ("agent", "control", "PUT", "/bilberryroute/instances/i1", 200),
    ],
    ids=["caller", "worker"],
)
def test_client_of_a_process_that_still_loads_is_answered(
    tmp_path, role, api, method, path, status
):
    with loading_process(tmp_path, role) as (addresses, go_on):
        connection = connect(addresses[api])
        body = ANNOUNCEMENT if method == "PUT" else None
        connection.request(method, path, body)
        go_on()
        assert connection.getresponse().status == status


def test_operator_is_turned_away_by_a_replica_that_still_loads(tmp_path):
    with loading_process(tmp_path, "replica") as (addresses, _):
        with pytest.raises(ConnectionRefusedError):
            connect(addresses["control"])
