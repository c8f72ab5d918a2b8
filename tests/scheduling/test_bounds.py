"""Regression bounds of the scheduler, from its stated targets."""

import functools

import pytest

from benchmarks import decisions
from benchmarks import decisions_workload as workloads

MAX_URGENT_START_MS = 3_800
MAX_TIME_OVER_BOUND = 1.5
MIN_DOMAIN_WORK_SHARE = 0.9
MAX_DECISION_US = 10_000
SEED = 3


@functools.cache
def _measure(deployment, seed, name):
    workload = workloads.generate(deployment, seed)
    return decisions.run(workload, decisions.schedulers()[name]())


@pytest.mark.parametrize("deployment", ["trust", "exchange"])
def test_decisions_keep_the_targets(deployment):
    own = _measure(deployment, SEED, "bilberryroute")
    assert own["guarantee_violations"] == 0
    assert own["partial_gangs"] == 0
    assert own["out_of_domain_starts"] == 0
    assert own["urgent_start_ms_p99"] <= MAX_URGENT_START_MS
    assert own["completion_time_over_bound"] <= MAX_TIME_OVER_BOUND


@pytest.mark.parametrize("deployment", ["trust", "exchange"])
@pytest.mark.parametrize(
    "measure", ["completion_time_ms_mean", "fragmentation"]
)
def test_decisions_beat_both_baselines(deployment, measure):
    own = _measure(deployment, SEED, "bilberryroute")[measure]
    for name in ("fifo_first_fit", "backfill_best_fit"):
        assert own < _measure(deployment, SEED, name)[measure]


@pytest.mark.parametrize("seed", [1, 5])
def test_guarantees_are_never_late(seed):
    own = _measure("exchange", seed, "bilberryroute")
    assert own["guarantee_violations"] == 0


def test_completion_is_near_the_bound_on_another_seed():
    own = _measure("exchange", 1, "bilberryroute")
    assert own["completion_time_over_bound"] <= MAX_TIME_OVER_BOUND


@pytest.mark.parametrize("deployment", ["trust", "exchange"])
def test_domain_out_leaves_the_rest_at_work(deployment):
    own = _measure(deployment, SEED, "bilberryroute")
    assert own["domain_work_share"] >= MIN_DOMAIN_WORK_SHARE


@pytest.mark.serial
def test_decisions_at_target_size_are_quick():
    growth = decisions.growth_us(SEED, workers=(420,))
    assert growth["decision_us_p99_420_workers"] < MAX_DECISION_US
