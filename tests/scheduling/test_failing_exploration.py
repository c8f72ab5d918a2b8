"""Explores random loads on workers some of which fail all that they start.

`EXPLORE_FAILURES=first:count` selects other seeds.
"""

import os
import random

from bilberryroute.model import jobs
from tests.scheduling import crash_model
from tests.scheduling import failing_model

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("EXPLORE_FAILURES", "0:20").split(":")
)
SEEDS = range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT)
JOBS = 60
ROUNDS = 4_000


def play(seed: int) -> failing_model.FailingModel:
    """Plays a worker that fails all it starts for a while."""
    model = failing_model.FailingModel(seed, jobs=JOBS)
    rng = random.Random(seed)
    model.run(rng.randrange(20))
    model.failing = {f"w{rng.randrange(crash_model.WORKER_COUNT)}"}
    model.run(rng.randrange(40, 240))
    model.failing = set()
    model.run(ROUNDS)
    return model


def test_worker_that_fails_all_it_starts_costs_no_job_all_its_attempts():
    for seed in SEEDS:
        results = play(seed).results
        assert set(results.values()) == {jobs.JobResult.DONE}, f"seed {seed}"


def test_worker_known_to_fail_costs_one_unit_at_a_time_an_attempt():
    lost = {seed: play(seed).lost_together for seed in SEEDS}
    assert {seed: count for seed, count in lost.items() if count > 1} == {}
