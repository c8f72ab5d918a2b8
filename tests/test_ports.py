"""Addresses that tests listen on."""

import socket

from tests.utils import ports


def test_connections_cannot_take_a_free_address():
    address = ports.free_address()
    ip, port = address.split(":")
    with socket.socket() as other, socket.socket() as listening:
        other.bind(("127.0.0.1", 0))
        assert other.getsockname()[0] != ip
        listening.bind((ip, int(port)))


def test_no_address_is_given_twice():
    given = [ports.free_address() for _ in range(200)]
    assert len(set(given)) == len(given)
