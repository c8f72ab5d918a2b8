"""Messages between replicas, and outputs of the core for its caller."""

import enum
from dataclasses import dataclass

from bilberryroute.consensus import records


class Role(enum.StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    HALTED = "halted"


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteRequest:
    """Request of a candidate for a vote, or for a pre-vote.

    Attributes:
      handed_over: Whether the leader of the previous term asked the candidate
        to start an election; its lease has ended, so voters need not wait for
        that.
    """

    term: int
    pre: bool
    last_index: int
    last_term: int
    handed_over: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class VoteReply:
    """Reply to a vote request; `term` is the requested term if granted."""

    term: int
    pre: bool
    granted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendRequest:
    """Entries that follow `prev_index`; a heartbeat if there are none.

    Attributes:
      sent_ms: Clock of the leader when sent; the reply returns it.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[records.Entry, ...]
    commit: int
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReply:
    """Reply to an append request.

    Attributes:
      match_index: Index up to which the durable log equals the leader's.
      hint_index: After a rejection, the index that the leader should try next.
    """

    term: int
    success: bool
    match_index: int
    hint_index: int
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk:
    """A chunk of the leader's snapshot."""

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
    """Reply to a chunk: index of the snapshot and next requested offset."""

    term: int
    index: int
    offset: int
    sent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StandNow:
    """Request of a leader that steps down that a voter start an election."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """Question of a replica that has just started whether the receiver leads.

    Attributes:
      life: Number that the sender drew when it started.
    """

    life: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseReply:
    """Reply to a lease request.

    Attributes:
      life: Number in the request.
      leads: Whether the sender leads, under its lease or not.
      known: Identities of all that may lead, as far as the sender knows.
    """

    life: int
    leads: bool
    known: tuple[str, ...]


Message = (
    VoteRequest
    | VoteReply
    | StandNow
    | LeaseRequest
    | LeaseReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """A message with its group and the identities of sender and receiver."""

    group: str
    sender: str
    receiver: str
    body: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Request to make data durable in `sequence` order, then call `Core.synced`.

    Attributes:
      entries: Entries that replace the log from the index of the first on.
      snapshot: Replaces the log up to its index.
      tail: With a snapshot, all entries that stay in the log.
    """

    sequence: int
    hard_state: records.HardState | None = None
    entries: tuple[records.Entry, ...] = ()
    snapshot: records.Snapshot | None = None
    tail: tuple[records.Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Request to send once write `after` is durable; 0 means at once."""

    envelope: Envelope
    after: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Apply:
    """Committed entries to apply, in order and each exactly once."""

    entries: tuple[records.Entry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Restore:
    """Request to replace the state of the state machine by a snapshot."""

    snapshot: records.Snapshot


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleChanged:
    """The replica's role, term or known leader changed."""

    role: Role
    term: int
    leader: str


Output = Write | Send | Apply | Restore | RoleChanged
