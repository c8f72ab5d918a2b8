"""Operators' changes of the group of replicas, and the group after them."""

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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromoteReplica(MembershipChange):
    """Makes a replica that has caught up a voter."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RemoveReplica(MembershipChange):
    """Takes a replica out of the group for good."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """The group after a change."""

    replicas: tuple[queries.ReplicaView, ...]
