"""Inputs and outputs of the batch planner."""

import dataclasses
import enum
from collections.abc import Hashable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model

StepKey = tuple[str, int, int]
# Job id, occurrence, step and first task of a unit.
UnitKey = tuple[str, int, int, int]

# Stands for the first task in the key of all new units of a step, which have
# waited since the same time.
NEW_UNITS = -1

# Second element of a unit's rank (see `readiness._rank`) from which on the unit
# may only preempt runs that lose no work. Making others lose work is justified
# only for jobs within an account's guarantee.
FIRST_UNGUARANTEED_PRIORITY = 1


class WorkerHealth(enum.IntEnum):
    """What recent runs say about their worker; a higher value is worse.

    `UNPROVEN`: a run failed there some time ago and none has succeeded since.
    `DOUBTFUL`: runs failed recently, and one job may be the cause of all.
    `SUSPECT`: runs failed recently, and no single job can be the cause of all.
    """

    SOUND = 0
    UNPROVEN = 1
    DOUBTFUL = 2
    SUSPECT = 3


class Separation(enum.IntEnum):
    """How far a unit that may crash its workers keeps away from others.

    `NONE`: it is not suspect. `LAST_RESORT`: it has waited for so long that it
    may run anywhere. `NOT_BESIDE_GUARANTEED`: it may run beside work that is
    not guaranteed. `WHOLE_WORKER`: it runs on idle workers only.
    """

    NONE = 0
    LAST_RESORT = 1
    NOT_BESIDE_GUARANTEED = 2
    WHOLE_WORKER = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probation:
    """What a worker that failed a run has to show before it gets more than one.

    Attributes:
      failed_ago_ms: Time since the last failure, in milliseconds.
      probe_ms: Time that a run which began since then must last.
    """

    failed_ago_ms: int
    probe_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerSnapshot:
    """A worker as its agent reports it.

    Attributes:
      pool: Name of the pool; a queue uses the workers of one pool.
      labels: Labels of the worker; a step may require one.
      largest_capacity: Capacity that it had at most; its capacity may shrink
        for a while.
      open: Whether the worker and its agent accept new runs.
      health: What recent runs say about it; the healthiest are chosen first.
      probation: Set if it failed a run and none has succeeded since.
      crashed: Whether the worker crashed recently. Suspect units go there last:
        a second crash would not prove that they are its cause.
      speed: How fast it works, relative to the mean of its pool; 1 if that is
        not known.
    """

    ref: batch.WorkerRef
    pool: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    capacity: batch.Resources
    largest_capacity: batch.Resources = batch.NO_RESOURCES
    open: bool = True
    health: WorkerHealth = WorkerHealth.SOUND
    probation: Probation | None = None
    crashed: bool = False
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadyUnit:
    """A unit that is ready to start: a gang, or one task.

    Attributes:
      indexes: The tasks' indexes within the step.
      run: Number of the next run.
      rank: Sort key; lower keys are tried first. The second element is 0 for
        jobs within their accounts' guarantees.
      due_since_ms: Unix time at which the occurrence became due.
      suspect: How far it keeps away from other work, as it may crash its
        workers; false (`NONE`) if it is not suspect.
      crash_count: Number of its runs that ended by a crash.
      step_runs: Whether other tasks of its step run; false if no run of it
        ended by a crash.
      job_runs: Whether any task of its occurrence is placed.
      new: Whether none of its tasks was ever placed.
      failed_on: Names of workers on which the last runs of the unit failed.
      failed_recently: Whether the unit was placed last a short time ago.
      last_attempt: Whether one more failure ends the job.
      accepts_failing: Whether it may start on failing workers even if others
        would suffice later.
    """

    record: batch.BatchRecord
    queue: catalog_model.Queue
    occurrence: int
    step_number: int
    step: batch.Step
    indexes: tuple[int, ...]
    run: int
    rank: tuple[int, ...] = ()
    due_since_ms: int = 0
    suspect: Separation = Separation.NONE
    crash_count: int = 0
    step_runs: bool = False
    job_runs: bool = False
    new: bool = False
    failed_on: frozenset[str] = frozenset()
    failed_recently: bool = False
    last_attempt: bool = False
    accepts_failing: bool = False

    @property
    def step_key(self) -> StepKey:
        """Job id, occurrence and index of the unit's step."""
        return (self.record.id, self.occurrence, self.step_number)

    @property
    def key(self) -> UnitKey:
        """Key of the unit, the same in each round."""
        return (*self.step_key, self.indexes[0])

    @property
    def wait_key(self) -> UnitKey:
        """Key by which its wait is known, one for all new units of a step."""
        return (*self.step_key, NEW_UNITS) if self.new else self.key

    def placement_key(self, avoided: frozenset[str]) -> Hashable:
        """Returns a key, equal for units of a step that may use the same workers.

        Args:
          avoided: Names of workers that the unit avoids as its runs failed there.
        """
        return (
            self.step_key,
            self.suspect,
            avoided,
            bool(avoided) and self.failed_recently,
            self.last_attempt,
        )

    @property
    def guaranteed(self) -> bool:
        """Whether its job is within its account's guarantee."""
        return self.rank[1] < FIRST_UNGUARANTEED_PRIORITY

    @property
    def takes_whole_workers(self) -> bool:
        """Whether nothing may run beside it."""
        return self.suspect == Separation.WHOLE_WORKER

    @property
    def fragile(self) -> bool:
        """Whether the failure of one run costs the job or the work of a gang.

        Guaranteed gangs have no time to wait for proof.
        """
        is_gang = self.step.gang and len(self.indexes) > 1
        return self.last_attempt or (is_gang and not self.guaranteed)

    def to_command(
        self,
        workers: tuple[batch.WorkerRef, ...],
        permits: Mapping[str, str],
    ) -> batching.Unit:
        """Returns the unit as part of a placement command.

        Args:
          workers: A worker for each task, in the order of `indexes`.
          permits: Permits by worker name.
        """
        return batching.Unit(
            job_id=self.record.id,
            occurrence=self.occurrence,
            step=self.step_number,
            run=self.run,
            members=tuple(
                batching.UnitMember(
                    index=index,
                    worker=worker,
                    permit=permits.get(worker.name, ""),
                )
                for index, worker in zip(self.indexes, workers, strict=True)
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FutureFit:
    """Workers on which a unit is expected to fit after a delay."""

    delay_ms: int
    names: tuple[str, ...]


class WaitReason(enum.StrEnum):
    """Why a unit waits.

    `NO_ROOM`: runs leave too little free. `CLOSED`: workers with room accept
    nothing new. `NO_PERMIT`: they have no permit for its step. `SUSPECTS`: they
    are kept for units that may crash them, or it is one of these. `FAILING`: runs
    failed there. `RESERVED`: what is free is reserved for other units.
    `LOCALITY`: it fits, but not near its data or in one rack.
    """

    NO_ROOM = "no_room"
    CLOSED = "closed"
    NO_PERMIT = "no_permit"
    SUSPECTS = "suspects"
    FAILING = "failing"
    RESERVED = "reserved"
    LOCALITY = "locality"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Why the first waiting unit of a job waits.

    Attributes:
      rank: Sort key of the unit.
      tasks: Number of its tasks.
      fitting_tasks: How many of them fit beside what runs, whatever else speaks
        against the workers.
      fits_in_ms: When it is expected to fit near its data or in one rack, in
        milliseconds from now; None if no end of a run would make it fit.
      racks: Racks where it is expected to fit then, if it prefers some.
      reserved_for: Jobs with resources reserved that this unit may not use, and
        on how many workers.
      left_out: Names of some workers that are left out, by reason.
    """

    reason: WaitReason
    rank: tuple[int, ...]
    tasks: int
    fitting_tasks: int
    fits_in_ms: int | None
    racks: tuple[str, ...]
    reserved_for: Mapping[str, int]
    left_out: Mapping[WaitReason, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Weighing:
    """Why the last stops for a job pay, counted as work.

    Attributes:
      won: What the job wins; None if its guarantee asks for the stops, whatever
        they win.
      lost: What the stops lose, in thousandths of a core-millisecond.
    """

    won: int | None
    lost: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchPlan:
    """Decisions of one planning round.

    Attributes:
      units: Units to place, in order.
      stops: Runs to preempt for units of a better rank.
      stopped_for: Job that each of them is preempted for.
      weighings: Why this pays, by that job, where stops are weighed.
      waiting_units: Wait keys of the ready units that could not be placed.
      waiting_count: Number of these units.
      complete: Whether all units were considered. If not, the next round goes on.
      waiting_jobs: Ids of the jobs with such units.
      waits: Why some of these jobs wait, by job id.
      permit_candidates: Steps that need permits, with the names of the workers
        that are eligible to run them.
    """

    units: tuple[batching.Unit, ...] = ()
    stops: tuple[batching.TaskRun, ...] = ()
    stopped_for: dict[batching.TaskRun, str] = dataclasses.field(
        default_factory=dict
    )
    weighings: dict[str, Weighing] = dataclasses.field(default_factory=dict)
    waiting_units: frozenset[UnitKey] = frozenset()
    waiting_count: int = 0
    complete: bool = True
    waiting_jobs: frozenset[str] = frozenset()
    waits: dict[str, Wait] = dataclasses.field(default_factory=dict)
    permit_candidates: dict[StepKey, list[str]] = dataclasses.field(
        default_factory=dict
    )

    def stop_reason(self, job_id: str) -> str:
        """Returns why runs are stopped for a job, as the counters name it."""
        weighing = self.weighings.get(job_id)
        if weighing is None:
            return "unweighed"
        return "guarantee" if weighing.won is None else "pays"
