"""Bootstrap of a replica: found a group, join one, or rejoin without data.

Only one replica, chosen by the settings, founds the group, and only if every
other one replies that its folder belongs to no group. So a replica that lost
its data never founds a second group while any other replica still belongs to
the first; it rejoins under a new identity, as a learner. A replica that was
removed while it was silent rejoins as a learner as well, with its data.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

import msgspec

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


async def greet_with_leader(
    own: greeting.Hello, addresses: Sequence[str]
) -> list[greeting.Hello | None]:
    """Greets replicas, and the leader if they name one not greeted yet.

    A leader admits the sender if it can; see `welcome`.

    Returns:
      Replies to the greetings of `addresses`, in their order.
    """
    answers = await greet_all(own, addresses)
    leaders = {a.leader for a in answers if a is not None and a.leader}
    await greet_all(own, sorted(leaders.difference(addresses, {own.grpc})))
    return answers


async def first_membership(
    own: greeting.Hello,
    cfg: config.GroupConfig,
    new_seeds: Sequence[str] = (),
) -> records.Membership | None:
    """Greets the replicas of the settings while in no group.

    Args:
      own: This replica.
      cfg: Its settings at the start.
      new_seeds: Addresses that the settings have named since then. They found
        no group, but may know one.

    Returns:
      The membership to found the group with, or None: then either a leader
      that was greeted adds this replica, or the caller tries again.
    """
    others = [m for m in cfg.members if m.id != cfg.replica_id]
    addresses = [cfg.route(m.id, m.grpc) for m in others]
    answers = await greet_with_leader(own, [*addresses, *new_seeds])
    if not cfg.policy.may_found or any(a and a.group for a in answers):
        return None
    return founders(own, cfg.members, answers[: len(others)])


async def ask_to_rejoin(
    own: greeting.Hello,
    cfg: config.GroupConfig,
    membership: records.Membership,
    new_seeds: Sequence[str] = (),
) -> None:
    """Greets all known replicas, so that a leader can admit this one again."""
    known = {m.id: m.grpc for m in cfg.members}
    known |= {m.replica_id: m.address.grpc for m in membership.members}
    known.pop(cfg.replica_id, None)
    addresses = [cfg.route(name, address) for name, address in known.items()]
    await greet_with_leader(own, list(dict.fromkeys([*addresses, *new_seeds])))


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
    hellos = {own_name: own}
    hellos |= {m.id: a for m, a in zip(others, answers, strict=True)}
    return records.Membership(
        members=tuple(_founding_member(m, hellos[m.id]) for m in members)
    )


def welcome(
    membership: records.Membership,
    hello: greeting.Hello,
    *,
    group: str,
    allow_unknown: bool = False,
) -> changes.Change | None:
    """Returns the change with which a leader admits a replica.

    It may have no data, or data of this group. A learner with the same replica
    id is removed first; otherwise the replica is added as a learner. Returns
    None if there is nothing to change.

    Args:
      membership: The latest membership of the group.
      hello: Greeting of the replica.
      group: Id of the group.
      allow_unknown: Whether to admit replicas that are no member's replacement,
        and removed ones; otherwise an operator has to add them.
    """
    if membership.find(hello.id) is not None:
        return None
    if hello.group and not (allow_unknown and hello.group == group):
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
    own: settings.ReplicaAddress, identity: str, group: str, leader: str = ""
) -> greeting.Hello:
    """Returns the greeting of a replica."""
    return greeting.Hello(
        id=identity,
        group=group,
        grpc=own.grpc,
        datagram=own.datagram,
        failure_domain=own.failure_domain,
        leader=leader,
    )


def address_of(hello: greeting.Hello) -> settings.ReplicaAddress:
    """Returns the addresses of the replica that sent a greeting."""
    return settings.ReplicaAddress(
        id=records.replica_id(hello.id),
        grpc=hello.grpc,
        datagram=hello.datagram,
        failure_domain=hello.failure_domain,
    )


def _founding_member(
    member: settings.ReplicaAddress, hello: greeting.Hello
) -> records.Member:
    """Returns a founder; it knows its failure domain best."""
    domain = hello.failure_domain or member.failure_domain
    address = msgspec.structs.replace(member, failure_domain=domain)
    return records.Member(id=hello.id, address=address)


def _may_be_founder(
    member: settings.ReplicaAddress, answer: greeting.Hello | None
) -> bool:
    if answer is None or answer.group:
        return False
    return records.replica_id(answer.id) == member.id
