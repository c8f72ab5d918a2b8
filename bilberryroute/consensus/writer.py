"""Writes the log on a thread of its own, and holds back what must wait."""

import asyncio
import concurrent.futures
from collections import deque
from collections.abc import Callable
from typing import Any

from bilberryroute.consensus import messages
from bilberryroute.consensus import storage as storage_lib


class Writer:
    """Group commit: one sync in flight, and the next batch fills meanwhile."""

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
        self._wanted = asyncio.Event()
        self._held: deque[messages.Send] = deque()
        self._synced = 0

    async def open(self, replica: str) -> storage_lib.Recovered:
        """Takes the folder and recovers the log.

        Raises:
          errors.StorageError: If it cannot be used.
        """
        return await self._in_thread(self._storage.open, replica)

    async def close(self) -> None:
        """Gives the folder back."""
        await self._in_thread(self._storage.close)
        self._executor.shutdown(wait=False)

    def put(self, write: messages.Write) -> None:
        """Queues a write."""
        self._writes.append(write)
        self._wanted.set()

    def send(self, output: messages.Send) -> None:
        """Sends a message once the write that it waits for is durable."""
        if output.after > self._synced:
            self._held.append(output)
        else:
            self._send(output.envelope)

    async def sync(self) -> int:
        """Writes what is queued; returns the last durable sequence.

        Raises:
          errors.StorageError: If the write failed, or one did before.
        """
        await self._wanted.wait()
        self._wanted.clear()
        batch = self._writes
        self._writes = []
        try:
            await self._in_thread(self._storage.write, batch)
        except Exception:
            self._held.clear()
            raise
        self._synced = batch[-1].sequence
        self._release()
        return self._synced

    def _release(self) -> None:
        held = self._held
        self._held = deque()
        for output in held:
            self.send(output)

    async def _in_thread(self, call: Callable[..., Any], *args: object) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, call, *args)
