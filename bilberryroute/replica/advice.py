"""Permits of an advisory service, which alone knows where a step may run.

Queues with such a policy start nothing without a permit for the worker. The
service answers slowly and one call at a time, so permits are asked for once
a step and kept as long as they hold.
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

# Workers named in one call. Each adds to the time of the answer; a step's
# time is reckoned with one call on so many.
WORKERS_PER_CALL = 30
# A permit is used only if it holds this long yet, in milliseconds: time for
# the commit and for the start to arrive.
MIN_LEFT_MS = 400
# Pause after a call that failed or allowed nothing.
PAUSE_MS = clock_lib.Millis(500)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Answer of the advisory service.

    Attributes:
      permits: Permit by the name of each worker allowed.
      valid_ms: How long the permits hold, in milliseconds.
    """

    permits: dict[str, str]
    valid_ms: int


class Advisor(Protocol):
    """The advisory service."""

    async def advise(self, step: batch.TaskId, workers: list[str]) -> Advice:
        """Says on which of the workers a step may run.

        Raises:
          errors.BilberryrouteError: If the service gives no answer.
        """


@dataclasses.dataclass(slots=True, kw_only=True)
class _Known:
    """What is known of one step.

    Attributes:
      asked: Workers that were named so far.
      until_ms: Monotonic instant until which the permits hold.
      again_ms: Monotonic instant from which it may be asked again.
    """

    permits: dict[str, str] = dataclasses.field(default_factory=dict)
    asked: set[str] = dataclasses.field(default_factory=set)
    until_ms: int = 0
    again_ms: int = 0
    busy: bool = False


class Permits(mode.Service):
    """Asks for permits in the background and keeps those that hold."""

    def __init__(
        self,
        advisor: Advisor | None,
        clock: clock_lib.Clock,
        on_news: asyncio.Event,
    ):
        super().__init__()
        self._advisor = advisor
        self._clock = clock
        self._on_news = on_news
        self._steps: dict[views.StepKey, _Known] = {}

    def held(self) -> dict[views.StepKey, Mapping[str, str]]:
        """Returns the permits in force, by step and worker."""
        now = self._clock.now()
        return {
            key: known.permits
            for key, known in self._steps.items()
            if known.until_ms - now >= MIN_LEFT_MS
        }

    def want(self, key: views.StepKey, workers: list[str]) -> None:
        """Asks for permits of a step, unless they hold or are asked for."""
        known = self._steps.setdefault(key, _Known())
        now = self._clock.now()
        if self._advisor is None or known.busy or now < known.again_ms:
            return
        expired = known.until_ms - now < MIN_LEFT_MS
        if expired:
            known.asked.clear()
        fresh = [name for name in workers if name not in known.asked]
        if fresh:
            known.busy = True
            chosen = fresh[:WORKERS_PER_CALL]
            self.add_future(self._ask(key, known, chosen, renew=expired))

    def drop(self, key: views.StepKey) -> None:
        """Forgets the permits of a step, after a worker refused one."""
        self._steps.pop(key, None)

    def keep_only(self, keys: set[views.StepKey]) -> None:
        """Forgets steps that wait no more."""
        for key in [k for k, known in self._steps.items() if not known.busy]:
            if key not in keys:
                del self._steps[key]

    async def _ask(
        self,
        key: views.StepKey,
        known: _Known,
        workers: list[str],
        *,
        renew: bool,
    ) -> None:
        job_id, occurrence, number = key
        step = batch.TaskId(
            job_id=job_id, occurrence=occurrence, step=number, index=0
        )
        try:
            advice = await self._advisor.advise(step, workers)
        except errors.BilberryrouteError as exc:
            logger.info("no advice: %s", exc, extra={"job_id": job_id})
        else:
            self._take(known, workers, advice, renew=renew)
            logger.info(
                "advice",
                extra={"job_id": job_id, "allowed": sorted(advice.permits)},
            )
        known.busy = False
        known.again_ms = self._clock.now() + PAUSE_MS
        self._on_news.set()

    def _take(
        self, known: _Known, workers: list[str], advice: Advice, *, renew: bool
    ) -> None:
        until_ms = self._clock.now() + advice.valid_ms
        if renew:
            known.permits = {}
            known.until_ms = until_ms
        # Permits of several calls are held together, until the first ends.
        known.permits = known.permits | advice.permits
        known.until_ms = min(known.until_ms, until_ms)
        known.asked.update(workers)
