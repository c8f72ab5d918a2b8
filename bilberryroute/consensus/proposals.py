"""Proposals of this leader that are not yet committed and applied."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import records


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """A command that was committed and applied on this replica."""

    index: int
    term: int
    result: object


class Proposals:
    """Futures of pending proposals, by log index."""

    def __init__(self):
        self._waiting: dict[int, asyncio.Future[Applied]] = {}

    def add(self, index: int, future: asyncio.Future[Applied]) -> None:
        """Registers the future of the entry appended at an index."""
        self._waiting[index] = future

    async def outcome(
        self, future: asyncio.Future[Applied], timeout_ms: int
    ) -> Applied:
        """Waits until the entry is applied and returns the result.

        Raises:
          errors.CommitUnknown: If leadership was lost or the timeout expired
            before the outcome was known.
          errors.NotLeader: If the entry was never appended.
        """
        try:
            async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
                return await future
        except TimeoutError as exc:
            raise errors.CommitUnknown(
                f"not committed within {timeout_ms} ms"
            ) from exc

    def resolve(self, entry: records.Entry, result: object) -> None:
        """Completes the future of an entry that was applied."""
        future = self._waiting.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(
                Applied(index=entry.index, term=entry.term, result=result)
            )

    def fail(self, reason: str) -> None:
        """Fails all pending proposals with an unknown outcome."""
        waiting = self._waiting
        self._waiting = {}
        refuse(waiting.values(), errors.CommitUnknown(reason))


def refuse(
    futures: Iterable[asyncio.Future[Applied]],
    exc: errors.BilberryrouteError,
) -> None:
    """Fails futures with an error.

    Marks the error as retrieved, as nobody may be waiting for it any more.
    """
    for future in futures:
        if not future.done():
            future.set_exception(exc)
            future.exception()
