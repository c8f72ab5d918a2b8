"""A daemon loads only what its roles use."""

import json
import subprocess
import sys

import pytest

from benchmarks import imports
from bilberryroute import errors
from bilberryroute.agent import service as agent_service
from bilberryroute.entry import service as entry_service
from bilberryroute.replica import service as replica_service
from bilberryroute.transport import codec


@pytest.mark.parametrize("roles", imports.ROLES, ids="+".join)
def test_no_role_loads_the_commands_parser(roles):
    found = imports.measure_role(roles)
    assert not found["defopt"]
    assert found["grpc"] == (roles != ("agent",))


@pytest.mark.parametrize("roles", imports.ROLES, ids="+".join)
def test_start_builds_no_decoder_before_a_message_needs_it(roles):
    assert imports.measure_role(roles)["decoders"] == 0


def decoders():
    """Yields the decoders that the loaded modules hold."""
    for name, module in list(sys.modules.items()):
        if name.startswith("bilberryroute."):
            for value in vars(module).values():
                if isinstance(value, codec.Decoder):
                    yield value
                elif isinstance(value, codec.Union):
                    yield from value._decoders.values()


def test_types_of_all_decoders_can_be_decoded():
    assert all((agent_service, entry_service, replica_service))
    found = set(decoders())
    assert len(found) > 50
    for decoder in found:
        with pytest.raises(errors.MalformedInput, match="Expected"):
            decoder.decode(b"\xc0")


@pytest.mark.parametrize("role", ["agent", "entry"])
def test_only_replicas_load_the_scheduling(role):
    assert not imports.measure_role((role,))["scheduling"]


_COUNT_CERTIFICATES = """
from bilberryroute.cli import serving
serving.load_process()
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
