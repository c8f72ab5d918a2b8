"""HTTP connections to agents, given up together once one has gone silent."""

import asyncio

import aiohttp

from bilberryroute import clock as clock_lib

IDLE_MS = 15_000


class Sessions:
    """One pool of connections for each agent.

    Args:
      retired_ms: Longest time that an exchange takes, in milliseconds.
    """

    def __init__(self, retired_ms: int):
        self._retired_ms = retired_ms
        self._current: dict[str, aiohttp.ClientSession] = {}
        self._retired: set[asyncio.Task[None]] = set()

    def of(self, address: str) -> aiohttp.ClientSession:
        """Returns the pool of an agent."""
        session = self._current.get(address)
        if session is None:
            session = self._current[address] = _new_session()
        return session

    def retire(self, address: str) -> None:
        """Has new exchanges use new connections; running ones may end."""
        session = self._current.pop(address, None)
        if session is not None:
            task = asyncio.create_task(self._close_later(session))
            self._retired.add(task)
            task.add_done_callback(self._retired.discard)

    async def close(self) -> None:
        """Closes all connections."""
        for task in list(self._retired):
            task.cancel()
        await asyncio.gather(*self._retired, return_exceptions=True)
        for session in self._current.values():
            await session.close()
        self._current.clear()

    async def _close_later(self, session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(clock_lib.seconds(self._retired_ms))
        finally:
            await session.close()


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=clock_lib.seconds(IDLE_MS)
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
