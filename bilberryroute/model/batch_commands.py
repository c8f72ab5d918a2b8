"""Commands of the replicated log on batch jobs, and their results."""

import dataclasses

from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApplyCatalog(commands.Command):
    """Replaces all queues and accounts if the version is higher."""

    catalog: catalog_model.Catalog
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetEvacuated(commands.Command):
    """Starts or ends the evacuation of a failure domain.

    Attributes:
      after_order: Number of the domain's last order when this one was given. An
        order that arrives after a later one names a lower number. None in logs
        of releases that did not number the orders.
    """

    failure_domain: str
    evacuated: bool
    at_ms: int
    after_order: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SubmitBatch(commands.Command):
    """Queues a batch job; a resend under the same id changes nothing.

    Attributes:
      keep_ms: How long ended jobs are remembered, in milliseconds.
    """

    address: catalog_model.Address
    content: batch.Content
    keep_ms: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelBatch(commands.Command):
    """Cancels a batch job; its tasks are stopped."""

    address: catalog_model.Address
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnitMember:
    """A task of a unit and its worker.

    Attributes:
      permit: Permit of an advisory service for the worker, or empty.
    """

    index: int
    worker: batch.WorkerRef
    permit: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unit:
    """Tasks of one step that are placed together: a gang, or one task.

    Attributes:
      run: Number of the run; higher than any before.
    """

    job_id: str
    occurrence: int
    step: int
    run: int
    members: tuple[UnitMember, ...]

    def task(self, member: UnitMember) -> batch.TaskId:
        """Returns the id of a member's task."""
        return batch.TaskId(
            job_id=self.job_id,
            occurrence=self.occurrence,
            step=self.step,
            index=member.index,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlaceRuns(commands.Command):
    """Places units; each is placed as a whole or not at all."""

    units: tuple[Unit, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskRun:
    """One run of a task."""

    task: batch.TaskId
    run: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopRuns(commands.Command):
    """Stops runs; their tasks wait again once the runs have ended.

    Attributes:
      forced: Whether the runs cannot go on where they are, so that they do not
        make room for another job.
    """

    runs: tuple[TaskRun, ...]
    at_ms: int
    forced: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunEnd:
    """The end of a run.

    Attributes:
      saved: Checkpoint that the run left, or empty.
      cause: Why a lost run was lost. Not an outcome of its own, so that older
        replicas can still read the command, though they count no crashes.
      down_after_ms: For a crash, time from the start of the run until the
        worker was down, in milliseconds; None if unknown.
    """

    task: batch.TaskId
    run: int
    outcome: batch.RunOutcome
    saved: str = ""
    cause: batch.LossCause | None = None
    down_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndRuns(commands.Command):
    """Records runs that have ended; an end is final."""

    ends: tuple[RunEnd, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SavedRun:
    """A checkpoint saved by a run that continues."""

    task: batch.TaskId
    run: int
    saved: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoteSaved(commands.Command):
    """Records checkpoints, which then survive worker and leader failures."""

    saves: tuple[SavedRun, ...]
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchAccepted:
    """The change is durable; `first` is False for a resend."""

    job_id: str
    first: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchRefused:
    """Nothing was changed; `kind` names the error that the caller gets."""

    kind: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CatalogHeld:
    """The catalog is durable on a majority; `version` is in force now."""

    version: int
    changed: bool


COMMANDS = (
    ApplyCatalog,
    SetEvacuated,
    SubmitBatch,
    CancelBatch,
    PlaceRuns,
    StopRuns,
    EndRuns,
    NoteSaved,
)
RESULTS = (BatchAccepted, BatchRefused, CatalogHeld)
