"""Plays a load of batch jobs without a network and prints what callers get.

python -m benchmarks.load --workers 60 --intensity 2 --burst 1.5 --seeds 3
"""

import dataclasses
import statistics
from collections.abc import Callable

import defopt
from hdrh import histogram

from benchmarks import load_model
from benchmarks import loads
from bilberryroute.scheduling.batch import policy as policy_lib

PERCENTILES = (50, 95)
_MAX_WAIT_MS = 10 * 60 * 1_000


def report(outcomes: list[load_model.Outcome]) -> dict[str, float]:
    """Returns the measures of several plays, by name."""

    def mean(measure: Callable[[load_model.Outcome], float]) -> float:
        return statistics.mean(map(measure, outcomes))

    measures = {"goodput": mean(lambda o: o.goodput())}
    kinds = sorted({f.kind for o in outcomes for f in o.fates.values()})
    for kind in kinds:
        measures[f"goodput {kind}"] = mean(lambda o, k=kind: o.goodput(k))
    measures["wasted share"] = mean(lambda o: o.wasted_share)
    measures["stopped runs"] = mean(lambda o: o.stopped)
    measures["most stops of a job"] = max(o.most_stops for o in outcomes)
    measures["lost jobs"] = mean(lambda o: len(o.lost))
    fates = [f for o in outcomes for f in o.fates.values()]
    ended = [f for f in fates if f.ended_ms is not None]
    measures["jobs"] = len(fates) / len(outcomes)
    for name, number in (
        ("refused jobs", sum(f.refused_ms is not None for f in fates)),
        ("late jobs", sum(f.earned > 0 and not f.in_time for f in ended)),
        ("worthless ends", sum(f.earned == 0 for f in ended)),
    ):
        measures[name] = number / len(outcomes)
    measures["fairness of accounts"] = mean(_fairness)
    waits = _waits(outcomes)
    for percentile in PERCENTILES:
        value = waits.get_value_at_percentile(percentile)
        measures[f"first start p{percentile} ms"] = value
    return measures


def _waits(outcomes: list[load_model.Outcome]) -> histogram.HdrHistogram:
    waits = histogram.HdrHistogram(1, _MAX_WAIT_MS, 2)
    for outcome in outcomes:
        for fate in outcome.fates.values():
            if fate.first_start_ms is not None:
                waits.record_value(fate.first_start_ms - fate.arrival_ms)
    return waits


def _fairness(outcome: load_model.Outcome) -> float:
    """Returns Jain's index of the accounts' goodput; 1 is equal."""
    owed: dict[str, float] = {}
    earned: dict[str, float] = {}
    for fate in outcome.fates.values():
        owed[fate.account] = owed.get(fate.account, 0) + fate.value
        earned[fate.account] = earned.get(fate.account, 0) + fate.earned
    shares = [earned[name] / owed[name] for name in owed]
    squares = sum(share**2 for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


def _wrongly_refused(
    load: load_model.Load,
    outcomes: list[load_model.Outcome],
    policy: policy_lib.Policy,
) -> float:
    """Returns how many refused jobs earn something if none is refused.

    Args:
      load: The load.
      outcomes: Of plays with the seeds from 1 on.
      policy: That of the plays.
    """
    accepting = dataclasses.replace(policy, refuse_hopeless=False)
    wrong = 0
    for seed, outcome in enumerate(outcomes, start=1):
        refused = [
            job_id
            for job_id, fate in outcome.fates.items()
            if fate.refused_ms is not None
        ]
        if refused:
            other = load_model.play(load, seed, policy=accepting)
            wrong += sum(other.fates[each].earned > 0 for each in refused)
    return wrong / len(outcomes)


def main(
    *,
    workers: int = 60,
    intensity: float = 1.0,
    burst: float = 1.0,
    seconds: float = 30.0,
    seeds: int = 3,
    scattered: bool = False,
    uneven: bool = False,
    parts: list[str] = [],  # noqa: B006 (defopt reads the default)
) -> None:
    """Play a load against the planner of batch jobs.

    Args:
      workers: Number of workers.
      intensity: Factor on the arrivals; 1 is a busy but feasible day.
      burst: Factor on the arrivals from second 8 to 16.
      seconds: Length of the arrivals.
      seeds: Number of plays, each with its own jobs.
      scattered: Play jobs that leave few racks idle, without a burst.
      uneven: Play waves of demand on workers of different speed.
      parts: Decisions to switch on, by their names in `settings.Batch`.
    """
    if uneven:
        load = loads.uneven(workers, intensity)
    elif scattered:
        load = loads.scattered(workers, intensity)
    else:
        load = loads.burst(workers, burst, intensity)
    load = dataclasses.replace(load, seconds=seconds)
    policy = policy_lib.Policy(**dict.fromkeys(parts, True))
    outcomes = [
        load_model.play(load, seed, policy=policy)
        for seed in range(1, seeds + 1)
    ]
    measures = report(outcomes)
    if policy.refuse_hopeless:
        measures["refused, would have earned"] = _wrongly_refused(
            load, outcomes, policy
        )
    for name, value in measures.items():
        print(f"{name:28} {value:10.3f}")


if __name__ == "__main__":
    defopt.run(main)
