"""A TCP proxy on loopback that can hold up what passes, as a partition does.

While it is cut, bytes are kept in order and nothing passes either way. Once it
heals, what the sender has not reset arrives, a segment a round trip at first, as
TCP sends it again. An end of a connection arrives after the bytes before it.
"""

import asyncio
import contextlib

ROUND_TRIP_S = 0.007
SEGMENT = 1400


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self._whole = asyncio.Event()
        self._whole.set()
        self._tasks = set()
        self._server = None

    async def start(self):
        """Listens."""
        host, port = self.listen.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def cut(self):
        """Holds up everything from now on."""
        self._whole.clear()

    def heal(self):
        """Lets everything pass that was held up."""
        self._whole.set()

    async def close(self):
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        other = None
        try:
            await self._whole.wait()
            host, port = self.target.rsplit(":", 1)
            other_reader, other = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pass(reader, other), self._pass(other_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    each.close()

    async def _pass(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(SEGMENT):
                held = not self._whole.is_set()
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
                if held:
                    await asyncio.sleep(ROUND_TRIP_S)
            await self._whole.wait()
            writer.write_eof()
