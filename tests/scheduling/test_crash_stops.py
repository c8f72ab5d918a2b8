"""Explores how often work is stopped so that suspects of crashes run alone.

`EXPLORE_CRASHES=first:count` selects other seeds.
"""

import collections
import os

import pytest

from bilberryroute.model import crashes as crash_rules
from bilberryroute.scheduling.batch import planner
from tests.scheduling import crash_model

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("EXPLORE_CRASHES", "0:8").split(":")
)
SEEDS = range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT)
JOBS = 40
ROUNDS = 4_000
# A unit may stop other work after each crash from the second to the last but one.
STOPS_A_UNIT = crash_rules.MAX_CRASHES - 2


def stops_by_pair(seed, guilty_share, monkeypatch):
    """Plays a seed; counts stops of a task for a job without a guarantee."""
    model = crash_model.CrashModel(seed, jobs=JOBS, guilty_share=guilty_share)
    counts = collections.Counter()
    plan = planner.plan

    def counted(state, *args, **more):
        decided = plan(state, *args, **more)
        for run, job_id in decided.stopped_for.items():
            if state.jobs[job_id].queue != "urgent":
                counts[run.task, job_id] += 1
        return decided

    with monkeypatch.context() as patch:
        patch.setattr(planner, "plan", counted)
        model.run(ROUNDS)
    return model, counts


@pytest.mark.parametrize("guilty_share", [0.1, 0.3])
def test_no_task_is_stopped_again_and_again_for_suspects(
    guilty_share, monkeypatch
):
    beyond = []
    for seed in SEEDS:
        model, counts = stops_by_pair(seed, guilty_share, monkeypatch)
        for (task, job_id), count in counts.items():
            step = model.log.held.jobs[job_id].content.steps[0]
            units = 1 if step.gang else step.count
            if count > units * STOPS_A_UNIT:
                beyond.append((seed, task, job_id, count))
    assert beyond == []
