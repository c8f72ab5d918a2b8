"""A small deployment of separate processes on loopback, for one case.

Three hosts run a replica and an entry, each further host an agent beside a
stand-in runner. Programs are started by the commands of `deploy/system.toml`.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "nony24.example"
SERVICE = "huvo11a"
INTERNAL = 7000
# Internal ports as a host behind proxies sees them.
PROXIED = 7100
FRONTEND, READINESS, CONTROL, RUNNER = 8521, 8523, 8526, 8530
PORTS = (9464, 9465, 9466, *range(INTERNAL, INTERNAL + 16))
PORTS += tuple(range(PROXIED, PROXIED + 16))
PORTS += (FRONTEND, READINESS, CONTROL, RUNNER, RUNNER + 1)
ZONES = ("apapa", "tincan", "lekki")
DEADLINE_S = 3.0
TRIES = 5

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{kind}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "lagos"
internalPorts = [{first},{last}]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
faultCounted = {counted}
dataDir = "{folder}"
discovery = "local"
entrypoint = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places","advice","upkeep","sharing"]
config_mode = "highest"
commands = "push"
[zones]
apapa = "lagos"
tincan = "lagos"
lekki = "lagos"
[listenAddrs]
{listen}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
graceS = 6
configApplyMs = 2000
evacuationMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
noticeMs = 4500
leaseMs = 3000
reclaimMs = 2700
"""


class CannotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


def with_trouble():
    """Returns whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def _free_network():
    """Returns the first three numbers of unused loopback addresses."""
    for _ in range(50):
        network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        with contextlib.ExitStack() as stack:
            try:
                for number in range(1, 12):
                    for port in PORTS:
                        sock = stack.enter_context(socket.socket())
                        sock.bind((f"{network}.{number}", port))
            except OSError:
                continue
        return network
    raise CannotRun("no free ports on loopback")


class Child:
    """One process, with its output in a file."""

    def __init__(self, name, command, env, log):
        self.name = name
        self.command = command
        self.env = env
        self.log = log
        self.process = None

    def start(self):
        """Starts it, again if it has ended."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def running(self):
        """Returns whether it runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Sends a signal if it runs."""
        if self.running():
            self.process.send_signal(number)

    def kill(self):
        """Kills it and waits for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()


class System:
    """The deployment, and what a case records of it."""

    def __init__(self, case, runners=3, zones=None):
        self.record = open(
            ROOT / "review" / case / "record.txt", "w", encoding="utf-8"
        )
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberryroute-review-"))
        self.children = {}
        self.network = _free_network()
        self.fronts = [f"{self.network}.{n}" for n in (1, 2, 3)]
        self.sides = [f"{self.network}.{n}" for n in range(4, 4 + runners)]
        self.zones = zones or [ZONES[n % 3] for n in range(runners)]
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.session = None
        self.journals = []

    def note(self, text):
        """Writes a line of the record."""
        seconds = time.monotonic() - self.began
        self.record.write(f"{seconds:8.3f}  {text}\n")
        self.record.flush()

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        )
        return self

    async def __aexit__(self, *exc):
        await self.session.close()
        for child in self.children.values():
            child.send(signal.SIGCONT)
            child.send(signal.SIGTERM)
        until = time.monotonic() + 6
        for child in self.children.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.process and child.process.wait(
                    max(0.05, until - time.monotonic())
                )
            if child.running():
                child.kill()
        if os.environ.get("KEEP"):
            self.note(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Processes.

    def _environment(self, settings=""):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}"
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        if settings:
            env["BILBERRYROUTE_SETTINGS"] = str(settings)
        return env

    def _add_program(
        self, name, role, ip, zone, listen, kind, bootstrap=True, first=INTERNAL
    ):
        folder = self.folder / name
        folder.mkdir()
        path = self.folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name.rsplit("-", 1)[0],
                role=role,
                kind=kind,
                serves=self.roles[role]["serves"][0],
                ip=ip,
                zone=zone,
                first=first,
                last=first + 15,
                seeds=",".join(f'"{f}:{CONTROL}"' for f in self.fronts),
                bootstrap=str(bootstrap).lower(),
                counted=str(kind == "frontend").lower(),
                folder=folder if ip in self.fronts else "",
                listen=listen,
            )
        )
        command = self.roles[role]["run"].split()
        command[0] = sys.executable
        self.children[name] = Child(
            name, command, self._environment(path), self.folder / f"{name}.log"
        )

    def add_front(self, number):
        """Adds a host with a replica and an entry."""
        ip, zone = self.fronts[number], ZONES[number]
        self._add_program(
            f"frontend-{zone}-entry", "entry", ip, zone,
            f'frontendAddr = "{ip}:{FRONTEND}"\n'
            f'readinessAddr = "{ip}:{READINESS}"', "frontend",
        )
        self._add_program(
            f"frontend-{zone}-replica", "replica", ip, zone,
            f'controlPlane = "{ip}:{CONTROL}"', "frontend",
        )

    def add_diskless(self):
        """Adds a host without a disk that serves operators; returns its address.

        It reaches the replicas at other ports, where a proxy may listen.
        """
        ip = f"{self.network}.10"
        self._add_program(
            "frontend-diskless-replica", "replica", ip, ZONES[0],
            f'controlPlane = "{ip}:{CONTROL}"', "frontend", first=PROXIED,
        )
        return ip

    def add_side(self, number):
        """Adds a host with an agent and a runner."""
        ip, zone = self.sides[number], self.zones[number]
        self._add_program(
            f"side{number}-agent", "agent", ip, zone,
            f'controlPlane = "{ip}:{CONTROL}"', "side",
        )
        journal = self.folder / f"runner{number}.jsonl"
        journal.touch()
        self.journals.append(journal)
        env = self._environment()
        env["PYTHONPATH"] += f":{ROOT}"
        command = [
            sys.executable, "-m", "review.harness2.runner",
            "--id", f"i-{number:08x}", "--agent", f"{ip}:{CONTROL}",
            "--listen", f"{ip}:{RUNNER}", "--announced", self.announced(number),
            "--zone", zone, "--service", SERVICE, "--rack", f"r1-{number}",
            "--journal", str(journal),
        ]
        self.children[f"runner{number}"] = Child(
            f"runner{number}", command, env, self.folder / f"runner{number}.log"
        )

    def announced(self, number):
        """Returns the address at which an agent is to reach its runner."""
        return f"{self.sides[number]}:{RUNNER}"

    async def start(self):
        """Starts all and waits until the entries are ready."""
        for number in range(3):
            self.add_front(number)
        for number in range(len(self.sides)):
            self.add_side(number)
        for child in self.children.values():
            child.start()
        await self.until(self._all_ready, 40, "all entries are ready")
        self.note("all entries are ready")

    async def _all_ready(self):
        answers = [
            await self.call("GET", f"http://{ip}:{READINESS}/bilberryroute/readyz")
            for ip in self.fronts
        ]
        return all(status == 200 for status, _ in answers)

    async def until(self, holds, seconds, what):
        """Waits for a condition; the case can't run without it."""
        until = time.monotonic() + seconds
        while not await holds():
            if time.monotonic() > until:
                raise CannotRun(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.1)

    # Clients and the operator.

    async def call(self, method, url, body=None, headers=None, timeout=1.0):
        """Returns status and body of an answer; status 0 if there was none."""
        try:
            async with self.session.request(
                method, url, json=body, headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as resp:
                return resp.status, await resp.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return 0, repr(exc)

    async def order(self, method, path, body=None, within=20.0, pause=0.3):
        """Gives an operator's order until it is acknowledged."""
        until = time.monotonic() + within
        turn = 0
        while time.monotonic() < until:
            ip = self.fronts[turn % 3]
            turn += 1
            status, text = await self.call(
                method, f"http://{ip}:{CONTROL}{path}", body
            )
            self.note(f"operator: {method} {path} at {ip}: {status} {text[:80]}")
            if status == 200:
                return time.monotonic()
            await asyncio.sleep(pause)
        raise CannotRun(f"{method} {path} was not acknowledged")

    async def configure(self, version, tenants, queues):
        """Sends a configuration: tenants with their keys, queues by name."""
        config = {
            "version": version,
            "routes": [
                {
                    "name": name, "host": HOST, "pathPrefix": f"/{name}/",
                    "kind": "unsafe", "timeoutMs": 3000, "service": SERVICE,
                    "targetLatencyMs": 1000, "maxAttempts": 2,
                    "slackFactor": 3.0, "anonymousAccess": False, **more,
                }
                for name, more in queues.items()
            ],
            "services": [{"name": SERVICE, "admissionCheck": True, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": tenants,
        }
        return await self.order("PUT", "/bilberryroute/config", config)

    async def ask(self, method, queue, job, key, body=None, quiet=False):
        """Sends a client's request, again at other entries as clients do.

        Returns status and body of the last answer; status 0 if there was none
        within the deadline of any try.
        """
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        first = random.randrange(3)
        status, text = 0, ""
        for turn in range(TRIES):
            ip = self.fronts[(first + turn) % 3]
            status, text = await self.call(
                method, f"http://{ip}:{FRONTEND}/{queue}/{job}", body, headers,
                DEADLINE_S,
            )
            if not quiet or status not in (200, 410):
                self.note(f"client: {method} {queue}/{job} at {ip}: {status} {text[:60]}")
            if status and status < 500 and status != 429:
                break
            await asyncio.sleep(0.2 * (turn + 1))
        return status, text

    # What runners have seen.

    def events(self):
        """Returns what all runners wrote down, by time."""
        lines = []
        for journal in self.journals:
            for line in journal.read_text(encoding="utf-8").splitlines():
                lines.append(json.loads(line))
        return sorted(lines, key=lambda line: line["at"])

    def note_events(self, most=400):
        """Writes what the runners wrote down into the record."""
        events = self.events()
        self.note(f"runners: {len(events)} events; the first {most} follow")
        for each in events[:most]:
            seconds = each.pop("at") - self.began
            self.record.write(f"{seconds:8.3f}  runner: {json.dumps(each)}\n")
        self.record.flush()


def new_id():
    """Returns an id of a job."""
    return f"{random.getrandbits(64):016x}"


def main(play, case, **layout):
    """Runs a case and ends the process with its exit status."""

    async def run():
        # Whoever ends a case early gets its processes ended too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with System(case, **layout) as system:
            trouble = with_trouble()
            system.note(f"case {case}, trouble: {trouble}")
            try:
                async with asyncio.timeout(105):
                    broken = await play(system, trouble)
            except (CannotRun, TimeoutError) as exc:
                system.note(f"could not run: {exc!r}")
                system.note_events()
                return 2
            system.note_events()
            for line in broken:
                system.note(f"BROKEN {line}")
            system.note("rule broken" if broken else "rule held")
            print("rule broken" if broken else "rule held", *broken[:3], sep="\n")
            return 1 if broken else 0

    sys.exit(asyncio.run(run()))
