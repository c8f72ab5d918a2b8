"""Batch jobs: steps of tasks that share workers by processor and memory.

A batch job is submitted to a queue. Its steps depend on one another; the
tasks of a step run once each, alone or as a gang.
"""

import dataclasses
import enum
import sys
from collections.abc import Iterator

from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import jobs

# The platform values the time of one accelerator like that of eight cores.
MILLIS_PER_ACCELERATOR = 8_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """What a task needs, or what a worker has.

    Attributes:
      cpu_millis: Processors, in thousandths of a core.
      memory_mb: Memory in MiB.
      accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @property
    def value_millis(self) -> int:
        """Value as the platform counts it, in thousandths of a core."""
        return self.cpu_millis + MILLIS_PER_ACCELERATOR * self.accelerators

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of both."""
        return Resources(
            cpu_millis=self.cpu_millis + other.cpu_millis,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference; components may be negative."""
        return Resources(
            cpu_millis=self.cpu_millis - other.cpu_millis,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def largest(self, other: "Resources") -> "Resources":
        """Returns the larger of both, component by component."""
        return Resources(
            cpu_millis=max(self.cpu_millis, other.cpu_millis),
            memory_mb=max(self.memory_mb, other.memory_mb),
            accelerators=max(self.accelerators, other.accelerators),
        )

    def multiple_of(self, need: "Resources") -> int:
        """Returns how often `need` fits within these resources.

        A need of nothing fits more often than any step has tasks. Nothing fits
        while any component is negative, as for `holds`.
        """
        if not self.holds(need):
            return 0
        pairs = (
            (self.cpu_millis, need.cpu_millis),
            (self.memory_mb, need.memory_mb),
            (self.accelerators, need.accelerators),
        )
        fits = (has // part for has, part in pairs if part)
        return min(fits, default=sys.maxsize)

    def holds(self, need: "Resources") -> bool:
        """Returns whether `need` fits within these resources."""
        return (
            need.cpu_millis <= self.cpu_millis
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )


NO_RESOURCES = Resources()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Tasks of one kind.

    Attributes:
      count: Number of tasks.
      need: What each task needs.
      estimate_ms: Rough run time of one task, in milliseconds.
      depends_on: Earlier steps whose tasks must all be done first.
      checkpointing: Whether tasks save their progress.
      gang: Whether the tasks run only all together.
      same_rack: Whether the tasks slow down when spread over racks.
      required_label: Label that a worker must have, or empty.
      data_rack: Rack that holds the data, or empty.
      spread_limit: Most tasks of the step on one worker; 0 for no bound.
      copies: Whether copies of a task may run in parallel.
      long_running: Whether the tasks run until the job is cancelled.
      image: What the tasks run; tasks of one image behave alike.
      tail_target_ms: Bound of the tail latency that tasks serve within; 0
        for none.
      fills: Whether the tasks take only the processors that others leave.
      max_unavailable: Most tasks that the scheduler may keep stopped at once;
        0 for no bound.
    """

    count: int
    need: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    copies: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


def largest_gang(content: "Content") -> int:
    """Returns the number of tasks of the largest gang, 0 without any."""
    return max((step.count for step in content.steps if step.gang), default=0)


def task_demand(step: Step) -> Resources:
    """Returns the resources that a task of a step is counted with.

    A step that fills idle CPU cores is counted without its CPU need.
    """
    if not step.fills:
        return step.need
    return Resources(
        memory_mb=step.need.memory_mb, accelerators=step.need.accelerators
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """When the steps of a job run again.

    Attributes:
      count: How often the steps run.
      first_ms: Unix time of the first occurrence, in milliseconds.
      interval_ms: Time between two occurrences, in milliseconds.
    """

    count: int
    first_ms: int
    interval_ms: int

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix time from which an occurrence may start."""
        return self.first_ms + occurrence * self.interval_ms


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Content:
    """What a submitter asks to have run.

    Attributes:
      payload: Handed to every task as it is.
      steps: In the order in which `depends_on` counts them, from 0.
      schedule: When the steps run; None for once, at once.
    """

    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskId:
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerRef:
    """One incarnation of a worker, and its agent.

    Attributes:
      agent: Agent that reports it.
      name: Name that the worker announced.
      born: Start time that the worker reports; unique to each incarnation.
    """

    agent: str
    name: str
    born: int


class RunOutcome(enum.StrEnum):
    """How one run of a task ended.

    The worker reports `DONE` to `ALONE`. The agent reports `REJECTED` and
    `ABSENT`: the run never started and never will. `LOST`: the worker's
    incarnation ended, or its lease has expired; `LossCause` says why.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REJECTED = "rejected"
    ABSENT = "absent"
    LOST = "lost"


class LossCause(enum.StrEnum):
    """Why a run was lost with its worker.

    `CRASHED`: the worker restarted without notice while its agent went on, as
    the agent reports or its renewals without the worker show. `WITHDRAWN`: the
    worker announced its end. `RESTARTED`: it has restarted and no agent saw
    why, as after a loss of power. `SILENT`: it was silent until its lease had
    expired.
    """

    CRASHED = "crashed"
    WITHDRAWN = "withdrawn"
    RESTARTED = "restarted"
    SILENT = "silent"


class TaskState(enum.StrEnum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    STOPPING = "stopping"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """A crash of a worker that ended a run.

    Attributes:
      worker: Incarnation that crashed.
      run: Number of the run.
      ran_ms: Time from the placement of the run to its end, in milliseconds.
      down_after_ms: Time from the start of the run until the worker was down,
        in milliseconds; None if its agent does not know it.
      alone: Whether no other unit ran on the worker, so that this one has
        caused the crash.
      explained: Whether another unit has since proved to crash workers and may
        have caused this crash too.
    """

    worker: WorkerRef
    run: int
    ran_ms: int
    down_after_ms: int | None = None
    alone: bool = False
    explained: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskRecord:
    """A task and its current run.

    Attributes:
      run: Number of the last run; 0 before the first.
      worker: Where the present run was placed; None while it waits.
      failed: Runs that ended by a failure.
      failed_on: Names of the workers of the last of these runs.
      saved: Newest checkpoint, or empty.
      resumed: Checkpoint that the present run begins with, or empty.
      permit: Permit of an advisory service for the present run, or empty.
      placed_ms: Unix time of the last placement, in milliseconds.
      crashes: Crashes of workers that ended its runs.
      stops: Runs that were stopped to make room for other jobs.
    """

    state: TaskState = TaskState.WAITING
    run: int = 0
    worker: WorkerRef | None = None
    failed: int = 0
    failed_on: list[str] = dataclasses.field(default_factory=list)
    saved: str = ""
    resumed: str = ""
    permit: str = ""
    placed_ms: int = 0
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    stops: int = 0

    @property
    def active(self) -> bool:
        """Whether a run may be on a worker."""
        return self.worker is not None


@dataclasses.dataclass(slots=True, kw_only=True)
class StepRecord:
    """The tasks of one step of one occurrence.

    A step may have far more tasks than ever run at once, so it only has records
    of those that were placed, and of those before them.

    Attributes:
      tasks: The first tasks, in the order of their indexes. Those beyond have
        never been placed.
      count: Number of all tasks; below 0 in states of earlier releases, which
        have a record of each.
      first_open: Index of the first task that is not done.
      failed: Runs of the gang that ended by a failure.
      failed_run: The last run counted in `failed`.
      saved: Newest checkpoint of any member of the gang.
      done: Whether a gang has ended as done.
    """

    tasks: list[TaskRecord]
    count: int = -1
    first_open: int = 0
    failed: int = 0
    failed_run: int = 0
    saved: str = ""
    done: bool = False

    def __post_init__(self):
        """Completes a record of an earlier release."""
        if self.count < 0:
            self.count = len(self.tasks)
            self._skip_done_tasks()

    def finished(self) -> bool:
        """Says whether every task is done."""
        return self.done or self.first_open >= self.count

    def open(self, index: int) -> TaskRecord:
        """Returns the record of a task, created if it was never placed."""
        while len(self.tasks) <= index:
            self.tasks.append(TaskRecord())
        return self.tasks[index]

    def task_or_new(self, index: int) -> TaskRecord:
        """Returns the record of a task, a separate one if it has none."""
        return self.tasks[index] if index < len(self.tasks) else TaskRecord()

    def mark_done(self, task: TaskRecord) -> None:
        """Marks one of the tasks as done."""
        task.state = TaskState.DONE
        self._skip_done_tasks()

    def _skip_done_tasks(self) -> None:
        while (
            self.first_open < len(self.tasks)
            and self.tasks[self.first_open].state == TaskState.DONE
        ):
            self.first_open += 1

    def open_tasks(self) -> Iterator[tuple[int, TaskRecord]]:
        """Yields index and record of the placed tasks that are not done."""
        for index in range(self.first_open, len(self.tasks)):
            if self.tasks[index].state != TaskState.DONE:
                yield index, self.tasks[index]

    @property
    def has_waiting(self) -> bool:
        """Whether any task waits for a run."""
        return len(self.tasks) < self.count or any(
            task.state == TaskState.WAITING for _, task in self.open_tasks()
        )

    def crashes(self, index: int, *, gang: bool) -> list[Crash]:
        """Returns the crashes under a task, or under any member of a gang."""
        tasks = self.tasks if gang else self.tasks[index : index + 1]
        return [crash for task in tasks for crash in task.crashes]


@dataclasses.dataclass(slots=True, kw_only=True)
class BatchRecord:
    """A batch job and the decisions made about it.

    Attributes:
      id: Id chosen by the submitter.
      queue: Name of its queue.
      account: Client account that submitted it; empty for an open queue.
      accepted_ms: Unix time of acceptance, in milliseconds.
      result: How it ended; None before.
      ended_ms: Unix time of the end, in milliseconds.
      begun: Whether a task was ever placed.
      occurrences: Those that were opened, by number.
      finished_occurrences: How many have all their steps done.
      first_open_steps: Lowest unfinished step of the occurrences that have
        finished some, by number.
      first_open_occurrence: Lowest occurrence with an unfinished step.
    """

    id: str
    queue: str
    account: str
    content: Content
    accepted_ms: int
    result: jobs.JobResult | None = None
    reason: str = ""
    ended_ms: int = 0
    begun: bool = False
    occurrences: dict[int, list[StepRecord]] = dataclasses.field(
        default_factory=dict
    )
    finished_occurrences: int = 0
    first_open_steps: dict[int, int] = dataclasses.field(default_factory=dict)
    first_open_occurrence: int = 0

    def task(self, task: TaskId) -> TaskRecord | None:
        """Returns the record of a task, or None if it was never opened."""
        steps = self.occurrences.get(task.occurrence)
        if steps is None or task.step >= len(steps):
            return None
        tasks = steps[task.step].tasks
        return tasks[task.index] if task.index < len(tasks) else None

    def skip_finished(self, occurrence: int) -> bool:
        """Moves on to the first unfinished step; returns whether none is left."""
        steps = self.occurrences[occurrence]
        number = self.first_open_steps.get(occurrence, 0)
        while number < len(steps) and steps[number].finished():
            number += 1
        self.first_open_steps[occurrence] = number
        while self._is_finished(self.first_open_occurrence):
            self.first_open_occurrence += 1
        return number == len(steps)

    def _is_finished(self, occurrence: int) -> bool:
        first_open = self.first_open_steps.get(occurrence, 0)
        return first_open == len(self.content.steps)

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix time from which an occurrence may start."""
        schedule = self.content.schedule
        if schedule is None:
            return self.accepted_ms
        return schedule.due_ms(occurrence)

    @property
    def occurrence_count(self) -> int:
        """How often the steps run."""
        schedule = self.content.schedule
        return 1 if schedule is None else schedule.count


@dataclasses.dataclass(slots=True, kw_only=True)
class BatchState:
    """State of the batch jobs that results from the replicated log.

    Attributes:
      catalog: Queues and accounts in force.
      evacuated: Failure domains in which nothing may start.
      evacuation_orders: How many evacuation orders of a failure domain have been
        acknowledged.
      jobs: Jobs by id; ended ones are dropped after a while.
      ended: Ids of ended jobs, oldest first.
      closed_ids: Ids that no job may take, with the Unix time in milliseconds
        until which they are kept, by account and id; oldest first.
      placed: Tasks that may be on workers, by the name of their agent.
    """

    catalog: catalog_model.Catalog = dataclasses.field(
        default_factory=catalog_model.Catalog
    )
    evacuated: list[str] = dataclasses.field(default_factory=list)
    evacuation_orders: dict[str, int] = dataclasses.field(default_factory=dict)
    jobs: dict[str, BatchRecord] = dataclasses.field(default_factory=dict)
    ended: list[str] = dataclasses.field(default_factory=list)
    closed_ids: dict[str, int] = dataclasses.field(default_factory=dict)
    placed: dict[str, list[TaskId]] = dataclasses.field(default_factory=dict)


def new_step_records(content: Content) -> list[StepRecord]:
    """Returns the records of an occurrence that has not started."""
    return [StepRecord(tasks=[], count=step.count) for step in content.steps]
