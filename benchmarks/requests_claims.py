"""Where claims live: what binding a request to an agent by its id costs.

Without a log, all entries find the same agent for one request id only by a
hash of the id, so the load no longer has a say in the choice.
"""

import collections
import dataclasses
import random

from bilberryroute.model import wire
from bilberryroute.routing import choice

ENDPOINTS = 30
SLOTS = 8
ROUNDS = 200
LOADS = (0.4, 0.6, 0.8)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overflow:
    """Share of requests that find their endpoint full at one load.

    Attributes:
      load: Requests in flight over all slots.
      by_hash: Share with the endpoint chosen by the request id.
      by_choice: Share with the less loaded of two endpoints.
    """

    load: float
    by_hash: float
    by_choice: float


def compare(seed: int) -> list[Overflow]:
    """Returns the overflow at several loads."""
    return [compare_at(load, random.Random(seed)) for load in LOADS]


def compare_at(load: float, rng: random.Random) -> Overflow:
    """Returns the overflow at one load."""
    count = int(load * ENDPOINTS * SLOTS)
    hashed = chosen = 0
    for _ in range(ROUNDS):
        hashed += overflow_by_hash(count, rng)
        chosen += overflow_by_choice(count, rng)
    total = count * ROUNDS
    return Overflow(load=load, by_hash=hashed / total, by_choice=chosen / total)


def overflow_by_hash(count: int, rng: random.Random) -> int:
    """Returns the requests beyond the slots of the endpoint of their hash."""
    held = collections.Counter(rng.randrange(ENDPOINTS) for _ in range(count))
    return sum(max(0, held[n] - SLOTS) for n in range(ENDPOINTS))


def overflow_by_choice(count: int, rng: random.Random) -> int:
    """Returns the requests that find no endpoint with a free slot."""
    pool = choice.EndpointPool("d0")
    pool.update([_view(number) for number in range(ENDPOINTS)])
    refused = 0
    for _ in range(count):
        view = pool.choose("s", rng)
        if view is None:
            refused += 1
        else:
            pool.request_started(view.name)
    return refused


def _view(number: int) -> wire.EndpointView:
    return wire.EndpointView(
        name=f"e{number}",
        service="s",
        agent=f"a{number}",
        incarnation="1",
        http="",
        failure_domain=f"d{number % 3}",
        slots=SLOTS,
        in_flight=0,
        leaving=False,
        healthy=True,
    )
