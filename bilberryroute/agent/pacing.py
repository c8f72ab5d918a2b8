"""Paces the runs that fill a worker, so that those that serve stay quick.

Tasks that fill take the processors that others leave, and slow down the tasks
beside them that serve users. How much changes within seconds, so the share at
which they work follows the tail latency that the worker reports.
"""

import dataclasses
import logging
from collections.abc import Awaitable
from collections.abc import Iterator

from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life as life_lib
from bilberryroute.agent import worker_port
from bilberryroute.model import wire

# Share at which a run works unless it is paced, in percent.
FULL_PERCENT = 100
# Shares of a target from which the fill gives way gently, and from which it
# gives way fast: four cuts go from full to none well within the 4 s for which
# a target may be missed.
NEAR_TARGET = 0.85
OVER_TARGET = 1.0
GENTLE_DIVISOR = 2
FAST_DIVISOR = 4
# Below this share of every target the fill gets more, a little at a time.
CLEAR_OF_TARGET = 0.65
RAISE_PERCENT = 10
# A smaller share is as good as none.
LEAST_PERCENT = 5
# A share works after 100 ms and shows in the mean of the next half second.
SETTLE_MS = 700
# How long a look at the worker may wait while there is something to pace.
LOOK_MS = 300

logger = logging.getLogger(__name__)


class Share:
    """The share at which all that fills one worker should work.

    Attributes:
      percent: The share, 0 to 100.
    """

    def __init__(self):
        self.percent = FULL_PERCENT
        self._settled_ms = 0

    def update(self, now: int, strain: float | None) -> None:
        """Follows the run that is nearest to its target.

        Args:
          now: Monotonic instant in milliseconds.
          strain: Its tail latency over its target; None if nothing serves.
        """
        if strain is None:
            self.percent = FULL_PERCENT
        elif now >= self._settled_ms:
            percent = _next_percent(self.percent, strain)
            if percent != self.percent:
                self.percent = percent
                self._settled_ms = now + SETTLE_MS


def _next_percent(percent: int, strain: float) -> int:
    if strain >= OVER_TARGET:
        lowered = percent // FAST_DIVISOR
    elif strain >= NEAR_TARGET:
        lowered = percent // GENTLE_DIVISOR
    elif strain < CLEAR_OF_TARGET:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    else:
        return percent
    return lowered if lowered >= LEAST_PERCENT else 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Paced:
    """What was ordered of one run; `percent` is None before an answer."""

    percent: int | None
    call_in_flight: bool = False


class Pacing:
    """Paces the fill of the worker beside this agent."""

    def __init__(
        self, port: worker_port.WorkerPort, metrics: metrics_lib.Metrics
    ):
        self._port = port
        self._metrics = metrics
        self._share = Share()
        self._life: life_lib.WorkerIncarnation | None = None
        self._paced: dict[run_plan.RunKey, _Paced] = {}

    def orders(
        self,
        life: life_lib.WorkerIncarnation,
        desired: tuple[wire.DesiredRun, ...],
        now: int,
        fence: int,
    ) -> Iterator[Awaitable[None]]:
        """Yields the orders to give now.

        Args:
          life: The worker, which has answered.
          desired: What the leader wants on it.
          now: Monotonic instant in milliseconds.
          fence: Term of the leader.
        """
        if life is not self._life:
            self._life = life
            self._share = Share()
            self._paced.clear()
        running = {(r.task, r.run) for r in life.listing.running}
        here = [r for r in desired if (r.task, r.run) in running and not r.stop]
        self._share.update(now, _strain(here, life.listing))
        fill = {(r.task, r.run) for r in here if r.fills}
        for key in self._paced.keys() - fill:
            del self._paced[key]
        for key in sorted(fill, key=str):
            paced = self._known(key, life)
            if (
                not paced.call_in_flight
                and paced.percent != self._share.percent
            ):
                paced.call_in_flight = True
                yield self._pace(life, key, paced, self._share.percent, fence)

    def has_work(self) -> bool:
        """Says whether something fills the worker."""
        return bool(self._paced)

    def _known(
        self, key: run_plan.RunKey, life: life_lib.WorkerIncarnation
    ) -> _Paced:
        """Returns what was ordered of a run.

        One that an earlier process of this agent started may be paced.
        """
        if key not in self._paced:
            phase = life.progress_of(key).phase
            began_here = phase == run_plan.RunPhase.STARTED
            percent = FULL_PERCENT if began_here else None
            self._paced[key] = _Paced(percent=percent)
        return self._paced[key]

    async def _pace(
        self,
        life: life_lib.WorkerIncarnation,
        key: run_plan.RunKey,
        paced: _Paced,
        percent: int,
        fence: int,
    ) -> None:
        task, run = key
        fields = run_plan.key_fields(key) | {"percent": percent}
        try:
            await self._port.pace_run(
                life.announced.address, task, run, percent, fence
            )
        except errors.BilberryrouteError as exc:
            self._metrics.retried("pace_unanswered")
            logger.info("pace unanswered: %s", exc, extra=fields)
        else:
            paced.percent = percent
            logger.info("paced", extra=fields)
        paced.call_in_flight = False


def _strain(
    runs: list[wire.DesiredRun], listing: worker_port.Listing
) -> float | None:
    """Returns the highest tail latency over its target, or None."""
    strains = [
        listing.loads.get((each.task, each.run), 0) / each.tail_target_ms
        for each in runs
        if each.tail_target_ms > 0
    ]
    return max(strains, default=None)
