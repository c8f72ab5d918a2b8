"""One round of decisions on batch jobs. Pure."""

import dataclasses
import types
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import availability
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import preempting
from bilberryroute.scheduling.batch import readiness
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views

# Urgency from which on a unit stops only what loses nothing; see `readiness`.
# Only what an account is guaranteed is worth the work that others lose.
FIRST_PATIENT_URGENCY = 1

# A unit with a place of its own (its data's rack, one rack for a gang) waits
# this share of its estimate for it before it runs slower elsewhere.
NEAR_SHARE = 0.5
NEAR_MAX_MS = 1_500

# A guaranteed unit has to begin 2.7 s after its acceptance. It waits this
# long for runs that are about to end; the rest is for stopping others.
GUARANTEE_PATIENCE_MS = 1_400

# Waiting units that keep room free for when they are expected to fit; more
# of them would leave little for smaller ones to fill.
RESERVED_AT_MOST = 4


def plan(
    held: batch.BatchState,
    workers: Iterable[views.WorkerSnapshot],
    left_ms: Mapping[room_lib.RunKey, int],
    wall_ms: int,
    typical_ms: Mapping[str, int] = types.MappingProxyType({}),
    permits: Mapping[views.StepKey, Mapping[str, str]] = (
        types.MappingProxyType({})
    ),
    at_work: Set[room_lib.RunKey] = frozenset(),
) -> views.BatchPlan:
    """Returns what starts now and what stops for it.

    Args:
      held: Batch jobs.
      workers: Workers that are present.
      left_ms: Forecasts of how long runs go on, in milliseconds.
      wall_ms: Unix time in milliseconds.
      typical_ms: How long a task of each queue has taken, in milliseconds.
      permits: Permits of advised queues, by step and worker.
      at_work: Runs that their workers report as at work.
    """
    room = room_lib.Room(held, workers, left_ms, wall_ms, permits)
    guaranteed = readiness.guaranteed_jobs(held)
    ready = readiness.ready_units(held, guaranteed, wall_ms, typical_ms)
    times = deadlines.Deadlines(held, typical_ms, left_ms, wall_ms)
    return _Round(held, room, guaranteed, times, wall_ms, at_work).run(ready)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Fit:
    """Workers on which a unit fits, and in how many milliseconds."""

    ahead_ms: int
    names: tuple[str, ...]


class _Round:
    """State of one round."""

    def __init__(
        self,
        held: batch.BatchState,
        room: room_lib.Room,
        guaranteed: set[str],
        times: deadlines.Deadlines,
        wall_ms: int,
        at_work: Set[room_lib.RunKey],
    ):
        self._held = held
        self._room = room
        self._guaranteed = guaranteed
        self._times = times
        self._wall_ms = wall_ms
        self._at_work = at_work
        self._units: list[batching.Unit] = []
        self._stops: list[batching.TaskRun] = []
        self._victims: list[preempting.Victim] | None = None
        self._reserved = 0
        self._waiting = 0
        self._waits: dict[str, tuple[int, ...]] = {}
        self._advised: dict[views.StepKey, list[str]] = {}

    def run(self, ready: list[views.Ready]) -> views.BatchPlan:
        """Tries units in the order given."""
        full: set[views.StepKey] = set()
        for unit in ready:
            if unit.step_key in full:
                self._waiting += 1
            elif not self._try(unit):
                self._waiting += 1
                self._waits.setdefault(unit.record.id, unit.rank)
                full.add(unit.step_key)
        return views.BatchPlan(
            units=tuple(self._units),
            stops=tuple(self._stops),
            waiting_units=self._waiting,
            waiting_jobs=self._waits,
            permit_candidates=self._advised,
        )

    def _try(self, unit: views.Ready) -> bool:
        if unit.queue.advised:
            self._advised[unit.step_key] = self._room.candidates(
                unit, self._held.evacuated
            )
        guaranteed = unit.rank[1] < FIRST_PATIENT_URGENCY
        within = self._room.free if guaranteed else self._room.usable(unit)
        names = self._fit(unit, within)
        if names is not None:
            refs = tuple(self._room.workers[name].ref for name in names)
            permits = self._room.permits(unit)
            self._units.append(unit.placed(refs, permits))
            self._room.take(unit, names)
            return True
        if guaranteed:
            self._reclaim(unit)
        else:
            self._wait(unit)
        return False

    def _fit(
        self, unit: views.Ready, within: Mapping[str, batch.Resources]
    ) -> tuple[str, ...] | None:
        evacuated = self._held.evacuated
        near = placing.place(unit, self._room, within, evacuated, near=True)
        if near is not None or self._waits_for_near(unit):
            return near
        return placing.place(unit, self._room, within, evacuated, near=False)

    def _waits_for_near(self, unit: views.Ready) -> bool:
        allowed_ms = min(NEAR_MAX_MS, NEAR_SHARE * unit.step.estimate_ms)
        return self._wall_ms - unit.since_ms < allowed_ms

    def _reclaim(self, unit: views.Ready) -> None:
        """Claims room that is about to be free, or stops others for it."""
        waited_ms = self._wall_ms - unit.since_ms
        patience_ms = max(0, GUARANTEE_PATIENCE_MS - waited_ms)
        names = self._fit(unit, self._room.within(patience_ms))
        if names is None:
            names = self._stop_others(unit, self._candidates())
        if names is not None:
            self._room.take(unit, names)

    def _wait(self, unit: views.Ready) -> None:
        """Reserves room, or gets it from work that can spare the time."""
        if self._reserved >= RESERVED_AT_MOST:
            return
        fit = self._next_fit(unit)
        late = fit is None or fit.ahead_ms > self._times.slack_ms(unit)
        names = self._overtake(unit) if late else None
        if names is not None:
            self._room.take(unit, names)
            self._reserved += 1
        elif fit is not None:
            self._room.reserve(unit, fit.names, fit.ahead_ms)
            self._reserved += 1

    def _overtake(self, unit: views.Ready) -> tuple[str, ...] | None:
        """Stops what loses nothing by it for a unit that would be late."""
        worthless = unit.rank[0] > 0
        if worthless:
            return None
        run_ms = self._times.run_ms(unit)
        yielding = [
            victim
            for victim in self._candidates()
            if victim.yields_to(unit.queue.priority, run_ms)
        ]
        return self._stop_others(unit, yielding)

    def _candidates(self) -> list[preempting.Victim]:
        """Returns what may still be stopped in this round."""
        if self._victims is None:
            self._victims = preempting.victims(
                self._held,
                self._guaranteed,
                self._wall_ms,
                availability.Budget(self._held, self._at_work),
                self._times,
            )
        return self._victims

    def _stop_others(
        self, unit: views.Ready, candidates: list[preempting.Victim]
    ) -> tuple[str, ...] | None:
        found = preempting.make_room(
            unit, self._room, candidates, self._held.evacuated
        )
        if found is None:
            return None
        names, chosen = found
        for victim in chosen:
            self._stops += [run for run, _ in victim.tasks]
            self._victims.remove(victim)
            for _, name in victim.tasks:
                if name in self._room.workers:
                    self._room.expect_end(name, victim.need)
        return names

    def _next_fit(self, unit: views.Ready) -> _Fit | None:
        """Returns when and where a unit is expected to fit."""
        for ahead_ms in self._room.ends():
            within = self._room.within(ahead_ms)
            names = placing.place(
                unit, self._room, within, self._held.evacuated, near=True
            )
            if names is not None:
                return _Fit(ahead_ms=ahead_ms, names=names)
        return None
