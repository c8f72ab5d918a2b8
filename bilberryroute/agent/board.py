"""Blackboard of the agent role."""

import dataclasses
from collections.abc import Mapping

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute.model import config
from bilberryroute.model import endpoints
from bilberryroute.model import jobs
from bilberryroute.model import wire


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """The agent's lease, under which it may start work.

    Attributes:
      term: Term that granted it.
      expires: Monotonic instant at which it ends, counted from when the
        renewal was sent.
      workers: The same by worker, counted from the last granted renewal that
        reported it: the leader counts from there when a worker falls silent.
    """

    term: int = 0
    expires: clock_lib.Millis = clock_lib.Millis(0)
    workers: Mapping[str, clock_lib.Millis] = dataclasses.field(
        default_factory=dict
    )

    def left(self, now: int) -> int:
        """Returns the milliseconds left, 0 if it has ended."""
        return max(0, self.expires - now)

    def left_for(self, worker: str, now: int) -> int:
        """Returns the milliseconds in which work on a worker may be extended.

        Args:
          worker: Its name, for batch workers that of the incarnation.
          now: Agent's clock.
        """
        return max(0, self.workers.get(worker, clock_lib.Millis(0)) - now)


@dataclasses.dataclass(slots=True)
class AgentBoard:
    """Observed and desired state of an agent.

    Attributes:
      lease: Present lease.
      desired: Last desired state; its revision never decreases.
      covered: Workers that the leader knew of when it made the desired state;
        the absence of a task on any other worker means nothing.
      services: Services by name with their limits, from `desired`.
      endpoints: Reports on the endpoints announced here, by name.
      announcements: Last announcement of each endpoint by name, without those
        whose lease has ended.
      leaving: Monotonic instant at which an endpoint first announced that it
        leaves, by its name.
      running: Number of requests that each endpoint runs now, by its name.
      workers: Workers announced here, by name.
      tasks: Reports on tasks, by worker, job id and attempt.
      draining: True once the process drains.
      batch: Reports on workers of batch jobs.
      payloads: Payloads of batch jobs that may have to start here, by job.
      committed: Number of the last committed end, by worker and its
        `born`.
    """

    lease: blackboard.Cell[Lease]
    desired: blackboard.Cell[wire.Desired]
    covered: blackboard.Cell[frozenset[str]]
    services: blackboard.Cell[dict[str, config.Service]]
    endpoints: blackboard.Cell[dict[str, wire.EndpointReport]]
    announcements: blackboard.Cell[dict[str, endpoints.Announcement]]
    leaving: blackboard.Cell[dict[str, int]]
    running: blackboard.Cell[dict[str, int]]
    workers: blackboard.Cell[dict[str, jobs.Worker]]
    tasks: blackboard.Cell[dict[tuple[str, str, int], wire.TaskReport]]
    draining: blackboard.Cell[bool]
    batch: blackboard.Cell[tuple[wire.WorkerReport, ...]]
    payloads: blackboard.Cell[dict[str, str]]
    committed: blackboard.Cell[dict[tuple[str, int], int]]


def new_board() -> AgentBoard:
    """Returns the board of an agent that has just started."""
    return AgentBoard(
        lease=blackboard.Cell(Lease()),
        desired=blackboard.Cell(
            wire.Desired(
                version=0,
                revision=0,
                domains_in_service=(),
                services=(),
                tasks=(),
            )
        ),
        covered=blackboard.Cell(frozenset()),
        services=blackboard.Cell({}),
        endpoints=blackboard.Cell({}),
        announcements=blackboard.Cell({}),
        leaving=blackboard.Cell({}),
        running=blackboard.Cell({}),
        workers=blackboard.Cell({}),
        tasks=blackboard.Cell({}),
        draining=blackboard.Cell(False),
        batch=blackboard.Cell(()),
        payloads=blackboard.Cell({}),
        committed=blackboard.Cell({}),
    )
