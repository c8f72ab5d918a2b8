"""Repair of the group of replicas without an operator."""

import pytest

from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.consensus import records
from bilberryroute.replica import repair


def member(
    identity: str, voter: bool = True, failure_domain: str = ""
) -> records.Member:
    address = settings.ReplicaAddress(
        id=records.replica_id(identity),
        grpc="",
        datagram="",
        failure_domain=failure_domain,
    )
    return records.Member(id=identity, address=address, voter=voter)


A, B, C = (member(f"{name}#1") for name in "abc")
NEW_C = member("c#2", voter=False)
D = member("d#1")
STANDBY = member("d#1", voter=False)


@pytest.mark.parametrize(
    "members, silent, expected",
    [
        ((A, B, C), [], None),
        ((A, B, C), ["c#1"], None),
        ((A, B, C, NEW_C), ["c#1"], changes.Promote(id="c#2")),
        ((A, B, C, NEW_C), ["c#1", "c#2"], None),
        ((A, B, C, member("c#2")), ["c#1"], changes.Remove(id="c#1")),
        ((A, B, C, member("c#2")), ["a#1", "c#1"], changes.Remove(id="c#1")),
        ((A, B, C, D), ["a#1"], changes.Remove(id="a#1")),
        ((A, B, C, D), [], None),
        ((A, B, C, D), ["c#1", "a#1"], changes.Remove(id="c#1")),
        ((A, B, C, STANDBY), [], None),
        ((A, B, C, STANDBY), ["b#1"], changes.Promote(id="d#1")),
        ((A, B, C, NEW_C), [], changes.Promote(id="c#2")),
    ],
)
def test_next_change(members, silent, expected):
    assert repair.next_change(members, 3, silent) == expected


FIVE = tuple(member(f"{name}#1") for name in "abcde")


@pytest.mark.parametrize("silent", (["a#1"], ["a#1", "b#1"], ["e#1", "a#1"]))
def test_group_does_not_shrink_without_a_replacement(silent):
    assert repair.next_change(FIVE, 5, silent) is None


def test_voters_are_spread_over_failure_domains():
    voters = (
        member("a#1", failure_domain="apapa"),
        member("b#1", failure_domain="lekki"),
    )
    near = member("c#1", voter=False, failure_domain="apapa")
    far = member("d#1", voter=False, failure_domain="tincan")
    change = repair.next_change((*voters, near, far), 3, [])
    assert change == changes.Promote(id="d#1")
