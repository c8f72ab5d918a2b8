"""Free loopback addresses, given by the operating system."""

import os
import socket

_given: set[str] = set()


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Returns an `ip:port` on loopback that nobody takes before its user.

    Each test process has a loopback address of its own: a port given on the
    common one may become the source port of any connection before it is
    bound again.
    """
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((_own_ip(), 0))
            ip, port = sock.getsockname()
        address = f"{ip}:{port}"
        if address not in _given:
            _given.add(address)
            return address


def _own_ip() -> str:
    """Returns the loopback address that belongs to this process's id."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 250}.{(pid >> 8) % 256}.{pid % 256 or 1}"
