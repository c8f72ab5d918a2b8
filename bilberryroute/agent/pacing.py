"""Throttles fill runs so that the serving runs meet their latency targets.

Fill tasks use idle processors, but slow down the serving tasks on the same
worker. The slowdown changes within seconds, so the share of processor time
that fill runs get follows the tail latency that the worker reports.
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

# Share of a run that is not throttled, in percent.
FULL_PERCENT = 100
# From NEAR_TARGET of a latency target the share is halved, from OVER_TARGET
# it is quartered: three such reductions, SETTLE_MS apart, go from full to none
# well within the 4 s for which a target may be missed.
NEAR_TARGET = 0.85
OVER_TARGET = 1.0
NEAR_DIVISOR = 2
OVER_DIVISOR = 4
# Below this ratio for all targets the share is raised by RAISE_PERCENT.
RAISE_BELOW_TARGET = 0.65
RAISE_PERCENT = 10
# A smaller share is set to 0, as it does no useful work.
MIN_PERCENT = 5
# A new share takes effect after 100 ms and shows in the mean latency of the
# next half second.
SETTLE_MS = 700
# Longest wait of a long poll while a fill run is on the worker.
POLL_WAIT_MS = 300

logger = logging.getLogger(__name__)


class FillShare:
    """Share of processor time for all fill runs of one worker.

    Attributes:
      percent: The share, 0 to 100.
    """

    def __init__(self):
        self.percent = FULL_PERCENT
        self._settled_ms = 0

    def update(self, now: int, latency_ratio: float | None) -> None:
        """Adapts the share to the run with the highest latency ratio.

        Args:
          now: Monotonic instant in milliseconds.
          latency_ratio: Its tail latency over its target; None if no run
            serves.
        """
        if latency_ratio is None:
            self.percent = FULL_PERCENT
        elif now >= self._settled_ms:
            percent = _next_percent(self.percent, latency_ratio)
            if percent != self.percent:
                self.percent = percent
                self._settled_ms = now + SETTLE_MS


def _next_percent(percent: int, latency_ratio: float) -> int:
    if latency_ratio >= OVER_TARGET:
        reduced = percent // OVER_DIVISOR
    elif latency_ratio >= NEAR_TARGET:
        reduced = percent // NEAR_DIVISOR
    elif latency_ratio < RAISE_BELOW_TARGET:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    else:
        return percent
    return reduced if reduced >= MIN_PERCENT else 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _PaceState:
    """Share set for one run; `percent` is None if it is unknown."""

    percent: int | None
    call_in_flight: bool = False


class Pacing:
    """Throttles the fill runs of the agent's worker."""

    def __init__(
        self, port: worker_port.WorkerPort, metrics: metrics_lib.Metrics
    ):
        self._port = port
        self._metrics = metrics
        self._share = FillShare()
        self._worker: life_lib.WorkerIncarnation | None = None
        self._states: dict[run_plan.RunKey, _PaceState] = {}

    def pace_calls(
        self,
        worker: life_lib.WorkerIncarnation,
        desired: tuple[wire.DesiredRun, ...],
        now: int,
        fence: int,
    ) -> Iterator[Awaitable[None]]:
        """Yields the calls to send to the worker now.

        Args:
          worker: The worker, which has a listing.
          desired: Desired runs of the worker.
          now: Monotonic instant in milliseconds.
          fence: Term of the leader.
        """
        if worker is not self._worker:
            self._worker = worker
            self._share = FillShare()
            self._states.clear()
        running = {(r.task, r.run) for r in worker.listing.running}
        active = [
            r for r in desired if (r.task, r.run) in running and not r.stop
        ]
        self._share.update(now, _highest_latency_ratio(active, worker.listing))
        fill = {(r.task, r.run) for r in active if r.fills}
        for key in self._states.keys() - fill:
            del self._states[key]
        for key in sorted(fill, key=str):
            state = self._pace_state(key, worker)
            if (
                not state.call_in_flight
                and state.percent != self._share.percent
            ):
                state.call_in_flight = True
                yield self._send_pace(
                    worker, key, state, self._share.percent, fence
                )

    def has_fill_runs(self) -> bool:
        """Returns whether a fill run is on the worker."""
        return bool(self._states)

    def _pace_state(
        self, key: run_plan.RunKey, worker: life_lib.WorkerIncarnation
    ) -> _PaceState:
        """Returns the pace state of a run.

        The share is unknown if an earlier process of this agent started it.
        """
        if key not in self._states:
            phase = worker.progress_of(key).phase
            started_here = phase == run_plan.RunPhase.STARTED
            percent = FULL_PERCENT if started_here else None
            self._states[key] = _PaceState(percent=percent)
        return self._states[key]

    async def _send_pace(
        self,
        worker: life_lib.WorkerIncarnation,
        key: run_plan.RunKey,
        state: _PaceState,
        percent: int,
        fence: int,
    ) -> None:
        task, run = key
        fields = run_plan.key_fields(key) | {"percent": percent}
        try:
            await self._port.pace_run(
                worker.announced.address, task, run, percent, fence
            )
        except errors.BilberryrouteError as exc:
            self._metrics.retried("pace_unanswered")
            logger.info("pace unanswered: %s", exc, extra=fields)
        else:
            state.percent = percent
            logger.info("paced", extra=fields)
        state.call_in_flight = False


def _highest_latency_ratio(
    runs: list[wire.DesiredRun], listing: worker_port.Listing
) -> float | None:
    """Returns the highest tail latency over its target, or None."""
    latency_ratios = [
        listing.loads.get((run.task, run.run), 0) / run.tail_target_ms
        for run in runs
        if run.tail_target_ms > 0
    ]
    return max(latency_ratios, default=None)
