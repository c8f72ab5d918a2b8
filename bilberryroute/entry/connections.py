"""Connections to replicas; one over which nothing arrives is replaced."""

import contextlib
from collections.abc import AsyncIterator

import grpc.aio

from bilberryroute import clock as clock_lib

_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Otherwise a new channel shares the TCP connection of the one it replaces.
    ("grpc.use_local_subchannel_pool", 1),
)


class Connection:
    """A gRPC channel to one replica.

    Attributes:
      address: Address of the replica.
      channel: The channel.
      opened_ms: When it was created.
      heard_ms: When something last arrived; 0 if nothing ever did.
      users: Number of calls and streams in progress.
    """

    def __init__(self, address: str, opened_ms: clock_lib.Millis):
        self.address = address
        self.opened_ms = opened_ms
        self.channel = grpc.aio.insecure_channel(
            address, options=_CHANNEL_OPTIONS
        )
        self.heard_ms = 0
        self.users = 0


class Connections:
    """Keeps one connection to each replica.

    An open connection may go silent for good while new ones work, and only a
    timeout shows it.
    """

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._current: dict[str, Connection] = {}

    @contextlib.asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[Connection]:
        """Yields the connection to a replica, for one call or stream."""
        connection = self._current.get(address)
        if connection is None:
            connection = Connection(address, self._clock.now())
            self._current[address] = connection
        connection.users += 1
        try:
            yield connection
        finally:
            connection.users -= 1
            # Closing a channel would cancel the tasks that still use it.
            if not connection.users and not self._is_current(connection):
                await connection.channel.close()

    def record_arrival(self, connection: Connection) -> None:
        """Records that something arrived."""
        connection.heard_ms = self._clock.now()

    def drop(self, connection: Connection) -> bool:
        """Has the next user open a new connection.

        Returns:
          Whether this call dropped it, and not an earlier one.
        """
        if not self._is_current(connection):
            return False
        del self._current[connection.address]
        return True

    async def close(self) -> None:
        """Closes all connections."""
        for connection in self._current.values():
            await connection.channel.close()

    def _is_current(self, connection: Connection) -> bool:
        return self._current.get(connection.address) is connection
