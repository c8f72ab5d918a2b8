"""Fair queue: bounded per client account, weighted between accounts.

Start-time fair queueing: each account has a virtual time that moves by the
inverse of its weight with every item taken; the lowest is served next. An
account that was idle starts at the present virtual time and saves up nothing.
"""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Items waiting, by account."""

    def __init__(self, weight_of: Callable[[str], int] = lambda account: 1):
        self._weight_of = weight_of
        self._items: dict[str, collections.deque[T]] = {}
        self._order: list[tuple[float, int, str]] = []
        self._finish: dict[str, float] = {}
        self._virtual = 0.0
        self._serials = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, account: str, item: T, bound: int) -> bool:
        """Adds an item; returns False if the account has `bound` waiting."""
        items = self._items.get(account)
        if items is None:
            items = self._items[account] = collections.deque()
            self._schedule(account)
        if len(items) >= bound:
            if not items:
                self._forget(account)
            return False
        items.append(item)
        self._length += 1
        return True

    def pop(self) -> T | None:
        """Takes the next item, or None if nothing waits."""
        while self._order:
            virtual, _, account = heapq.heappop(self._order)
            items = self._items.get(account)
            if not items:
                self._forget(account)
                continue
            self._virtual = max(self._virtual, virtual)
            self._finish[account] = virtual + 1 / self._weight_of(account)
            item = items.popleft()
            self._length -= 1
            self._schedule(account)
            return item
        self._finish.clear()
        return None

    def remove(self, account: str, item: T) -> bool:
        """Takes out an item that no longer waits; returns whether it did."""
        try:
            self._items.get(account, collections.deque()).remove(item)
        except ValueError:
            return False
        self._length -= 1
        return True

    def _schedule(self, account: str) -> None:
        start = max(self._virtual, self._finish.get(account, 0.0))
        heapq.heappush(self._order, (start, next(self._serials), account))

    def _forget(self, account: str) -> None:
        self._items.pop(account, None)
