"""Slots of endpoints and a short fair queue for each.

The agent counts the slots because the requests of all entries pass through it.
The queue is bounded by the number of slots: it bridges the time between two
load reports, while the long queues are at the entries.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

from bilberryroute import clock as clock_lib
from bilberryroute.agent import admission
from bilberryroute.agent import board as board_lib
from bilberryroute.routing import protocol
from bilberryroute.routing import queues

# How long announcements may still list an answered request as running.
ANNOUNCEMENT_LAG_MS = 5_000


@dataclasses.dataclass(slots=True, eq=False)
class _SlotWaiter:
    """A dispatch that waits for a slot."""

    dispatch: protocol.Dispatch
    granted: asyncio.Future[None]


class SlotCounter:
    """Slots in use and requests waiting for one, by endpoint.

    An endpoint may still run requests of an earlier incarnation of the agent,
    or requests whose connection broke. Those that the endpoint reports as
    running also occupy a slot.
    """

    def __init__(self, board: board_lib.AgentBoard, clock: clock_lib.Clock):
        self._board = board
        self._clock = clock
        self._queues: dict[str, queues.FairQueue[_SlotWaiter]] = {}
        self._active: dict[str, list[str]] = {}
        self._finished: dict[str, int] = {}

    def is_full(self, endpoint: str) -> bool:
        """Returns whether no further request may wait for a slot."""
        waiting = len(self._queues.get(endpoint, ()))
        return waiting >= admission.slots_of(self._board, endpoint)

    def record_answered(self, request_id: str) -> None:
        """Records that an endpoint has answered a request.

        Later announcements may still list the request as running.
        """
        now = self._clock.now()
        self._finished[request_id] = now + ANNOUNCEMENT_LAG_MS
        # The insertion order is chronological.
        while self._finished:
            oldest = next(iter(self._finished))
            if self._finished[oldest] > now:
                return
            del self._finished[oldest]

    @contextlib.asynccontextmanager
    async def slot(
        self, dispatch: protocol.Dispatch, wait_ms: int
    ) -> AsyncIterator[bool]:
        """Occupies a slot within the block; yields False on a timeout."""
        granted = await self._acquire(dispatch, wait_ms)
        try:
            yield granted
        finally:
            if granted:
                self._release(dispatch.endpoint, dispatch.request_id)
                self.grant(dispatch.endpoint)

    def grant(self, endpoint: str) -> None:
        """Grants free slots to waiting requests."""
        queue = self._queues.get(endpoint)
        while queue and self._has_free(endpoint):
            waiter = queue.pop()
            self._occupy(waiter.dispatch)
            waiter.granted.set_result(None)
        if queue is not None and not queue:
            del self._queues[endpoint]

    def grant_all(self) -> None:
        """Grants slots that became free by changed announcements."""
        for endpoint in list(self._queues):
            self.grant(endpoint)

    async def _acquire(self, dispatch: protocol.Dispatch, wait_ms: int) -> bool:
        endpoint = dispatch.endpoint
        if self._has_free(endpoint) and not self._queues.get(endpoint):
            self._occupy(dispatch)
            return True
        queue = self._queues.setdefault(endpoint, queues.FairQueue())
        waiter = _SlotWaiter(
            dispatch, asyncio.get_running_loop().create_future()
        )
        bound = admission.slots_of(self._board, endpoint)
        if not queue.push(dispatch.account, waiter, bound):
            return False
        await asyncio.wait({waiter.granted}, timeout=clock_lib.seconds(wait_ms))
        if waiter.granted.done():
            return True
        queue.remove(dispatch.account, waiter)
        return False

    def _has_free(self, endpoint: str) -> bool:
        if endpoint not in self._board.announcements.get():
            return True  # The admission check before the start refuses it.
        used = len(self._active.get(endpoint, ())) + self._unknown_running(
            endpoint
        )
        return used < admission.slots_of(self._board, endpoint)

    def _unknown_running(self, endpoint: str) -> int:
        """Counts the reported requests that occupy no slot here."""
        reported = self._board.announcements.get()[endpoint].running
        if not reported:
            return 0
        active = self._active.get(endpoint, ())
        return sum(
            request_id not in active and request_id not in self._finished
            for request_id in reported
        )

    def _occupy(self, dispatch: protocol.Dispatch) -> None:
        self._active.setdefault(dispatch.endpoint, []).append(
            dispatch.request_id
        )
        self._publish(dispatch.endpoint)

    def _release(self, endpoint: str, request_id: str) -> None:
        self._active[endpoint].remove(request_id)
        if not self._active[endpoint]:
            del self._active[endpoint]
        self._publish(endpoint)

    def _publish(self, endpoint: str) -> None:
        running = self._board.running.get()
        running[endpoint] = len(self._active.get(endpoint, ()))
        if running[endpoint] == 0:
            del running[endpoint]
        self._board.running.touch()
