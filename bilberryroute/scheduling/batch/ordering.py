"""The order of waiting batch jobs in which they earn most.

Answers bursts in which more work is due than the pool can do in time. There,
earliest deadline first makes everything late; instead, jobs that earn little
for the room that they take step back until the others can be in time.
"""

import bisect
import dataclasses
import heapq
import itertools
from collections.abc import Generator
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import deadlines
from bilberryroute.scheduling.batch import readiness
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import worth

# Ranks are whole numbers; a merit is a value for each millisecond of a pool.
MERIT_SCALE = 1_000_000
# Share of a pool that work gets: racks and gangs leave some of it idle.
USABLE_SHARE = 0.85
# A large job that has waited for this share of its objective gets the first turn
# of its priority, one job at a time, so that no wide gang waits for all others.
# Beyond its objective it earns too little for that.
AGED_SHARE = 0.25

# Job id and occurrence.
_JobKey = tuple[str, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class _WaitingJob:
    """What waits of one job.

    Attributes:
      room: Room that it takes, in milliseconds of its whole pool.
      horizon_ms: Time until which it has to be done to be in time.
      merit: Value for that room, with its account's boost.
      waited: Since when it waits, as a share of its objective.
      due_since_ms: Unix time since which it waits.
      large: Whether it is among the largest of its queue.
    """

    key: _JobKey
    pool: str
    priority: int
    guaranteed: bool
    prospect: deadlines.Prospect
    room: float
    horizon_ms: int
    merit: float
    waited: float
    due_since_ms: int
    large: bool


class _Turn:
    """Third element of the rank of a unit without a guarantee."""

    AGED = 0
    IN_TIME = 1
    # It would make more valuable work late.
    STEPS_BACK = 2
    LATE = 3


class ValueOrder:
    """Ranks ready units by what they earn for their room."""

    def __init__(
        self,
        state: batch.BatchState,
        resources: room_lib.AvailableResources,
        remaining_ms: Mapping[room_lib.RunKey, int],
        wall_ms: int,
        job_deadlines: deadlines.Deadlines,
        worths: worth.Worths,
    ):
        """Stores the inputs of the round."""
        self._state = state
        self._remaining_ms = remaining_ms
        self._wall_ms = wall_ms
        self._job_deadlines = job_deadlines
        self._worths = worths
        self._capacity: dict[str, batch.Resources] = {}
        self._pool_of = {}
        for name, worker in resources.workers.items():
            known = self._capacity.get(worker.pool, batch.NO_RESOURCES)
            self._capacity[worker.pool] = known.plus(worker.capacity)
            self._pool_of[name] = worker.pool

    def ranked(
        self, heads: list[readiness.Head]
    ) -> Generator[None, None, list[readiness.Head]]:
        """Returns the heads with new ranks; those guaranteed keep theirs."""
        waiting = yield from self._waiting_jobs(heads)
        turns: dict[_JobKey, int] = {}
        for pool in {job.pool for job in waiting}:
            in_use = yield from self._room_in_use(pool)
            jobs_of_pool = [job for job in waiting if job.pool == pool]
            turns.update(_turns(jobs_of_pool, in_use))
            yield
        merits = {job.key: job.merit for job in waiting}
        ranked = []
        for head in heads:
            rank = _rank(head.unit, turns, merits)
            unit = dataclasses.replace(head.unit, rank=rank)
            ranked.append(dataclasses.replace(head, unit=unit))
            yield
        return ranked

    def _waiting_jobs(
        self, heads: list[readiness.Head]
    ) -> Generator[None, None, list[_WaitingJob]]:
        waiting: dict[_JobKey, _WaitingJob] = {}
        for head in heads:
            yield
            unit = head.unit
            key = (unit.record.id, unit.occurrence)
            run_ms = self._job_deadlines.run_ms(unit)
            tasks = len(unit.indexes) + len(head.further)
            room = run_ms * tasks * self._share(unit.step, unit.queue.pool)
            known = waiting.get(key)
            if known is not None:
                known.room += room
                known.prospect = max(
                    known.prospect, self._job_deadlines.prospect(unit)
                )
                continue
            slack_ms = self._job_deadlines.waiting_slack_ms(unit)
            waited_ms = self._wall_ms - unit.due_since_ms
            objective_ms = self._job_deadlines.objective_ms(
                unit.record, unit.queue
            )
            waiting[key] = _WaitingJob(
                key=key,
                pool=unit.queue.pool,
                priority=unit.queue.priority,
                guaranteed=unit.guaranteed,
                prospect=self._job_deadlines.prospect(unit),
                room=room,
                horizon_ms=max(0, slack_ms) + run_ms,
                merit=self._worths.value(unit.record)
                * self._worths.boost(unit.record),
                waited=waited_ms / max(1, objective_ms),
                due_since_ms=unit.due_since_ms,
                large=self._worths.is_large(unit.record),
            )
        for job in waiting.values():
            job.merit /= max(job.room, 1e-9)
        return list(waiting.values())

    def _share(self, step: batch.Step, pool: str) -> float:
        """Returns the share of its pool that a task takes of what it needs most."""
        need = batch.task_demand(step)
        capacity = self._capacity.get(pool, batch.NO_RESOURCES)
        return max(
            need.cpu_millis / max(1, capacity.cpu_millis),
            need.memory_mb / max(1, capacity.memory_mb),
            need.accelerators / max(1, capacity.accelerators),
        )

    def _room_in_use(self, pool: str) -> Generator[None, None, "_RoomInUse"]:
        """Returns what the runs of a pool take."""
        runs = []
        for task_ids in list(self._state.placed.values()):
            yield
            for task_id in list(task_ids):
                record = self._state.jobs[task_id.job_id]
                task = record.task(task_id)
                if (
                    not task.active
                    or self._pool_of.get(task.worker.name) != pool
                ):
                    continue
                step = record.content.steps[task_id.step]
                ran_ms = self._wall_ms - task.placed_ms
                remaining_ms = self._remaining_ms.get(
                    (task_id, task.run),
                    max(room_lib.MIN_REMAINING_MS, step.estimate_ms - ran_ms),
                )
                if task.state != batch.TaskState.PLACED:
                    remaining_ms = 0
                elif step.long_running:
                    remaining_ms = room_lib.NEVER_ENDS_MS
                runs.append((max(0, remaining_ms), self._share(step, pool)))
        return _RoomInUse(runs)


def _turns(
    waiting: list[_WaitingJob], in_use: "_RoomInUse"
) -> dict[_JobKey, int]:
    """Returns the turn of each job of a pool that can still earn something."""
    turns: dict[_JobKey, int] = {}
    ahead = sum(job.room for job in waiting if job.guaranteed)
    others = [
        job
        for job in waiting
        if not job.guaranteed and job.prospect != deadlines.Prospect.WORTHLESS
    ]
    others.sort(key=lambda job: job.priority)
    for _, group in itertools.groupby(others, lambda job: job.priority):
        queued = list(group)
        timely = []
        for job in queued:
            turns[job.key] = _Turn.LATE
            if job.prospect == deadlines.Prospect.IN_TIME:
                timely.append(job)
        for job in timely:
            turns[job.key] = _Turn.STEPS_BACK
        for job in _feasible(timely, ahead, in_use):
            turns[job.key] = _Turn.IN_TIME
            ahead += job.room
        aged = [
            job for job in queued if job.large and AGED_SHARE <= job.waited < 1
        ]
        if aged:
            oldest = min(aged, key=lambda job: (job.due_since_ms, job.key))
            turns[oldest.key] = _Turn.AGED
    return turns


class _RoomInUse:
    """Room that present runs take, by the time ahead."""

    def __init__(self, runs: list[tuple[int, float]]):
        runs = sorted(runs)
        self._ends = [end for end, _ in runs]
        self._ended_room = list(
            itertools.accumulate(
                (end * share for end, share in runs), initial=0.0
            )
        )
        self._shares = list(
            itertools.accumulate((share for _, share in runs), initial=0.0)
        )

    def until(self, horizon_ms: int) -> float:
        """Returns what they take of the next `horizon_ms`."""
        ended = bisect.bisect_right(self._ends, horizon_ms)
        lasting = self._shares[-1] - self._shares[ended]
        return self._ended_room[ended] + horizon_ms * lasting


def _feasible(
    waiting: list[_WaitingJob], ahead: float, in_use: _RoomInUse
) -> list[_WaitingJob]:
    """Returns the jobs that can all be in time, those with most merit.

    Takes them by deadline, and drops the one with least merit whenever there is
    more than fits until then (Moore and Hodgson's rule, by value).

    Args:
      waiting: Jobs of one priority.
      ahead: Room of the jobs that go before them.
      in_use: Room of the runs.
    """
    kept: list[tuple[float, int]] = []
    load = ahead
    by_deadline = sorted(waiting, key=lambda job: (job.horizon_ms, job.key))
    for number, job in enumerate(by_deadline):
        heapq.heappush(kept, (job.merit, number))
        load += job.room
        usable = USABLE_SHARE * job.horizon_ms - in_use.until(job.horizon_ms)
        while kept and load > usable:
            _, dropped = heapq.heappop(kept)
            load -= by_deadline[dropped].room
    return [by_deadline[number] for _, number in kept]


def _rank(
    unit: views.ReadyUnit,
    turns: Mapping[_JobKey, int],
    merits: Mapping[_JobKey, float],
) -> tuple:
    """Returns the rank of a unit, with its job's turn."""
    key = (unit.record.id, unit.occurrence)
    if unit.guaranteed or key not in turns:
        return unit.rank
    worthless, priority, _, deadline_ms, width, index = unit.rank
    turn = turns[key]
    within = (
        deadline_ms if turn in (_Turn.AGED, _Turn.IN_TIME) else -merits[key]
    )
    return (worthless, priority, turn, within, width, index)
