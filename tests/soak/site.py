"""A deployment of real processes on loopback, started as the platform does.

Each host has a loopback address of its own. Hosts with a disk run a replica and
an entry, others an entry only; workers' hosts run an agent and a fake worker.
Callers, operators, workers and agents reach each other through relays.
"""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import random
import shutil
import signal
import socket

from bilberryroute import clock as clock_lib
from bilberryroute.platform import settings as platform_settings
from extras import processes
from extras.fakes import journal as journal_lib
from tests.utils import relay

CALLERS_PORT = 8521
READINESS_PORT = 8523
CONTROL_PORT = 8526
WORKER_PORT = 8600
# Held by the test while it uses a range of loopback addresses.
LOCK_PORT = 8599
# SIGKILL follows SIGTERM after this long, as on the platform.
GRACE_MS = 6 * clock_lib.SECOND

SETTINGS = """\
nodeName = "{host}"
ip = "{ip}"
zone = "{domain}"
region = "lagos"
internalPorts = [7000,7015]
seedNodes = [{seeds}]
bootstrap = {bootstrap}
dataDir = "{folder}"
[listenAddrs]
frontendAddr = "{ip}:8521"
readinessAddr = "{ip}:8523"
controlPlane = "{ip}:8526"
[faultTolerance]
machines = {tolerated}
"""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """Number of hosts of each kind.

    Attributes:
      disks: Hosts with a disk: a replica and an entry each.
      entries: Further hosts with an entry.
      workers: Hosts with an agent and a worker.
      run_ms: How long each task runs.
    """

    disks: int = 3
    entries: int = 1
    workers: int = 4
    run_ms: int = 800
    domains: tuple[str, ...] = ("apapa", "tincan", "lekki")

    @property
    def tolerated(self) -> int:
        """Returns how many disks may be lost."""
        return (self.disks - 1) // 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Process:
    """A process, and what is needed to start it anew."""

    child: processes.Child
    ip: str
    settings: pathlib.Path | None = None
    data: pathlib.Path | None = None
    journal: pathlib.Path | None = None


class Site:
    """Starts, disturbs and stops the processes.

    Attributes:
      layout: Number of hosts.
      wrong: What went wrong with processes that nobody disturbed.
    """

    def __init__(self, folder: pathlib.Path, layout: Layout):
        self.layout = layout
        self.wrong: list[str] = []
        self._folder = folder
        self._clock = clock_lib.SystemClock()
        self._lock, self._prefix = _reserve_addresses()
        self._processes: dict[str, _Process] = {}
        self._relays: dict[str, relay.TcpRelay] = {}
        self._up: set[str] = set()
        self._stopping: set[str] = set()
        # Size of each log when its process was started last.
        self._log_sizes: dict[str, int] = {}
        self._seeds = [self._ip(n) for n in range(min(3, layout.disks))]
        self._add_all()

    # Names and addresses.

    def names(self, kind: str) -> list[str]:
        """Returns the processes of a kind, such as `replica`."""
        return [n for n in self._processes if n.split("-")[0] == kind]

    def callers_addresses(self) -> list[str]:
        """Returns the callers' addresses of all entries."""
        return [self._relays[name].address for name in self.names("entry")]

    def direct_callers_addresses(self) -> list[str]:
        """Returns the callers' addresses without relays.

        A relay takes connections also while its entry is down.
        """
        return [self._address(n, CALLERS_PORT) for n in self.names("entry")]

    def control_addresses(self) -> list[str]:
        """Returns the operators' addresses of all replicas."""
        return [self._relays[name].address for name in self.names("replica")]

    def link(self, name: str) -> relay.TcpRelay:
        """Returns the relay in front of a process."""
        return self._relays[name]

    def journals(self) -> dict[str, list[journal_lib.Line]]:
        """Returns what each worker did, by name."""
        return {
            name: journal_lib.read(self._processes[name].journal)
            for name in self.names("worker")
        }

    def _ip(self, number: int) -> str:
        return f"{self._prefix}.{number + 1}"

    def _address(self, name: str, port: int) -> str:
        return f"{self._processes[name].ip}:{port}"

    # Preparation.

    async def open_links(self) -> None:
        """Starts the relays, and adds the workers behind theirs."""
        ports = {
            "replica": CONTROL_PORT,
            "entry": CALLERS_PORT,
            "agent": CONTROL_PORT,
        }
        for kind, port in ports.items():
            for name in self.names(kind):
                await self._open_link(name, self._address(name, port))
        for index, agent in enumerate(self.names("agent")):
            ip = self._processes[agent].ip
            name = f"worker-{index + 1}"
            await self._open_link(name, f"{ip}:{WORKER_PORT}")
            self._add_worker(name, agent)

    async def _open_link(self, name: str, target: str) -> None:
        rng = random.Random(name)
        self._relays[name] = relay.TcpRelay(target, rng)
        await self._relays[name].start()

    def _add_all(self) -> None:
        layout = self.layout
        numbers = itertools.count()
        for disk in range(layout.disks):
            number = next(numbers)
            self._add_role("replica", disk, number)
            self._add_role("entry", disk, number)
        for entry in range(layout.disks, layout.disks + layout.entries):
            self._add_role("entry", entry, next(numbers))
        for worker in range(layout.workers):
            self._add_role("agent", worker, next(numbers))

    def _add_role(self, role: str, index: int, number: int) -> None:
        name = f"{role}-{index + 1}"
        path = self._folder / f"{name}.toml"
        variables = {platform_settings.VARIABLE: str(path)}
        args = ["-m", "bilberryroute", "run", "--platform", role]
        self._processes[name] = _Process(
            child=processes.Child(name, args, self._folder, variables),
            ip=self._ip(number),
            settings=path,
            data=self._folder / f"{name}-data",
        )
        self._write_settings(name, bootstrap=True)

    def _write_settings(self, name: str, *, bootstrap: bool) -> None:
        process = self._processes[name]
        text = SETTINGS.format(
            host=name,
            ip=process.ip,
            domain=self._domain(_index(name)),
            seeds=",".join(f'"{ip}:{CONTROL_PORT}"' for ip in self._seeds),
            bootstrap=str(bootstrap).lower(),
            folder=process.data,
            tolerated=self.layout.tolerated,
        )
        process.settings.write_text(text)

    def _domain(self, index: int) -> str:
        return self.layout.domains[index % len(self.layout.domains)]

    def _add_worker(self, name: str, agent: str) -> None:
        ip = self._processes[agent].ip
        journal = self._folder / f"{name}.jsonl"
        args = [
            *("-m", "extras.fakes.fake_runner", "--name", name),
            *("--agent", self._relays[agent].address),
            *("--zone", self._domain(_index(agent))),
            *("--run-ms", str(self.layout.run_ms)),
            *("--journal", str(journal)),
            *("--listen", f"{ip}:{WORKER_PORT}"),
            *("--announced", self._relays[name].address),
        ]
        self._processes[name] = _Process(
            child=processes.Child(name, args, self._folder),
            ip=ip,
            journal=journal,
        )

    # Faults.

    def start(self, name: str) -> None:
        """Starts a process, unless it runs or is being stopped."""
        if name not in self._up and name not in self._stopping:
            self._up.add(name)
            self._log_sizes[name] = self._log_size(name)
            self._processes[name].child.start()

    def start_all(self) -> None:
        """Starts all processes that are down."""
        for name in self._processes:
            self.start(name)

    def end_founding(self) -> None:
        """Lets no replica found a group from now on."""
        for name, process in self._processes.items():
            if process.settings is not None:
                self._write_settings(name, bootstrap=False)

    def kill(self, name: str) -> None:
        """Kills a process, also one that is being stopped."""
        child = self._processes[name].child
        if name in self._stopping:
            self._stopping.remove(name)
        elif name not in self._up:
            return
        elif not child.running():
            self.wrong.append(f"{name} ended by itself: {child.exit_code}")
        self._up.discard(name)
        child.kill()
        self._record_death(name)

    async def stop(self, name: str) -> None:
        """Sends SIGTERM, and kills the process if it does not end in time."""
        child = self._processes[name].child
        if name not in self._up:
            return
        if not child.running():
            self.kill(name)
            return
        self._up.remove(name)
        self._stopping.add(name)
        child.resume()
        child.terminate()
        code = await child.ended(GRACE_MS)
        if name not in self._stopping:
            return  # Killed by another fault, and perhaps started again.
        if code != 0 and not self._was_starting(name, code):
            self.wrong.append(f"{name} after SIGTERM: exit code {code}")
        self.kill(name)

    def freeze(self, name: str) -> None:
        """Suspends a process."""
        if name in self._up:
            self._processes[name].child.freeze()

    def resume(self, name: str) -> None:
        """Resumes a suspended process."""
        if name in self._up:
            self._processes[name].child.resume()

    def wipe(self, name: str) -> None:
        """Deletes the data of a replica that is down."""
        assert not self._processes[name].child.running(), f"{name} runs"
        shutil.rmtree(self._processes[name].data, ignore_errors=True)

    def kill_all(self) -> None:
        """Kills all processes as fast as possible."""
        for name in self._processes:
            self.kill(name)

    async def close(self) -> None:
        """Kills what still runs and gives the addresses back."""
        self.kill_all()
        for link in self._relays.values():
            await link.stop()
        self._lock.close()

    def _was_starting(self, name: str, code: int | None) -> bool:
        """Returns whether SIGTERM came before the program handles signals."""
        silent = self._log_size(name) == self._log_sizes[name]
        return code == -signal.SIGTERM and silent

    def _log_size(self, name: str) -> int:
        log = self._processes[name].child.log
        return log.stat().st_size if log.exists() else 0

    def _record_death(self, name: str) -> None:
        process = self._processes[name]
        if process.journal is not None:
            book = journal_lib.Journal(
                str(process.journal), name, "", self._clock
            )
            book.write("dead", name)

    async def until_listening(self, timeout_ms: int) -> None:
        """Waits until all entries and replicas accept connections.

        Raises:
          TimeoutError: If one does not in time.
        """
        addresses = [
            *(self._address(n, CALLERS_PORT) for n in self.names("entry")),
            *(self._address(n, CONTROL_PORT) for n in self.names("replica")),
        ]
        async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
            for address in addresses:
                await _until_accepts(address)


def _index(name: str) -> int:
    return int(name.split("-")[1]) - 1


async def _until_accepts(address: str) -> None:
    host, port = address.split(":")
    while True:
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(clock_lib.seconds(clock_lib.Millis(50)))
        else:
            writer.close()
            return


def _reserve_addresses() -> tuple[socket.socket, str]:
    """Returns a prefix of loopback addresses that no other test uses."""
    for attempt in itertools.count(os.getpid()):
        prefix = f"127.{200 + attempt // 256 % 50}.{attempt % 256}"
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"{prefix}.1", LOCK_PORT))
        except OSError:
            lock.close()
        else:
            return lock, prefix
    raise AssertionError("unreachable")
