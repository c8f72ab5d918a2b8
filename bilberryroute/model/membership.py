"""Operators' changes of the group of replicas, and the group after them.

A change names the version of the membership that it was decided on. One that was
held up on its way and arrives after another change is refused.
"""

import dataclasses

from bilberryroute.model import queries


class MembershipChange:
    """Base of the changes, tagged by class name on the wire."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AddReplica(MembershipChange):
    """Adds a running replica that receives the log and does not vote.

    Attributes:
      id: Its `replica_id` in the settings.
      grpc: Address of its gRPC server.
      datagram: Address of its datagram socket.
    """

    id: str
    grpc: str
    datagram: str
    failure_domain: str = ""
    after_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromoteReplica(MembershipChange):
    """Makes a replica that has caught up a voter."""

    id: str
    after_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoveReplica(MembershipChange):
    """Takes a replica out of the group for good."""

    id: str
    after_version: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """The group after a change.

    Attributes:
      version: Number of changes since the group was founded.
    """

    replicas: tuple[queries.ReplicaView, ...]
    version: int = 0
