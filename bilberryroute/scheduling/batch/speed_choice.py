"""Chooses among workers of unequal speed, without I/O.

Answers pools with slow and fast workers: urgent units take the fast ones where
they would be late on others, units with time to spare the slowest ones on which
they are in time, and a gang workers of like speed, as it ends with its slowest.
"""

import bisect
import collections
import enum
import math
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from bilberryroute.scheduling.batch import deadlines as deadlines_lib
from bilberryroute.scheduling.batch import views

# Workers whose speeds differ by less than this factor count as equally fast: it
# is about how well a speed is known after some ten runs.
TIER_FACTOR = 1.15
# Factor on expected durations in comparisons with objectives: tasks of a step
# differ by 30%, so that without it half of those just in time would be late.
MARGIN = 1.1
# Factor between slow and fast workers from which a pool counts as uneven: urgent
# jobs may take 1.5 times their work, so that less makes few of them late. The
# share of the workers on either side that is left out, as single speeds may be
# believed wrongly.
UNEVEN_FACTOR = 1.35
LEFT_OUT_SHARE = 0.15
# Places tried for a gang: together they take some milliseconds of a slice.
MAX_FITS = 32


class End(enum.IntEnum):
    """What a unit's job earns if it runs at some speed; lower is better."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


class SpeedChoice:
    """The speeds of the workers in one planning round.

    Attributes:
      tiers: Index into `tier_speeds` of each worker, by its name.
      tier_speeds: Lowest speed of each tier, ascending.
    """

    def __init__(
        self,
        workers: Collection[views.WorkerSnapshot],
        deadlines: deadlines_lib.Deadlines,
    ):
        """Divides the workers into tiers of like speed.

        Args:
          workers: Workers that are present.
          deadlines: Expected durations and slack of the units.
        """
        self._deadlines = deadlines
        self._health = {w.ref.name: w.health for w in workers}
        self._speeds = {worker.ref.name: worker.speed for worker in workers}
        self._latest: dict[views.StepKey, tuple[float, ...]] = {}
        self.tier_speeds: list[float] = []
        for speed in sorted(set(self._speeds.values())):
            lowest = self.tier_speeds[-1] if self.tier_speeds else 0.0
            if speed > lowest * TIER_FACTOR:
                self.tier_speeds.append(speed)
        self.tiers = {
            name: bisect.bisect_right(self.tier_speeds, speed) - 1
            for name, speed in self._speeds.items()
        }

    def end_at(self, unit: views.ReadyUnit, speed: float) -> End:
        """Returns what a unit's job earns if the unit starts now.

        Args:
          unit: Unit that would start.
          speed: Speed of the slowest worker, divided by the factor by which it
            takes longer for where it runs.
        """
        run_ms, in_time_ms, worth_ms = self._limits(unit)
        took_ms = MARGIN * run_ms / speed
        if took_ms <= in_time_ms:
            return End.IN_TIME
        return End.LATE if took_ms <= worth_ms else End.WORTHLESS

    def _limits(self, unit: views.ReadyUnit) -> tuple[float, ...]:
        """Returns how long the unit takes, and how long it may take.

        What a job may lose is divided among its further steps, which may have
        to run on slow workers too.
        """
        limits = self._latest.get(unit.step_key)
        if limits is None:
            run_ms = self._deadlines.run_ms(unit)
            slack_ms = self._deadlines.waiting_slack_ms(unit)
            objective_ms = self._deadlines.deadline_ms(unit) - unit.due_since_ms
            left_ms = self._deadlines.path_left_ms(unit)
            share = run_ms / max(1, left_ms)
            worth = deadlines_lib.ZERO_VALUE_FACTOR - 1
            limits = (
                float(run_ms),
                run_ms + share * slack_ms,
                run_ms + share * (slack_ms + worth * objective_ms),
            )
            self._latest[unit.step_key] = limits
        return limits

    def slowest(self, names: Iterable[str]) -> float:
        """Returns the speed of the slowest of some workers."""
        return min(self._speeds[name] for name in names)

    def preferred_tiers(self, unit: views.ReadyUnit) -> Mapping[int, int]:
        """Returns the rank of each tier for a unit of one task, 0 the best.

        The slowest in time comes first; where none is, the fastest.
        """
        ends = [self.end_at(unit, speed) for speed in self.tier_speeds]
        order = sorted(
            range(len(ends)),
            key=lambda t: (ends[t], t if ends[t] == End.IN_TIME else -t),
        )
        return {tier: rank for rank, tier in enumerate(order)}

    def best(
        self,
        unit: views.ReadyUnit,
        groups: Sequence[Sequence[views.WorkerSnapshot]],
        fit: Callable[
            [Sequence[views.WorkerSnapshot], Mapping[str, int]],
            tuple[str, ...] | None,
        ],
        slowdown: Callable[[tuple[str, ...]], float],
    ) -> tuple[str, ...] | None:
        """Returns the best workers for a unit, or None if it fits nowhere.

        Args:
          unit: Unit to place.
          groups: Groups of workers to place it in.
          fit: Places it in a group, on workers of a lower rank first.
          slowdown: Returns how many times longer it takes on some workers for
            where they are.
        """
        if len(unit.indexes) == 1:
            preferred = self.preferred_tiers(unit)
            ranks = {name: preferred[tier] for name, tier in self.tiers.items()}
            for group in groups:
                names = fit(group, ranks)
                if names is not None:
                    return names
            return None
        found = []
        tries = max(1, MAX_FITS // max(1, len(groups)))
        for number, group in enumerate(groups):
            tiers = sorted({self.tiers[w.ref.name] for w in group})
            for tier in tiers[:: max(1, math.ceil(len(tiers) / tries))]:
                part = [w for w in group if self.tiers[w.ref.name] >= tier]
                names = fit(part, self.tiers)
                if names is None:
                    break
                factor = slowdown(names)
                found.append(
                    (
                        self._cost(unit, names, factor),
                        number,
                        tier,
                        names,
                    )
                )
        return min(found)[-1] if found else None

    def _cost(
        self, unit: views.ReadyUnit, names: tuple[str, ...], factor: float
    ) -> tuple[float, ...]:
        """Returns what is worst about some workers, then their work lost.

        Work is lost while fast members of a gang wait for its slowest one.
        """
        slowest = self.slowest(names)
        counts = collections.Counter(names)
        total = sum(self._speeds[n] * count for n, count in counts.items())
        return (
            max(self._health[name] for name in counts),
            self.end_at(unit, slowest / factor),
            round(factor * total / slowest / len(names), 1),
        )


def of(
    workers: Collection[views.WorkerSnapshot],
    deadlines: deadlines_lib.Deadlines,
) -> SpeedChoice | None:
    """Returns the choice by speed; None if the workers are about as fast."""
    workers = list(workers)
    if not is_uneven([worker.speed for worker in workers]):
        return None
    return SpeedChoice(workers, deadlines)


def is_uneven(speeds: Iterable[float]) -> bool:
    """Returns whether some workers are so slow that jobs are late for it."""
    ordered = sorted(speeds)
    left_out = int(LEFT_OUT_SHARE * len(ordered))
    kept = ordered[left_out : len(ordered) - left_out]
    return bool(kept) and kept[-1] >= UNEVEN_FACTOR * kept[0]
