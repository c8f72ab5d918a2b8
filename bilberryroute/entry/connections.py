"""Connections to replicas; one over which nothing arrives is replaced."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import grpc
import grpc.aio

from bilberryroute import clock as clock_lib

# An attempt to connect that takes longer is given up.
CONNECT_TIMEOUT_MS = clock_lib.Millis(1_000)
# Calls wait so long for an attempt, and ask elsewhere while it goes on.
CONNECT_WAIT_MS = clock_lib.Millis(100)
_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", CONNECT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", 500),
    # Otherwise a new channel shares the TCP connection of the one it replaces.
    ("grpc.use_local_subchannel_pool", 1),
)
_CONNECTING = (
    grpc.ChannelConnectivity.IDLE,
    grpc.ChannelConnectivity.CONNECTING,
)
_ATTEMPTED = (
    grpc.ChannelConnectivity.READY,
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
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

    def __init__(self, address: str, clock: clock_lib.Clock):
        self.address = address
        self.opened_ms = clock.now()
        self.channel = grpc.aio.insecure_channel(
            address, options=_CHANNEL_OPTIONS
        )
        self.heard_ms = 0
        self.users = 0
        self._clock = clock
        self._attempt_ms = self.opened_ms

    async def connect(self, within_ms: int = CONNECT_WAIT_MS) -> bool:
        """Waits for an attempt to connect, in its first `CONNECT_WAIT_MS`.

        Returns:
          False if the attempt takes longer and goes on, or was closed.
        """
        state = self._state()
        if state is grpc.ChannelConnectivity.IDLE:
            self._attempt_ms = self._clock.now()
        left_ms = self._attempt_ms + CONNECT_WAIT_MS - self._clock.now()
        wait_ms = min(left_ms, within_ms)
        if state in _CONNECTING and wait_ms > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(clock_lib.seconds(wait_ms)):
                    while (state := self._state()) in _CONNECTING:
                        await self.channel.wait_for_state_change(state)
        # The attempt may have ended while this process was busy elsewhere.
        return self._state() in _ATTEMPTED

    def _state(self) -> grpc.ChannelConnectivity:
        return self.channel.get_state(try_to_connect=True)


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
            connection = Connection(address, self._clock)
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
