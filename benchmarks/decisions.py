"""Measures the scheduling decisions on one deployment and seed.

python -m benchmarks.decisions --deployment trust --seed 1 --json
"""

import dataclasses
import json as jsons
import random
from typing import Literal

import defopt

from benchmarks import decisions_baselines as baselines
from benchmarks import decisions_growth as growth
from benchmarks import decisions_loop as loops
from benchmarks import decisions_measures as measures
from benchmarks import decisions_workload as workloads
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import scheduler

POLICY_SEED = 1
GROWTH_WORKERS = (10, 100, 420)
growth_us = growth.growth_us


def schedulers():
    """Returns a maker of each scheduler measured, by name."""
    makers = {
        "bilberryroute": lambda: _scheduler(policies.Policy()),
        "fifo_first_fit": lambda: baselines.Baseline(backfill=False),
        "backfill_best_fit": lambda: baselines.Baseline(backfill=True),
    }
    for field in dataclasses.fields(policies.Policy):
        if field.type is bool or field.type == "bool":
            policy = policies.Policy(**{field.name: False})
            makers[f"without_{field.name}"] = lambda p=policy: _scheduler(p)
    return makers


def _scheduler(policy: policies.Policy) -> scheduler.Scheduler:
    return scheduler.Scheduler(policy, random.Random(POLICY_SEED))


def run(workload: workloads.Workload, made) -> dict[str, float]:
    """Runs one session under one scheduler and returns its measures."""
    watcher = measures.Watcher(workload, made)
    loop = loops.Loop(workload, made, watcher)
    loop.run()
    return watcher.measures(loop)


def main(
    *,
    deployment: Literal["trust", "exchange", "target"],
    seed: int,
    json: bool = False,
    only: str = "",
) -> None:
    """Measure the scheduling decisions.

    :param deployment: Deployment whose workload is run.
    :param seed: Seed of the workload.
    :param json: Print one JSON object instead of a table.
    :param only: Comma-separated names of the policies to run; all if empty.
    """
    workload = workloads.generate(deployment, seed)
    chosen = only.split(",") if only else list(schedulers())
    results = {name: run(workload, schedulers()[name]()) for name in chosen}
    if "bilberryroute" in results:
        results["bilberryroute"] |= growth_us(seed, GROWTH_WORKERS)
    if json:
        answer = {"deployment": deployment, "seed": seed, "policies": results}
        print(jsons.dumps(answer))
        return
    for name, values in results.items():
        print(name)
        for measure, value in values.items():
            print(f"  {measure:36} {value:16.3f}")


if __name__ == "__main__":
    defopt.run(main)
