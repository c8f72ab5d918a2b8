"""Decides which workers are kept for units that may crash them, without I/O.

A suspect that runs apart from others harms nobody and shows whether it crashes
its workers. As that takes a whole worker, few workers of each pool are kept so.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.model import crashes as crash_model
from bilberryroute.scheduling.batch import views

# Share of a pool's workers that are kept for suspect units, whoever waits.
MAX_ISOLATED_SHARE = 0.25


class Company(enum.IntEnum):
    """What runs on a worker; the more a crash would cost, the higher."""

    NOBODY = 0
    SUSPECTS = 1
    OTHERS = 2
    GUARANTEED = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Suspect:
    """A running unit that may still crash its workers."""

    crash_count: int
    placed_ms: int


class Isolation:
    """Runs of suspect units, and the workers that are kept for them.

    Attributes:
      isolated: Names of workers on which nothing may start beside the suspect
        unit that runs there.
      yielding: Those of them beyond the share, on which units that have waited
        for a while may start all the same.
      closed: Those of them that don't yield to a unit that could run nowhere
        else either, since the suspect has crashed twice or has its last chance.
    """

    def __init__(self, guaranteed: Set[str], wall_ms: int):
        """Starts without runs; `note_run` adds them, then `isolate` decides.

        Args:
          guaranteed: Ids of the jobs within their accounts' guarantees.
          wall_ms: Unix time in milliseconds.
        """
        self.isolated: set[str] = set()
        self.yielding: set[str] = set()
        self.closed: set[str] = set()
        self._claimed: set[str] = set()
        self._guaranteed = guaranteed
        self._wall_ms = wall_ms
        self._limits: dict[str, int] = {}
        self._suspects: dict[crash_model.UnitKey, _Suspect | None] = {}
        self._units: dict[str, set[crash_model.UnitKey]] = {}
        self._companies: dict[str, Company] = {}
        self._risky: set[str] = set()

    def note_run(
        self, name: str, record: batch.BatchRecord, task_id: batch.TaskId
    ) -> None:
        """Takes account of a task that runs on a worker."""
        key = crash_model.unit_key(record, task_id)
        if key not in self._suspects:
            self._suspects[key] = self._find_suspect(record, task_id)
        self._units.setdefault(name, set()).add(key)
        if self._suspects[key] is not None:
            self._risky.add(name)
        self._note_company(
            name,
            is_suspect=self._suspects[key] is not None,
            is_guaranteed=record.id in self._guaranteed,
        )

    def isolate(self, workers: Mapping[str, views.WorkerSnapshot]) -> None:
        """Keeps workers for the suspects that run alone there.

        Those of the most crashes come first, then those that were placed first.
        A worker of a unit that must not crash again yields to nobody.
        """
        sizes = collections.Counter(w.pool for w in workers.values())
        self._limits = {
            pool: max(1, int(MAX_ISOLATED_SHARE * size))
            for pool, size in sizes.items()
        }
        candidates = filter(self._runs_one_suspect, workers)
        for name in sorted(candidates, key=self._order):
            exhausted = self.is_exhausted(workers[name].pool, workers)
            if exhausted and not self._has_last_chance(name):
                self.yielding.add(name)
            elif self._crash_count(name) > 1:
                self.closed.add(name)
            self.isolated.add(name)

    def claim(self, names: Iterable[str]) -> None:
        """Keeps workers for a suspect that starts there in this round."""
        self._claimed.update(names)
        self.note_start(names)

    def note_start(self, names: Iterable[str]) -> None:
        """Takes account of a suspect that starts beside others, if any."""
        for name in names:
            self._risky.add(name)
            self._note_company(name, is_suspect=True, is_guaranteed=False)

    def is_kept(self, name: str) -> bool:
        """Returns whether a worker is kept for a suspect."""
        return name in self.isolated or name in self._claimed

    def is_exhausted(
        self, pool: str, workers: Mapping[str, views.WorkerSnapshot]
    ) -> bool:
        """Returns whether a pool has no more workers to keep for suspects."""
        return self._occupied(pool, workers) >= self._limits.get(pool, 1)

    def company(self, name: str) -> Company:
        """Returns what runs on a worker."""
        return self._companies.get(name, Company.NOBODY)

    def cost(self, unit: views.ReadyUnit, name: str) -> int:
        """Returns how bad a worker is for a unit; the lowest is chosen first.

        A suspect goes where a crash costs least; any other unit avoids suspects.
        """
        if unit.suspect:
            return self.company(name)
        return int(name in self._risky)

    def allows(self, unit: views.ReadyUnit, name: str) -> bool:
        """Returns whether a unit may run beside what runs on a worker."""
        return (
            unit.suspect != views.Separation.NOT_BESIDE_GUARANTEED
            or unit.guaranteed
            or self.company(name) != Company.GUARANTEED
        )

    def yields_to(
        self, unit: views.ReadyUnit, name: str, *, fits_elsewhere: bool
    ) -> bool:
        """Returns whether a unit that has waited may join a suspect.

        A guaranteed one may join those that it can't stop.

        Args:
          unit: Unit that waits.
          name: Worker that is kept for the suspect.
          fits_elsewhere: Whether it could run on workers that are not kept or
            that yield. If not, those within the share yield too, but not to
            another suspect, which may be the cause of the same crash.
        """
        may_not_stop = self.company(name) == Company.GUARANTEED
        has_to_join = not (unit.suspect or fits_elsewhere)
        return (
            name in self.yielding
            or (unit.guaranteed and may_not_stop)
            or (has_to_join and name not in self.closed)
        )

    def _note_company(
        self, name: str, *, is_suspect: bool, is_guaranteed: bool
    ) -> None:
        company = Company.SUSPECTS if is_suspect else Company.OTHERS
        if is_guaranteed:
            company = Company.GUARANTEED
        self._companies[name] = max(self.company(name), company)

    def _find_suspect(
        self, record: batch.BatchRecord, task_id: batch.TaskId
    ) -> _Suspect | None:
        """Returns the unit of a placed task if it may still crash its worker."""
        crashes = crash_model.unit_crashes(record, task_id)
        if not crash_model.is_suspect(crashes):
            return None
        placed_ms = record.task(task_id).placed_ms
        if crash_model.is_harmless_after(crashes, self._wall_ms - placed_ms):
            return None
        return _Suspect(
            crash_count=crash_model.crash_count(crashes), placed_ms=placed_ms
        )

    def _runs_one_suspect(self, name: str) -> bool:
        return name in self._risky and len(self._units[name]) == 1

    def _has_last_chance(self, name: str) -> bool:
        return self._crash_count(name) >= crash_model.LAST_CHANCE_CRASHES

    def _crash_count(self, name: str) -> int:
        (key,) = self._units[name]
        return self._suspects[key].crash_count

    def _order(self, name: str) -> tuple:
        (key,) = self._units[name]
        suspect = self._suspects[key]
        return (-suspect.crash_count, suspect.placed_ms, key, name)

    def _occupied(
        self, pool: str, workers: Mapping[str, views.WorkerSnapshot]
    ) -> int:
        kept = self.isolated | self._claimed
        return sum(workers[name].pool == pool for name in kept)
