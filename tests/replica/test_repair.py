"""Repair of the group of replicas without an operator."""

import pytest

from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.consensus import records
from bilberryroute.replica import repair


def member(identity: str, voter: bool = True) -> records.Member:
    address = settings.ReplicaAddress(
        id=records.replica_id(identity), grpc="", datagram=""
    )
    return records.Member(id=identity, address=address, voter=voter)


A, B, C = (member(f"{name}#1") for name in "abc")
NEW_C = member("c#2", voter=False)
D = member("d#1")


@pytest.mark.parametrize(
    "members, silent, expected",
    [
        ((A, B, C), set(), None),
        ((A, B, C), {"c#1"}, None),
        ((A, B, C, NEW_C), {"c#1"}, changes.Promote(id="c#2")),
        ((A, B, C, NEW_C), {"c#1", "c#2"}, None),
        ((A, B, C, member("c#2")), {"c#1"}, changes.Remove(id="c#1")),
        ((A, B, C, member("c#2")), {"a#1", "c#1"}, changes.Remove(id="c#1")),
        ((A, B, C, D), {"a#1"}, changes.Remove(id="a#1")),
        ((A, B, C, D), set(), None),
    ],
)
def test_next_change(members, silent, expected):
    assert repair.next_change(members, 3, silent) == expected
