"""Listening sockets that a process opens before it loads the rest of its code.

Clients that connect meanwhile wait in the backlog of the socket, until the
server that takes it over reads their requests.
"""

import asyncio
import dataclasses
import socket

from bilberryroute import clock as clock_lib

BACKLOG_CONNECTIONS = 128
# A server reads all that has waited within these turns of its event loop and
# this time. A turn takes long where processor time is scarce.
FIRST_READS_TURNS = 16
FIRST_READS_MS = clock_lib.Millis(200)

# The server that takes a socket is built only after the code has loaded.
_opened: dict[str, "Listening"] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listening:
    """A listening socket.

    Attributes:
      sock: The socket.
      since_ms: When it was opened, by this process's monotonic clock.
    """

    sock: socket.socket
    since_ms: int


def open_early(address: str, clock: clock_lib.Clock) -> None:
    """Opens a listening socket at `ip:port`.

    Raises:
      OSError: If the address cannot be used.
    """
    sock = listen(address)
    _opened[address] = Listening(sock=sock, since_ms=clock.now())


def listen(address: str) -> socket.socket:
    """Returns a listening socket at `ip:port`.

    Raises:
      OSError: If the address cannot be used.
    """
    ip, port = address.rsplit(":", 1)
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    return socket.create_server(
        (ip.strip("[]"), int(port)), family=family, backlog=BACKLOG_CONNECTIONS
    )


class Backlog:
    """Bounds how long a request may have waited for a server that has started.

    A connection does not say when it was made, so the bound is that of the
    longest wait.
    """

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._since_ms = 0
        self._served_ms: int | None = None
        self._is_first_turn = False

    def record_served(self, listening: Listening) -> None:
        """Records that a server reads what has waited at the socket."""
        self._since_ms = listening.since_ms
        self._served_ms = self._clock.now()

    async def follow_first_turns(self) -> None:
        """Follows the turns of the event loop in which what waited is read."""
        self._is_first_turn = True
        for _ in range(FIRST_READS_TURNS):
            await asyncio.sleep(0)
        self._is_first_turn = False
        self._served_ms = self._clock.now()

    def longest_wait_ms(self) -> clock_lib.Millis:
        """Returns how long a request that is read now waited at most."""
        if self._served_ms is None:
            return clock_lib.Millis(0)
        now = self._clock.now()
        is_first = self._is_first_turn or now < self._served_ms + FIRST_READS_MS
        return clock_lib.Millis(now - self._since_ms if is_first else 0)


def take(address: str) -> Listening | None:
    """Hands over the socket of an address, which can be taken only once."""
    return _opened.pop(address, None)
