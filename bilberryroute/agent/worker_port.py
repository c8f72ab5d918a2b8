"""What an agent asks of a worker of batch jobs beside it.

The port translates to the worker's own protocol. A call that gets no answer
may still be carried out, also later than newer calls.
"""

import dataclasses
import enum
from typing import Protocol

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import wire


class WorkerDown(errors.Unavailable):
    """The worker's port refuses connections: nothing runs there."""

    kind = "worker_down"
    remedy = "Wait until the worker announces itself again."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchWorkerAnnouncement:
    """A worker in its own words, renewed about once a second.

    Attributes:
      born: When this life of the worker started, in its own words.
      sequence: Rises with each announcement of one life.
      address: Where it takes orders, `ip:port`.
      draining: Whether it leaves and takes nothing new.
      remaining_ms: While it drains, for how long it goes on at least.
    """

    name: str
    born: int
    sequence: int
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
    """Lets a run begin.

    Attributes:
      worker: Name of the worker meant; another one at its address refuses.
      permit: Permit of an advisory service, or empty.
      until_ms: Worker's clock at which all that runs there is killed, unless
        the lease is extended.
      fence: Term of the leader that decided it; lower ones are refused.
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
    """Extends the lease of all that runs, and asks what runs.

    Attributes:
      until_ms: New end of the lease on the worker's clock; None extends
        nothing.
      committed: Ends up to this number may be forgotten.
      wait_ms: How long the answer may wait for an end.
    """

    fence: int
    until_ms: int | None
    committed: int
    wait_ms: int


class StartVerdict(enum.StrEnum):
    """A worker's answer to a start.

    `FENCED`: it has seen a higher term. `OLD`: the run, or a later one, was
    stopped or has ended there. `LATE`: the order's lease has passed. `NO_ROOM`
    and `INVALID`: it will not take the run. `BUSY`: it did nothing, for now.
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
    """Verdict on a start, and the worker's clock; 0 if it told none."""

    verdict: StartVerdict
    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """What a worker holds at one instant of its clock.

    Attributes:
      born: Life that answered; 0 if it told none.
      loads: By task and run: the tail latency in milliseconds of a run that
        serves, and the processors in use, in thousandths, of any other.
    """

    born: int
    clock_ms: int
    running: tuple[wire.RunReport, ...]
    ends: tuple[wire.EndReport, ...]
    loads: dict[tuple[batch.TaskId, int], int] = dataclasses.field(
        default_factory=dict
    )


class WorkerPort(Protocol):
    """Orders to one worker.

    Each raises `errors.Unavailable` if no answer came, and `WorkerDown` if
    the worker's port refused the connection.
    """

    async def start_run(self, address: str, order: StartOrder) -> StartAnswer:
        """Lets a run begin."""

    async def stop_run(
        self, address: str, task: batch.TaskId, run: int, fence: int
    ) -> int:
        """Ends a run, also one that is still to come; returns the clock."""

    async def pace_run(
        self,
        address: str,
        task: batch.TaskId,
        run: int,
        percent: int,
        fence: int,
    ) -> None:
        """Lets a run work at a share, 0 to 100, until the next such order."""

    async def extend_lease(
        self, address: str, order: ExtendLeaseOrder
    ) -> Listing:
        """Extends the lease and returns what runs and what ended."""
