"""Stand-in of the users' platform: a worker that speaks its protocol.

It announces itself to the agent beside it, takes orders and runs tasks in
name only, as the platform's pages describe.
"""

import asyncio
import dataclasses

import aiohttp
import defopt
import msgspec
from aiohttp import web

from bilberryroute import clock as clock_lib
from extras.fakes import signals

ANNOUNCE_MS = 300
TICK_MS = 10
HOLD_MAX_MS = 6_000


@dataclasses.dataclass(slots=True)
class _Run:
    """One run in progress."""

    run: int
    began_ms: int


class RunTable:
    """What a worker holds: runs, ends and the highest fence, without I/O.

    Attributes:
      run_ms: How long each task takes.
      room: Accelerators free; each task holds one.
      starts: Every start that was carried out, in order.
      loads: What is reported of how a task does, by task; else 0.
      paced: Share at which a task works, by task, once it was ordered.
      deadly: Tasks that crash the worker when they start.
      crashed: Set when one of them has started.
    """

    def __init__(self, run_ms: int, room: int):
        self.run_ms = run_ms
        self.room = room
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
        """Carries a start out; returns status and body."""
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
            self._end(task, "stopped")
        return 200, {"clockMs": now}

    def pace(self, order: dict, now: int) -> tuple[int, dict]:
        """Lets a run work at a share."""
        if not self._fenced(order):
            return 409, {"clockMs": now, "reason": "fence"}
        self.paced[order["task"]] = order["percent"]
        return 200, {"clockMs": now}

    def hold(self, order: dict, now: int) -> tuple[int, dict]:
        """Extends the lease, forgets committed ends, returns both lists."""
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
            if now >= each.began_ms + self.run_ms:
                self._end(task, "done")
            elif now >= self._until_ms:
                self._end(task, "lapsed")

    def _fenced(self, order: dict) -> bool:
        fence = order.get("fencingToken", 0)
        self._fence = max(self._fence, fence)
        return fence >= self._fence

    def _end(self, task: str, how: str) -> None:
        each = self._running.pop(task)
        self._barred[task] = max(each.run, self._barred.get(task, 0))
        self._count += 1
        self._ends.append([self._count, task, each.run, how, ""])


class FakeRunner:
    """HTTP server of one worker, which announces itself.

    Attributes:
      table: What it holds.
      name: Its name; a new life has another `born`.
    """

    def __init__(
        self, name: str, agent: str, zone: str, service: str, table: RunTable
    ):
        self.name = name
        self.table = table
        self._agent = agent
        self._zone = zone
        self._service = service
        self._clock = clock_lib.SystemClock()
        self._began_ms = self._clock.now()
        self._born = self._clock.wall()
        self._sequence = 0

    async def run(self) -> None:
        """Serves, announces and ends tasks until cancelled or crashed."""
        app = web.Application()
        app.router.add_post("/bilberryroute/{call}", self._order)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        try:
            async with asyncio.TaskGroup() as group:
                announcing = group.create_task(self._announce(f"{host}:{port}"))
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
        carry_out = {
            "run-start": self.table.start,
            "run-stop": self.table.stop,
            "hold": self.table.hold,
            "pace": self.table.pace,
        }[req.match_info["call"]]
        status, body = carry_out(order, self._now())
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
        async with aiohttp.ClientSession() as session:
            while True:
                self._sequence += 1
                try:
                    async with session.put(url, json=self._hello(address)):
                        pass
                except aiohttp.ClientError as exc:
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
) -> None:
    """Runs one fake worker of the platform.

    :param name: Name that it announces.
    :param agent: Address of the agent beside it.
    :param zone: Failure domain that it names.
    :param service: Pool that it belongs to.
    :param run_ms: How long each task takes.
    :param room: Tasks that it runs at once.
    """
    runner = FakeRunner(name, agent, zone, service, RunTable(run_ms, room))
    asyncio.run(signals.until_signalled(runner.run()))


if __name__ == "__main__":
    defopt.run(main)
