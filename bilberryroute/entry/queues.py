"""Queue of calls that wait for an endpoint, one for each service."""

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
RUN_TIME_SMOOTHING = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedCall:
    """A queued call and the endpoint that it will be assigned."""

    avoid: Collection[str]
    endpoint: asyncio.Future[wire.EndpointView]


class EndpointQueue:
    """Assigns the endpoints of one service to calls in weighted fair order."""

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
        self._queue: queues.FairQueue[_QueuedCall] = queues.FairQueue(
            lambda account: self.weights.get(account, 1)
        )
        self._mean_run_ms = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    async def acquire(
        self,
        call: calls.Call,
        service_config: config.Service,
        avoid: Collection[str] = frozenset(),
    ) -> wire.EndpointView:
        """Waits for an endpoint with a free slot and reserves the slot.

        Raises:
          errors.Overloaded: If the account's queue is full, or no slot became
            free in time.
          errors.NoEndpoint: If no endpoint is eligible.
          errors.DeadlineExceeded: If the deadline passed in the queue.
        """
        if not self._queue:
            view = self._choose_endpoint(call.service, avoid)
            if view is not None:
                return view
        queued = _QueuedCall(avoid, asyncio.get_running_loop().create_future())
        if not self._queue.push(
            call.account, queued, service_config.queue_per_account
        ):
            raise self._overloaded(call, "the account's queue is full")
        left_ms = call.left_ms(self._clock.now())
        wait_ms = min(service_config.queue_ms, left_ms)
        try:
            await asyncio.wait(
                {queued.endpoint}, timeout=clock_lib.seconds(wait_ms)
            )
        except asyncio.CancelledError:
            self._leave_queue(call, queued)
            raise
        if queued.endpoint.done():
            return queued.endpoint.result()
        self._leave_queue(call, queued)
        if left_ms <= service_config.queue_ms:
            raise errors.DeadlineExceeded("the deadline passed in the queue")
        if not self._pool.endpoint_names(call.service):
            raise errors.NoEndpoint(
                f"no endpoint of {call.service!r} takes work",
                retry_after_ms=RETRY_AFTER_MIN_MS,
            )
        raise self._overloaded(call, "no slot became free in time")

    def release(self, service: str, name: str, run_ms: int) -> None:
        """Frees a slot of an endpoint and assigns it to the next call."""
        self._pool.request_ended(name)
        self._mean_run_ms += RUN_TIME_SMOOTHING * (run_ms - self._mean_run_ms)
        self.assign_endpoints(service)

    def assign_endpoints(self, service: str) -> None:
        """Assigns endpoints while calls are queued and a slot is free."""
        while self._queue:
            # Find an endpoint first: a popped call cannot go back in its place.
            view = self._pool.choose(service, self._rng)
            if view is None:
                return
            queued = self._queue.pop()
            if queued is None:
                return
            view = self._pool.choose(service, self._rng, queued.avoid) or view
            self._pool.request_started(view.name)
            queued.endpoint.set_result(view)

    def _choose_endpoint(
        self, service: str, avoid: Collection[str]
    ) -> wire.EndpointView | None:
        view = self._pool.choose(service, self._rng, avoid)
        view = view or self._pool.choose(service, self._rng)
        if view is not None:
            self._pool.request_started(view.name)
        return view

    def _leave_queue(self, call: calls.Call, queued: _QueuedCall) -> None:
        if queued.endpoint.done():
            self.release(call.service, queued.endpoint.result().name, 0)
        else:
            self._queue.remove(call.account, queued)

    def _overloaded(self, call: calls.Call, message: str) -> errors.Overloaded:
        slots = max(1, self._pool.slots(call.service))
        wait_ms = int(len(self._queue) * self._mean_run_ms / slots)
        return errors.Overloaded(
            message,
            retry_after_ms=min(
                RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, wait_ms)
            ),
        )
