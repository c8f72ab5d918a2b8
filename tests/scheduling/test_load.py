"""Plays loads without a network and checks what callers get."""

import dataclasses
import statistics

from benchmarks import load_model
from benchmarks import loads

# Share of their value that the users want busy days with trouble to earn.
TARGET_GOODPUT = 0.65
MAX_WASTED_SHARE = 0.08
MAX_STOPS_PER_TASK = 3
SEEDS = (1, 2, 3)
# Seeds with a gang that waits for its rack.
LIGHT_SEEDS = (3, 6, 17)


def test_busy_burst_is_served_with_little_waste():
    """Twice the comfortable load, with a burst; each kind of job is served.

    Gangs that need several racks, or wait for one, are served like others, and
    no job is stopped again and again.
    """
    load = dataclasses.replace(
        loads.burst(60, 1.5, intensity=2.0), seconds=20.0
    )
    outcomes = [load_model.play(load, seed) for seed in SEEDS]
    for kind in (loads.URGENT, loads.PLANNED, loads.NIGHTLY):
        earned = statistics.mean(o.goodput(kind.name) for o in outcomes)
        assert earned >= TARGET_GOODPUT, kind.name
    assert max(o.wasted_share for o in outcomes) < MAX_WASTED_SHARE
    assert max(o.most_stops for o in outcomes) <= MAX_STOPS_PER_TASK


def test_a_feasible_load_is_served():
    outcomes = [load_model.play(loads.steady(11), seed) for seed in SEEDS]
    assert statistics.mean(o.goodput() for o in outcomes) >= TARGET_GOODPUT


def test_no_job_waits_long_while_most_workers_are_idle():
    """Each rack has a few idle workers, too few for most gangs."""
    load = loads.scattered(54)
    outcomes = [load_model.play(load, seed) for seed in LIGHT_SEEDS]
    assert [o.lost for o in outcomes] == [set()] * len(LIGHT_SEEDS)
    assert statistics.mean(o.goodput() for o in outcomes) >= TARGET_GOODPUT
