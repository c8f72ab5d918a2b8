"""Bootstrap of a replica: found a group, join one, or rejoin without data.

Only one replica, chosen by the settings, founds the group, and only if every
other one replies that its folder belongs to no group. So a replica that lost
its data never founds a second group while any other replica still belongs to
the first; it rejoins under a new identity, as a learner.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.consensus import config
from bilberryroute.consensus import greeting
from bilberryroute.consensus import records

RETRY_MS = 200


async def greet_all(
    own: greeting.Hello, addresses: Sequence[str]
) -> list[greeting.Hello | None]:
    """Sends a greeting to each replica; returns a reply or None for each."""
    greetings = (greeting.greet(address, own) for address in addresses)
    return list(await asyncio.gather(*greetings))


async def first_membership(
    own: greeting.Hello, cfg: config.GroupConfig
) -> records.Membership | None:
    """Greets the replicas of the settings while in no group.

    Returns:
      The membership to found the group with, or None: then either a leader
      that was greeted adds this replica, or the caller tries again.
    """
    others = [m for m in cfg.members if m.id != cfg.replica_id]
    addresses = [cfg.route(m.id, m.grpc) for m in others]
    answers = await greet_all(own, addresses)
    if not cfg.policy.may_found:
        return None
    return founders(own, cfg.members, answers)


def founders(
    own: greeting.Hello,
    members: Sequence[settings.ReplicaAddress],
    answers: Sequence[greeting.Hello | None],
) -> records.Membership | None:
    """Returns the first membership, or None if not to found the group.

    Args:
      own: This replica.
      members: All replicas in the settings.
      answers: Replies of the other replicas, in the order of `members`.
    """
    own_name = records.replica_id(own.id)
    if own_name != min(m.id for m in members):
        return None
    others = [m for m in members if m.id != own_name]
    if not all(map(_may_be_founder, others, answers)):
        return None
    ids = {own_name: own.id}
    ids |= {m.id: a.id for m, a in zip(others, answers, strict=True)}
    return records.Membership(
        members=tuple(records.Member(id=ids[m.id], address=m) for m in members)
    )


def welcome(
    membership: records.Membership,
    hello: greeting.Hello,
    *,
    allow_unknown: bool = False,
) -> changes.Change | None:
    """Returns the change with which a leader admits a replica without data.

    A learner with the same replica id is removed first; otherwise the replica
    is added as a learner. Returns None if there is nothing to change.

    Args:
      membership: The latest membership of the group.
      hello: Greeting of the replica.
      allow_unknown: Whether to admit a replica whose replica id is no member's
        as well; otherwise an operator has to add it.
    """
    if hello.group or membership.find(hello.id) is not None:
        return None
    name = records.replica_id(hello.id)
    known = [m for m in membership.members if m.replica_id == name]
    if not known and not allow_unknown:
        return None
    for member in known:
        if not member.voter:
            return changes.Remove(id=member.id)
    return changes.AddLearner(address=address_of(hello), id=hello.id)


async def identify(
    change: changes.AddLearner, address: str, own: greeting.Hello
) -> changes.AddLearner:
    """Asks a replica to be added for the identity of its data folder.

    Raises:
      errors.Unavailable: If no replica answers.
      errors.Refused: If a different replica answers, or one that belongs to
        another group.
    """
    answer = await greeting.greet(address, own)
    if answer is None:
        raise errors.Unavailable(f"no replica answers at {address}")
    if records.replica_id(answer.id) != change.address.id:
        raise errors.Refused(f"{answer.id} answers at {address}")
    if answer.group not in ("", own.group):
        raise errors.Refused(f"{answer.id} belongs to another group")
    return replace(change, id=answer.id)


def hello(
    own: settings.ReplicaAddress, identity: str, group: str
) -> greeting.Hello:
    """Returns the greeting of a replica."""
    return greeting.Hello(
        id=identity,
        group=group,
        grpc=own.grpc,
        datagram=own.datagram,
        failure_domain=own.failure_domain,
    )


def address_of(hello: greeting.Hello) -> settings.ReplicaAddress:
    """Returns the addresses of the replica that sent a greeting."""
    return settings.ReplicaAddress(
        id=records.replica_id(hello.id),
        grpc=hello.grpc,
        datagram=hello.datagram,
        failure_domain=hello.failure_domain,
    )


def _may_be_founder(
    member: settings.ReplicaAddress, answer: greeting.Hello | None
) -> bool:
    if answer is None or answer.group:
        return False
    return records.replica_id(answer.id) == member.id
