"""Plays a load of batch jobs against the planner, in simulated time.

The state machine and the planner are the real ones. Workers are simulated: a
run takes the true duration of its task, three times as long away from its data
or with its gang spread over racks, and keeps its progress when it is stopped
only if it saves checkpoints.
"""

import collections
import dataclasses
import math
import random
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence

from benchmarks import load_admission
from benchmarks import load_waits
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.replica import forecasts
from bilberryroute.scheduling.batch import planner as planner_lib
from bilberryroute.scheduling.batch import policy as policy_lib
from bilberryroute.scheduling.batch import run_progress
from bilberryroute.scheduling.batch import run_times
from bilberryroute.scheduling.batch import speeds as speeds_lib
from bilberryroute.scheduling.batch import views
from bilberryroute.scheduling.batch import wait_times
from bilberryroute.state import batch as batch_rules
from bilberryroute.state import records

# Simulated time between two rounds, from a stop to the end of the run, and from a
# placement to the start.
ROUND_MS = 100
STOP_MS = 200
# Simulated time between two reports of progress.
REPORT_MS = 500
START_MS = 50
# How much longer a task takes away from its data or its gang's rack.
REMOTE_FACTOR = 3
# After this multiple of its objective a job has no value.
LATE_FACTOR = 3
ACCELERATOR_CORES = 8
HOST = "load.example"
KEY = "load-key"
POOL = "pool"
# Labels of every other worker.
EVEN = "even"
ODD = "odd"

RunKey = tuple[batch.TaskId, int]
Planner = Callable[..., views.BatchPlan]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobKind:
    """One kind of job of a load.

    Attributes:
      name: Also the name of its queue.
      priority: Of its queue; 0 is the most urgent.
      per_s: Mean arrivals a second.
      width: Mean number of tasks; the distribution has a heavy tail.
      max_width: Most tasks.
      task_ms: Mean true duration of a task.
      estimate_error: Largest relative error of the submitter's estimate.
      slack_factor: Objective in multiples of the true duration.
      target_ms: Constant part of the objective.
      worth: Value of a mean job in time.
      late_worth: Value of a mean job up to three times its objective.
      accelerators: Drawn from for each job.
      cpu_millis: Of each task.
      memory_mb: Of each task.
      spread_limit: Most tasks of a job on one worker; 0 for no bound.
      required_label: Label that its workers must have, or empty.
      gang: Share of jobs whose tasks run only together.
      one_rack: Share of gangs that are slower on several racks.
      saves: Share of jobs that save checkpoints.
      data_racks: Share of jobs with data in one rack.
      tail: Share of jobs that take longer, up to `tail_factor` times as long.
    """

    name: str
    priority: int
    per_s: float
    width: float
    max_width: int
    task_ms: int
    estimate_error: float
    slack_factor: float
    target_ms: int
    worth: float
    late_worth: float
    accelerators: tuple[int, ...]
    cpu_millis: int
    memory_mb: int = 1_000
    spread_limit: int = 0
    required_label: str = ""
    gang: float = 1.0
    one_rack: float = 0.6
    saves: float = 0.0
    data_racks: float = 0.0
    tail: float = 0.0
    tail_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Workers and the jobs that arrive at them.

    Attributes:
      workers: Number of workers.
      rack_size: Workers in a rack.
      capacity: Of each worker.
      seconds: Length of the arrivals.
      burst: Factor on the arrivals from `burst_from_s` to `burst_to_s`.
      guaranteed: Accelerators guaranteed to each account.
      speeds: Speeds of the workers, in turn; a gang is as fast as the slowest
        worker that it runs on.
      swing: How far arrivals swing around their mean, as a share of it.
      swing_s: Period of the swing.
    """

    kinds: tuple[JobKind, ...]
    workers: int
    rack_size: int
    capacity: batch.Resources
    seconds: float
    burst: float = 1.0
    burst_from_s: float = 0.0
    burst_to_s: float = 0.0
    accounts: int = 3
    guaranteed: int = 0
    speeds: tuple[float, ...] = (1.0,)
    swing: float = 0.0
    swing_s: float = 15.0

    def intensity_at(self, at_s: float) -> float:
        """Returns the factor on the mean arrivals at a time."""
        busy = self.burst_from_s <= at_s < self.burst_to_s
        wave = math.sin(2 * math.pi * at_s / self.swing_s)
        return (self.burst if busy else 1.0) * (1.0 + self.swing * wave)


@dataclasses.dataclass(slots=True, kw_only=True)
class JobFate:
    """What a job's caller gets.

    Attributes:
      in_time_ms: Objective from the arrival on.
      value: Its value in time; `late_value` up to three times the objective.
      ended_ms: When it was done; None if it never was.
      refused_ms: When it was rejected; None if it was accepted.
      first_start_ms: When its first task was placed.
      stops: Runs that were stopped to make room.
    """

    kind: str
    account: str
    arrival_ms: int
    objective_ms: int
    value: float
    late_value: float
    tasks: int
    ended_ms: int | None = None
    refused_ms: int | None = None
    first_start_ms: int | None = None
    stops: int = 0

    @property
    def earned(self) -> float:
        """Value that the job earned."""
        if self.ended_ms is None:
            return 0.0
        took_ms = self.ended_ms - self.arrival_ms
        if took_ms <= self.objective_ms:
            return self.value
        return self.late_value if took_ms <= self._worthless_ms else 0.0

    @property
    def in_time(self) -> bool:
        """Whether the job met its objective."""
        return (
            self.ended_ms is not None
            and self.ended_ms - self.arrival_ms <= self.objective_ms
        )

    @property
    def _worthless_ms(self) -> int:
        return LATE_FACTOR * self.objective_ms


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """What a load came to.

    Attributes:
      fates: Each job's, by id.
      worked: Core-seconds of all runs; an accelerator counts as eight cores.
      wasted: Core-seconds of runs that were stopped and not saved.
      runs: Runs that were started.
      stopped: Runs that were stopped to make room.
      lost: Ids of jobs that waited for long beside idle workers.
    """

    fates: dict[str, JobFate] = dataclasses.field(default_factory=dict)
    worked: float = 0.0
    wasted: float = 0.0
    runs: int = 0
    stopped: int = 0
    lost: set[str] = dataclasses.field(default_factory=set)

    def goodput(self, kind: str = "") -> float:
        """Returns the share of the value that was earned."""
        fates = [f for f in self.fates.values() if kind in ("", f.kind)]
        owed = sum(f.value for f in fates)
        return sum(f.earned for f in fates) / owed if owed else 1.0

    @property
    def wasted_share(self) -> float:
        """Share of the work that was thrown away."""
        return self.wasted / self.worked if self.worked else 0.0

    @property
    def most_stops(self) -> int:
        """Most stopped runs of one job, relative to its number of tasks."""
        return max(
            (math.ceil(f.stops / f.tasks) for f in self.fates.values()),
            default=0,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class _Run:
    """A run in progress.

    Attributes:
      done_ms: Work done, in milliseconds at full speed.
      resumed_ms: Work that it began with.
      stops_ms: When its stop ends it; None while it works.
    """

    done_ms: float
    resumed_ms: float
    started_ms: int
    weight: float
    stops_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A job that arrives."""

    at_ms: int
    job_id: str
    kind: JobKind
    account: int
    content: batch.Content
    true_ms: int


def arrivals(load: Load, seed: int) -> list[Arrival]:
    """Returns the jobs of a load, in order of arrival."""
    rng = random.Random(seed)
    found = [
        _arrival(load, kind, at_ms, f"{kind.name}-{number}", rng)
        for kind in load.kinds
        for number, at_ms in enumerate(_arrival_times(load, kind, rng))
    ]
    return sorted(found, key=lambda a: (a.at_ms, a.job_id))


def _arrival_times(
    load: Load, kind: JobKind, rng: random.Random
) -> Iterator[int]:
    at_s = 0.0
    while True:
        at_s += rng.expovariate(kind.per_s * load.intensity_at(at_s))
        if at_s >= load.seconds:
            return
        yield int(1_000 * at_s)


def _arrival(
    load: Load, kind: JobKind, at_ms: int, job_id: str, rng: random.Random
) -> Arrival:
    sigma = 0.8
    width = rng.lognormvariate(math.log(kind.width) - sigma**2 / 2, sigma)
    count = max(1, min(kind.max_width, round(width)))
    true_ms = int(kind.task_ms * rng.uniform(0.7, 1.3))
    if kind.tail and rng.random() < kind.tail:
        true_ms = int(true_ms * rng.uniform(1.0, kind.tail_factor))
    error = rng.uniform(-kind.estimate_error, kind.estimate_error)
    gang = rng.random() < kind.gang and count > 1
    racks = -(-load.workers // load.rack_size)
    has_data = not gang and rng.random() < kind.data_racks
    need = batch.Resources(
        cpu_millis=kind.cpu_millis,
        memory_mb=kind.memory_mb,
        accelerators=rng.choice(kind.accelerators),
    )
    fitting = load.workers * load.capacity.multiple_of(need)
    step = batch.Step(
        count=min(count, fitting) if gang else count,
        need=need,
        estimate_ms=max(500, int(true_ms * (1 + error))),
        checkpointing=rng.random() < kind.saves,
        gang=gang,
        same_rack=gang and rng.random() < kind.one_rack,
        data_rack=f"r{rng.randrange(racks)}" if has_data else "",
        spread_limit=kind.spread_limit,
        required_label=kind.required_label,
    )
    return Arrival(
        at_ms=at_ms,
        job_id=job_id,
        kind=kind,
        account=rng.randrange(load.accounts),
        content=batch.Content(payload="", steps=(step,)),
        true_ms=true_ms,
    )


class LoadModel:
    """One load, played against one planner.

    Attributes:
      estimator: Learns the speeds of the workers from the progress of runs.
    """

    def __init__(
        self,
        load: Load,
        jobs: Sequence[Arrival],
        plan: Planner = planner_lib.plan,
        policy: policy_lib.Policy = policy_lib.DEFAULT,
    ):
        self.outcome = Outcome()
        self._policy = policy
        self._load = load
        self._jobs = collections.deque(jobs)
        self._true_ms = {a.job_id: a.true_ms for a in jobs}
        self._plan = plan
        self._wait_times = wait_times.WaitTimes()
        self._state = records.ReplicatedState()
        self._now = 0
        self._runs: dict[RunKey, _Run] = {}
        self._saved: dict[batch.TaskId, float] = {}
        self._typical = forecasts.AverageRunTimes()
        self._run_times = run_times.RunTimes()
        self._workers = [_worker(load, n) for n in range(load.workers)]
        self._racks = {w.ref.name: w.rack for w in self._workers}
        self._speeds = {
            worker.ref.name: load.speeds[number % len(load.speeds)]
            for number, worker in enumerate(self._workers)
        }
        self.estimator = speeds_lib.SpeedEstimator()
        self._waits = load_waits.IdleWaits(self._workers)
        capacity = batch.NO_RESOURCES
        for worker in self._workers:
            capacity = capacity.plus(worker.capacity)
        self._gate = load_admission.Gate(POOL, capacity)
        # Refused jobs that return, by time and number of the try.
        self._returning: list[tuple[int, int, Arrival]] = []
        catalog = _catalog(load)
        self._apply(batching.ApplyCatalog(catalog=catalog, at_ms=0))

    @property
    def state(self) -> batch.BatchState:
        """State of the batch jobs."""
        return self._state.batch

    def play(self, tail_s: float = 60.0) -> Outcome:
        """Plays the load, and what it left for up to `tail_s` more seconds."""
        end_ms = int(1_000 * (self._load.seconds + tail_s))
        while self._now < end_ms:
            self._submit_due()
            self._advance()
            self._plan_round()
            self._waits.note_round(self.state, self._now)
            self._now += ROUND_MS
            open_jobs = any(r.result is None for r in self.state.jobs.values())
            if not self._jobs and not self._returning and not open_jobs:
                break
        self.outcome.lost = self._waits.lost
        return self.outcome

    def _apply(self, command):
        return batch_rules.apply(self._state, command)

    def _submit_due(self) -> None:
        while self._jobs and self._jobs[0].at_ms <= self._now:
            arrival = self._jobs.popleft()
            self._submit(arrival)
        due = [each for each in self._returning if each[0] <= self._now]
        for each in sorted(due, key=lambda r: r[:2]):
            self._returning.remove(each)
            self._hand_in(each[2], each[1])

    def _submit(self, arrival: Arrival) -> None:
        step = arrival.content.steps[0]
        size = min(4.0, 0.3 + 0.7 * step.count / arrival.kind.width)
        self.outcome.fates[arrival.job_id] = JobFate(
            kind=arrival.kind.name,
            account=f"account{arrival.account}",
            arrival_ms=self._now,
            objective_ms=arrival.kind.target_ms
            + int(arrival.kind.slack_factor * arrival.true_ms),
            value=size * arrival.kind.worth,
            late_value=size * arrival.kind.late_worth,
            tasks=step.count,
        )
        self._hand_in(arrival, 0)

    def _hand_in(self, arrival: Arrival, returns: int) -> None:
        """Submits a job, which returns if it is refused for want of room."""
        address = catalog_model.Address(
            host=HOST,
            path=f"/{arrival.kind.name}/{arrival.job_id}",
            key=f"{KEY}{arrival.account}",
        )
        fate = self.outcome.fates[arrival.job_id]
        retry_ms = None
        if self._policy.refuse_hopeless:
            retry_ms = self._gate.retry_after_ms(
                self.state,
                self._typical.by_queue,
                address,
                arrival.content,
                self._now,
            )
        if retry_ms is not None:
            fate.refused_ms = self._now
            if returns < load_admission.MAX_RETURNS:
                self._returning.append(
                    (self._now + retry_ms, returns + 1, arrival)
                )
            return
        fate.refused_ms = None
        result = self._apply(
            batching.SubmitBatch(
                address=address,
                content=arrival.content,
                keep_ms=120_000,
                at_ms=self._now,
            )
        )
        if not isinstance(result, batching.BatchAccepted):
            fate.refused_ms = self._now

    def _advance(self) -> None:
        """Lets runs work until now, and ends those that are through."""
        ends = []
        for key, run in list(self._runs.items()):
            task_id, number = key
            outcome = self._work(task_id, run)
            if outcome is not None:
                del self._runs[key]
                saved = "saved" if self._saved.get(task_id) else ""
                ends.append(
                    batching.RunEnd(
                        task=task_id, run=number, outcome=outcome, saved=saved
                    )
                )
        if ends:
            self._apply(batching.EndRuns(ends=tuple(ends), at_ms=self._now))
            self._record_ends(ends)

    def _work(
        self, task_id: batch.TaskId, run: _Run
    ) -> batch.RunOutcome | None:
        record = self.state.jobs[task_id.job_id]
        task = record.task(task_id)
        step = record.content.steps[task_id.step]
        if task.state == batch.TaskState.STOPPING:
            if run.stops_ms is None:
                run.stops_ms = self._now + STOP_MS
            if self._now < run.stops_ms:
                return None
            lost_ms = run.done_ms - run.resumed_ms
            if step.checkpointing:
                self._saved[task_id] = run.done_ms
            else:
                self.outcome.wasted += lost_ms * run.weight
            return batch.RunOutcome.STOPPED
        worked_ms = ROUND_MS * self._speed(task_id, step)
        run.done_ms += worked_ms
        self.outcome.worked += worked_ms * run.weight
        if run.done_ms < self._true_ms[task_id.job_id]:
            return None
        return batch.RunOutcome.DONE

    def _speed(self, task_id: batch.TaskId, step: batch.Step) -> float:
        """Returns the work that a run does per time."""
        record = self.state.jobs[task_id.job_id]
        tasks = record.occurrences[task_id.occurrence][task_id.step].tasks
        members = tasks if step.gang else [tasks[task_id.index]]
        speed = min(self._speeds[t.worker.name] for t in members if t.worker)
        if self._is_remote(task_id, step):
            speed /= REMOTE_FACTOR
        return speed

    def _is_remote(self, task_id: batch.TaskId, step: batch.Step) -> bool:
        record = self.state.jobs[task_id.job_id]
        steps = record.occurrences[task_id.occurrence]
        tasks = steps[task_id.step].tasks
        if step.data_rack:
            worker = tasks[task_id.index].worker
            return self._racks[worker.name] != step.data_rack
        if not step.same_rack:
            return False
        racks = {self._racks[t.worker.name] for t in tasks if t.worker}
        return len(racks) > 1

    def _record_ends(self, ends: list[batching.RunEnd]) -> None:
        for end in ends:
            record = self.state.jobs[end.task.job_id]
            fate = self.outcome.fates[record.id]
            if end.outcome == batch.RunOutcome.DONE:
                self._typical.add(record.queue, self._true_ms[record.id])
                self._note_run_time(end)
            if record.result is not None and fate.ended_ms is None:
                fate.ended_ms = self._now

    def _note_run_time(self, end: batching.RunEnd) -> None:
        if end.run != 1:
            return
        record = self.state.jobs[end.task.job_id]
        self._run_times.add(
            record.queue,
            (record.id, end.task.occurrence, end.task.step),
            record.content.steps[end.task.step].estimate_ms,
            self._now - record.task(end.task).placed_ms,
            self._now,
        )

    def _learn_speeds(self) -> None:
        """Passes on what workers report, at the interval of their reports."""
        if not self._policy.learn_speeds or self._now % REPORT_MS:
            return
        reported = {
            key: (
                int(100 * run.done_ms / self._true_ms[key[0].job_id]),
                self._now,
            )
            for key, run in self._runs.items()
        }
        self.estimator.update(
            run_progress.progress_of(self.state, reported, self._racks),
            dict.fromkeys(self._racks, POOL),
            self._now,
        )
        self._workers = [
            dataclasses.replace(
                worker, speed=self.estimator.speed(worker.ref.name)
            )
            for worker in self._workers
        ]

    def _plan_round(self) -> None:
        self._learn_speeds()
        plan = self._plan(
            self.state,
            self._workers,
            self._remaining_ms(),
            self._now,
            self._typical.by_queue,
            waited_ms=self._wait_times.waited_ms(self._now),
            policy=self._policy,
            run_times=self._run_times,
        )
        self._wait_times.update(plan, self._now)
        if plan.stops:
            self._apply(batching.StopRuns(runs=plan.stops, at_ms=self._now))
            self.outcome.stopped += len(plan.stops)
            for each in plan.stops:
                self.outcome.fates[each.task.job_id].stops += 1
        if plan.units:
            self._apply(batching.PlaceRuns(units=plan.units, at_ms=self._now))
            for unit in plan.units:
                self._start(unit)

    def _remaining_ms(self) -> dict[RunKey, int]:
        """Returns forecasts, as far as the runs have shown progress."""
        remaining = {}
        for key, run in self._runs.items():
            worked_ms = self._now - run.started_ms
            if worked_ms < forecasts.MIN_SPAN_MS or run.done_ms <= 0:
                continue
            task_id = key[0]
            speed = (run.done_ms - run.resumed_ms) / worked_ms
            left_ms = self._true_ms[task_id.job_id] - run.done_ms
            remaining[key] = int(left_ms / max(speed, 0.1))
        return remaining

    def _start(self, unit: batching.Unit) -> None:
        fate = self.outcome.fates[unit.job_id]
        if fate.first_start_ms is None:
            fate.first_start_ms = self._now
        step = self.state.jobs[unit.job_id].content.steps[unit.step]
        need = step.need
        weight = (
            need.cpu_millis / 1_000 + ACCELERATOR_CORES * need.accelerators
        ) / 1_000
        for member in unit.members:
            task_id = unit.task(member)
            resumed_ms = self._saved.get(task_id, 0.0)
            self._runs[task_id, unit.run] = _Run(
                done_ms=resumed_ms,
                resumed_ms=resumed_ms,
                started_ms=self._now + START_MS,
                weight=weight,
            )
            self.outcome.runs += 1


def _worker(load: Load, number: int) -> views.WorkerSnapshot:
    name = f"w{number:03}"
    rack = f"r{number // load.rack_size}"
    return views.WorkerSnapshot(
        ref=batch.WorkerRef(agent=f"a-{name}", name=name, born=1),
        pool=POOL,
        failure_domain="apapa",
        rack=rack,
        labels=("a", rack, EVEN if number % 2 == 0 else ODD),
        capacity=load.capacity,
    )


def _catalog(load: Load) -> catalog_model.Catalog:
    queues = tuple(
        catalog_model.Queue(
            name=kind.name,
            host=HOST,
            path_prefix=f"/{kind.name}/",
            pool=POOL,
            priority=kind.priority,
            max_attempts=3,
            slack_factor=kind.slack_factor,
            target_ms=kind.target_ms,
            timeout_ms=3_000,
        )
        for kind in load.kinds
    )
    accounts = tuple(
        catalog_model.BatchAccount(
            name=f"account{number}",
            keys=(f"{KEY}{number}",),
            guaranteed=load.guaranteed,
        )
        for number in range(load.accounts)
    )
    return catalog_model.Catalog(
        version=1, queues=queues, accounts=accounts, document=b"{}"
    )


def play(
    load: Load,
    seed: int,
    plan: Planner = planner_lib.plan,
    policy: policy_lib.Policy = policy_lib.DEFAULT,
) -> Outcome:
    """Plays a load with the jobs that a seed draws."""
    return LoadModel(load, arrivals(load, seed), plan, policy).play()
