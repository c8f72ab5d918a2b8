"""First boot of a group: who founds it, and with which data folders.

One member named by the settings founds the group, and only while every other
member answers that its folder belongs to no group. So an emptied folder
never founds again while any other member remembers the group.
"""

import asyncio

from bilberryroute import settings
from bilberryroute.consensus import peers
from bilberryroute.consensus import records

RETRY_MS = 200


async def founders(
    own: peers.Hello,
    address: settings.ReplicaAddress,
    members: tuple[settings.ReplicaAddress, ...],
) -> records.Membership | None:
    """Returns the first membership, if this replica is to found the group.

    Args:
      own: This replica's identity.
      address: This replica's address.
      members: All replicas in the settings.
    """
    if address.id != min(m.id for m in members):
        return None
    others = [m for m in members if m.id != address.id]
    answers = await asyncio.gather(*(peers.greet(m.grpc, own) for m in others))
    found = [records.Member(id=own.id, address=address)]
    for member, answer in zip(others, answers, strict=True):
        if not _may_found(member, answer):
            return None
        found.append(records.Member(id=answer.id, address=member))
    return records.Membership(members=tuple(found))


def _may_found(
    member: settings.ReplicaAddress, answer: peers.Hello | None
) -> bool:
    if answer is None or answer.group:
        return False
    return records.replica_id(answer.id) == member.id
