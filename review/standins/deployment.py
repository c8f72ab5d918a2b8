"""A small deployment on loopback addresses, and its clients and operator.

Each machine has a loopback address of its own. The system's own processes are
started with the commands of `deploy/system.toml`; runners are stand-ins.
"""

import asyncio
import atexit
import dataclasses
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
import traceback

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import TCPConnector

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2

FRONTEND_PORT = 8521
READINESS_PORT = 8523
CONTROL_PORT = 8526
RUNNER_PORT = 8600
# Ports that a machine of the deployment uses.
PORTS = (FRONTEND_PORT, READINESS_PORT, CONTROL_PORT, RUNNER_PORT)
PORTS += tuple(range(7000, 7016)) + (9464, 9465, 9466)

ZONES = ("apapa", "tincan", "lekki")
HOST = "jobs.example"
KEY = "d4a3hwrr6x73d3zji9n7"
PREFIX = "/lohu930/"
SERVICE = "gang-alloc"

# Bounds of ajoke-apapa in SYSTEM.md.
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "configApplyMs": 2000,
    "evacuationMs": 5000,
    "holdMaxMs": 6000,
    "stopTimeoutMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "graceS": 6,
    "leaseMs": 3000,
    "fencingEnforced": "true",
    "strictRevocation": "true",
}

SETTINGS = """\
nodeName = "{name}"
role = "{role}"
machineClass = "{kind}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "lagos"
internalPorts = [7000,7015]
seedNodes = {seeds}
bootstrap = {bootstrap}
faultCounted = {counted}
dataDir = "{data}"
discovery = "local"
entrypoint = "vip"
heartbeatMs = 1500
config_mode = "highest"
commands = "push"
app = "{app}"
[zones]
apapa = "lagos"
tincan = "lagos"
lekki = "lagos"
[listenAddrs]
{listen}
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
"""


class CannotRun(Exception):
    """The case could not be carried out; it shows nothing."""


@dataclasses.dataclass
class Process:
    """A process of the deployment."""

    name: str
    args: list[str]
    env: dict[str, str]
    log: pathlib.Path
    popen: subprocess.Popen | None = None


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = open(path, "w", buffering=1)  # noqa: SIM115
        self._began = time.time()

    def write(self, text: str, at: float | None = None) -> None:
        """Writes a line with the seconds since the script began."""
        seconds = (time.time() if at is None else at) - self._began
        self._file.write(f"{seconds:8.3f}  {text}\n")


class Deployment:
    """Starts, disturbs and ends the processes of a deployment."""

    def __init__(self, record: Record, frontends: int = 3, sides: int = 3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.prefix = _free_prefix(frontends + sides)
        self.processes: dict[str, Process] = {}
        self.frontends = [
            (f"frontend-{ZONES[n % 3]}-{n // 3 + 1}", self._ip(n), ZONES[n % 3])
            for n in range(frontends)
        ]
        self.sides = [
            (
                f"side-{ZONES[n % 3]}-{n // 3 + 1}",
                self._ip(frontends + n),
                ZONES[n % 3],
            )
            for n in range(sides)
        ]
        self._commands = _commands()
        # Also if the script is ended from outside.
        atexit.register(self._end_all)

    def _ip(self, number: int) -> str:
        return f"{self.prefix}.{number + 1}"

    def add_system(self) -> None:
        """Adds the system's own processes; starts none."""
        for name, ip, zone in self.frontends:
            self._add_role("entry", name, ip, zone)
            self._add_role("replica", name, ip, zone)
        for name, ip, zone in self.sides:
            self._add_role("agent", name, ip, zone)

    def _add_role(self, role: str, machine: str, ip: str, zone: str) -> None:
        serves, listen, data, app = [], [], "", ""
        match role:
            case "entry":
                serves = ["frontend"]
                listen = [
                    f'frontendAddr = "{ip}:{FRONTEND_PORT}"',
                    f'readinessAddr = "{ip}:{READINESS_PORT}"',
                ]
            case "replica":
                serves = ["control"]
                listen = [f'controlPlane = "{ip}:{CONTROL_PORT}"']
                data = str(self.folder / f"{machine}-data")
            case "agent":
                serves = ["side"]
                listen = [f'controlPlane = "{ip}:{CONTROL_PORT}"']
                app = f"{ip}:{RUNNER_PORT}"
        seeds = [f"{ip_}:{CONTROL_PORT}" for _, ip_, _ in self.frontends[:3]]
        path = self.folder / f"{machine}-{role}.toml"
        path.write_text(
            SETTINGS.format(
                name=machine,
                role=role,
                kind="side" if role == "agent" else "frontend",
                serves=json.dumps(serves),
                ip=ip,
                zone=zone,
                seeds=json.dumps(seeds),
                bootstrap="true",
                counted=str(role == "replica").lower(),
                data=data,
                app=app,
                listen="\n".join(listen),
                bounds="\n".join(f"{k} = {v}" for k, v in BOUNDS.items()),
            )
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["BILBERRYROUTE_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        name = f"{role}@{machine}"
        self.processes[name] = Process(
            name=name,
            args=self._commands[role],
            env=env,
            log=self.folder / f"{name}.log",
        )

    def add_runner(self, index: int, announced: str = "", **options) -> str:
        """Adds the runner of a side machine; returns its name."""
        machine, ip, zone = self.sides[index]
        name = f"i-{machine}"
        args = [sys.executable, "-m", "review.standins.runner"]
        given = {
            "name": name,
            "agent": f"{ip}:{CONTROL_PORT}",
            "zone": zone,
            "rack": f"r{index + 1}",
            "listen": f"{ip}:{RUNNER_PORT}",
            "journal": str(self.folder / f"{name}.jsonl"),
            "service": SERVICE,
        } | {key.replace("_", "-"): str(val) for key, val in options.items()}
        if announced:
            given["announced"] = announced
        for key, value in given.items():
            args += [f"--{key}", value]
        env = os.environ | {
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        }
        self.processes[name] = Process(
            name=name, args=args, env=env, log=self.folder / f"{name}.log"
        )
        return name

    def start(self, name: str) -> None:
        """Starts a process."""
        process = self.processes[name]
        with open(process.log, "ab") as log:
            process.popen = subprocess.Popen(
                process.args,
                env=process.env,
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        self.record.write(f"platform: starts {name}")

    def start_all(self) -> None:
        """Starts all processes."""
        for name in self.processes:
            self.start(name)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this script has started."""
        self.record.write(f"platform: {number.name} to {name}")
        self.processes[name].popen.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].popen.wait()

    async def crash_behind_cut(self, name: str, cut_s: float) -> float:
        """Makes a runner silent, and crashes and starts it meanwhile.

        Returns:
          When it crashed.
        """
        self.signal(name, signal.SIGSTOP)
        await asyncio.sleep(cut_s)
        self.kill(name)
        crashed_at = time.time()
        self.start(name)
        return crashed_at

    def ended_by_themselves(self) -> list[str]:
        """Returns the processes that have ended although nobody asked."""
        return [
            each.name
            for each in self.processes.values()
            if each.popen is not None
            and each.popen.poll() not in (None, -signal.SIGKILL)
        ]

    def journal(self) -> list[dict]:
        """Returns what the runners did, in order of time."""
        rows = []
        for path in self.folder.glob("*.jsonl"):
            rows += [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(rows, key=lambda row: row["at"])

    def log_lines(self, text: str) -> list[str]:
        """Returns the lines of the system's logs that hold a text."""
        found = []
        for name, process in self.processes.items():
            if "@" in name and process.log.exists():
                for line in process.log.read_text(
                    errors="replace"
                ).splitlines():
                    if text in line:
                        found.append(f"{name}: {line}")
        return found

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for row in self.journal():
            fields = {
                k: v
                for k, v in row.items()
                if k not in ("at", "runner", "event")
            }
            self.record.write(
                f"{row['runner']}: {row['event']} {fields}", at=row["at"]
            )
        self._end_all()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _end_all(self) -> None:
        for process in self.processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
        for process in self.processes.values():
            if process.popen is not None:
                process.popen.wait()


def _commands() -> dict[str, list[str]]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {name: role["run"].split() for name, role in deploy["roles"].items()}


def _free_prefix(machines: int) -> str:
    """Returns the beginning of loopback addresses whose ports are free."""
    for _ in range(200):
        prefix = f"127.{random.randint(20, 190)}.{random.randint(1, 250)}"
        if all(
            _is_free(f"{prefix}.{number + 1}", port)
            for number in range(machines)
            for port in PORTS
        ):
            return prefix
    raise CannotRun("no free loopback addresses were found")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def config(version: int, **changes) -> dict:
    """Returns a configuration with one queue."""
    route = {
        "name": "r-ce7ejsm",
        "host": HOST,
        "pathPrefix": PREFIX,
        "kind": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "slackFactor": 3.0,
        "anonymousAccess": False,
    }
    other = route | {"name": "r-3ajwyy7", "pathPrefix": "/pule252/"}
    service = {
        "name": SERVICE,
        "healthPath": "/healthz",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
        "admissionCheck": True,
        "standby": False,
    }
    return {
        "version": version,
        "routes": [route, other],
        "services": [service],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "kaje80",
                "apiKeys": [KEY],
                "priority": 1,
                "guaranteedGpus": {"gpu": 0},
            }
        ],
    } | changes


def job_id(rng: random.Random) -> str:
    """Returns an id as clients choose it."""
    return f"{rng.getrandbits(64):016x}"


class Caller:
    """Clients and the operator: HTTP with the answers written down."""

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.record = deployment.record
        # Each call on a connection of its own, as of different clients.
        self._session = ClientSession(connector=TCPConnector(force_close=True))

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def call(
        self,
        who: str,
        method: str,
        ip: str,
        port: int,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> tuple[int | None, object]:
        """Sends one request; returns status and body, or None without one."""
        sent = time.time()
        try:
            async with self._session.request(
                method,
                f"http://{ip}:{port}{path}",
                json=body,
                headers=headers,
                timeout=ClientTimeout(total=timeout_s),
            ) as resp:
                text = await resp.text()
                status = resp.status
        except (ClientError, TimeoutError, OSError) as exc:
            status, text = None, type(exc).__name__
        shown = text if len(text) < 120 else text[:117] + "..."
        took = time.time() - sent
        self.record.write(
            f"{who}: {method} {ip}:{port}{path} ->"
            f" {status} {shown} ({1_000 * took:.0f} ms)",
            at=sent,
        )
        try:
            return status, json.loads(text)
        except ValueError:
            return status, text

    # Operator.

    async def order(
        self, method: str, path: str, body: object = None, first: int = 0
    ) -> float:
        """Sends an order until it is acknowledged; returns when it was.

        Moves on to the next daemon after a failure, a 5xx, a 408 or 429, or a
        second without a response.
        """
        ips = [ip for _, ip, _ in self.deployment.frontends]
        for attempt in range(60):
            ip = ips[(first + attempt) % len(ips)]
            status, answer = await self.call(
                "operator", method, ip, CONTROL_PORT, path, body
            )
            if status is not None and 200 <= status < 300:
                return time.time()
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"{method} {path} was refused: {answer}")
            await asyncio.sleep(min(1.0, 0.1 * (attempt + 1)))
        raise CannotRun(f"{method} {path} was not acknowledged")

    async def configure(self, body: dict) -> float:
        """Brings a configuration into force."""
        return await self.order("PUT", "/bilberryroute/config", body)

    # Clients.

    async def job(
        self,
        method: str,
        name: str,
        body: object = None,
        first: int = 0,
        tries: int = 5,
        prefix: str = PREFIX,
    ) -> tuple[int | None, object]:
        """Sends a client's request, again where it got no clear answer."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": "3000",
        }
        ips = [ip for _, ip, _ in self.deployment.frontends]
        status, answer = None, ""
        for attempt in range(tries):
            ip = ips[(first + attempt) % len(ips)]
            status, answer = await self.call(
                "client",
                method,
                ip,
                FRONTEND_PORT,
                prefix + name,
                body,
                headers,
                timeout_s=3.0,
            )
            if status not in (None, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.2)
        return status, answer

    async def submit(self, name: str, body: dict, first: int = 0) -> float:
        """Hands a job in; returns when it was accepted."""
        status, answer = await self.job("POST", name, body, first, tries=20)
        if status is None or not 200 <= status < 300:
            raise CannotRun(f"job {name} was not accepted: {status} {answer}")
        return time.time()

    async def state(self, name: str) -> str:
        """Returns the state that a client is shown, or the status."""
        status, answer = await self.job("GET", name)
        if status == 200 and isinstance(answer, dict):
            return str(answer.get("state"))
        return str(status)


async def until_runners_work(
    caller: Caller, rng: random.Random, runners: int, need: dict
) -> None:
    """Waits until a task has run on each runner."""
    deadline = time.time() + 40
    while time.time() < deadline:
        name = job_id(rng)
        await caller.submit(
            name,
            {
                "spec": json.dumps({"ms": 300, "need": _room(need)}),
                "steps": [
                    {"count": runners, "antiAffinity": 1, "estimateMs": 300}
                    | need
                ],
            },
        )
        for _ in range(20):
            await asyncio.sleep(0.3)
            if await caller.state(name) == "completed":
                return
    raise CannotRun("the runners were not all used in time")


def _room(need: dict) -> dict[str, int]:
    return {
        "cpu": need.get("cpu", 0),
        "mem": need.get("memRequestMb", 0),
        "gpu": need.get("gpu", 0),
    }


def run_case(folder: pathlib.Path, case) -> None:
    """Runs a case and ends the script with its verdict."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'on' if trouble else 'off'}")
    code = CANNOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        broken = asyncio.run(case(record, trouble))
        code = BROKEN if broken else HOLDS
        for line in broken:
            record.write(f"BROKEN: {line}")
            print(f"BROKEN: {line}")
        if not broken:
            record.write("the rule held")
            print("the rule held")
    except Exception as exc:  # A defect of the case shows nothing either.
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        if not isinstance(exc, CannotRun):
            traceback.print_exc()
    sys.exit(code)
