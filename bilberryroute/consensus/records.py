"""Records of the replicated log: entries, membership, snapshots, hard state."""

import enum
from dataclasses import dataclass
from dataclasses import replace

from bilberryroute import settings
from bilberryroute.transport import codec

_ID_SEPARATOR = "#"


class EntryKind(enum.StrEnum):
    """Whether an entry is for the state machine or for consensus itself."""

    COMMAND = "command"
    NOOP = "noop"
    MEMBERSHIP = "membership"


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One entry of the log.

    Attributes:
      index: Position, from 1.
      term: Term of the leader that appended it.
      kind: Whether it is for the state machine or for consensus.
      payload: A command, an encoded `Membership`, or nothing.
    """

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    payload: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One replica of the group.

    Attributes:
      id: Identity of its data folder: replica id, `#`, token.
      address: Its listening addresses.
      voter: Whether it counts in majorities; a learner does not.
    """

    id: str
    address: settings.ReplicaAddress
    voter: bool = True

    @property
    def replica_id(self) -> str:
        """Name of the replica in the settings."""
        return replica_id(self.id)


@dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """All replicas of the group, in effect from one log entry on.

    Attributes:
      version: Number of changes since the group was founded.
    """

    members: tuple[Member, ...] = ()
    version: int = 0

    @property
    def voters(self) -> tuple[str, ...]:
        """Identities of the members that count in majorities."""
        return tuple(m.id for m in self.members if m.voter)

    @property
    def quorum(self) -> int:
        """Size of a majority of the voters."""
        return len(self.voters) // 2 + 1

    def find(self, member_id: str) -> Member | None:
        """Returns the member with that identity, or None."""
        return next((m for m in self.members if m.id == member_id), None)

    def with_member(self, member: Member) -> "Membership":
        """Returns the membership with a member added or replaced."""
        kept = tuple(m for m in self.members if m.id != member.id)
        return replace(self, members=(*kept, member), version=self.version + 1)

    def without(self, member_id: str) -> "Membership":
        """Returns the membership without a member."""
        kept = tuple(m for m in self.members if m.id != member_id)
        return replace(self, members=kept, version=self.version + 1)


@dataclass(frozen=True, slots=True, kw_only=True)
class HardState:
    """Raft state that a replica must persist besides the log.

    Attributes:
      term: Highest term seen.
      vote: Identity voted for in that term, or empty.
      group: Group that the data folder is bound to, or empty.
    """

    term: int = 0
    vote: str = ""
    group: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """State after an entry; replaces all entries up to it."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    payload: bytes = b""


_membership_decoder = codec.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Returns the payload of a membership entry."""
    return codec.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Returns the membership in a membership entry's payload."""
    return _membership_decoder.decode(payload)


def identity(replica: str, token: str) -> str:
    """Returns the identity of one data folder of a replica."""
    return f"{replica}{_ID_SEPARATOR}{token}"


def replica_id(member_id: str) -> str:
    """Returns the replica id in the identity of a data folder."""
    return member_id.partition(_ID_SEPARATOR)[0]
