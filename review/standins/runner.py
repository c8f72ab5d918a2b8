"""Stand-in of a runner, as PROTOCOL.md describes one.

It registers at the agent on its machine, takes orders there and runs tasks in
name only. How long a task takes, and how it ends, stands in the job's `spec`
as JSON: {"ms": 5000, "how": "done"}.

SIGUSR1 makes it sick, SIGUSR2 makes it well again. What that means says
`--sickness`: with `shed` starts are answered by 503 and not carried out; with
`mute` all orders are carried out and none is answered.
"""

import argparse
import asyncio
import json
import signal
import time

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import web

TICK_S = 0.01
ENDS_A_LIST = 500
# Longer than any caller waits.
UNANSWERED_S = 60.0


class Runner:
    """One life of a runner."""

    def __init__(self, args: argparse.Namespace):
        self.args = args
        self.began = time.monotonic()
        self.born = int(time.time() * 1_000)
        self.running: dict[str, dict] = {}
        self.ends: list[list] = []
        self.barred: dict[str, int] = {}
        self.fence = 0
        self.count = 0
        self.until_ms = 0
        self.lapsed_ms = 0
        self.sequence = 0
        self.sick = False
        self.journal = open(args.journal, "a", buffering=1)  # noqa: SIM115

    def now(self) -> int:
        """Returns the runner's own clock."""
        return int((time.monotonic() - self.began) * 1_000) + 1

    def write(self, event: str, **fields: object) -> None:
        """Writes what happened, with the time of day."""
        row = {"at": time.time(), "runner": self.args.name, "event": event}
        self.journal.write(json.dumps(row | fields) + "\n")

    def fenced(self, order: dict) -> bool:
        """Returns whether an order may be carried out."""
        token = order.get("fencingToken", 0)
        self.fence = max(self.fence, token)
        return token >= self.fence

    def extend(self, until_ms: int) -> None:
        """Extends the lease of all that runs; never shortens it."""
        most = self.now() + self.args.hold_max_ms
        self.until_ms = max(self.until_ms, min(until_ms, most))

    def free(self) -> dict[str, int]:
        """Returns the room that is left. All tasks of a job need the same."""
        left = {
            "cpu": self.args.cpu,
            "mem": self.args.mem,
            "gpu": self.args.gpu,
        }
        for run in self.running.values():
            for kind in left:
                left[kind] -= run["need"].get(kind, 0)
        return left

    def start(self, order: dict) -> tuple[int, dict]:
        """Carries out a start."""
        task, run = order["task"], order["run"]
        if not self.fenced(order):
            return 409, {"reason": "fence"}
        if self.sick and self.args.sickness == "shed":
            self.write("start answered 503", task=task, run=run)
            return 503, {}
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            self.extend(order["untilMs"])
            return 200, {}
        if run <= self.barred.get(task, 0) or known is not None:
            self.extend(order["untilMs"])
            return 409, {"reason": "old"}
        if order["untilMs"] <= self.now():
            return 409, {"reason": "late"}
        work = json.loads(order["spec"])
        need, left = work.get("need", {}), self.free()
        if any(need.get(kind, 0) > left[kind] for kind in left):
            self.extend(order["untilMs"])
            self.write("start answered room", task=task, run=run)
            return 409, {"reason": "room"}
        self.extend(order["untilMs"])
        self.running[task] = {
            "run": run,
            "since": self.now(),
            "ms": work["ms"],
            "how": work.get("how", "done"),
            "need": need,
        }
        self.write("start", task=task, run=run, need=need)
        return 200, {}

    def stop(self, order: dict) -> tuple[int, dict]:
        """Stops a run, or rejects one that is still to come."""
        task, run = order["task"], order["run"]
        if not self.fenced(order):
            return 409, {"reason": "fence"}
        self.barred[task] = max(run, self.barred.get(task, 0))
        known = self.running.get(task)
        if known is not None and known["run"] <= run:
            self.end(task, "stopped")
        return 200, {}

    def pace(self, order: dict) -> tuple[int, dict]:
        """Accepts a pace; tasks here disturb nobody."""
        return (200, {}) if self.fenced(order) else (409, {"reason": "fence"})

    def end(self, task: str, how: str) -> None:
        """Ends a run and lists the end."""
        run = self.running.pop(task)
        self.barred[task] = max(run["run"], self.barred.get(task, 0))
        self.count += 1
        self.ends.append([self.count, task, run["run"], how, ""])
        self.write("end", task=task, run=run["run"], how=how, need=run["need"])

    def lists(self) -> dict:
        """Returns what runs and what has ended."""
        now = self.now()
        rows = []
        for task, run in self.running.items():
            percent = min(100, 100 * (now - run["since"]) // max(1, run["ms"]))
            cpu = run["need"].get("cpu", 0)
            rows.append([task, run["run"], "", percent, cpu])
        return {"running": rows, "finished": self.ends[:ENDS_A_LIST]}

    async def hold(self, order: dict) -> tuple[int, dict]:
        """Extends the lease, forgets ends, and waits for one if asked to."""
        if not self.fenced(order):
            return 409, {"reason": "fence"}
        if "untilMs" in order:
            self.extend(order["untilMs"])
        cursor = order.get("ackCursor", 0)
        for row in self.ends:
            if row[0] <= cursor:
                self.write("end noted", task=row[1], run=row[2], how=row[3])
        self.ends = [row for row in self.ends if row[0] > cursor]
        until = self.now() + min(2_000, order.get("waitMs", 0))
        while not self.ends and self.now() < until:
            await asyncio.sleep(TICK_S)
        return 200, self.lists()

    async def answer(self, req: web.Request) -> web.Response:
        """Answers an order."""
        order = json.loads(await req.read())
        meant = req.headers.get("X-Expected-Instance", self.args.name)
        if meant != self.args.name:
            return web.json_response({}, status=421)
        match req.match_info["call"]:
            case "run-start":
                status, body = self.start(order)
            case "run-stop":
                status, body = self.stop(order)
            case "pace":
                status, body = self.pace(order)
            case "hold":
                status, body = await self.hold(order)
            case _:
                return web.Response(status=404)
        if self.sick and self.args.sickness == "mute":
            await asyncio.sleep(UNANSWERED_S)
        body |= {"clockMs": self.now(), "born": self.born}
        return web.json_response(body, status=status)

    async def tick(self) -> None:
        """Ends what is done, and kills all once the lease has expired."""
        while True:
            now = self.now()
            for task, run in list(self.running.items()):
                done_ms = run["since"] + run["ms"]
                if done_ms <= min(now, self.until_ms):
                    self.end(task, run["how"])
                elif self.until_ms <= now:
                    self.end(task, "lapsed")
            if self.until_ms <= now and self.until_ms > self.lapsed_ms:
                self.lapsed_ms = self.until_ms
                self.write("lease lapsed")
            await asyncio.sleep(TICK_S)

    async def register(self) -> None:
        """Sends heartbeats to the agent on this machine."""
        url = (
            f"http://{self.args.agent}/bilberryroute/instances/{self.args.name}"
        )
        async with ClientSession(timeout=ClientTimeout(total=1.0)) as session:
            while True:
                self.sequence += 1
                try:
                    async with session.put(url, json=self.hello()):
                        pass
                except (ClientError, TimeoutError, OSError):
                    await asyncio.sleep(0.2)
                    continue
                await asyncio.sleep(self.args.heartbeat_ms / 1_000)

    def hello(self) -> dict:
        """Returns what it says of itself."""
        args = self.args
        return {
            "service": args.service,
            "address": args.announced or args.listen,
            "zone": args.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {
                "cpu": args.cpu,
                "memRequestMb": args.mem,
                "gpu": args.gpu,
            },
            "labels": ["a", args.rack],
            "clockMs": self.now(),
            "born": self.born,
            "sequence": self.sequence,
        }

    def set_sick(self, value: bool) -> None:
        """Becomes sick, or well again."""
        self.sick = value
        self.write(f"{self.args.sickness} begins" if value else "well again")


async def serve(args: argparse.Namespace) -> None:
    """Runs one life of a runner until the process is ended."""
    runner = Runner(args)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, runner.set_sick, True)
    loop.add_signal_handler(signal.SIGUSR2, runner.set_sick, False)
    app = web.Application()
    app.router.add_post("/bilberryroute/{call}", runner.answer)
    server = web.AppRunner(app, access_log=None)
    await server.setup()
    host, port = args.listen.rsplit(":", 1)
    await web.TCPSite(server, host, int(port)).start()
    runner.write("born", born=runner.born)
    await asyncio.gather(runner.tick(), runner.register())


def main() -> None:
    """Reads the arguments and runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("name", "agent", "zone", "rack", "listen", "journal"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--announced", default="")
    parser.add_argument("--sickness", choices=("shed", "mute"), default="shed")
    parser.add_argument("--service", default="gang-alloc")
    parser.add_argument("--cpu", type=int, default=32_000)
    parser.add_argument("--mem", type=int, default=65_536)
    parser.add_argument("--gpu", type=int, default=8)
    parser.add_argument("--hold-max-ms", type=int, default=6_000)
    parser.add_argument("--heartbeat-ms", type=int, default=1_500)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
