"""HTTP connection pools to agents, replaced when a connection goes silent."""

import asyncio

import aiohttp

from bilberryroute import clock as clock_lib

KEEPALIVE_TIMEOUT_MS = 15_000


class SessionPools:
    """One connection pool for each agent.

    Args:
      drain_ms: How long a retired pool stays open for its running exchanges,
        in milliseconds.
    """

    def __init__(self, drain_ms: int):
        self._drain_ms = drain_ms
        self._active: dict[str, aiohttp.ClientSession] = {}
        self._draining: set[asyncio.Task[None]] = set()

    def session(self, address: str) -> aiohttp.ClientSession:
        """Returns the active pool of an agent, created if necessary."""
        session = self._active.get(address)
        if session is None:
            session = self._active[address] = _new_session()
        return session

    def retire(self, address: str) -> None:
        """Retires the pool of an agent; its running exchanges may finish."""
        session = self._active.pop(address, None)
        if session is not None:
            task = asyncio.create_task(self._close_later(session))
            self._draining.add(task)
            task.add_done_callback(self._draining.discard)

    async def close(self) -> None:
        """Closes all connections."""
        for task in list(self._draining):
            task.cancel()
        await asyncio.gather(*self._draining, return_exceptions=True)
        for session in self._active.values():
            await session.close()
        self._active.clear()

    async def _close_later(self, session: aiohttp.ClientSession) -> None:
        try:
            await asyncio.sleep(clock_lib.seconds(self._drain_ms))
        finally:
            await session.close()


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=clock_lib.seconds(KEEPALIVE_TIMEOUT_MS)
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
