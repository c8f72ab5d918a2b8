import collections
import random

from bilberryroute.model import wire
from bilberryroute.routing import choice


def view(name: str, domain: str = "apapa", **fields: object):
    defaults = {
        "service": "s",
        "agent": name,
        "incarnation": "1",
        "http": "",
        "failure_domain": domain,
        "slots": 8,
        "in_flight": 0,
        "leaving": False,
        "healthy": True,
    }
    return wire.EndpointView(name=name, **(defaults | fields))


def pool_of(*views, limits=None) -> choice.EndpointPool:
    pool = choice.EndpointPool("apapa")
    pool.update(views, limits)
    return pool


def test_own_failure_domain_goes_first_until_it_is_full():
    pool = pool_of(view("near"), view("far", "lekki"))
    rng = random.Random(1)
    chosen = []
    for _ in range(16):
        endpoint = pool.choose("s", rng)
        pool.request_started(endpoint.name)
        chosen.append(endpoint.name)
    assert chosen == ["near"] * 8 + ["far"] * 8
    assert pool.choose("s", rng) is None
    pool.request_ended("far")
    assert pool.choose("s", rng).name == "far"


def test_reported_load_counts_as_own_does():
    pool = pool_of(view("idle"), view("busy", in_flight=7))
    rng = random.Random(1)
    chosen = collections.Counter(pool.choose("s", rng).name for _ in range(400))
    assert chosen["idle"] > 2 * chosen["busy"]


def test_ejected_and_avoided_endpoints_are_passed_over():
    pool = pool_of(view("a"), view("b"), view("c"), limits={"a": 0, "b": 1})
    rng = random.Random(1)
    chosen = {pool.choose("s", rng, {"c"}).name for _ in range(50)}
    assert chosen == {"b"}
    pool.request_started("b")
    assert pool.choose("s", rng, {"c"}) is None


def test_endpoints_that_leave_or_are_out_are_not_usable():
    views = [view("a"), view("b", leaving=True), view("c", "lekki")]
    assert [v.name for v in choice.eligible_endpoints(views, {"lekki"})] == [
        "a"
    ]
