"""Free loopback addresses, given by the operating system."""

import socket


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Returns an `ip:port` on loopback that nobody listens on."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        ip, port = sock.getsockname()
        return f"{ip}:{port}"
