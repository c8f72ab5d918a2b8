"""Configuration objects that operators' change tickets set.

A ticket carries the whole new state of every object that it touches.
"""

import dataclasses
import enum


class Adjacency(enum.StrEnum):
    """The smallest part of the capacity tree that must hold a whole block."""

    WORKER = "worker"
    RACK = "rack"
    FAILURE_DOMAIN = "failure_domain"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Adjacent accelerators, possibly several such blocks.

    Attributes:
      accelerators: Accelerators in one block.
      copies: Number of blocks.
      adjacency: What must hold one block.
      failure_domain: Where the blocks must lie; empty for anywhere.
    """

    accelerators: int
    copies: int = 1
    adjacency: Adjacency = Adjacency.RACK
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientAccount:
    """A customer and what it is promised.

    Attributes:
      name: Unique name.
      guarantees: Shapes that the account can reclaim at any time, together.
      weight: Share beyond guarantees, relative to other accounts.
      removed: True once operators have removed the account.
    """

    name: str
    guarantees: tuple[Shape, ...] = ()
    weight: int = 1
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureDomain:
    """A zone that may fail, or be taken out of service, as a whole.

    Attributes:
      name: Unique name.
      region: Region that holds the failure domain.
      in_service: False while operators have taken it out.
    """

    name: str
    region: str = ""
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A request service and its limits.

    Attributes:
      name: Unique name.
      slots_per_endpoint: Requests that one endpoint runs at once.
      connections_per_endpoint: Connections that one endpoint accepts.
      queue_per_account: Requests of one account that an entry queues.
      queue_ms: Longest time in that queue, in milliseconds.
      answer_kept_ms: How long an answer is kept for resends, in milliseconds.
      removed: True once operators have removed the service.
    """

    name: str
    slots_per_endpoint: int = 8
    connections_per_endpoint: int = 60
    queue_per_account: int = 256
    queue_ms: int = 2_000
    answer_kept_ms: int = 600_000
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerState:
    """Desired service state of a worker, set by operators.

    Attributes:
      name: The worker's name.
      in_service: False while operators have taken it out.
    """

    name: str
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """One numbered change: the whole new state of each object named.

    Attributes:
      number: Unique, rising from 1.
      accounts: Client accounts set.
      failure_domains: Failure domains set.
      services: Services set.
      workers: Workers set.
    """

    number: int
    accounts: tuple[ClientAccount, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    services: tuple[Service, ...] = ()
    workers: tuple[WorkerState, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """All configuration at one revision.

    Attributes:
      revision: Number of the last accepted ticket; 0 before the first.
      accounts: By name.
      failure_domains: By name.
      services: By name.
      workers: By name; a worker not named is in service.
    """

    revision: int = 0
    accounts: dict[str, ClientAccount] = dataclasses.field(default_factory=dict)
    failure_domains: dict[str, FailureDomain] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    workers: dict[str, WorkerState] = dataclasses.field(default_factory=dict)
