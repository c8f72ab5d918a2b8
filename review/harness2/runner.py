"""Stand-in of a runner: one process is one life of it.

It serves the calls of the users' protocol on loopback and registers at the
agent beside it. What a task does stands in the job's `spec`, as words:
`ms=N` (how long it works; 1,000 if missing) or `lasts` (until it is stopped).
Every start and end is appended to a journal, one JSON object a line.
"""

import argparse
import asyncio
import json
import time

import aiohttp
from aiohttp import web

HEARTBEAT_S = 1.5
ANSWER_S = 1.0
TICK_S = 0.01
STARTUP_MS = 300
MAX_LISTED_ENDS = 500


class Runner:
    """Runs, ends, lease and fence of one life."""

    def __init__(self, args):
        self.args = args
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.running = {}
        self.ends = []
        self.barred = {}
        self.fence = 0
        self.count = 0
        self.until = 0
        self.sequence = 0
        self.journal = open(args.journal, "a", encoding="utf-8")

    def now(self):
        """Returns the steady clock of this life in milliseconds."""
        return int((time.monotonic() - self.began) * 1000) + 1

    def note(self, event, **fields):
        """Appends an event to the journal."""
        line = {
            "at": time.monotonic(),
            "runner": self.args.id,
            "born": self.born,
            "event": event,
            **fields,
        }
        self.journal.write(json.dumps(line) + "\n")
        self.journal.flush()

    def fenced_off(self, order):
        """Returns whether an order is of a holder that was replaced."""
        token = order.get("fencingToken", 0)
        self.fence = max(self.fence, token)
        return token < self.fence

    def extend(self, until):
        """Extends the lease of all that runs, within the maximum."""
        self.until = max(self.until, min(until, self.now() + self.args.hold_max_ms))

    def start(self, order):
        """Begins a run."""
        task, run, now = order["task"], order["run"], self.now()
        if self.fenced_off(order):
            return 409, {"reason": "fence"}
        known = self.running.get(task)
        if known is not None and known["run"] == run:
            self.extend(order["untilMs"])
            return 200, {}
        if known is not None or run <= self.barred.get(task, 0):
            self.extend(order["untilMs"])
            return 409, {"reason": "old"}
        if order["untilMs"] <= now:
            return 409, {"reason": "late"}
        self.extend(order["untilMs"])
        words = dict(
            word.partition("=")[::2] for word in order.get("spec", "").split()
        )
        self.running[task] = {
            "run": run,
            "began": now,
            "ms": int(words.get("ms", 1000)),
            "lasts": "lasts" in words,
        }
        self.note("start", task=task, run=run)
        return 200, {}

    def stop(self, order):
        """Ends a run, or bars it if it is not there yet."""
        if self.fenced_off(order):
            return 409, {"reason": "fence"}
        task, run = order["task"], order["run"]
        self.barred[task] = max(run, self.barred.get(task, 0))
        known = self.running.get(task)
        if known is not None and known["run"] <= run:
            self.end(task, "stopped")
        return 200, {}

    def pace(self, order):
        """Takes an order on the share of work; the tasks here never change."""
        if self.fenced_off(order):
            return 409, {"reason": "fence"}
        return 200, {}

    def end(self, task, how):
        """Ends a run and lists it."""
        known = self.running.pop(task)
        run = known["run"]
        self.barred[task] = max(run, self.barred.get(task, 0))
        self.count += 1
        self.ends.append([self.count, task, run, how, ""])
        self.note(how, task=task, run=run, n=self.count)

    def lists(self):
        """Returns both lists."""
        now = self.now()
        rows = []
        for task, each in self.running.items():
            worked = now - each["began"]
            total = STARTUP_MS if each["lasts"] else each["ms"]
            rows.append([task, each["run"], "", min(100, 100 * worked // total), 0])
        return {"running": rows, "finished": self.ends[:MAX_LISTED_ENDS]}

    async def hold(self, order):
        """Extends the lease, forgets committed ends, waits for an end."""
        if self.fenced_off(order):
            return 409, {"reason": "fence"}
        if "untilMs" in order:
            self.extend(order["untilMs"])
        cursor = order.get("ackCursor", 0)
        forgotten = [row[0] for row in self.ends if row[0] <= cursor]
        if forgotten:
            self.note("acked", cursor=cursor, ends=forgotten)
        self.ends = [row for row in self.ends if row[0] > cursor]
        until = time.monotonic() + order.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        return 200, self.lists()

    async def serve(self, req):
        """Answers one order."""
        order = json.loads(await req.read())
        call = req.match_info["call"]
        meant = req.headers.get("X-Expected-Instance", self.args.id)
        if meant != self.args.id:
            return web.json_response({}, status=421)
        if call == "hold":
            status, body = await self.hold(order)
        else:
            handle = {"run-start": self.start, "run-stop": self.stop, "pace": self.pace}
            status, body = handle[call](order)
        body |= {"clockMs": self.now(), "born": self.born}
        return web.json_response(body, status=status)

    async def tick(self):
        """Ends what is done, or whose lease has ended."""
        while True:
            now = self.now()
            for task, each in list(self.running.items()):
                if self.until <= now:
                    self.end(task, "lapsed")
                elif not each["lasts"] and now - each["began"] >= each["ms"]:
                    self.end(task, "done")
            await asyncio.sleep(TICK_S)

    async def announce(self):
        """Sends heartbeats to the agent beside this runner."""
        url = f"http://{self.args.agent}/bilberryroute/instances/{self.args.id}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self.sequence += 1
                try:
                    async with session.put(url, json=self.hello()):
                        pass
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(HEARTBEAT_S)

    def hello(self):
        """Returns what the runner says of itself."""
        args = self.args
        return {
            "service": args.service,
            "address": args.announced or args.listen,
            "zone": args.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 32000, "memRequestMb": 65536, "gpu": 8},
            "labels": ["a", args.rack],
            "clockMs": self.now(),
            "born": self.born,
            "sequence": self.sequence,
        }

    async def run(self):
        """Serves until the process is killed."""
        app = web.Application()
        app.router.add_post("/bilberryroute/{call}", self.serve)
        web_runner = web.AppRunner(app, access_log=None)
        await web_runner.setup()
        host, port = self.args.listen.rsplit(":", 1)
        await web.TCPSite(web_runner, host, int(port)).start()
        self.note("born")
        await asyncio.gather(self.tick(), self.announce())


def main():
    """Runs one life of a runner."""
    parser = argparse.ArgumentParser()
    for name in ("id", "agent", "listen", "zone", "service", "rack", "journal"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--announced", default="")
    parser.add_argument("--hold-max-ms", type=int, default=6000)
    asyncio.run(Runner(parser.parse_args()).run())


if __name__ == "__main__":
    main()
