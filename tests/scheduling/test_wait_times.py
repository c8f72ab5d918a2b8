"""For how long the leader believes that units have waited."""

import pytest

from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import wait_times

FIRST = ("j1", 0, 0, 0)
SECOND = ("j1", 0, 0, 1)


@pytest.fixture
def times():
    return wait_times.WaitTimes()


def plan(*waiting, complete=True):
    return views.BatchPlan(waiting_units=frozenset(waiting), complete=complete)


def test_wait_counts_from_the_first_round_in_which_a_unit_waited(times):
    times.update(plan(FIRST), 1_000)
    times.update(plan(FIRST, SECOND), 1_250)
    assert times.waited_ms(1_500) == {FIRST: 500, SECOND: 250}


def test_wait_counts_anew_once_a_unit_has_run(times):
    times.update(plan(FIRST), 1_000)
    times.update(plan(), 1_250)
    times.update(plan(FIRST), 5_000)
    assert times.waited_ms(5_100) == {FIRST: 100}


def test_unit_that_an_incomplete_round_did_not_reach_waits_on(times):
    times.update(plan(FIRST), 1_000)
    times.update(plan(SECOND, complete=False), 1_250)
    assert times.waited_ms(1_500) == {FIRST: 500, SECOND: 250}
