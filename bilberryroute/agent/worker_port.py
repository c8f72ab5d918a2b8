"""Interface between an agent and its batch worker.

Implementations translate to the worker's own protocol. A call without an
answer may still be carried out, even after newer calls.
"""

import dataclasses
import enum
from typing import Protocol

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import wire


class WorkerDown(errors.Unavailable):
    """The worker's port refuses connections."""

    kind = "worker_down"
    remedy = "Wait until the worker announces itself again."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchWorkerAnnouncement:
    """Announcement of a worker, sent about once a second.

    Attributes:
      born: When this incarnation of the worker started, as it reports.
      sequence: Increases with each announcement of one incarnation.
      clock_ms: Worker's monotonic clock when it sent the announcement.
      address: Address of its API, `ip:port`.
      draining: Whether it drains and accepts no new runs.
      remaining_ms: While it drains, how long its runs continue at least.
    """

    name: str
    born: int
    sequence: int
    clock_ms: int
    address: str
    pool: str
    failure_domain: str
    rack: str
    labels: tuple[str, ...]
    capacity: batch.Resources
    draining: bool = False
    remaining_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Arguments of the start of a run.

    Attributes:
      worker: Name of the worker; another one at the same address refuses.
      permit: Permit of an advisory service, or empty.
      until_ms: Worker's clock at which all its runs are killed, unless the
        lease is extended.
      fence: Fencing token: the leader's term; the worker refuses lower ones.
    """

    worker: str
    task: batch.TaskId
    run: int
    payload: str
    saved: str
    permit: str
    until_ms: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExtendLeaseOrder:
    """Arguments of a long poll that also extends the lease of all runs.

    Attributes:
      fence: Fencing token: the leader's term.
      until_ms: New end of the lease on the worker's clock; None leaves it as
        it is.
      committed: The worker may forget ends up to this number.
      wait_ms: How long the worker may wait for the end of a run.
    """

    fence: int
    until_ms: int | None
    committed: int
    wait_ms: int


class StartVerdict(enum.StrEnum):
    """A worker's answer to a start.

    `FENCED`: it has seen a higher term. `OLD`: the run, or a later one of the
    task, was stopped or has ended there. `LATE`: the lease in the start has
    ended. `NO_ROOM` and `INVALID`: it rejects the run for good. `BUSY`: it did
    nothing; the start may be retried.
    """

    STARTED = "started"
    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no_room"
    INVALID = "invalid"
    BUSY = "busy"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartAnswer:
    """Answer to a start, and the worker's clock; 0 if not given."""

    verdict: StartVerdict
    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Runs and unconfirmed ends of a worker at one instant of its clock.

    Attributes:
      born: Incarnation that answered; 0 if not given.
      loads: By task and run: the tail latency in milliseconds of a serving
        run; the processors in use, in thousandths, of any other run.
    """

    born: int
    clock_ms: int
    running: tuple[wire.RunReport, ...]
    ends: tuple[wire.EndReport, ...]
    loads: dict[tuple[batch.TaskId, int], int] = dataclasses.field(
        default_factory=dict
    )


class WorkerPort(Protocol):
    """Calls to one worker.

    Each raises `errors.Unavailable` if there was no answer, and `WorkerDown`
    if the worker refused the connection.
    """

    async def start_run(self, address: str, order: StartOrder) -> StartAnswer:
        """Starts a run."""

    async def stop_run(
        self, address: str, task: batch.TaskId, run: int, fence: int
    ) -> int:
        """Stops a run, or bars a later start; returns the worker's clock."""

    async def pace_run(
        self,
        address: str,
        task: batch.TaskId,
        run: int,
        percent: int,
        fence: int,
    ) -> None:
        """Limits a run to a percentage of its processor time, until changed.

        The percentage is 0 to 100.
        """

    async def extend_lease(
        self, address: str, order: ExtendLeaseOrder
    ) -> Listing:
        """Extends the lease of all runs; returns the worker's listing."""
