"""Resources that are set aside in one planning round for units that wait."""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Resources that a waiting unit will need on a worker, and from when."""

    unit: views.ReadyUnit
    worker: str
    need: batch.Resources
    from_ms: int

    def binds(self, unit: views.ReadyUnit) -> bool:
        """Returns whether another unit would still run when it starts."""
        is_own = self.unit.key == unit.key
        return not is_own and unit.step.estimate_ms > self.from_ms


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

    def __init__(self):
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
        return (each for each in self._reservations if each.binds(unit))

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
