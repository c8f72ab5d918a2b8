"""Loads for `load_model`: named mixes of jobs on a number of workers."""

import dataclasses

from benchmarks import load_model
from bilberryroute.model import batch

CAPACITY = batch.Resources(cpu_millis=32_000, memory_mb=128_000, accelerators=8)

LARGE_CAPACITY = batch.Resources(
    cpu_millis=64_000, memory_mb=131_072, accelerators=8
)

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

# Gangs of large tasks, most of which prefer one rack, beside wide jobs that keep
# one accelerator of every other worker.
SMALL_GANG = dataclasses.replace(
    URGENT,
    per_s=0.012,
    width=4.7,
    max_width=28,
    estimate_error=0.9,
    cpu_millis=7_500,
    memory_mb=20_000,
)
LARGE_GANG = dataclasses.replace(
    PLANNED,
    per_s=0.0058,
    width=5.6,
    max_width=34,
    estimate_error=0.2,
    cpu_millis=26_000,
    memory_mb=53_000,
)
WIDE = dataclasses.replace(
    NIGHTLY,
    per_s=0.0025,
    width=30,
    max_width=27,
    task_ms=19_000,
    estimate_error=0.2,
    cpu_millis=5_600,
    memory_mb=15_000,
    spread_limit=1,
    required_label=load_model.EVEN,
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


def scattered(workers: int, intensity: float = 0.5) -> load_model.Load:
    """Returns a light load that leaves few workers wholly idle."""
    kinds = tuple(
        dataclasses.replace(kind, per_s=kind.per_s * workers * intensity)
        for kind in (SMALL_GANG, LARGE_GANG, WIDE)
    )
    return load_model.Load(
        kinds=kinds,
        workers=workers,
        rack_size=6,
        capacity=LARGE_CAPACITY,
        seconds=40.0,
        guaranteed=workers * 8 // 6,
    )


def uneven(workers: int, intensity: float = 1.0) -> load_model.Load:
    """Returns waves of demand on workers of different speed, with long tails."""
    load = steady(workers, intensity)
    kinds = tuple(
        dataclasses.replace(kind, tail=0.03, tail_factor=7.0)
        for kind in load.kinds
    )
    return dataclasses.replace(
        load,
        kinds=kinds,
        accounts=10,
        guaranteed=workers * 5 // 10,
        speeds=(0.55, 1.2, 1.2, 1.2),
        swing=0.55,
    )
