"""Commands of this leader that wait to be committed and applied."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import records


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """A command that is committed and applied here."""

    index: int
    term: int
    result: object


class Proposals:
    """Futures by the index of their entry."""

    def __init__(self):
        self._waiting: dict[int, asyncio.Future[Applied]] = {}

    def add(self, index: int, future: asyncio.Future[Applied]) -> None:
        """Has a future answered with the entry just appended at an index."""
        self._waiting[index] = future

    async def outcome(
        self, future: asyncio.Future[Applied], timeout_ms: int
    ) -> Applied:
        """Returns what became of an entry.

        Raises:
          errors.CommitUnknown: If leadership or time was lost meanwhile.
          errors.NotLeader: If it was never appended.
        """
        try:
            async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
                return await future
        except TimeoutError as exc:
            raise errors.CommitUnknown(
                f"not committed within {timeout_ms} ms"
            ) from exc

    def resolve(self, entry: records.Entry, result: object) -> None:
        """Answers whoever waits for an entry that is now applied."""
        future = self._waiting.pop(entry.index, None)
        if future is not None and not future.done():
            future.set_result(
                Applied(index=entry.index, term=entry.term, result=result)
            )

    def fail(self, reason: str) -> None:
        """Answers all that wait that nobody knows."""
        waiting = self._waiting
        self._waiting = {}
        refuse(waiting.values(), errors.CommitUnknown(reason))


def refuse(
    futures: Iterable[asyncio.Future[Applied]],
    exc: errors.BilberryrouteError,
) -> None:
    """Answers futures with an error, though nobody may read it any more."""
    for future in futures:
        if not future.done():
            future.set_exception(exc)
            future.exception()
