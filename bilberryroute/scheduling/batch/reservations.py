"""Resources that are set aside in one planning round for units that wait."""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import run_times as run_times_lib
from bilberryroute.scheduling.batch import views

# Share of the units which are let past a waiting one that end before it is to
# start. The others delay it: few enough that most gangs start in their time.
BACKFILL_QUANTILE = 0.9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Resources that a waiting unit will need on a worker, and from when."""

    unit: views.ReadyUnit
    worker: str
    need: batch.Resources
    from_ms: int

    def binds(self, unit: views.ReadyUnit, run_ms: int) -> bool:
        """Returns whether a unit of this run time is kept from the resources.

        It is if it is another one and would still run when this one starts.
        """
        is_own = self.unit.key == unit.key
        return not is_own and run_ms > self.from_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Resources taken for a unit that starts once others have ended.

    Attributes:
      tasks: Number of its tasks that are to run on the worker.
      need: What they take there, the whole worker for a unit that runs apart.
    """

    unit: views.ReadyUnit
    worker: str
    tasks: int
    need: batch.Resources


class Reservations:
    """Reservations and claims of one round.

    Attributes:
      claims: In the order in which they were made.
    """

    def __init__(self, run_times: run_times_lib.RunTimes | None = None):
        """Starts without any; estimates are used without `run_times`."""
        self._run_times = run_times
        self.claims: list[Claim] = []
        self._reservations: list[Reservation] = []

    def reserve(
        self,
        unit: views.ReadyUnit,
        needs: Iterable[tuple[str, batch.Resources]],
        from_ms: int,
    ) -> None:
        """Reserves resources on workers from a time on, in ms from now."""
        self._reservations += [
            Reservation(unit=unit, worker=name, need=need, from_ms=from_ms)
            for name, need in needs
        ]

    def binding(self, unit: views.ReadyUnit) -> Iterator[Reservation]:
        """Yields the reservations that a unit must not delay."""
        run_ms = self._longest_ms(unit)
        return (each for each in self._reservations if each.binds(unit, run_ms))

    def _longest_ms(self, unit: views.ReadyUnit) -> int:
        """Returns how long a unit is assumed to delay others at most."""
        estimate_ms = unit.step.estimate_ms
        if self._run_times is None:
            return estimate_ms
        return self._run_times.quantile_ms(
            unit.record.queue, estimate_ms, BACKFILL_QUANTILE
        )

    def claimed_tasks(self, unit: views.ReadyUnit, name: str) -> int:
        """Returns for how many of its tasks a unit has claimed a worker."""
        return sum(
            each.tasks
            for each in self.claims
            if each.unit.key == unit.key and each.worker == name
        )

    def holders_against(self, unit: views.ReadyUnit) -> dict[str, int]:
        """Returns the jobs that have set aside what a unit must not use.

        Gives the number of workers on which each job has done so.
        """
        holders = {
            (each.unit.record.id, each.worker) for each in self.binding(unit)
        }
        holders |= {
            (each.unit.record.id, each.worker)
            for each in self.claims
            if each.unit.key != unit.key
        }
        return dict(collections.Counter(job_id for job_id, _ in holders))
