"""Stand-in of the users' platform: a worker that speaks its protocol.

It announces itself to the agent beside it, takes orders and runs tasks in
name only, as the platform's pages describe.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import aiohttp
import defopt
import msgspec
from aiohttp import web

from bilberryroute import clock as clock_lib
from extras.fakes import journal as journal_lib
from extras.fakes import signals

ANNOUNCE_MS = 300
ANSWER_MS = 1_000
TICK_MS = 10
HOLD_MAX_MS = 6_000


@dataclasses.dataclass(slots=True)
class _Run:
    """One run in progress."""

    run: int
    began_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunEvent:
    """Start or end of a run.

    Attributes:
      event: `start`, or how the run ended.
      at_ms: Worker's clock.
    """

    event: str
    task: str
    run: int
    at_ms: int


class RunTable:
    """State of a worker: runs, ends and the highest fence, without I/O.

    Attributes:
      run_ms: How long each task takes.
      room: Number of accelerators; each task holds one.
      starts: Every start that was carried out, in order.
      loads: Reported load by task; 0 if missing.
      paced: Ordered share of work in percent, by task.
      deadly: Tasks that crash the worker when they start.
      crashed: Set when one of them has started.
    """

    def __init__(
        self,
        run_ms: int,
        room: int,
        record: Callable[[RunEvent], None] = lambda event: None,
    ):
        self.run_ms = run_ms
        self.room = room
        self._record = record
        self.starts: list[tuple[str, int]] = []
        self.loads: dict[str, int] = {}
        self.paced: dict[str, int] = {}
        self.deadly: set[str] = set()
        self.crashed = asyncio.Event()
        self.restart()

    def restart(self) -> None:
        """Loses what a new life of the worker does not know."""
        self.crashed.clear()
        self._running: dict[str, _Run] = {}
        self._ends: list[list] = []
        self._barred: dict[str, int] = {}
        self._fence = 0
        self._count = 0
        self._until_ms = 0

    def start(self, order: dict, now: int) -> tuple[int, dict]:
        """Executes a start; returns status and body."""
        if not self._fenced(order):
            return 409, {"clockMs": now, "reason": "fence"}
        task, run = order["task"], order["run"]
        self.extend(order["untilMs"], now)
        known = self._running.get(task)
        if known is not None and known.run == run:
            return 200, {"clockMs": now}
        if run <= self._barred.get(task, 0) or known is not None:
            return 409, {"clockMs": now, "reason": "old"}
        if order["untilMs"] <= now:
            return 409, {"clockMs": now, "reason": "late"}
        if len(self._running) >= self.room:
            return 409, {"clockMs": now, "reason": "room"}
        self._running[task] = _Run(run=run, began_ms=now)
        self.starts.append((task, run))
        self._record(RunEvent(event="start", task=task, run=run, at_ms=now))
        if task in self.deadly:
            self.crashed.set()
        return 200, {"clockMs": now}

    def stop(self, order: dict, now: int) -> tuple[int, dict]:
        """Stops a run, or bars one that is still to come."""
        if not self._fenced(order):
            return 409, {"clockMs": now, "reason": "fence"}
        task, run = order["task"], order["run"]
        self._barred[task] = max(run, self._barred.get(task, 0))
        known = self._running.get(task)
        if known is not None and known.run <= run:
            self._end(task, "stopped", now)
        return 200, {"clockMs": now}

    def pace(self, order: dict, now: int) -> tuple[int, dict]:
        """Limits a run to a share of its work."""
        if not self._fenced(order):
            return 409, {"clockMs": now, "reason": "fence"}
        self.paced[order["task"]] = order["percent"]
        return 200, {"clockMs": now}

    def hold(self, order: dict, now: int) -> tuple[int, dict]:
        """Extends the lease, drops committed ends, returns both lists."""
        if not self._fenced(order):
            return 409, {"clockMs": now, "reason": "fence"}
        if "untilMs" in order:
            self.extend(order["untilMs"], now)
        cursor = order.get("ackCursor", 0)
        self._ends = [row for row in self._ends if row[0] > cursor]
        return 200, self.lists(now)

    def lists(self, now: int) -> dict:
        """Returns what runs and what ended."""
        rows = [
            [
                task,
                each.run,
                "",
                100 * (now - each.began_ms) // self.run_ms,
                self.loads.get(task, 0),
            ]
            for task, each in self._running.items()
        ]
        return {"clockMs": now, "running": rows, "finished": self._ends}

    def extend(self, until_ms: int, now: int) -> None:
        """Extends the lease of all that runs, within the maximum."""
        wanted = min(until_ms, now + HOLD_MAX_MS)
        self._until_ms = max(self._until_ms, wanted)

    def tick(self, now: int) -> None:
        """Ends what is done, or whose lease has lapsed."""
        for task, each in list(self._running.items()):
            done_ms = each.began_ms + self.run_ms
            # Both may have passed since the last tick if the process was
            # suspended.
            if done_ms <= min(now, self._until_ms):
                self._end(task, "done", done_ms)
            elif self._until_ms <= now:
                self._end(task, "lapsed", self._until_ms)

    def _fenced(self, order: dict) -> bool:
        fence = order.get("fencingToken", 0)
        self._fence = max(self._fence, fence)
        return fence >= self._fence

    def _end(self, task: str, how: str, at_ms: int) -> None:
        each = self._running.pop(task)
        self._record(RunEvent(event=how, task=task, run=each.run, at_ms=at_ms))
        self._barred[task] = max(each.run, self._barred.get(task, 0))
        self._count += 1
        self._ends.append([self._count, task, each.run, how, ""])


class FakeRunner:
    """HTTP server of one worker, which announces itself.

    Attributes:
      table: Runs and ends.
      name: Name; a new incarnation has another `born`.
    """

    def __init__(
        self,
        name: str,
        agent: str,
        zone: str,
        service: str,
        table: RunTable,
        clock: clock_lib.Clock | None = None,
        listen: str = "127.0.0.1:0",
        announced: str = "",
    ):
        """Creates a worker that does not run yet.

        Args:
          name: Name that it announces.
          agent: Address of the agent beside it.
          zone: Failure domain that it names.
          service: Pool that it belongs to.
          table: State of its runs.
          clock: Clock; None for the system's.
          listen: Address to listen on.
          announced: Address to announce; empty for that of `listen`.
        """
        self.name = name
        self.table = table
        self._agent = agent
        self._zone = zone
        self._service = service
        self._clock = clock or clock_lib.SystemClock()
        self._began_ms = self._clock.now()
        self._born = self._clock.wall()
        self._sequence = 0
        self._listen = listen
        self._announced = announced

    async def run(self) -> None:
        """Serves, announces and ends tasks until cancelled or crashed."""
        app = web.Application()
        app.router.add_post("/bilberryroute/{call}", self._order)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
        await runner.setup()
        host, port = self._listen.rsplit(":", 1)
        await web.TCPSite(runner, host, int(port)).start()
        host, port = runner.addresses[0][:2]
        address = self._announced or f"{host}:{port}"
        try:
            async with asyncio.TaskGroup() as group:
                announcing = group.create_task(self._announce(address))
                ticking = group.create_task(self._tick())
                await self.table.crashed.wait()
                announcing.cancel()
                ticking.cancel()
        finally:
            await runner.cleanup()

    def _now(self) -> int:
        return self._clock.now() - self._began_ms + 1

    async def _order(self, req: web.Request) -> web.Response:
        order = msgspec.json.decode(await req.read())
        handle = {
            "run-start": self.table.start,
            "run-stop": self.table.stop,
            "hold": self.table.hold,
            "pace": self.table.pace,
        }[req.match_info["call"]]
        status, body = handle(order, self._now())
        if "finished" in body and order.get("waitMs") and not body["finished"]:
            body = await self._wait_for_end(order["waitMs"])
        body["born"] = self._born
        return web.json_response(body, status=status)

    async def _wait_for_end(self, wait_ms: int) -> dict:
        until = self._now() + wait_ms
        while True:
            body = self.table.lists(self._now())
            if body["finished"] or self._now() >= until:
                return body
            await asyncio.sleep(clock_lib.seconds(TICK_MS))

    async def _tick(self) -> None:
        while True:
            self.table.tick(self._now())
            await asyncio.sleep(clock_lib.seconds(TICK_MS))

    async def _announce(self, address: str) -> None:
        url = f"http://{self._agent}/bilberryroute/instances/{self.name}"
        timeout = aiohttp.ClientTimeout(total=clock_lib.seconds(ANSWER_MS))
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
                try:
                    async with session.put(url, json=self._hello(address)):
                        pass
                except (aiohttp.ClientError, TimeoutError) as exc:
                    print(f"{self.name}: agent does not answer: {exc}")
                await asyncio.sleep(clock_lib.seconds(ANNOUNCE_MS))

    def _hello(self, address: str) -> dict:
        return {
            "service": self._service,
            "address": address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 32_000, "memRequestMb": 65_536, "gpu": 8},
            "labels": ["a", "r1"],
            "clockMs": self._now(),
            "born": self._born,
            "sequence": self._sequence,
        }


def main(
    *,
    name: str,
    agent: str,
    zone: str = "local",
    service: str = "gang-alloc",
    run_ms: int = 1_000,
    room: int = 8,
    journal: str = "",
    listen: str = "127.0.0.1:0",
    announced: str = "",
) -> None:
    """Runs one fake worker of the platform.

    :param name: Name that it announces.
    :param agent: Address of the agent beside it.
    :param zone: Failure domain that it names.
    :param service: Pool that it belongs to.
    :param run_ms: How long each task takes.
    :param room: Tasks that it runs at once.
    :param journal: JSON lines file of the starts and ends of its runs.
    :param listen: Address to listen on.
    :param announced: Address to announce; empty for that of `listen`.
    """
    clock = clock_lib.SystemClock()
    book = journal_lib.Journal(journal, name, zone, clock)
    began_ms = clock.now()

    def record(event: RunEvent) -> None:
        at_ms = began_ms + event.at_ms
        book.write(event.event, event.task, event.run, monotonic_ms=at_ms)

    table = RunTable(run_ms, room, record)
    runner = FakeRunner(
        name, agent, zone, service, table, clock, listen, announced
    )
    asyncio.run(signals.until_signalled(runner.run()))


if __name__ == "__main__":
    defopt.run(main)
