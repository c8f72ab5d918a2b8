"""Explores random loads in which tasks crash their workers.

`EXPLORE_CRASHES=first:count` selects other seeds.
"""

import os
import random

import pytest

from bilberryroute.model import jobs
from bilberryroute.scheduling.batch import planner
from bilberryroute.state import crashes as crash_rules
from tests.scheduling import crash_model

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("EXPLORE_CRASHES", "0:8").split(":")
)
SEEDS = range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT)
# Two beside other work, and two alone.
MAX_CRASHES = 2 + crash_rules.MAX_CRASHES_ALONE
JOBS = 40
ROUNDS = 4_000


def play(seed: int, guilty_share: float) -> crash_model.CrashModel:
    model = crash_model.CrashModel(seed, jobs=JOBS, guilty_share=guilty_share)
    model.run(ROUNDS)
    return model


def violations(model: crash_model.CrashModel) -> list[str]:
    found = [
        f"{job_id} crashed {count} workers"
        for job_id, count in model.crashes.items()
        if count > MAX_CRASHES
    ]
    for job_id, result in model.results.items():
        guilty = job_id in model.guilty
        wanted = jobs.JobResult.FAILED if guilty else jobs.JobResult.DONE
        if result != wanted:
            found.append(f"{job_id} (guilty: {guilty}) ended as {result}")
    return found


@pytest.mark.parametrize("guilty_share", [0.1, 0.5, 0.9])
def test_guilty_tasks_are_given_up_and_their_neighbours_done(guilty_share):
    for seed in SEEDS:
        assert violations(play(seed, guilty_share)) == [], f"seed {seed}"


def test_loss_of_power_makes_nobody_guilty():
    for seed in SEEDS:
        model = crash_model.CrashModel(seed, jobs=JOBS, guilty_share=0)
        rng = random.Random(seed)
        for _ in range(60):
            model.run(5)
            model.lose_power(f"w{rng.randrange(crash_model.WORKER_COUNT)}")
        model.run(ROUNDS)
        assert violations(model) == [], f"seed {seed}"


def test_exploration_fails_if_suspects_are_not_isolated(monkeypatch):
    """Neighbours crash with the guilty task each time, and are given up."""
    monkeypatch.setattr(
        planner.readiness.crash_model,
        "is_suspect",
        lambda crashes: False,
    )
    assert any(violations(play(seed, 0.5)) for seed in SEEDS)
