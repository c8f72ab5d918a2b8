"""Commands of this leader that wait to be committed and applied."""

import asyncio
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

    def add(self, index: int) -> asyncio.Future[Applied]:
        """Returns the future of the entry just appended at an index."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[index] = future
        return future

    async def outcome(
        self, index: int, future: asyncio.Future[Applied], timeout_ms: int
    ) -> Applied:
        """Returns what became of an entry.

        Raises:
          errors.CommitUnknown: If leadership or time was lost meanwhile.
        """
        try:
            async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
                return await future
        except TimeoutError as exc:
            raise errors.CommitUnknown(
                f"not committed within {timeout_ms} ms"
            ) from exc
        finally:
            if self._waiting.get(index) is future:
                del self._waiting[index]

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
        for future in waiting.values():
            if not future.done():
                future.set_exception(errors.CommitUnknown(reason))
                future.exception()  # It may have no reader any more.
