"""Plays loads without a network and checks what callers get."""

import dataclasses
import statistics

import pytest

from benchmarks import load_model
from benchmarks import loads

# Share of their value that the users want busy days with trouble to earn.
TARGET_GOODPUT = 0.65
MAX_WASTED_SHARE = 0.08
MAX_STOPS_PER_TASK = 3
SEEDS = (1, 2, 3)


@pytest.fixture(scope="module")
def busy_burst():
    """Outcomes of a load of twice what is comfortable, with a burst."""
    load = dataclasses.replace(
        loads.burst(60, 1.5, intensity=2.0), seconds=20.0
    )
    return [load_model.play(load, seed) for seed in SEEDS]


@pytest.mark.parametrize(
    "kind", [loads.URGENT.name, loads.PLANNED.name, loads.NIGHTLY.name]
)
def test_every_kind_is_served_in_a_busy_burst(busy_burst, kind):
    """Gangs that need several racks, or wait for one, are served like others."""
    earned = statistics.mean(o.goodput(kind) for o in busy_burst)
    assert earned >= TARGET_GOODPUT


def test_little_work_is_thrown_away_in_a_busy_burst(busy_burst):
    assert max(o.wasted_share for o in busy_burst) < MAX_WASTED_SHARE


def test_no_job_is_stopped_again_and_again(busy_burst):
    assert max(o.most_stops for o in busy_burst) <= MAX_STOPS_PER_TASK


def test_a_feasible_load_is_served():
    outcomes = [load_model.play(loads.steady(11), seed) for seed in SEEDS]
    assert statistics.mean(o.goodput() for o in outcomes) >= TARGET_GOODPUT
