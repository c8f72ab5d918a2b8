"""One planning round: tries to place each unit that is ready, in order."""

import dataclasses
import enum
from collections.abc import Generator
from collections.abc import Hashable
from collections.abc import Mapping
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import availability
from bilberryroute.scheduling.batch import avoiding
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import future_fits
from bilberryroute.scheduling.batch import idling
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import preempting
from bilberryroute.scheduling.batch import readiness
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import stops
from bilberryroute.scheduling.batch import suspects
from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import waiting

# A unit that would fit near its data or rack only on workers that are absent
# waits this share of its estimated duration for them, up to the maximum.
LOCALITY_WAIT_SHARE = 0.5
LOCALITY_WAIT_MAX_MS = 1_500

# A guaranteed unit has to start within 2.7 s of its acceptance. It waits this
# long for runs that are about to end; the rest is left for preemption.
GUARANTEE_WAIT_MS = 1_400

# How long a guaranteed unit waits for room that it has claimed, as runs there
# are being stopped. Beyond that it would start too late, and the idle part of
# that room is used: other jobs count as lost after 3 s. What uses it is stopped
# only if the unit then fits, without the runs whose stop takes so long.
CLAIM_MAX_MS = 2_500

# How long a unit waits, from when it was due, until it may start on a worker
# that is kept for a suspect.
WAIT_BESIDE_SUSPECTS_MS = GUARANTEE_WAIT_MS

# Waiting units per round that get a reservation for when they are expected to
# fit. More reservations would leave too little room for backfill.
MAX_RESERVATIONS = 4

# Waiting jobs per round for which the plan says why they wait. Others follow in
# the next rounds.
MAX_EXPLAINED_JOBS = 8


# Tasks that one round starts at most. The next round follows as soon as they are
# committed; a command of more would take long to apply and to pass on.
MAX_STARTS = 256


class Attempt(enum.Enum):
    """What came of an attempt to place a unit."""

    STARTS = enum.auto()
    # Room that is about to be free is set aside for it, so that other units of
    # its step have to find room of their own.
    CLAIMS = enum.auto()
    WAITS = enum.auto()


class PlanningRound:
    """State of one planning round."""

    def __init__(
        self,
        state: batch.BatchState,
        resources: room_lib.AvailableResources,
        guaranteed: set[str],
        job_deadlines: deadlines.Deadlines,
        wall_ms: int,
        available_runs: Set[room_lib.RunKey],
        explained: Set[str],
        waited_ms: Mapping[views.UnitKey, int],
        weigher: stops.Weigher | None,
    ):
        self._weigher = weigher
        self._weighings: dict[str, views.Weighing] = {}
        self._state = state
        self._resources = resources
        self._guaranteed = guaranteed
        self._job_deadlines = job_deadlines
        self._wall_ms = wall_ms
        self._available_runs = available_runs
        self._units: list[batching.Unit] = []
        self._started_jobs: set[str] = set()
        self._stopped_for: dict[batching.TaskRun, str] = {}
        self._preemptible: list[preempting.PreemptibleUnit] | None = None
        self._reservation_count = 0
        self._started_tasks = 0
        self._waiting_units: set[views.UnitKey] = set()
        self._waiting_count = 0
        self._waiting_jobs: set[str] = set()
        self._explained = explained
        self._waited_ms = waited_ms
        self._waits: dict[str, views.Wait] = {}
        self._fits: dict[Hashable, views.FutureFit | None] = {}
        self._permit_candidates: dict[views.StepKey, list[str]] = {}

    def run(
        self, ready: readiness.ReadyUnits
    ) -> Generator[None, None, views.BatchPlan]:
        """Tries to place each unit, in the given order."""
        blocked: set[Hashable] = set()
        complete = True
        for unit in ready:
            yield
            if self._started_tasks >= MAX_STARTS:
                complete = False
                break
            key = (self._placement_key(unit), unit.crash_count)
            if key in blocked:
                self._count_waiting(unit, ready)
                continue
            attempt = self._try_place(unit)
            if attempt == Attempt.STARTS:
                continue
            if attempt == Attempt.WAITS:
                blocked.add(key)
                self._count_waiting(unit, ready)
            else:
                self._fits.pop(self._placement_key(unit), None)
                self._waiting_units.add(unit.wait_key)
                self._waiting_count += 1
            self._note_waiting(unit)
        return views.BatchPlan(
            units=tuple(self._units),
            stops=tuple(self._stopped_for),
            stopped_for=self._stopped_for,
            weighings=self._weighings,
            waiting_units=frozenset(self._waiting_units),
            waiting_count=self._waiting_count,
            complete=complete,
            waiting_jobs=frozenset(self._waiting_jobs),
            waits=self._waits,
            permit_candidates=self._permit_candidates,
        )

    def _count_waiting(
        self, unit: views.ReadyUnit, ready: readiness.ReadyUnits
    ) -> None:
        """Counts a unit and the new ones of its step, which are like it."""
        self._waiting_units.add(unit.wait_key)
        self._waiting_count += 1 + ready.drop_further()

    def _note_waiting(self, unit: views.ReadyUnit) -> None:
        """Explains why a job waits, by the first of its units that does."""
        job_id = unit.record.id
        if (
            job_id not in self._waiting_jobs
            and job_id not in self._explained
            and len(self._waits) < MAX_EXPLAINED_JOBS
        ):
            self._waits[job_id] = waiting.explain(
                unit,
                self._resources,
                self._state.evacuated,
                self._earliest_fit(unit),
            )
        self._waiting_jobs.add(job_id)

    def _placement_key(self, unit: views.ReadyUnit) -> Hashable:
        workers = self._resources.workers
        return unit.placement_key(avoiding.own_failures(unit, workers))

    def _try_place(self, unit: views.ReadyUnit) -> Attempt:
        if unit.queue.advised:
            self._permit_candidates[unit.step_key] = (
                self._resources.permit_candidates(unit, self._state.evacuated)
            )
        choices = suspects.choices(unit, self._resources)
        if unit.guaranteed:
            return self._try_place_guaranteed(unit, choices)
        if not self._resources.may_hold(unit, self._state.evacuated):
            if choices:
                self._reserve_or_preempt(choices[-1])
            return Attempt.WAITS
        for each in choices:
            if self._place_on(each, self._resources.unreserved_for(each)):
                return Attempt.STARTS
        if self._join_suspect(unit):
            return Attempt.STARTS
        if choices and self._start_after_wait(choices[-1]):
            return Attempt.STARTS
        if choices:
            self._reserve_or_preempt(choices[-1])
        return Attempt.WAITS

    def _try_place_guaranteed(
        self, unit: views.ReadyUnit, choices: list[views.ReadyUnit]
    ) -> Attempt:
        """Starts or reclaims, on failing workers only if no others suffice."""
        if unit.failed_on or self._resources.any_failing:
            choices = [
                dataclasses.replace(each, accepts_failing=accepts)
                for each in choices
                for accepts in (False, True)
            ]
        if self._claims_too_long(unit):
            for each in choices:
                if self._place_on(each, self._resources.free):
                    return Attempt.STARTS
        for each in choices:
            if self._place_on(each, self._resources.free):
                return Attempt.STARTS
            if self._reclaim(each):
                return Attempt.CLAIMS
        if self._join_suspect(unit):
            return Attempt.STARTS
        if self._may_join_suspect(unit):
            with self._resources.opened_to(unit):
                if self._reclaim(unit):
                    return Attempt.CLAIMS
        return Attempt.WAITS

    def _claims_too_long(self, unit: views.ReadyUnit) -> bool:
        """Returns whether runs that a guaranteed unit waits for don't end."""
        waited_ms = self._waited_ms.get(unit.wait_key, 0)
        return unit.guaranteed and waited_ms >= CLAIM_MAX_MS

    def _join_suspect(self, unit: views.ReadyUnit) -> bool:
        """Starts on a worker that is kept for a suspect, if that may yield."""
        return self._may_join_suspect(unit) and self._place_on(
            unit,
            self._resources.free_beside_suspects(
                unit, fits_elsewhere=self._may_fit_elsewhere(unit)
            ),
        )

    def _may_join_suspect(self, unit: views.ReadyUnit) -> bool:
        """Returns whether a unit has waited long enough to join a suspect.

        Unless it is guaranteed, only while most of the pool is idle.
        """
        waited_ms = self._wall_ms - unit.due_since_ms
        return (
            bool(self._resources.isolation.isolated)
            and waited_ms >= WAIT_BESIDE_SUSPECTS_MS
            and suspects.may_join_others(unit, self._resources)
            and (
                unit.guaranteed
                or self._resources.is_mostly_idle(unit.queue.pool)
            )
        )

    def _may_fit_elsewhere(self, unit: views.ReadyUnit) -> bool:
        """Returns whether a unit need not join a suspect to start some day."""
        evacuated = self._state.evacuated
        fitting = idling.fitting_units(
            unit,
            self._resources,
            self._resources.free_when_yielding(),
            [
                worker
                for worker in self._resources.workers.values()
                if self._resources.is_eligible(unit, worker, evacuated)
            ],
        )
        return fitting > 0

    def _start_after_wait(self, unit: views.ReadyUnit) -> bool:
        """Starts a unit that has waited long enough beside idle workers."""
        match idling.start_after(
            unit,
            self._resources,
            self._state.evacuated,
            self._waited_ms.get(unit.wait_key, 0),
            job_runs=unit.job_runs or unit.record.id in self._started_jobs,
        ):
            case idling.Start.UNRESERVED:
                available = self._resources.unreserved_for(unit)
            case idling.Start.ANYWHERE:
                available = self._resources.free_beside_claims(
                    self._claims_too_long
                )
                if unit.last_attempt:
                    available = avoiding.beside_recent_failures(
                        available, self._resources.workers
                    )
                unit = dataclasses.replace(unit, accepts_failing=True)
            case _:
                return False
        names = placing.place(
            unit,
            self._resources,
            available,
            self._state.evacuated,
            local_only=False,
        )
        return self._start(unit, names)

    def _place_on(
        self, unit: views.ReadyUnit, available: Mapping[str, batch.Resources]
    ) -> bool:
        return self._start(unit, self._find_workers(unit, available))

    def _start(
        self, unit: views.ReadyUnit, names: tuple[str, ...] | None
    ) -> bool:
        """Starts a unit if workers were found for it."""
        if names is None:
            return False
        refs = tuple(self._resources.workers[name].ref for name in names)
        permits = self._resources.permits(unit)
        self._units.append(unit.to_command(refs, permits))
        self._started_jobs.add(unit.record.id)
        self._started_tasks += len(unit.indexes)
        self._resources.start(unit, names)
        return True

    def _find_workers(
        self, unit: views.ReadyUnit, available: Mapping[str, batch.Resources]
    ) -> tuple[str, ...] | None:
        evacuated = self._state.evacuated
        local = placing.place(
            unit, self._resources, available, evacuated, local_only=True
        )
        if local is not None or not placing.has_preference(unit.step):
            return local
        if self._waits_for_locality(unit):
            return None
        return placing.place(
            unit, self._resources, available, evacuated, local_only=False
        )

    def _waits_for_locality(self, unit: views.ReadyUnit) -> bool:
        """Returns whether starting later near its data or rack is better.

        Elsewhere a unit takes `REMOTE_FACTOR` times as long, so it waits if it
        is expected to finish earlier that way. If no end of a run would let it
        start there, it waits for workers that may come back, unless even they
        would not suffice. A guaranteed unit waits no longer than for preemption.
        """
        waited_ms = self._wall_ms - unit.due_since_ms
        fit = self._earliest_fit(unit)
        if fit is None:
            estimate_ms = unit.step.estimate_ms
            if self._resources.policy.forecast_tails:
                estimate_ms = self._job_deadlines.run_ms(unit)
            max_wait_ms = min(
                LOCALITY_WAIT_MAX_MS, LOCALITY_WAIT_SHARE * estimate_ms
            )
            return waited_ms < max_wait_ms and not self._is_wider_than_racks(
                unit
            )
        if unit.guaranteed:
            return waited_ms < GUARANTEE_WAIT_MS
        run_ms = self._job_deadlines.run_ms(unit)
        return fit.delay_ms < (placing.REMOTE_FACTOR - 1) * run_ms

    def _is_wider_than_racks(self, unit: views.ReadyUnit) -> bool:
        return placing.is_wider_than_racks(
            unit, self._resources, self._state.evacuated
        )

    def _reclaim(self, unit: views.ReadyUnit) -> bool:
        """Claims resources that are about to be freed, or preempts for them.

        What is being stopped comes first: it may be stopped for this unit.
        Returns whether there are enough of either.
        """
        waited_ms = self._wall_ms - unit.due_since_ms
        wait_left_ms = max(0, GUARANTEE_WAIT_MS - waited_ms)
        names = self._find_workers(unit, self._resources.free_after(0))
        if names is None:
            names = self._find_workers(
                unit, self._resources.free_after(wait_left_ms)
            )
        if names is None:
            names = self._preempt(
                unit,
                self._preemption_candidates(),
                max_loss=self._weigher.reclaimed(unit)
                if self._weigher is not None and wait_left_ms > 0
                else None,
                counts_stopping=not self._claims_too_long(unit),
            )
        if names is None:
            return False
        self._resources.claim(unit, names)
        return True

    def _reserve_or_preempt(self, unit: views.ReadyUnit) -> None:
        """Reserves resources, or preempts work that can afford the delay."""
        if self._reservation_count >= MAX_RESERVATIONS:
            return
        if unit.takes_whole_workers and self._resources.isolates_enough(unit):
            return
        fit = self._earliest_fit(unit)
        would_be_late = (
            fit is None
            or fit.delay_ms > self._job_deadlines.waiting_slack_ms(unit)
        )
        preempts = would_be_late and not unit.suspect
        names = self._preempt_for_late(unit, fit) if preempts else None
        if names is not None:
            self._resources.claim(unit, names)
            self._reservation_count += 1
        elif fit is not None:
            self._resources.reserve(unit, fit.names, fit.delay_ms)
            self._reservation_count += 1

    def _preempt_for_late(
        self, unit: views.ReadyUnit, fit: views.FutureFit | None
    ) -> tuple[str, ...] | None:
        """Preempts work that loses little, for a unit that would be late.

        That is work that loses nothing, unless stops are weighed.
        """
        has_no_value = unit.rank[0] > 0
        if has_no_value:
            return None
        run_ms = self._job_deadlines.run_ms(unit)
        yielding = [
            candidate
            for candidate in self._preemption_candidates()
            if candidate.can_yield_to(unit.queue.priority, run_ms)
        ]
        # Room elsewhere would not be taken.
        local_only = self._waits_for_locality(unit)
        max_loss = None
        if self._weigher is not None:
            max_loss = int(self._weigher.won(unit, fit) / stops.MARGIN)
        return self._preempt(
            unit, yielding, local_only=local_only, max_loss=max_loss
        )

    def _preemption_candidates(self) -> list[preempting.PreemptibleUnit]:
        """Returns the units that may still be preempted in this round."""
        if self._preemptible is None:
            self._preemptible = preempting.preemptible_units(
                self._state,
                self._guaranteed,
                self._wall_ms,
                availability.DisruptionBudget(
                    self._state, self._available_runs
                ),
                self._job_deadlines,
                self._weigher,
            )
        return self._preemptible

    def _preempt(
        self,
        unit: views.ReadyUnit,
        candidates: list[preempting.PreemptibleUnit],
        *,
        local_only: bool = False,
        max_loss: int | None = None,
        counts_stopping: bool = True,
    ) -> tuple[str, ...] | None:
        """Stops runs for a unit, unless that loses more than `max_loss`."""
        selection = preempting.select_preemptions(
            unit,
            self._resources,
            candidates,
            self._state.evacuated,
            self._job_deadlines.run_ms(unit),
            local_only=local_only,
            counts_stopping=counts_stopping,
        )
        if selection is None:
            return None
        names, preempted = selection
        if self._weigher is not None:
            lost = preempting.total_loss(preempted)
            if max_loss is not None and lost > max_loss:
                return None
            self._weighings[unit.record.id] = views.Weighing(
                won=max_loss, lost=lost
            )
        for candidate in preempted:
            for run, _ in candidate.tasks:
                self._stopped_for[run] = unit.record.id
            self._preemptible.remove(candidate)
            for _, name in candidate.tasks:
                if name in self._resources.workers:
                    self._resources.mark_stopping(name, candidate.need)
        return names

    def _earliest_fit(self, unit: views.ReadyUnit) -> views.FutureFit | None:
        """Returns the earliest expected local fit of a unit, or None.

        Computed once a round for each step and what its units avoid: what is
        placed in between changes it little.
        """
        key = self._placement_key(unit)
        if key not in self._fits:
            self._fits[key] = future_fits.earliest(
                unit, self._resources, self._state.evacuated
            )
        return self._fits[key]
