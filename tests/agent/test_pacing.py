"""How runs that fill give way to those that serve beside them."""

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
# The platform allows a target to be missed for this long on end.
ALLOWED_MS = 4_000
TICK_MS = 100
SERVING = (batches.task("serve"), 1)
FILLING = (batches.task("fill"), 1)


def play(alone_ms: float, beside_ms: float, seconds: int = 30):
    """Plays a task that serves beside fill; returns tails and shares.

    Args:
      alone_ms: Its tail latency without any fill.
      beside_ms: What a fill at its full share adds.
      seconds: For how long.
    """
    share = pacing.FillShare()
    recent = collections.deque(maxlen=5)
    tails, shares = [], []
    in_force = pacing.FULL_PERCENT
    for tick in range(10 * seconds):
        recent.append(alone_ms + beside_ms * in_force / 100)
        tails.append(recent[-1])
        share.update(tick * TICK_MS, sum(recent) / len(recent) / TARGET_MS)
        in_force = share.percent
        shares.append(share.percent)
    return tails, shares


def longest_over(tails) -> int:
    longest = run = 0
    for tail in tails:
        run = run + TICK_MS if tail > TARGET_MS else 0
        longest = max(longest, run)
    return longest


@pytest.mark.parametrize("alone_ms", [10, 40, 60, 90, 99])
@pytest.mark.parametrize("beside_ms", [20, 100, 400, 2_000])
def test_target_is_never_missed_for_long(alone_ms, beside_ms):
    tails, _ = play(alone_ms, beside_ms)
    assert longest_over(tails) < ALLOWED_MS


def test_fill_works_on_where_it_does_no_harm():
    _, shares = play(alone_ms=20, beside_ms=30)
    assert set(shares) == {pacing.FULL_PERCENT}


def test_fill_gets_back_what_it_may_have():
    _, shares = play(alone_ms=40, beside_ms=100)
    assert shares[-1] >= 20


def test_fill_rests_beside_a_task_that_is_over_by_itself():
    _, shares = play(alone_ms=150, beside_ms=10)
    assert shares[-1] == 0


def test_fill_works_in_full_once_nothing_serves():
    share = pacing.FillShare()
    share.update(0, 2.0)
    share.update(1, None)
    assert share.percent == pacing.FULL_PERCENT


class FakePort:
    """Takes paces; refuses them while `mute` is set."""

    def __init__(self):
        self.percents: list[int] = []
        self.mute = False

    async def pace_run(self, address, task, run, percent, fence):
        if self.mute:
            raise errors.Unavailable("no answer")
        self.percents.append(percent)


class Rig:
    """A worker on which one run serves and one fills."""

    def __init__(self, *, began_here: bool = True):
        self.port = FakePort()
        self.pacing = pacing.Pacing(self.port, metrics_lib.Metrics())
        self.life = worker_life.WorkerIncarnation(announced=_announcement())
        self.now = 0
        if began_here:
            state = self.life.progress_of(FILLING)
            state.phase = run_plan.RunPhase.STARTED

    async def look(self, tail_ms: int, *, serves: bool = True) -> None:
        """Takes in one answer of the worker and carries out the orders."""
        keys = (SERVING, FILLING) if serves else (FILLING,)
        self.life.listing = worker_port.Listing(
            born=1,
            clock_ms=self.now,
            running=tuple(wire.RunReport(task=t, run=r) for t, r in keys),
            ends=(),
            loads={SERVING: tail_ms},
        )
        desired = tuple(map(_desired, keys))
        orders = self.pacing.pace_calls(self.life, desired, self.now, fence=1)
        for order in list(orders):
            await order
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
        address="10.0.0.1:1",
        pool="pool",
        failure_domain="apapa",
        rack="r1",
        labels=(),
        capacity=batches.task_need(),
    )


async def test_run_is_paced_once_for_each_change():
    rig = Rig()
    await rig.look(50)
    assert rig.port.percents == []
    await rig.look(150)
    await rig.look(70)
    assert rig.port.percents == [25]


async def test_pace_without_an_answer_is_ordered_again():
    rig = Rig()
    rig.port.mute = True
    await rig.look(150)
    rig.port.mute = False
    await rig.look(70)
    assert rig.port.percents == [25]


async def test_run_of_an_earlier_process_is_paced_anew():
    rig = Rig(began_here=False)
    await rig.look(70)
    assert rig.port.percents == [100]


async def test_run_works_in_full_once_nothing_serves_beside_it():
    rig = Rig()
    await rig.look(150)
    await rig.look(0, serves=False)
    assert rig.port.percents == [25, 100]


async def test_new_life_of_the_worker_is_paced_from_the_beginning():
    rig = Rig()
    await rig.look(150)
    announced = dataclasses.replace(rig.life.announced, born=2)
    rig.life = worker_life.WorkerIncarnation(announced=announced)
    rig.life.progress_of(FILLING).phase = run_plan.RunPhase.STARTED
    await rig.look(70)
    assert rig.port.percents == [25]
