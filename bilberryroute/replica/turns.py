"""Divides long computations into turns of the event loop.

Elections and leases share the event loop of the leader. A leader that computes
for longer than its lease lasts loses it, and the next one begins the same
computation.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Generator
from typing import TypeVar

from bilberryroute import clock as clock_lib

# Longest turn, but for the slice that is under way when it ends. A leader lease
# lasts 500 ms, and heartbeats come each 100 ms.
TURN_MS = clock_lib.Millis(10)

T = TypeVar("T")


async def run(
    slices: Generator[None, None, T],
    goes_on: Callable[[], bool],
    clock: clock_lib.Clock,
) -> T | None:
    """Returns the result of a generator that yields between its slices.

    Args:
      slices: The computation.
      clock: Measures the turns.
      goes_on: Whether its result is still wanted; asked before each turn.

    Returns:
      The result; None if it was not wanted any more.
    """
    while goes_on():
        ends_ms = clock.now() + TURN_MS
        try:
            while clock.now() < ends_ms:
                next(slices)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
    slices.close()
    return None
