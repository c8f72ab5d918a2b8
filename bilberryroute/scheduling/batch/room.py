"""Resources that are free on workers, now and as runs end."""

import collections
import contextlib
import dataclasses
import typing
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import interference_choice
from bilberryroute.scheduling.batch import isolation as isolation_lib
from bilberryroute.scheduling.batch import policy as policy_lib
from bilberryroute.scheduling.batch import probing
from bilberryroute.scheduling.batch import reservations as reservations_lib
from bilberryroute.scheduling.batch import run_times as run_times_lib
from bilberryroute.scheduling.batch import views

if typing.TYPE_CHECKING:
    # It imports this module by way of `deadlines`.
    from bilberryroute.scheduling.batch import speed_choice

RunKey = tuple[batch.TaskId, int]

# Lower bound of the remaining time assumed for a run without a forecast.
MIN_REMAINING_MS = 1_000
# Lower bound of a forecast: a run that is overdue may still last, unlike one that
# is being stopped.
MIN_FORECAST_MS = 1
# Runs that a worker is given at most: its agent sends a call for each, and lists
# all of them in each renewal.
MAX_RUNS_PER_WORKER = 2_000
# Remaining time of a long-running task, which ends only when it is stopped.
NEVER_ENDS_MS = 1 << 40


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Allocation:
    """Resources that one run holds, and its expected remaining time."""

    need: batch.Resources
    remaining_ms: int


class AvailableResources:
    """Free resources of each worker during one planning round.

    Times are in milliseconds from now.

    Attributes:
      workers: Workers by name.
      free: Resources that are neither in use nor allocated in this round, by
        worker.
      free_when_idle: Resources that long-running tasks leave free, by worker.
      any_failing: Whether runs failed recently on any worker.
      reservations: What is set aside for units that wait.
      policy: Optional decisions that are switched on.
      speeds: Chooses among workers of unequal speed; None if they are even.
      neighbours: Ranks of workers by what runs there; None if they don't count.
      isolation: Runs of suspect units. A unit for which a worker is kept holds
        all of its resources, as nothing may start beside it.
    """

    def __init__(
        self,
        state: batch.BatchState,
        workers: Iterable[views.WorkerSnapshot],
        remaining_ms: Mapping[RunKey, int],
        wall_ms: int,
        permits: Mapping[views.StepKey, Mapping[str, str]],
        guaranteed: Set[str] = frozenset(),
        policy: policy_lib.Policy = policy_lib.DEFAULT,
        run_times: run_times_lib.RunTimes | None = None,
    ):
        """Computes the free resources.

        Args:
          state: State of the batch jobs with all their placed tasks.
          workers: Workers that are present.
          remaining_ms: Forecast remaining time of each run, in milliseconds.
          wall_ms: Unix time in milliseconds.
          permits: Permits of queues that require them, by step and worker.
          guaranteed: Ids of the jobs within their accounts' guarantees.
          policy: Optional decisions that are switched on.
          run_times: Distributions of run times, used instead of estimates.
        """
        self.policy = policy
        self.neighbours: interference_choice.NeighbourRanks | None = None
        self._run_times = run_times
        self._permits = permits
        self.speeds: speed_choice.SpeedChoice | None = None
        self.workers = {worker.ref.name: worker for worker in workers}
        self.any_failing = any(
            worker.health >= views.WorkerHealth.DOUBTFUL
            for worker in self.workers.values()
        )
        self._probes = probing.Probes(state, self.workers, wall_ms)
        self.free: dict[str, batch.Resources] = {}
        self.free_when_idle: dict[str, batch.Resources] = {}
        self.isolation = isolation_lib.Isolation(guaranteed, wall_ms)
        self._withheld: dict[str, batch.Resources] = {}
        self._allocations: dict[str, list[_Allocation]] = {}
        self.reservations = reservations_lib.Reservations(run_times)
        self._free_within: dict[int, dict[str, batch.Resources]] = {}
        self._task_counts: dict[str, collections.Counter[views.StepKey]] = {}
        self._started_steps: set[views.StepKey] = set()
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._may_hold: dict[Hashable, bool] = {}
        for name, worker in self.workers.items():
            self._count_worker(state, name, worker, remaining_ms, wall_ms)
        self._surplus = self._surplus_by_pool()
        self.isolation.isolate(self.workers)
        for name in self.isolation.isolated:
            self._withhold_rest(name)

    def _count_worker(
        self,
        state: batch.BatchState,
        name: str,
        worker: views.WorkerSnapshot,
        remaining_ms: Mapping[RunKey, int],
        wall_ms: int,
    ) -> None:
        free = free_when_idle = worker.capacity
        allocations = []
        task_counts: collections.Counter[views.StepKey] = collections.Counter()
        for task_id in state.placed.get(worker.ref.agent, ()):
            record = state.jobs[task_id.job_id]
            task = record.task(task_id)
            if task.worker != worker.ref:
                continue
            step = record.content.steps[task_id.step]
            forecast = remaining_ms.get((task_id, task.run))
            if (
                forecast is None
                and self._run_times is not None
                and not step.long_running
            ):
                worked_ms = int(worker.speed * (wall_ms - task.placed_ms))
                left_ms = self._run_times.remaining_ms(
                    record.queue, step.estimate_ms, worked_ms
                )
                forecast = max(MIN_REMAINING_MS, int(left_ms / worker.speed))
            allocation = _Allocation(
                need=batch.task_demand(step),
                remaining_ms=_expected_remaining_ms(
                    task, step, forecast, wall_ms, worker.speed
                ),
            )
            free = free.minus(allocation.need)
            if allocation.remaining_ms >= NEVER_ENDS_MS:
                free_when_idle = free_when_idle.minus(allocation.need)
            allocations.append(allocation)
            task_counts[task_id.job_id, task_id.occurrence, task_id.step] += 1
            self.isolation.note_run(name, record, task_id)
        allocations.sort(key=lambda allocation: allocation.remaining_ms)
        self.free[name] = free
        self.free_when_idle[name] = free_when_idle
        self._allocations[name] = allocations
        self._task_counts[name] = task_counts
        self._run_counts[name] = len(allocations)

    def _withhold_rest(self, name: str) -> None:
        """Allocates what is left of a worker until its runs end."""
        rest = self.free[name]
        allocations = self._allocations[name]
        last_end_ms = allocations[-1].remaining_ms
        allocations.append(_Allocation(need=rest, remaining_ms=last_end_ms))
        self.free[name] = batch.NO_RESOURCES
        self._withheld[name] = rest

    def _return_rest(self, name: str) -> None:
        """Undoes `_withhold_rest`."""
        self.isolation.isolated.remove(name)
        self._allocations[name].pop()
        self.free[name] = self.free[name].plus(self._withheld.pop(name))

    def is_eligible(
        self,
        unit: views.ReadyUnit,
        worker: views.WorkerSnapshot,
        evacuated: list[str],
    ) -> bool:
        """Returns whether a unit may run on a worker, free resources aside."""
        name = worker.ref.name
        needs_nothing = batch.task_demand(unit.step) == batch.NO_RESOURCES
        if needs_nothing and self._is_closed_to_others(name):
            return False
        if not self.isolation.allows(unit, name):
            return False
        advised = unit.queue.advised
        if advised and name not in self.permits(unit):
            return False
        return worker.open and meets_constraints(unit, worker, evacuated)

    def _is_closed_to_others(self, name: str) -> bool:
        """Returns whether nothing may start beside what runs on a worker."""
        return self.isolation.is_kept(name) or name in self._probes.under_way

    def is_probed(self, name: str) -> bool:
        """Returns whether a worker runs the probe that shows if it is sound."""
        return name in self._probes.under_way

    def isolates_enough(self, unit: views.ReadyUnit) -> bool:
        """Returns whether a suspect should get no worker of its own now."""
        return self.isolation.is_exhausted(unit.queue.pool, self.workers)

    def permits(self, unit: views.ReadyUnit) -> Mapping[str, str]:
        """Returns the permits of a unit's step, by worker."""
        return self._permits.get(unit.step_key, {})

    def permit_candidates(
        self, unit: views.ReadyUnit, evacuated: list[str]
    ) -> list[str]:
        """Returns the names of workers to request permits for.

        Workers with enough free resources come first.
        """
        need = batch.task_demand(unit.step)
        fitting = [
            worker
            for worker in self.workers.values()
            if worker.open
            and meets_constraints(unit, worker, evacuated)
            and worker.capacity.holds(need)
        ]
        fitting.sort(key=lambda w: not self.free[w.ref.name].holds(need))
        return [worker.ref.name for worker in fitting]

    def may_hold(self, unit: views.ReadyUnit, evacuated: list[str]) -> bool:
        """Returns whether any worker has what a task of a unit needs.

        Counts what is set aside or kept for others, so that a unit for which
        this is false starts nowhere now. The same for all units with these
        needs until something starts.
        """
        step = unit.step
        need = batch.task_demand(step)
        key = (unit.queue.pool, step.required_label, need, tuple(evacuated))
        if key not in self._may_hold:
            usable = self.free_beside_runs()
            self._may_hold[key] = any(
                usable[name].holds(need)
                and meets_constraints(unit, worker, evacuated)
                for name, worker in self.workers.items()
            )
        return self._may_hold[key]

    def remaining_spread(self, unit: views.ReadyUnit, name: str) -> int:
        """Returns how many more tasks of the unit's step a worker may run."""
        limit = unit.step.spread_limit
        spread = unit.step.count
        if limit:
            spread = limit - self._task_counts[name][unit.step_key]
        return min(spread, MAX_RUNS_PER_WORKER - self._run_counts[name])

    def free_after(self, delay_ms: int) -> dict[str, batch.Resources]:
        """Returns the resources that are free once runs due by then end."""
        return {name: self._free_after(name, delay_ms) for name in self.workers}

    def free_within(self, delay_ms: int) -> Mapping[str, batch.Resources]:
        """Returns `free_after` as it was when first called in this round.

        Good for estimates only: what the round allocates since is not counted.
        """
        if delay_ms not in self._free_within:
            self._free_within[delay_ms] = self.free_after(delay_ms)
        return self._free_within[delay_ms]

    def expected_end_times(self) -> list[int]:
        """Returns the expected end times of all runs, in ascending order."""
        return sorted(
            {
                a.remaining_ms
                for allocations in self._allocations.values()
                for a in allocations
            }
        )

    def unreserved_for(
        self, unit: views.ReadyUnit
    ) -> dict[str, batch.Resources]:
        """Returns the resources that a unit may use without delaying others.

        Backfill: a unit that is expected to end before a reservation starts
        may use the reserved resources; any other unit only what is left.
        """
        usable = self.free_beside_probes()
        for each in self.reservations.binding(unit):
            at_start = self._free_after(each.worker, each.from_ms)
            usable[each.worker] = _minimum(
                usable[each.worker], at_start.minus(each.need)
            )
        return usable

    def free_beside_probes(self) -> dict[str, batch.Resources]:
        """Returns what is free now, whoever has reserved it.

        Beside the probe of a worker that just failed nothing is usable.
        """
        usable = dict(self.free)
        for name in self._probes.under_way:
            usable[name] = batch.NO_RESOURCES
        return usable

    def free_beside_claims(
        self, claims_too_long: Callable[[views.ReadyUnit], bool]
    ) -> dict[str, batch.Resources]:
        """Returns `free_beside_probes`, and the idle room of claims that are over.

        Args:
          claims_too_long: Whether the claims of a unit are over.
        """
        usable = self.free_beside_probes()
        for each in self.reservations.claims:
            is_probed = each.worker in self._probes.under_way
            if claims_too_long(each.unit) and not is_probed:
                usable[each.worker] = usable[each.worker].plus(each.need)
        return usable

    def unclaimed(self) -> dict[str, batch.Resources]:
        """Returns what is free, including what is set aside in this round."""
        free = dict(self.free)
        for each in self.reservations.claims:
            free[each.worker] = free[each.worker].plus(each.need)
        return free

    def free_beside_runs(self) -> dict[str, batch.Resources]:
        """Returns what is free, including what is set aside or kept."""
        usable = self.unclaimed()
        for name, rest in self._withheld.items():
            usable[name] = usable[name].plus(rest)
        return usable

    def free_beside_suspects(
        self, unit: views.ReadyUnit, *, fits_elsewhere: bool
    ) -> dict[str, batch.Resources]:
        """Returns what a unit that has waited for long may use.

        Not beside a probe, unless it is guaranteed.
        """
        usable = (
            dict(self.free) if unit.guaranteed else self.unreserved_for(unit)
        )
        for name, rest in self._withheld.items():
            is_open = unit.guaranteed or name not in self._probes.under_way
            if is_open and self.isolation.yields_to(
                unit, name, fits_elsewhere=fits_elsewhere
            ):
                usable[name] = usable[name].plus(rest)
        return usable

    @contextlib.contextmanager
    def opened_to(self, unit: views.ReadyUnit) -> Iterator[None]:
        """Treats workers of suspects that a unit may join as not kept."""
        names = [
            name
            for name in self._withheld
            if self.isolation.yields_to(unit, name, fits_elsewhere=True)
        ]
        for name in names:
            self._return_rest(name)
        yield
        for name in names:
            self.isolation.isolated.add(name)
            self._withhold_rest(name)

    def free_when_yielding(self) -> dict[str, batch.Resources]:
        """Returns what short runs leave free, save where suspects stay alone."""
        kept = self.isolation.isolated - self.isolation.yielding
        return {
            name: batch.NO_RESOURCES if name in kept else free
            for name, free in self.free_when_idle.items()
        }

    def is_mostly_idle(self, pool: str) -> bool:
        """Returns whether runs use less than half of each resource of a pool."""
        surplus = self._surplus.get(pool)
        return surplus is not None and surplus.holds(batch.NO_RESOURCES)

    def is_half_idle(self, pool: str) -> bool:
        """Returns whether runs use less than half of the value of a pool."""
        surplus = self._surplus.get(pool, batch.NO_RESOURCES)
        return surplus.value_millis > 0

    def _surplus_by_pool(self) -> dict[str, batch.Resources]:
        """Returns by how much the free resources of pools exceed the used."""
        surplus: dict[str, batch.Resources] = {}
        for name, worker in self.workers.items():
            # Free minus used, as both add up to the capacity.
            difference = self.free[name].plus(self.free[name])
            difference = difference.minus(worker.capacity)
            known = surplus.get(worker.pool, batch.NO_RESOURCES)
            surplus[worker.pool] = known.plus(difference)
        return surplus

    def start(self, unit: views.ReadyUnit, names: Iterable[str]) -> None:
        """Allocates workers to a unit that starts now, one name for each task.

        On a worker that just failed, it is the probe.
        """
        self._allocate(unit, names)
        if self.neighbours is not None:
            self.neighbours.note_start(unit.step, names)
        self._probes.note_start(names)
        self._started_steps.add(unit.step_key)

    def starts_step(self, unit: views.ReadyUnit) -> bool:
        """Returns whether a unit of the same step starts in this round."""
        return unit.step_key in self._started_steps

    def claim(self, unit: views.ReadyUnit, names: Iterable[str]) -> None:
        """Allocates workers to a unit that starts once others have ended."""
        free = {name: self.free[name] for name in names}
        self._allocate(unit, names)
        self.reservations.claims += [
            reservations_lib.Claim(
                unit=unit,
                worker=name,
                tasks=count,
                need=free[name].minus(self.free[name]),
            )
            for name, count in collections.Counter(names).items()
        ]

    def _allocate(self, unit: views.ReadyUnit, names: Iterable[str]) -> None:
        """Subtracts the demand of one task for each worker name given.

        Subtracts the whole worker for a unit that runs apart from others.
        """
        if unit.takes_whole_workers:
            self._claim_whole(names)
        elif unit.suspect:
            self.isolation.note_start(names)
        self._may_hold.clear()
        need = batch.task_demand(unit.step)
        for name in names:
            if not unit.takes_whole_workers:
                self.free[name] = self.free[name].minus(need)
            self._task_counts[name][unit.step_key] += 1
            self._run_counts[name] += 1

    def _claim_whole(self, names: Iterable[str]) -> None:
        """Subtracts the capacity of workers, as nothing may start there."""
        for name in set(names):
            capacity = self.workers[name].capacity
            self.free[name] = self.free[name].minus(capacity)
        self.isolation.claim(set(names))

    def reserve(
        self, unit: views.ReadyUnit, names: Iterable[str], from_ms: int
    ) -> None:
        """Reserves the demand of one task on each worker from a time on.

        Reserves the whole worker for a unit that runs apart from others.
        """
        if unit.takes_whole_workers:
            needs = [(name, self.workers[name].capacity) for name in set(names)]
        else:
            needs = [(name, batch.task_demand(unit.step)) for name in names]
        self.reservations.reserve(unit, needs, from_ms)

    def mark_stopping(self, name: str, need: batch.Resources) -> None:
        """Treats one run with this need on a worker as about to end.

        On an isolated worker the suspect unit is all that runs.
        """
        if name in self.isolation.isolated:
            self._allocations[name] = [
                dataclasses.replace(each, remaining_ms=0)
                for each in self._allocations[name]
            ]
            return
        for allocation in self._allocations[name]:
            if allocation.need == need and allocation.remaining_ms > 0:
                self._allocations[name].remove(allocation)
                self._allocations[name].insert(
                    0, _Allocation(need=need, remaining_ms=0)
                )
                return

    def _free_after(self, name: str, delay_ms: int) -> batch.Resources:
        free = self.free[name]
        for allocation in self._allocations[name]:
            if allocation.remaining_ms > delay_ms:
                break
            free = free.plus(allocation.need)
        return free


def meets_constraints(
    unit: views.ReadyUnit, worker: views.WorkerSnapshot, evacuated: list[str]
) -> bool:
    """Returns whether a worker that is open and idle may run a unit."""
    label = unit.step.required_label
    return (
        worker.pool == unit.queue.pool
        and worker.failure_domain not in evacuated
        and (not label or label in worker.labels)
    )


def _expected_remaining_ms(
    task: batch.TaskRecord,
    step: batch.Step,
    forecast: int | None,
    wall_ms: int,
    speed: float,
) -> int:
    if task.state != batch.TaskState.PLACED:
        return 0  # The run is being stopped.
    if step.long_running:
        return NEVER_ENDS_MS
    if forecast is not None:
        return max(MIN_FORECAST_MS, forecast)
    ran_ms = wall_ms - task.placed_ms
    return max(MIN_REMAINING_MS, int(step.estimate_ms / speed) - ran_ms)


def _minimum(a: batch.Resources, b: batch.Resources) -> batch.Resources:
    return batch.Resources(
        cpu_millis=min(a.cpu_millis, b.cpu_millis),
        memory_mb=min(a.memory_mb, b.memory_mb),
        accelerators=min(a.accelerators, b.accelerators),
    )
