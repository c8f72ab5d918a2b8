"""Configuration, state machine interface and visible role of a replica."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import messages
from bilberryroute.consensus import records


class Applier(Protocol):
    """State machine to which committed entries are applied."""

    def apply(self, index: int, term: int, payload: bytes) -> object:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the serialized state."""

    def restore(self, payload: bytes) -> None:
        """Replaces the state by a serialized one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupConfig:
    """Settings of one replica.

    Attributes:
      replica_id: Replica id of this member.
      members: The initial members that found the group.
      data_folder: Directory of all files.
      policy: How the group is founded and repaired.
      routes: gRPC addresses by replica id; override those of the group.
    """

    replica_id: str
    members: tuple[settings.ReplicaAddress, ...]
    data_folder: str
    routes: Mapping[str, str] = field(default_factory=dict)
    policy: settings.Group = settings.Group()
    timing: settings.Timing = settings.Timing()
    log: settings.Log = settings.Log()

    @property
    def address(self) -> settings.ReplicaAddress:
        """Addresses of this replica.

        Raises:
          errors.SettingsError: If the members don't name this replica.
        """
        for member in self.members:
            if member.id == self.replica_id:
                return member
        raise errors.SettingsError(
            f"replica {self.replica_id!r} is not among the replicas"
        )

    def route(self, name: str, address: str | None) -> str | None:
        """Returns the gRPC address in `routes`, or else the given one."""
        return self.routes.get(name, address)

    def locate(
        self,
        membership: records.Membership,
        member_id: str,
        learned: str | None,
    ) -> str | None:
        """Returns the gRPC address of a data folder's replica, or None.

        Args:
          membership: The latest membership of the group.
          member_id: Identity of the data folder.
          learned: Address received with a message from that replica, if any.
        """
        name = records.replica_id(member_id)
        member = membership.find(member_id)
        member_address = member.address.grpc if member is not None else None
        known = (m.grpc for m in self.members if m.id == name)
        return self.route(name, learned or member_address or next(known, None))


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleState:
    """Role, term and known leader of a replica."""

    role: messages.Role
    term: int
    leader_id: str | None
