"""Fake endpoint: announces itself to its agent and writes down what it runs."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import defopt
import msgspec
from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute.model import endpoints
from bilberryroute.routing import protocol
from extras.fakes import journal as journal_lib
from extras.fakes import signals

ANNOUNCE_MS = 700
DRAIN_POLL_MS = 50


class FakeEndpoint:
    """HTTP server of one endpoint."""

    def __init__(
        self,
        hello: endpoints.Announcement,
        agent: str,
        journal: journal_lib.Journal,
        slow_ms: int,
        fail_all: bool,
    ):
        self._hello = hello
        self._agent = agent
        self._journal = journal
        self._slow_ms = slow_ms
        self._fail_all = fail_all
        self._running = 0

    async def run(self) -> None:
        """Serves until cancelled, then leaves without cutting anything off."""
        app = web.Application()
        app.router.add_post("/", self._handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        self._hello = dataclasses.replace(self._hello, address=f"{host}:{port}")
        try:
            await self._announce_always()
        finally:
            await self._leave()
            await runner.cleanup()

    async def _announce_always(self) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                await self._announce(session)
                await asyncio.sleep(clock_lib.seconds(ANNOUNCE_MS))

    async def _announce(self, session: aiohttp.ClientSession) -> None:
        url = f"http://{self._agent}/v1/endpoints"
        timeout = aiohttp.ClientTimeout(total=clock_lib.seconds(ANNOUNCE_MS))
        payload = msgspec.json.encode(self._hello)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.post(
                url, data=payload, timeout=timeout
            ) as response:
                await response.read()

    async def _leave(self) -> None:
        """Announces that it leaves and finishes what it runs."""
        self._hello = dataclasses.replace(self._hello, leaving=True)
        async with aiohttp.ClientSession() as session:
            await self._announce(session)
            while self._running:
                await asyncio.sleep(clock_lib.seconds(DRAIN_POLL_MS))
            url = f"http://{self._agent}/v1/endpoints/{self._hello.name}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.delete(url) as response:
                    await response.read()

    async def _handle(self, req: web.Request) -> web.Response:
        request_id = req.headers.get(protocol.REQUEST_ID_HEADER, "")
        body = await req.read()
        self._running += 1
        self._journal.write("run", request_id)
        try:
            await asyncio.sleep(clock_lib.seconds(self._slow_ms))
        finally:
            self._running -= 1
        if self._fail_all:
            return web.Response(status=500, text="failed as asked\n")
        return web.Response(
            body=f"{self._hello.name}: ".encode() + body,
            headers={protocol.REQUEST_ID_HEADER: request_id},
        )


def run(
    *,
    name: str,
    agent: str,
    service: str,
    failure_domain: str = "",
    slots: int = 8,
    connections: int = 60,
    slow_ms: int = 5,
    fail_all: bool = False,
    journal: str = "",
) -> None:
    """Runs a fake endpoint until it is signalled.

    Args:
      name: Endpoint's name.
      agent: HTTP address of its agent.
      service: Service that it serves.
      failure_domain: Failure domain, for the journal.
      slots: Requests that it runs at once.
      connections: Connections that it accepts at once.
      slow_ms: How long each request takes, in milliseconds.
      fail_all: Answer every request with status 500.
      journal: JSON lines file of what ran.
    """
    clock = clock_lib.SystemClock()
    hello = endpoints.Announcement(
        name=name,
        service=service,
        address="",
        slots=slots,
        connections=connections,
    )
    book = journal_lib.Journal(journal, name, failure_domain, clock)
    endpoint = FakeEndpoint(hello, agent, book, slow_ms, fail_all)
    asyncio.run(signals.until_signalled(endpoint.run()))


if __name__ == "__main__":
    defopt.run(run)
