"""A daemon loads only what its roles use."""

import json
import subprocess
import sys

import pytest

from benchmarks import imports


@pytest.mark.parametrize("roles", imports.ROLES, ids="+".join)
def test_no_role_loads_the_commands_parser(roles):
    found = imports.measure_role(roles)
    assert not found["defopt"]
    assert found["grpc"] == (roles != ("agent",))


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_only_replicas_load_the_scheduling(role):
    assert not imports.measure_role((role,))["scheduling"]


_COUNT_CERTIFICATES = """
from bilberryroute.cli import run
run.load_process()
import aiohttp.connector, json
trusted = aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()
print(json.dumps(trusted))
"""


def test_start_of_a_daemon_reads_no_trusted_certificates():
    done = subprocess.run(
        [sys.executable, "-c", _COUNT_CERTIFICATES],
        check=True,
        capture_output=True,
        text=True,
    )
    assert json.loads(done.stdout)["x509"] == 0
