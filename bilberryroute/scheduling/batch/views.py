"""What the planner is shown, and what it decides."""

import dataclasses
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model

StepKey = tuple[str, int, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerSnapshot:
    """A worker as its agent reports it.

    Attributes:
      pool: Workers among which a queue chooses.
      labels: What the worker offers; steps may require one.
      open: Whether new work may go there, as far as the worker goes.
      suspect: Whether runs failed there lately; chosen last.
    """

    ref: batch.WorkerRef
    pool: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    capacity: batch.Resources
    open: bool = True
    suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ready:
    """A unit that could start now: a gang, or one task.

    Attributes:
      indexes: The tasks' indexes within the step.
      run: Number that the next run gets.
      rank: Lower goes first; 0 holds an account's guarantee.
      since_ms: Unix time from which it could have started.
    """

    record: batch.BatchRecord
    queue: catalog_model.Queue
    occurrence: int
    step_number: int
    step: batch.Step
    indexes: tuple[int, ...]
    run: int
    rank: tuple[int, ...] = ()
    since_ms: int = 0

    @property
    def step_key(self) -> StepKey:
        """The step of one occurrence that the unit belongs to."""
        return (self.record.id, self.occurrence, self.step_number)

    def placed(
        self,
        workers: tuple[batch.WorkerRef, ...],
        permits: Mapping[str, str],
    ) -> batching.Unit:
        """Returns the command's unit for workers in the order of indexes."""
        return batching.Unit(
            job_id=self.record.id,
            occurrence=self.occurrence,
            step=self.step_number,
            run=self.run,
            members=tuple(
                batching.Member(
                    index=index,
                    worker=worker,
                    permit=permits.get(worker.name, ""),
                )
                for index, worker in zip(self.indexes, workers, strict=True)
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchPlan:
    """What one round decides.

    Attributes:
      units: To be placed, in order.
      stops: Runs to stop, so that units of a better rank fit.
      waiting_units: How many units could start but for want of room.
      waiting_jobs: Jobs with such units, and the rank of the first of them.
      permit_candidates: Steps that need permits, with the workers that could take them.
    """

    units: tuple[batching.Unit, ...] = ()
    stops: tuple[batching.TaskRun, ...] = ()
    waiting_units: int = 0
    waiting_jobs: dict[str, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    permit_candidates: dict[StepKey, list[str]] = dataclasses.field(
        default_factory=dict
    )
