"""Deployments that the scheduling benchmark runs: sizes and job mixes."""

import dataclasses

from bilberryroute.model import jobs

TARGET_WIDTHS = (8,) * 10 + (4,) * 20 + (2,) * 160 + (1,) * 230
URGENT, PLANNED, NIGHTLY = jobs.JobKind


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """What sets one deployment apart.

    Attributes:
      cores: Processors beside 8 accelerators.
      memory_mb: Memory beside 8 accelerators.
      guarantees: Each account's shapes, as (accelerators, copies).
      jobs: Jobs of one session.
      sizes: Accelerators by kind, each as often as it stands here.
      minutes: Relative run time by kind, before scaling to the load.
      load: Work submitted over the work that all workers could do.
    """

    domains: tuple[str, ...]
    cores: int
    memory_mb: int
    guarantees: tuple[tuple[tuple[int, int], ...], ...]
    jobs: int
    sizes: dict[jobs.JobKind, tuple[int, ...]]
    minutes: dict[jobs.JobKind, int]
    load: float = 0.65
    widths: tuple[int, ...] = (8,) * 10
    rack_workers: int = 3


DEPLOYMENTS = {
    "trust": Deployment(
        domains=("apapa", "tincan", "lekki"),
        cores=30,
        memory_mb=64_000,
        guarantees=(((16, 1), (4, 1)), ((8, 1), (4, 1)), ((4, 1),), ((4, 1),)),
        jobs=360,
        sizes={
            URGENT: (1, 2, 4),
            PLANNED: (1, 1, 2, 2, 4, 4, 8, 8, 16),
            NIGHTLY: (1, 1, 2, 2, 4, 8),
        },
        minutes={URGENT: 12, PLANNED: 40, NIGHTLY: 30},
    ),
    "exchange": Deployment(
        domains=("erie-side", "huron-side", "ontario-side"),
        cores=60,
        memory_mb=256_000,
        guarantees=(((16, 1), (8, 1)), ((8, 1),), ((8, 1),), ((4, 1),)),
        jobs=300,
        sizes={
            URGENT: (1, 1, 2, 2, 4),
            PLANNED: (1, 2, 4, 4, 8, 8),
            NIGHTLY: (1, 4, 4, 8, 8, 16, 16, 24),
        },
        minutes={URGENT: 15, PLANNED: 30, NIGHTLY: 40},
    ),
    "target": Deployment(
        domains=("north", "middle", "south"),
        cores=48,
        memory_mb=128_000,
        guarantees=(((16, 2),),) * 3 + (((8, 2),),) * 8 + (((2, 1),),) * 50,
        jobs=460,
        sizes={
            URGENT: (1, 2, 2, 8),
            PLANNED: (2, 2, 4, 4, 8, 8, 8, 16, 16, 32),
            NIGHTLY: (2, 2, 8, 8, 8, 16, 16, 32),
        },
        minutes={URGENT: 20, PLANNED: 90, NIGHTLY: 80},
        widths=TARGET_WIDTHS,
        rack_workers=20,
    ),
}
