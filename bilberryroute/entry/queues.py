"""Waiting for an endpoint: one fair queue for each service."""

import asyncio
import dataclasses
import random
from collections.abc import Collection

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.entry import calls
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.routing import choice
from bilberryroute.routing import queues

RETRY_AFTER_MIN_MS = 1_000
RETRY_AFTER_MAX_MS = 30_000
SERVICE_TIME_WEIGHT = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class _Turn:
    """A call in a queue and the endpoint that it waits for."""

    avoid: Collection[str]
    granted: asyncio.Future[wire.EndpointView]


class Gate:
    """Hands out endpoints of one service in fair order."""

    def __init__(
        self,
        pool: choice.EndpointPool,
        rng: random.Random,
        clock: clock_lib.Clock,
    ):
        self.weights: dict[str, int] = {}
        self._pool = pool
        self._rng = rng
        self._clock = clock
        self._queue: queues.FairQueue[_Turn] = queues.FairQueue(
            lambda account: self.weights.get(account, 1)
        )
        self._run_ms = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    async def acquire(
        self,
        call: calls.Call,
        limits: config.Service,
        avoid: Collection[str] = frozenset(),
    ) -> wire.EndpointView:
        """Returns an endpoint with a slot, counted as in use.

        Raises:
          errors.Overloaded: If the account's queue is full or too slow.
          errors.NoEndpoint: If no endpoint takes work.
          errors.DeadlineExceeded: If the deadline passed in the queue.
        """
        if not self._queue:
            view = self._choose(call.service, avoid)
            if view is not None:
                return view
        turn = _Turn(avoid, asyncio.get_running_loop().create_future())
        if not self._queue.push(call.account, turn, limits.queue_per_account):
            raise self._overloaded(call, "the account's queue is full")
        left_ms = call.left_ms(self._clock.now())
        wait_ms = min(limits.queue_ms, left_ms)
        try:
            await asyncio.wait(
                {turn.granted}, timeout=clock_lib.seconds(wait_ms)
            )
        except asyncio.CancelledError:
            self._abandon(call, turn)
            raise
        if turn.granted.done():
            return turn.granted.result()
        self._abandon(call, turn)
        if left_ms <= limits.queue_ms:
            raise errors.DeadlineExceeded("the deadline passed in the queue")
        if not self._pool.names(call.service):
            raise errors.NoEndpoint(
                f"no endpoint of {call.service!r} takes work",
                retry_after_ms=RETRY_AFTER_MIN_MS,
            )
        raise self._overloaded(call, "no slot came free in time")

    def release(self, service: str, name: str, ran_ms: int) -> None:
        """Counts an endpoint's slot as free and hands it on."""
        self._pool.request_ended(name)
        self._run_ms += SERVICE_TIME_WEIGHT * (ran_ms - self._run_ms)
        self.serve(service)

    def serve(self, service: str) -> None:
        """Hands out endpoints for as long as calls wait and one is open."""
        while self._queue:
            # The call is only taken out once there is an endpoint for it.
            view = self._pool.choose(service, self._rng)
            if view is None:
                return
            turn = self._queue.pop()
            if turn is None:
                return
            view = self._pool.choose(service, self._rng, turn.avoid) or view
            self._pool.request_started(view.name)
            turn.granted.set_result(view)

    def _choose(
        self, service: str, avoid: Collection[str]
    ) -> wire.EndpointView | None:
        view = self._pool.choose(service, self._rng, avoid)
        view = view or self._pool.choose(service, self._rng)
        if view is not None:
            self._pool.request_started(view.name)
        return view

    def _abandon(self, call: calls.Call, turn: _Turn) -> None:
        if turn.granted.done():
            self.release(call.service, turn.granted.result().name, 0)
        else:
            self._queue.remove(call.account, turn)

    def _overloaded(self, call: calls.Call, why: str) -> errors.Overloaded:
        slots = max(1, self._pool.slots(call.service))
        wait_ms = int(len(self._queue) * self._run_ms / slots)
        return errors.Overloaded(
            why,
            retry_after_ms=min(
                RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms)
            ),
        )
