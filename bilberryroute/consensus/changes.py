"""Membership changes, applied one at a time.

Each change adds or removes at most one voter, so every majority before it and
every majority after it share a replica.
"""

from dataclasses import dataclass
from dataclasses import replace

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import records

PROMOTION_LAG_ENTRIES = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class AddLearner:
    """Adds a replica that receives the log and does not vote.

    Attributes:
      address: Its listening addresses; the id in it is the replica id.
      id: Identity of its data folder; if empty, the replica is asked for it.
    """

    address: settings.ReplicaAddress
    id: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Promote:
    """Makes a learner a voter once it has caught up."""

    id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Remove:
    """Removes a member from the group for good."""

    id: str


Change = AddLearner | Promote | Remove


def resolve(membership: records.Membership, name: str) -> records.Member:
    """Returns the member with an identity or an unambiguous replica id.

    Raises:
      errors.NotFound: If no member or more than one matches.
    """
    exact = membership.find(name)
    if exact is not None:
        return exact
    matches = [m for m in membership.members if m.replica_id == name]
    if len(matches) == 1:
        return matches[0]
    known = ", ".join(m.id for m in membership.members)
    raise errors.NotFound(f"{name!r} does not identify one replica of: {known}")


def apply(core: core_lib.Core, change: Change, now: int) -> records.Membership:
    """Validates a change and returns the resulting membership.

    Raises:
      errors.Refused: If the change is invalid, or the voters that answer now
        would not form a majority after it.
    """
    membership = core.membership
    match change:
        case AddLearner(address=address, id=member_id):
            return _with_learner(membership, member_id, address)
        case Promote(id=name):
            member = resolve(membership, name)
            _require_caught_up(core, member)
            voter = replace(member, voter=True)
            changed = membership.with_member(voter)
        case Remove(id=name):
            member = resolve(membership, name)
            changed = membership.without(member.id)
    _require_majority(core, changed, now)
    return changed


def _with_learner(
    membership: records.Membership,
    member_id: str,
    address: settings.ReplicaAddress,
) -> records.Membership:
    if membership.find(member_id) is not None:
        raise errors.Refused(f"{member_id} is already a member")
    learner = records.Member(id=member_id, address=address, voter=False)
    return membership.with_member(learner)


def _require_caught_up(core: core_lib.Core, member: records.Member) -> None:
    if member.voter:
        raise errors.Refused(f"{member.id} is already a voter")
    progress = core.progress_of(member.id)
    matched = 0 if progress is None else progress.match_index
    missing = core.commit_index - matched
    if missing > PROMOTION_LAG_ENTRIES or matched == 0:
        raise errors.Refused(
            f"{member.id} is still missing {missing} entries",
            remedy="Try again when it has caught up.",
        )


def _require_majority(
    core: core_lib.Core, membership: records.Membership, now: int
) -> None:
    answering = [v for v in membership.voters if core.hears(v, now)]
    if len(answering) < max(1, membership.quorum):
        raise errors.Refused(
            f"only {len(answering)} of {len(membership.voters)} voters would"
            " answer after the change",
            remedy="Restore the unresponsive replicas, or remove them first.",
        )
