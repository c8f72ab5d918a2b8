"""Fake of the platform's worker: announces itself, runs tasks in name only."""

import asyncio
import os

import aiohttp
import defopt
import msgspec
from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute.agent import worker_api
from bilberryroute.agent import workers as workers_lib
from extras.fakes import journal as journal_lib
from extras.fakes import signals
from extras.fakes import task_table

ANNOUNCE_MS = 1_000
TICK_MS = 20


class FakeWorker:
    """HTTP server of one worker."""

    def __init__(
        self,
        hello: workers_lib.WorkerAnnouncement,
        agent: str,
        table: task_table.TaskTable,
        journal: journal_lib.Journal,
        clock: clock_lib.Clock,
    ):
        self._hello = hello
        self._agent = agent
        self._table = table
        self._journal = journal
        self._clock = clock

    def app(self) -> web.Application:
        """Returns the handlers."""
        app = web.Application()
        app.router.add_post("/v1/tasks", self._start)
        app.router.add_get("/v1/tasks", self._list)
        app.router.add_delete("/v1/tasks", self._stop)
        app.router.add_post("/v1/leases", self._renew)
        app.router.add_post("/v1/checkpoints", self._checkpoint)
        return app

    async def run(self) -> None:
        """Serves, announces and ends tasks until cancelled."""
        runner = web.AppRunner(self.app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        hello = msgspec.structs.replace(self._hello, address=f"{host}:{port}")
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._announce(hello))
                group.create_task(self._tick())
        finally:
            await runner.cleanup()

    async def _announce(self, hello: workers_lib.WorkerAnnouncement) -> None:
        url = f"http://{self._agent}/v1/workers"
        timeout = aiohttp.ClientTimeout(total=clock_lib.seconds(ANNOUNCE_MS))
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                present = msgspec.structs.replace(
                    hello, clock_ms=self._clock.now()
                )
                try:
                    payload = msgspec.json.encode(present)
                    async with session.post(url, data=payload) as response:
                        await response.read()
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(clock_lib.seconds(ANNOUNCE_MS))

    async def _tick(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(clock_lib.seconds(TICK_MS))

    def _advance(self) -> int:
        now = self._clock.now()
        for task in self._table.advance(now):
            self._note_end(task.call.job_id, task.call.attempt, task.state)
        return now

    def _note_end(
        self, job_id: str, attempt: int, state: worker_api.WorkerTaskState
    ) -> None:
        self._journal.write("end", job_id, attempt, str(state))

    async def _start(self, req: web.Request) -> web.Response:
        call = msgspec.json.decode(
            await req.read(), type=worker_api.StartTaskRequest
        )
        now = self._advance()
        known = {
            (task.job_id, task.attempt) for task in self._table.tasks(now).tasks
        }
        try:
            task = self._table.start(call, now)
        except task_table.Refusal as exc:
            self._journal.write("refuse", call.job_id, call.attempt, str(exc))
            return _answer({"kind": exc.kind, "detail": str(exc)}, status=409)
        repeated = (call.job_id, call.attempt) in known
        event = "repeat" if repeated else "start"
        self._journal.write(event, call.job_id, call.attempt)
        return _answer(task, status=201)

    async def _list(self, req: web.Request) -> web.Response:
        return _answer(self._table.tasks(self._advance()))

    async def _stop(self, req: web.Request) -> web.Response:
        name = msgspec.json.decode(await req.read(), type=worker_api.TaskName)
        now = self._advance()
        task = self._table.stop(name, now)
        self._note_end(name.job_id, name.attempt, task.state)
        return _answer(task)

    async def _renew(self, req: web.Request) -> web.Response:
        leases = msgspec.json.decode(await req.read(), type=worker_api.Leases)
        now = self._advance()
        self._table.renew(leases, now)
        return _answer(self._table.tasks(now))

    async def _checkpoint(self, req: web.Request) -> web.Response:
        name = msgspec.json.decode(await req.read(), type=worker_api.TaskName)
        return _answer(self._table.checkpoint(name, self._advance()))


def _answer(body: object, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(body),
        status=status,
        content_type="application/json",
    )


def run(
    *,
    name: str,
    agent: str,
    failure_domain: str,
    rack: str,
    accelerators: int = 8,
    cores: int = 30,
    memory_mb: int = 65_536,
    run_ms: int = 2_000,
    lag_ms: int = 500,
    fail_all: bool = False,
    journal: str = "",
) -> None:
    """Runs a fake worker until it is signalled.

    Args:
      name: Worker's name.
      agent: HTTP address of its agent.
      failure_domain: Failure domain.
      rack: Rack.
      accelerators: Accelerators it offers.
      cores: Processors it offers.
      memory_mb: Memory it offers, in MiB.
      run_ms: How long a task runs, in milliseconds.
      lag_ms: How far usage reports lag, in milliseconds.
      fail_all: Fail every task as soon as it starts.
      journal: JSON lines file of what ran.
    """
    clock = clock_lib.SystemClock()
    hello = workers_lib.WorkerAnnouncement(
        name=name,
        incarnation=os.urandom(8).hex(),
        address="",
        rack=rack,
        failure_domain=failure_domain,
        accelerators=accelerators,
        cores=cores,
        memory_mb=memory_mb,
        clock_ms=0,
    )
    table = task_table.TaskTable(
        hello.incarnation, accelerators, run_ms, lag_ms, fail_all
    )
    book = journal_lib.Journal(journal, name, failure_domain, clock)
    worker = FakeWorker(hello, agent, table, book, clock)
    asyncio.run(signals.until_signalled(worker.run()))


if __name__ == "__main__":
    defopt.run(run)
