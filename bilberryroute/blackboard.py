"""Blackboard cells: the only thing that controllers share.

A role's blackboard is a data class of cells. One controller writes a cell,
any number read it or wait for it to change. All run on one event loop.
"""

import asyncio
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class Cell(Generic[T]):
    """One observed or desired value with a version.

    Attributes:
      version: Counts the writes; starts at 0.
    """

    def __init__(self, value: T):
        self._value = value
        self._changed = asyncio.Event()
        self.version = 0

    def get(self) -> T:
        """Returns the present value."""
        return self._value

    def set(self, value: T) -> None:
        """Replaces the value and wakes all waiters."""
        self._value = value
        self.touch()

    def touch(self) -> None:
        """Wakes all waiters after the value was modified in place."""
        self.version += 1
        event = self._changed
        self._changed = asyncio.Event()
        event.set()

    async def changed(self, seen: int) -> int:
        """Waits until the version differs from `seen`; returns the version."""
        while self.version == seen:
            await self._changed.wait()
        return self.version


async def forward(cell: Cell, wake: asyncio.Event) -> None:
    """Sets an event whenever a cell changes, until cancelled."""
    seen = cell.version
    while True:
        seen = await cell.changed(seen)
        wake.set()
