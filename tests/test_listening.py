"""Sockets that a process opens before it loads the rest of its code."""

import socket

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.transport import listening


@pytest.mark.parametrize("ip", ["127.0.0.1", "::1"])
def test_socket_opens_early_at_each_address_that_settings_may_name(ip):
    address = f"{ip}:0"
    listening.open_early(address, clock_lib.ManualClock())
    with listening.take(address).sock as sock:
        with socket.create_connection(sock.getsockname()[:2], timeout=5):
            assert sock.getsockname()[0] == ip
