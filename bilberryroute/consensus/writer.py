"""Writes the log in a background thread; delays messages until it is durable."""

import asyncio
import concurrent.futures
from collections import deque
from collections.abc import Callable
from typing import Any

from bilberryroute.consensus import messages
from bilberryroute.consensus import storage as storage_lib


class Writer:
    """Group commit: writes queue up into a batch while a sync is in flight."""

    def __init__(
        self,
        storage: storage_lib.LogStorage,
        send: Callable[[messages.Envelope], None],
    ):
        self._storage = storage
        self._send = send
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="log"
        )
        self._writes: list[messages.Write] = []
        self._write_queued = asyncio.Event()
        self._delayed: deque[messages.Send] = deque()
        self._synced = 0

    async def open(self, replica: str) -> storage_lib.Recovered:
        """Locks the data folder and recovers the log.

        May be called again after a failure; sequence numbers then start anew.

        Raises:
          errors.StorageError: If the folder cannot be used.
        """
        await self._in_thread(self._storage.close)
        recovered = await self._in_thread(self._storage.open, replica)
        self._synced = 0
        return recovered

    async def close(self) -> None:
        """Closes the log and unlocks the data folder."""
        await self._in_thread(self._storage.close)
        self._executor.shutdown(wait=False)

    def put(self, write: messages.Write) -> None:
        """Queues a write."""
        self._writes.append(write)
        self._write_queued.set()

    def send(self, output: messages.Send) -> None:
        """Sends a message once the write that it depends on is durable."""
        if output.after > self._synced:
            self._delayed.append(output)
        else:
            self._send(output.envelope)

    async def sync(self) -> int:
        """Writes all queued writes; returns the last durable sequence number.

        Raises:
          errors.StorageError: If this write or an earlier one failed.
        """
        await self._write_queued.wait()
        self._write_queued.clear()
        batch = self._writes
        self._writes = []
        try:
            await self._in_thread(self._storage.write, batch)
        except Exception:
            self._discard()
            raise
        self._synced = batch[-1].sequence
        self._send_delayed()
        return self._synced

    def _discard(self) -> None:
        """Drops what was queued behind a failed write."""
        self._delayed.clear()
        self._writes = []
        self._write_queued.clear()

    def _send_delayed(self) -> None:
        delayed = self._delayed
        self._delayed = deque()
        for output in delayed:
            self.send(output)

    async def _in_thread(self, call: Callable[..., Any], *args: object) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, call, *args)
