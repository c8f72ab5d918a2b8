"""Tests that fill runs are throttled in favor of serving runs."""

import collections
import dataclasses

import pytest

from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.agent import pacing
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life
from bilberryroute.agent import worker_port
from bilberryroute.model import wire
from tests.utils import batches

TARGET_MS = 100
# The platform allows a target to be missed for this long at a stretch.
ALLOWED_MS = 4_000
TICK_MS = 100
SERVING = (batches.task("serve"), 1)
FILLING = (batches.task("fill"), 1)


def simulate(base_ms: float, added_ms: float, seconds: int = 30):
    """Simulates a serving task beside fill; returns tail latencies and shares.

    Args:
      base_ms: Tail latency of the task without any fill, in milliseconds.
      added_ms: Latency that a fill at its full share adds.
      seconds: Duration of the simulation.
    """
    share = pacing.FillShare()
    recent = collections.deque(maxlen=5)
    tails, shares = [], []
    applied_percent = pacing.FULL_PERCENT
    for tick in range(10 * seconds):
        recent.append(base_ms + added_ms * applied_percent / 100)
        tails.append(recent[-1])
        share.update(tick * TICK_MS, sum(recent) / len(recent) / TARGET_MS)
        applied_percent = share.percent
        shares.append(share.percent)
    return tails, shares


def longest_miss_ms(tails) -> int:
    longest = current = 0
    for tail in tails:
        current = current + TICK_MS if tail > TARGET_MS else 0
        longest = max(longest, current)
    return longest


@pytest.mark.parametrize("base_ms", [10, 40, 60, 90, 99])
@pytest.mark.parametrize("added_ms", [20, 100, 400, 2_000])
def test_target_is_never_missed_for_long(base_ms, added_ms):
    tails, _ = simulate(base_ms, added_ms)
    assert longest_miss_ms(tails) < ALLOWED_MS


def test_fill_is_not_throttled_while_targets_are_met():
    _, shares = simulate(base_ms=20, added_ms=30)
    assert set(shares) == {pacing.FULL_PERCENT}


def test_fill_share_recovers_below_the_target():
    _, shares = simulate(base_ms=40, added_ms=100)
    assert shares[-1] >= 20


def test_fill_stops_beside_a_task_that_misses_its_target_alone():
    _, shares = simulate(base_ms=150, added_ms=10)
    assert shares[-1] == 0


def test_fill_is_unthrottled_once_nothing_serves():
    share = pacing.FillShare()
    share.update(0, 2.0)
    share.update(1, None)
    assert share.percent == pacing.FULL_PERCENT


class FakePort:
    """Records pace calls; leaves them without an answer if `unanswered`."""

    def __init__(self):
        self.percents: list[int] = []
        self.unanswered = False

    async def pace_run(self, address, task, run, percent, fence):
        if self.unanswered:
            raise errors.Unavailable("no answer")
        self.percents.append(percent)


class Harness:
    """A worker with one serving run and one fill run."""

    def __init__(self, *, started_here: bool = True):
        self.port = FakePort()
        self.pacing = pacing.Pacing(self.port, metrics_lib.Metrics())
        self.incarnation = worker_life.WorkerIncarnation(
            announced=_announcement()
        )
        self.now = 0
        if started_here:
            state = self.incarnation.progress_of(FILLING)
            state.phase = run_plan.RunPhase.STARTED

    async def apply_listing(self, tail_ms: int, *, serves: bool = True) -> None:
        """Applies one listing of the worker and sends the resulting calls."""
        keys = (SERVING, FILLING) if serves else (FILLING,)
        self.incarnation.listing = worker_port.Listing(
            born=1,
            clock_ms=self.now,
            running=tuple(wire.RunReport(task=t, run=r) for t, r in keys),
            ends=(),
            loads={SERVING: tail_ms},
        )
        desired = tuple(map(_desired, keys))
        calls = self.pacing.pace_calls(
            self.incarnation, desired, self.now, fence=1
        )
        for call in list(calls):
            await call
        self.now += pacing.SETTLE_MS


def _desired(key) -> wire.DesiredRun:
    fills = key == FILLING
    return wire.DesiredRun(
        task=key[0],
        run=key[1],
        worker=batches.ref(),
        stop=False,
        tail_target_ms=0 if fills else TARGET_MS,
        fills=fills,
    )


def _announcement() -> worker_port.BatchWorkerAnnouncement:
    return worker_port.BatchWorkerAnnouncement(
        name="w1",
        born=1,
        sequence=1,
        clock_ms=0,
        address="10.0.0.1:1",
        pool="pool",
        failure_domain="apapa",
        rack="r1",
        labels=(),
        capacity=batches.task_need(),
    )


async def test_run_is_paced_once_for_each_change():
    harness = Harness()
    await harness.apply_listing(50)
    assert harness.port.percents == []
    await harness.apply_listing(150)
    await harness.apply_listing(70)
    assert harness.port.percents == [25]


async def test_unanswered_pace_is_sent_again():
    harness = Harness()
    harness.port.unanswered = True
    await harness.apply_listing(150)
    harness.port.unanswered = False
    await harness.apply_listing(70)
    assert harness.port.percents == [25]


async def test_run_started_by_an_earlier_process_is_paced_at_once():
    harness = Harness(started_here=False)
    await harness.apply_listing(70)
    assert harness.port.percents == [100]


async def test_run_is_unthrottled_once_nothing_serves_beside_it():
    harness = Harness()
    await harness.apply_listing(150)
    await harness.apply_listing(0, serves=False)
    assert harness.port.percents == [25, 100]


async def test_new_incarnation_of_the_worker_starts_with_the_full_share():
    harness = Harness()
    await harness.apply_listing(150)
    announced = dataclasses.replace(harness.incarnation.announced, born=2)
    harness.incarnation = worker_life.WorkerIncarnation(announced=announced)
    harness.incarnation.progress_of(FILLING).phase = run_plan.RunPhase.STARTED
    await harness.apply_listing(70)
    assert harness.port.percents == [25]
