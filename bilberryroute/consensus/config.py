"""What a replica of the group is given, and what it shows."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import messages
from bilberryroute.consensus import records


class Applier(Protocol):
    """State machine that the log drives."""

    def apply(self, index: int, term: int, payload: bytes) -> object:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, payload: bytes) -> None:
        """Replaces the whole state."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupConfig:
    """Settings of one replica.

    Attributes:
      replica_id: Which of the members this is.
      members: The replicas that found the group together.
      data_folder: Where all files are kept.
      policy: How the group comes about and is repaired.
      routes: gRPC address by replica id, in place of the group's own.
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
        """Own address.

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
        """Returns the gRPC address of a replica, by the settings if named."""
        return self.routes.get(name, address)

    def locate(
        self,
        membership: records.Membership,
        member_id: str,
        learned: str | None,
    ) -> str | None:
        """Returns the gRPC address of a data folder's replica, or None.

        Args:
          membership: The group.
          member_id: Identity of the data folder.
          learned: Address that came with a message from there, if one did.
        """
        name = records.replica_id(member_id)
        member = membership.find(member_id)
        settled = member.address.grpc if member is not None else None
        known = (m.grpc for m in self.members if m.id == name)
        return self.route(name, learned or settled or next(known, None))


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleState:
    """What the role cell holds."""

    role: messages.Role
    term: int
    leader_id: str | None
