"""Loopback ports from the operating system, kept until a child takes them."""

import socket


class Ports:
    """Gives addresses that nobody else gets while this object is open.

    A TCP port stays bound but does not listen: a server that sets
    SO_REUSEADDR, as asyncio and gRPC do, can still listen on it, while the
    operating system gives it to no other socket.
    """

    def __init__(self):
        self._held: list[socket.socket] = []

    def tcp(self) -> str:
        """Returns `ip:port` for a TCP server."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        self._held.append(sock)
        return _address(sock)

    def udp(self) -> str:
        """Returns `ip:port` for a datagram socket; it is not kept."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            return _address(sock)

    def close(self) -> None:
        """Gives all ports back."""
        for sock in self._held:
            sock.close()
        self._held.clear()


def _address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"
