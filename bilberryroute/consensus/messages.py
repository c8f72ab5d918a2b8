"""Messages between replicas, and what the core asks its surroundings to do."""

import enum
from dataclasses import dataclass

from bilberryroute.consensus import records


class Role(enum.StrEnum):
    """What a replica is in its present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """A candidate asks for a vote, or in pre-vote whether it would get one.

    Attributes:
      handed_over: Whether the leader of the term before asked the candidate
        to stand; its lease has ended, so nobody needs to wait for that.
    """

    term: int
    pre: bool
    last_index: int
    last_term: int
    handed_over: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """Answer to a vote request; `term` is the term asked for if granted."""

    term: int
    pre: bool
    granted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """Entries after a known one; without entries, a heartbeat.

    Attributes:
      sent_ms: Leader's clock when sent; the reply carries it back.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[records.Entry, ...]
    commit: int
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """Answer to entries.

    Attributes:
      match_index: Up to where the durable log equals the leader's.
      hint_index: After a refusal, where the leader should try next.
    """

    term: int
    success: bool
    match_index: int
    hint_index: int
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk:
    """A piece of the leader's snapshot."""

    term: int
    index: int
    snapshot_term: int
    membership: records.Membership
    offset: int
    payload: bytes
    done: bool
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotReply:
    """Answer to a piece: the snapshot's index and the next offset wanted."""

    term: int
    index: int
    offset: int
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StandNow:
    """The leader of a term, which leads no more, asks a voter to stand."""

    term: int


Message = (
    VoteRequest
    | VoteReply
    | StandNow
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A message with its group and the two data folders it passes between."""

    group: str
    sender: str
    receiver: str
    body: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Make durable, in order of `sequence`; then call `Core.synced`.

    Attributes:
      entries: Replace the log from the first one's index on.
      snapshot: Replaces the log up to its index.
      keep_from: With a snapshot, the first entry kept after it.
    """

    sequence: int
    hard_state: records.HardState | None = None
    entries: tuple[records.Entry, ...] = ()
    snapshot: records.Snapshot | None = None
    tail: tuple[records.Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send once the write `after` is durable; 0 is at once."""

    envelope: Envelope
    after: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Entries that are committed, in order, each once."""

    entries: tuple[records.Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Restore:
    """Replace the state machine by a snapshot."""

    snapshot: records.Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleChanged:
    """The replica's role, term or known leader changed."""

    role: Role
    term: int
    leader: str


Output = Write | Send | Apply | Restore | RoleChanged
