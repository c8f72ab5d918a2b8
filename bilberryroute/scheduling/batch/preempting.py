"""Selects the runs to preempt for a unit that waits."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import availability
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import stops
from bilberryroute.scheduling.batch import views

# Time that a checkpointing run loses by preemption: its restart, and what it
# runs between the decision to stop it and its checkpoint.
RESTART_LOSS_MS = 500


# Compared by identity: there is one of each unit, and a round compares many.
@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class PreemptibleUnit:
    """A running unit (a gang, or one task) that may be preempted.

    Attributes:
      tasks: Runs of its placed tasks, with the names of their workers.
      need: Resources that each of its tasks holds.
      lost_work: Work that preemption would lose, in thousandths of a
        core-millisecond.
      priority: Priority of its queue; 0 is the most urgent.
      checkpoints: Whether it saves a checkpoint when it is stopped.
      stopped_before: Whether a run of any of its tasks was stopped before.
      slack_ms: How much its job may be delayed and still meet its objective,
        or, if that is missed already, still have value.
      lost_value: What its job earns less, counted as work; 0 if stops aren't
        weighed.
    """

    tasks: tuple[tuple[batching.TaskRun, str], ...]
    need: batch.Resources
    lost_work: int
    priority: int
    checkpoints: bool
    stopped_before: bool
    slack_ms: int
    lost_value: int = 0

    @property
    def job_id(self) -> str:
        """Id of its job."""
        return self.tasks[0][0].task.job_id

    def can_yield_to(self, priority: int, run_ms: int) -> bool:
        """Returns whether more urgent work may preempt it without loss.

        Args:
          priority: Queue priority of the waiting work.
          run_ms: Expected duration of the waiting work, in milliseconds.
        """
        less_urgent = self.priority > priority
        return (
            less_urgent
            and self.checkpoints
            and not self.stopped_before
            and self.slack_ms >= run_ms + RESTART_LOSS_MS
        )

    def resources_on(self, name: str) -> batch.Resources:
        """Returns the resources that its tasks hold on one worker."""
        total = batch.NO_RESOURCES
        for _, each in self.tasks:
            if each == name:
                total = total.plus(self.need)
        return total


def preemptible_units(
    state: batch.BatchState,
    guaranteed: set[str],
    wall_ms: int,
    budget: availability.DisruptionBudget,
    job_deadlines: deadlines.Deadlines,
    weigher: stops.Weigher | None = None,
) -> list[PreemptibleUnit]:
    """Returns all units that may be preempted, least lost work first.

    For a step that limits how many of its tasks may be unavailable, the result
    includes no more of them than the budget allows.
    """
    tasks_by_unit: dict[tuple, list[tuple[batching.TaskRun, str]]] = {}
    for task_ids in state.placed.values():
        for task_id in task_ids:
            record = state.jobs[task_id.job_id]
            task = record.task(task_id)
            placed = task.state == batch.TaskState.PLACED
            if not placed or record.id in guaranteed:
                continue
            gang = record.content.steps[task_id.step].gang
            index = -1 if gang else task_id.index
            key = (record.id, task_id.occurrence, task_id.step, index)
            each = batching.TaskRun(task=task_id, run=task.run)
            tasks_by_unit.setdefault(key, []).append((each, task.worker.name))
    units = [
        _preemptible_unit(state, tasks, wall_ms, job_deadlines)
        for tasks in tasks_by_unit.values()
    ]
    if weigher is not None:
        units = [_weighed(unit, weigher, job_deadlines) for unit in units]
    units.sort(key=lambda candidate: candidate.lost_work + candidate.lost_value)
    return [unit for unit in units if _spend_budget(unit, budget)]


def _spend_budget(
    unit: PreemptibleUnit, budget: availability.DisruptionBudget
) -> bool:
    runs = [run for run, _ in unit.tasks]
    allowed = budget.allows(runs)
    if allowed:
        budget.spend(runs)
    return allowed


def _preemptible_unit(
    state: batch.BatchState,
    tasks: list[tuple[batching.TaskRun, str]],
    wall_ms: int,
    job_deadlines: deadlines.Deadlines,
) -> PreemptibleUnit:
    first = tasks[0][0].task
    record = state.jobs[first.job_id]
    step = record.content.steps[first.step]
    ran_ms = max(0, wall_ms - record.task(first).placed_ms)
    if step.checkpointing:
        ran_ms = min(ran_ms, RESTART_LOSS_MS)
    queue = state.catalog.queue(record.queue)
    return PreemptibleUnit(
        tasks=tuple(tasks),
        need=batch.task_demand(step),
        lost_work=ran_ms * len(tasks) * step.need.value_millis,
        priority=queue.priority if queue is not None else 0,
        checkpoints=step.checkpointing,
        stopped_before=any(record.task(run.task).stops for run, _ in tasks),
        slack_ms=min(
            job_deadlines.running_slack_ms(run.task) for run, _ in tasks
        ),
    )


def _weighed(
    unit: PreemptibleUnit,
    weigher: stops.Weigher,
    job_deadlines: deadlines.Deadlines,
) -> PreemptibleUnit:
    """Adds what the unit's job loses; nothing is lost of a worthless one."""
    work_per_ms = max(1, len(unit.tasks) * unit.need.value_millis)
    run, _ = unit.tasks[0]
    wait_ms = job_deadlines.expected_run_ms(run.task)
    delay_ms = unit.lost_work // work_per_ms + stops.STOP_MS + wait_ms
    lost_value = weigher.lost_value(run, delay_ms)
    if lost_value is None:
        return dataclasses.replace(unit, lost_work=0)
    return dataclasses.replace(unit, lost_value=lost_value)


def total_loss(units: Iterable[PreemptibleUnit]) -> int:
    """Returns what stopping units loses; each job loses its value once."""
    work = 0
    values: dict[str, int] = {}
    for unit in units:
        work += unit.lost_work
        values[unit.job_id] = max(values.get(unit.job_id, 0), unit.lost_value)
    return work + sum(values.values())


def select_preemptions(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    candidates: list[PreemptibleUnit],
    evacuated: list[str],
    run_ms: int,
    *,
    local_only: bool,
    counts_stopping: bool = True,
) -> tuple[tuple[str, ...], list[PreemptibleUnit]] | None:
    """Returns a worker for each task of a unit and what to stop, or None.

    Among the groups of workers, selects the one that costs the least work:
    what preemption loses there and, where the unit's rack preference is not
    satisfied, what the unit takes longer.

    Args:
      unit: Unit that waits.
      resources: Workers and what runs on them.
      candidates: Units that may be preempted, least lost work first.
      evacuated: Failure domains where nothing may start.
      run_ms: Expected duration of the unit, in milliseconds.
      local_only: Whether to consider only workers that satisfy its preference.
      counts_stopping: Whether runs that are being stopped count as ended.
    """
    free = resources.free_after(0) if counts_stopping else resources.free
    options = []
    for local in (True,) if local_only else (True, False):
        factor = 0 if local else placing.REMOTE_FACTOR
        remote_work = (
            factor * run_ms * len(unit.indexes) * unit.step.need.value_millis
        )
        for group in placing.worker_groups(
            unit, resources, evacuated, local_only=local
        ):
            attempt = _PreemptionAttempt(
                unit, resources, free, candidates, group
            )
            if attempt.succeeded:
                options.append((attempt.lost_work + remote_work, attempt))
    if not options:
        return None
    _, best = min(options, key=lambda option: option[0])
    return tuple(best.names), best.to_stop


class _PreemptionAttempt:
    """Tries to fit a unit into one group of workers by preemption.

    Attributes:
      names: A worker's name for each task.
      to_stop: Units that must be preempted.
      succeeded: Whether all tasks fit.
    """

    def __init__(
        self,
        unit: views.ReadyUnit,
        resources: room_lib.AvailableResources,
        free: Mapping[str, batch.Resources],
        candidates: list[PreemptibleUnit],
        group: list[views.WorkerSnapshot],
    ):
        self._need = batch.task_demand(unit.step)
        self._takes_whole_workers = unit.takes_whole_workers
        self._capacity = {w.ref.name: w.capacity for w in group}
        self._isolated = resources.isolation.isolated
        self._free = {w.ref.name: free[w.ref.name] for w in group}
        self._remaining_spread = {
            n: resources.remaining_spread(unit, n) for n in self._free
        }
        self._candidates_by_worker: Mapping[str, list[PreemptibleUnit]] = (
            _group_by_worker(candidates)
        )
        self._lost_values: dict[str, int] = {}
        self.names: list[str] = []
        self.to_stop: list[PreemptibleUnit] = []
        self.succeeded = all(self._place_task() for _ in unit.indexes)

    @property
    def lost_work(self) -> int:
        """Total work that the preemptions lose."""
        return total_loss(self.to_stop)

    def _place_task(self) -> bool:
        options = []
        for name in self._free:
            if self._remaining_spread[name] > 0:
                found = self._cheapest_stops(name)
                if found is not None:
                    loss = self._added_loss(found)
                    options.append((loss, len(found), name, found))
        if not options:
            return False
        *_, name, found = min(options, key=lambda option: option[:3])
        for candidate in found:
            self.to_stop.append(candidate)
            job_id = candidate.job_id
            self._lost_values[job_id] = max(
                self._lost_values.get(job_id, 0), candidate.lost_value
            )
            for each in {each for _, each in candidate.tasks}:
                if each in self._free:
                    self._free[each] = self._free[each].plus(
                        self._held_by(candidate, each)
                    )
        self._free[name] = self._free[name].minus(self._need)
        self._remaining_spread[name] -= 1
        self.names.append(name)
        return True

    def _added_loss(self, found: list[PreemptibleUnit]) -> int:
        """Returns what stopping some more units loses."""
        work = 0
        values: dict[str, int] = {}
        for candidate in found:
            work += candidate.lost_work
            values[candidate.job_id] = max(
                values.get(candidate.job_id, 0), candidate.lost_value
            )
        return work + sum(
            max(0, value - self._lost_values.get(job_id, 0))
            for job_id, value in values.items()
        )

    def _held_by(
        self, candidate: PreemptibleUnit, name: str
    ) -> batch.Resources:
        """Returns what is free on a worker once a unit has been stopped."""
        if name in self._isolated:
            return self._capacity[name]
        return candidate.resources_on(name)

    def _needed_on(self, name: str) -> batch.Resources:
        """Returns what must be free on a worker for one more task."""
        if self._takes_whole_workers and name not in self.names:
            return self._capacity[name].largest(self._need)
        return self._need

    def _cheapest_stops(self, name: str) -> list[PreemptibleUnit] | None:
        """Returns what to stop on a worker to fit one more task, or None."""
        free = self._free[name]
        needed = self._needed_on(name)
        found: list[PreemptibleUnit] = []
        for candidate in self._candidates_by_worker.get(name, ()):
            if free.holds(needed):
                break
            if candidate not in self.to_stop:
                free = free.plus(self._held_by(candidate, name))
                found.append(candidate)
        if not free.holds(needed):
            return None
        for candidate in reversed(list(found)):
            remaining = free.minus(self._held_by(candidate, name))
            if remaining.holds(needed):
                free = remaining
                found.remove(candidate)
        return found


def _group_by_worker(
    candidates: list[PreemptibleUnit],
) -> dict[str, list[PreemptibleUnit]]:
    """Returns the candidates on each worker, in the given order."""
    by_worker: dict[str, list[PreemptibleUnit]] = {}
    for candidate in candidates:
        for name in {each for _, each in candidate.tasks}:
            by_worker.setdefault(name, []).append(candidate)
    return by_worker
