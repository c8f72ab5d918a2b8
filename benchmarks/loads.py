"""Loads for `load_model`: named mixes of jobs on a number of workers."""

import dataclasses

from benchmarks import load_model
from bilberryroute.model import batch

CAPACITY = batch.Resources(cpu_millis=32_000, memory_mb=128_000, accelerators=8)

# Mean arrivals are those of one worker; `steady` multiplies them.
URGENT = load_model.JobKind(
    name="gang-call",
    priority=0,
    per_s=0.0086,
    width=5,
    max_width=30,
    task_ms=5_000,
    estimate_error=0.5,
    slack_factor=1.5,
    target_ms=300,
    worth=4,
    late_worth=0.8,
    accelerators=(1, 2, 4, 8, 8),
    cpu_millis=3_700,
    one_rack=0.8,
)
PLANNED = load_model.JobKind(
    name="roster-plan",
    priority=1,
    per_s=0.0027,
    width=13,
    max_width=80,
    task_ms=17_000,
    estimate_error=0.9,
    slack_factor=3,
    target_ms=1_000,
    worth=3,
    late_worth=0.9,
    accelerators=(1, 2, 4, 8, 8),
    cpu_millis=13_000,
    saves=0.45,
)
NIGHTLY = load_model.JobKind(
    name="tally-recon",
    priority=2,
    per_s=0.0033,
    width=38,
    max_width=230,
    task_ms=12_200,
    estimate_error=0.9,
    slack_factor=3,
    target_ms=3_000,
    worth=1,
    late_worth=0.3,
    accelerators=(1,),
    cpu_millis=2_800,
    gang=0.0,
    saves=0.45,
    data_racks=0.12,
)


def steady(workers: int, intensity: float = 1.0) -> load_model.Load:
    """Returns a steady mix; `intensity` 1 is a busy but feasible day."""
    kinds = tuple(
        dataclasses.replace(
            kind,
            per_s=kind.per_s * workers * intensity,
            max_width=min(kind.max_width, 8 * workers),
        )
        for kind in (URGENT, PLANNED, NIGHTLY)
    )
    return load_model.Load(
        kinds=kinds,
        workers=workers,
        rack_size=max(3, min(16, workers // 6)),
        capacity=CAPACITY,
        seconds=40.0,
        guaranteed=workers * 8 // 6,
    )


def burst(
    workers: int, factor: float = 3.0, intensity: float = 1.0
) -> load_model.Load:
    """Returns a steady mix with a burst of all kinds in its middle."""
    return dataclasses.replace(
        steady(workers, intensity),
        burst=factor,
        burst_from_s=8.0,
        burst_to_s=16.0,
    )
