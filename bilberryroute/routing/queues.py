"""Weighted fair queue over client accounts, bounded for each account.

Start-time fair queueing: each popped item advances the virtual time of its
account by the inverse of the account's weight, and the account with the lowest
virtual time is served next. An account that was idle starts at the current
virtual time, so idle time earns no credit.
"""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Queued items by account, popped in weighted fair order."""

    def __init__(self, weight_of: Callable[[str], int] = lambda account: 1):
        self._weight_of = weight_of
        self._items: dict[str, collections.deque[T]] = {}
        self._start_times: list[tuple[float, int, str]] = []
        self._finish_times: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, account: str, item: T, capacity: int) -> bool:
        """Adds an item; returns False if the account has `capacity` queued."""
        items = self._items.get(account)
        if items is None:
            items = self._items[account] = collections.deque()
            self._schedule(account)
        if len(items) >= capacity:
            if not items:
                self._drop_account(account)
            return False
        items.append(item)
        self._length += 1
        return True

    def pop(self) -> T | None:
        """Removes and returns the next item, or None if the queue is empty."""
        while self._start_times:
            start, _, account = heapq.heappop(self._start_times)
            items = self._items.get(account)
            if not items:
                self._drop_account(account)
                continue
            self._virtual_time = max(self._virtual_time, start)
            self._finish_times[account] = start + 1 / self._weight_of(account)
            item = items.popleft()
            self._length -= 1
            self._schedule(account)
            return item
        self._finish_times.clear()
        return None

    def remove(self, account: str, item: T) -> bool:
        """Removes an item of an account; returns whether it was queued."""
        try:
            self._items.get(account, collections.deque()).remove(item)
        except ValueError:
            return False
        self._length -= 1
        return True

    def _schedule(self, account: str) -> None:
        start = max(self._virtual_time, self._finish_times.get(account, 0.0))
        heapq.heappush(
            self._start_times, (start, next(self._sequence), account)
        )

    def _drop_account(self, account: str) -> None:
        self._items.pop(account, None)
