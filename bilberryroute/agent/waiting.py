"""Slots of endpoints and the short fair queue in front of each.

Slots are counted here, beside the endpoint, where all entries meet. The queue
is no longer than the endpoint has slots: it bridges the time between two
reports, while the long queues are at the entries.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from bilberryroute import clock as clock_lib
from bilberryroute.agent import admission
from bilberryroute.agent import board as board_lib
from bilberryroute.routing import protocol
from bilberryroute.routing import queues


class SlotRooms:
    """Slots in use and requests waiting for one, by endpoint."""

    def __init__(self, board: board_lib.AgentBoard):
        self._board = board
        self._queues: dict[str, queues.FairQueue[asyncio.Future]] = {}

    def is_full(self, endpoint: str) -> bool:
        """Returns whether no further request may wait for a slot."""
        waiting = len(self._queues.get(endpoint, ()))
        return waiting >= admission.slots_of(self._board, endpoint)

    @contextlib.asynccontextmanager
    async def slot(
        self, order: protocol.Dispatch, wait_ms: int
    ) -> AsyncIterator[bool]:
        """Holds a slot within the block; yields False if none came in time."""
        granted = await self._acquire(order, wait_ms)
        try:
            yield granted
        finally:
            if granted:
                self._add(order.endpoint, -1)
                self._grant(order.endpoint)

    async def _acquire(self, order: protocol.Dispatch, wait_ms: int) -> bool:
        endpoint = order.endpoint
        if self._has_free(endpoint) and not self._queues.get(endpoint):
            self._add(endpoint, 1)
            return True
        queue = self._queues.setdefault(endpoint, queues.FairQueue())
        turn = asyncio.get_running_loop().create_future()
        bound = admission.slots_of(self._board, endpoint)
        if not queue.push(order.account, turn, bound):
            return False
        await asyncio.wait({turn}, timeout=clock_lib.seconds(wait_ms))
        if turn.done():
            return True
        queue.remove(order.account, turn)
        return False

    def _grant(self, endpoint: str) -> None:
        queue = self._queues.get(endpoint)
        while queue and self._has_free(endpoint):
            turn = queue.pop()
            self._add(endpoint, 1)
            turn.set_result(None)
        if queue is not None and not queue:
            del self._queues[endpoint]

    def _has_free(self, endpoint: str) -> bool:
        if endpoint not in self._board.announcements.get():
            return True  # The check at the start refuses it.
        used = self._board.running.get().get(endpoint, 0)
        return used < admission.slots_of(self._board, endpoint)

    def _add(self, endpoint: str, count: int) -> None:
        running = self._board.running.get()
        running[endpoint] = running.get(endpoint, 0) + count
        if running[endpoint] == 0:
            del running[endpoint]
        self._board.running.touch()
