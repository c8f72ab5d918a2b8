"""Caches permits of the advisory service.

Advised queues start a step only with a permit for the worker, and only the
advisory service can issue it. The service is slow and answers one call at a
time, so permits are requested once per step and cached while they are valid.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Mapping
from typing import Protocol

import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views

# Maximum number of workers in one call. Each adds to the time of the answer;
# the estimate of a step's time includes one call with this many workers.
WORKERS_PER_CALL = 30
# A permit is used only if it remains valid for this long, in milliseconds: time
# to commit the placement and deliver the start.
MIN_LEFT_MS = 400
# Pause between two calls for a step, also after a failed one.
REQUEST_PAUSE_MS = clock_lib.Millis(500)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Answer of the advisory service.

    Attributes:
      permits: Permit by name of the allowed worker.
      valid_ms: Validity of the permits in milliseconds.
    """

    permits: dict[str, str]
    valid_ms: int


class Advisor(Protocol):
    """The advisory service."""

    async def advise(self, step: batch.TaskId, workers: list[str]) -> Advice:
        """Returns permits for those of the workers on which a step may run.

        Raises:
          errors.BilberryrouteError: If the service gives no answer.
        """


@dataclasses.dataclass(slots=True, kw_only=True)
class _StepPermits:
    """Cached permits of a step.

    Attributes:
      requested: Workers for which permits were requested.
      valid_until_ms: Monotonic instant until which the permits are valid.
      retry_at_ms: Monotonic instant of the earliest next request.
      in_flight: Whether a request is in flight.
    """

    permits: dict[str, str] = dataclasses.field(default_factory=dict)
    requested: set[str] = dataclasses.field(default_factory=set)
    valid_until_ms: int = 0
    retry_at_ms: int = 0
    in_flight: bool = False


class Permits(mode.Service):
    """Requests permits in the background and caches the valid ones."""

    def __init__(
        self,
        advisor: Advisor | None,
        clock: clock_lib.Clock,
        wakeup: asyncio.Event,
    ):
        super().__init__()
        self._advisor = advisor
        self._clock = clock
        self._wakeup = wakeup
        self._steps: dict[views.StepKey, _StepPermits] = {}

    def valid_permits(self) -> dict[views.StepKey, Mapping[str, str]]:
        """Returns the valid permits by step and worker."""
        now = self._clock.now()
        return {
            key: cached.permits
            for key, cached in self._steps.items()
            if cached.valid_until_ms - now >= MIN_LEFT_MS
        }

    def request(self, key: views.StepKey, workers: list[str]) -> None:
        """Requests a step's permits for workers that were not asked about yet.

        Once the permits have expired, they are requested again for all
        workers.
        """
        cached = self._steps.setdefault(key, _StepPermits())
        now = self._clock.now()
        if (
            self._advisor is None
            or cached.in_flight
            or now < cached.retry_at_ms
        ):
            return
        expired = cached.valid_until_ms - now < MIN_LEFT_MS
        if expired:
            cached.requested.clear()
        new_workers = [name for name in workers if name not in cached.requested]
        if new_workers:
            cached.in_flight = True
            next_workers = new_workers[:WORKERS_PER_CALL]
            self.add_future(
                self._request(key, cached, next_workers, renew=expired)
            )

    def discard(self, key: views.StepKey) -> None:
        """Discards the permits of a step, after a worker rejected one."""
        self._steps.pop(key, None)

    def retain(self, keys: set[views.StepKey]) -> None:
        """Keeps only the given steps and those with a request in flight."""
        for key in [
            k for k, cached in self._steps.items() if not cached.in_flight
        ]:
            if key not in keys:
                del self._steps[key]

    async def _request(
        self,
        key: views.StepKey,
        cached: _StepPermits,
        workers: list[str],
        *,
        renew: bool,
    ) -> None:
        job_id, occurrence, step_number = key
        step = batch.TaskId(
            job_id=job_id, occurrence=occurrence, step=step_number, index=0
        )
        try:
            advice = await self._advisor.advise(step, workers)
        except errors.BilberryrouteError as exc:
            logger.info("no advice: %s", exc, extra={"job_id": job_id})
        else:
            self._store(cached, workers, advice, renew=renew)
            logger.info(
                "advice",
                extra={"job_id": job_id, "allowed": sorted(advice.permits)},
            )
        cached.in_flight = False
        cached.retry_at_ms = self._clock.now() + REQUEST_PAUSE_MS
        self._wakeup.set()

    def _store(
        self,
        cached: _StepPermits,
        workers: list[str],
        advice: Advice,
        *,
        renew: bool,
    ) -> None:
        valid_until_ms = self._clock.now() + advice.valid_ms
        if renew:
            cached.permits = {}
            cached.valid_until_ms = valid_until_ms
        # Permits of several calls expire together with the earliest of them.
        cached.permits = cached.permits | advice.permits
        cached.valid_until_ms = min(cached.valid_until_ms, valid_until_ms)
        cached.requested.update(workers)
