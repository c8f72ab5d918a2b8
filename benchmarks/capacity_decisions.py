"""Time of one scheduling decision, by the size of the whole."""

import dataclasses

from benchmarks import capacity_model as model
from benchmarks import decisions
from benchmarks import decisions_deployments as deployments
from benchmarks import decisions_workload as workloads

PARTS = (4, 2, 1)


def lines(seed: int) -> list[model.Line]:
    """Returns the decision time over workers, for parts of the target."""
    target = deployments.DEPLOYMENTS["target"]
    sizes, medians, slowest = [], [], []
    for part in PARTS:
        found = _run(f"target-{part}", target, part, seed)
        sizes.append(len(target.widths[::part]))
        medians.append(found["decision_us_p50"])
        slowest.append(found["decision_us_p99"])
    return [
        model.Line(
            role="leading replica",
            cost=cost,
            unit="us",
            over="worker",
            sizes=tuple(sizes),
            values=tuple(values),
            target=model.WORKERS,
        )
        for cost, values in (
            ("decision, median", medians),
            ("decision, 99th percentile", slowest),
        )
    ]


def _run(
    name: str, target: deployments.Deployment, part: int, seed: int
) -> dict[str, float]:
    """Runs one session of a part of the target's workers, teams and jobs."""
    deployments.DEPLOYMENTS[name] = dataclasses.replace(
        target,
        widths=target.widths[::part],
        guarantees=target.guarantees[::part],
        jobs=target.jobs // part,
    )
    try:
        workload = workloads.generate(name, seed)
    finally:
        del deployments.DEPLOYMENTS[name]
    make = decisions.schedulers()["bilberryroute"]
    return decisions.run(workload, make())
