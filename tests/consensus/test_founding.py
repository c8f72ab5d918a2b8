import dataclasses

import pytest

from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.consensus import founding
from bilberryroute.consensus import greeting
from bilberryroute.consensus import records

_ADDRESSES = tuple(
    settings.ReplicaAddress(id=name, grpc=f"{name}:1", datagram="")
    for name in ("r1", "r2", "r3")
)


def _hello(member_id: str, group: str = "") -> greeting.Hello:
    name = records.replica_id(member_id)
    return greeting.Hello(
        id=member_id, group=group, grpc=f"{name}:1", datagram=""
    )


def _founders(own="r1#a", second="r2#b", third="r3#c", group=""):
    answers = [
        name and _hello(name, group if name == second else "")
        for name in (second, third)
    ]
    return founding.founders(_hello(own), _ADDRESSES, answers)


def test_first_replica_founds_when_all_are_empty():
    membership = _founders()
    assert membership.voters == ("r1#a", "r2#b", "r3#c")


def test_lone_replica_founds_at_once():
    membership = founding.founders(_hello("r1#a"), _ADDRESSES[:1], [])
    assert membership.voters == ("r1#a",)


@pytest.mark.parametrize(
    "case",
    [
        {"group": "g"},  # Another replica remembers the group.
        {"second": None},  # Another replica may remember it.
        {"second": "r9#b"},  # Another process listens there.
        {"own": "r2#b", "second": "r1#a"},  # Another one founds.
    ],
)
def test_nothing_is_founded(case):
    assert _founders(**case) is None


def _membership(*members: tuple[str, bool]) -> records.Membership:
    return records.Membership(
        members=tuple(
            records.Member(id=name, address=_ADDRESSES[0], voter=voter)
            for name, voter in members
        )
    )


def test_known_replica_without_its_disk_comes_back_as_learner():
    membership = _membership(("r1#a", True), ("r2#b", True))
    change = founding.welcome(membership, _hello("r2#new"), group="g")
    assert change == changes.AddLearner(address=_ADDRESSES[1], id="r2#new")


def test_learner_of_an_older_disk_goes_first():
    membership = _membership(("r1#a", True), ("r2#b", True), ("r2#c", False))
    change = founding.welcome(membership, _hello("r2#new"), group="g")
    assert change == changes.Remove(id="r2#c")


@pytest.mark.parametrize(
    "hello", [_hello("r2#b"), _hello("r9#x"), _hello("r2#new", group="g")]
)
def test_nobody_else_is_taken_in(hello):
    membership = _membership(("r1#a", True), ("r2#b", True))
    assert founding.welcome(membership, hello, group="g") is None


def test_removed_replica_comes_back_with_its_data_if_the_group_repairs_itself():
    membership = _membership(("r1#a", True), ("r2#b", True))
    hello = _hello("r3#c", group="g")
    change = founding.welcome(membership, hello, group="g", allow_unknown=True)
    assert change == changes.AddLearner(address=_ADDRESSES[2], id="r3#c")


def test_replica_of_another_group_is_never_admitted():
    membership = _membership(("r1#a", True), ("r2#b", True))
    hello = _hello("r3#c", group="other")
    assert (
        founding.welcome(membership, hello, group="g", allow_unknown=True)
        is None
    )


def test_founders_record_the_failure_domain_that_each_replica_names():
    own = dataclasses.replace(_hello("r1#a"), failure_domain="apapa")
    other = dataclasses.replace(_hello("r2#b"), failure_domain="lekki")
    membership = founding.founders(own, _ADDRESSES[:2], [other])
    domains = [m.address.failure_domain for m in membership.members]
    assert domains == ["apapa", "lekki"]
