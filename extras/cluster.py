"""A whole system of separate processes on loopback, with fakes around it."""

import asyncio
import dataclasses
import json
import pathlib
from collections.abc import Callable
from collections.abc import Iterator

import aiohttp
import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.cli import checks
from bilberryroute.model import queries
from extras import ports
from extras import processes
from extras.fakes import journal as journal_lib

SERVICE = "gang-alloc"
CALL_TIMEOUT_MS = 15_000
SOUND_MS = 10_000
START_MS = 30_000
POLL_MS = 50

Wiring = Callable[[str, settings.ReplicaAddress], settings.ReplicaAddress]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """How many processes of each kind, and where.

    Attributes:
      domains: Failure domains; one replica in each.
      agents: Failure domain of each agent.
      workers: Workers of each agent; a failure domain has one rack.
      endpoints: Endpoints of each agent.
      run_ms: How long a task runs unless its job id says otherwise.
      timing: Timing of all processes.
      log: Bounds of the replicas' logs.
    """

    domains: tuple[str, ...] = ("apapa", "tincan", "lekki")
    agents: tuple[str, ...] = ("apapa", "tincan", "lekki")
    entries: int = 2
    workers: int = 2
    endpoints: int = 1
    run_ms: int = 1_500
    timing: settings.Timing = settings.Timing()
    log: settings.Log = settings.Log()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP answer, whole."""

    status: int
    headers: dict[str, str]
    text: str

    def json(self) -> dict:
        """Returns the body as an object."""
        return json.loads(self.text)


class Cluster:
    """Starts, asks and stops the processes.

    Attributes:
      children: Processes by name.
      http: HTTP addresses of entries, agents and replicas, by name.
      replicas: Replicas as they listen.
      agents: Settings of the agents, by name.
    """

    def __init__(self, folder: pathlib.Path, layout: Layout):
        self.folder = folder
        self.layout = layout
        self.children: dict[str, processes.Child] = {}
        self.http: dict[str, str] = {}
        self._ports = ports.Ports()
        self.replicas = tuple(_replicas(layout, self._ports))
        self.agents: dict[str, settings.Settings] = {}
        self._wiring: Wiring | None = None
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        self._session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._session.close()
        processes.kill_all(list(self.children.values()))
        self._ports.close()

    @property
    def entries(self) -> list[str]:
        """Returns the names of the entries."""
        return [f"e{number + 1}" for number in range(self.layout.entries)]

    def prepare(self, wiring: Wiring | None = None) -> None:
        """Writes all settings and names all processes; starts none.

        Args:
          wiring: Gives the addresses at which a process, by its name, sees a
            replica; None for those at which the replica listens.
        """
        self._wiring = wiring
        for replica in self.replicas:
            self._add_replica(replica)
        for number, name in enumerate(self.entries):
            domain = self.layout.domains[number % len(self.layout.domains)]
            self._add(self._settings(name, settings.ProcessRole.ENTRY, domain))
        for number, domain in enumerate(self.layout.agents):
            self._add_agent(f"a{number + 1}", domain)

    async def start(self) -> None:
        """Starts all processes and waits until they serve."""
        for child in self.children.values():
            child.start()
        await asyncio.gather(*(self.until_healthy(n) for n in self.http))

    async def until_healthy(self, name: str) -> None:
        """Waits until a process serves its health probe.

        Raises:
          TimeoutError: If it does not in time.
        """

        async def healthy() -> bool:
            answer = await self.get(name, "/healthz")
            return answer is not None and answer.status == 200

        await until(healthy, START_MS, f"{name} serves /healthz")

    async def stop(self) -> list[str]:
        """Stops all gracefully, callers' side first; returns what failed."""
        wrong = []
        for kinds in (("e",), ("p", "w"), ("a",), ("r",)):
            group = [c for n, c in self.children.items() if n[0] in kinds]
            wrong += await processes.stop_all(group)
        return wrong

    async def get(self, name: str, path: str) -> Answer | None:
        """Returns a process's answer, or None if there was none."""
        return await self.ask("GET", name, path)

    async def post(
        self,
        name: str,
        path: str,
        body: object,
        headers: dict[str, str] | None = None,
    ) -> Answer | None:
        """Posts JSON, or text as it is; None if there was no answer."""
        return await self.ask("POST", name, path, body, headers)

    async def ask(
        self,
        method: str,
        name: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> Answer | None:
        """Calls a process over HTTP; None if there was no whole answer."""
        payload = body if isinstance(body, str) else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(
            total=clock_lib.seconds(CALL_TIMEOUT_MS)
        )
        try:
            async with self._session.request(
                method,
                f"http://{self.http[name]}{path}",
                data=None if body is None else payload,
                headers=headers,
                timeout=timeout,
            ) as response:
                return Answer(
                    status=response.status,
                    headers=dict(response.headers),
                    text=await response.text(),
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def leader(self) -> str | None:
        """Returns the name of the leading replica, as an entry sees it."""
        for entry in self.entries:
            answer = await self.get(entry, "/v1/status")
            if answer is not None and answer.status == 200:
                return answer.json()["leader_id"]
        return None

    async def broken(self) -> tuple[checks.Broken, ...]:
        """Returns the invariants that `status --check` would name."""
        for entry in self.entries:
            answer = await self.get(entry, "/v1/status")
            if answer is not None and answer.status == 200:
                view = msgspec.json.decode(answer.text, type=queries.StatusView)
                return checks.evaluate(view)
        raise TimeoutError("no entry answers with the status")

    async def until_sound(self) -> None:
        """Waits until `status --check` names nothing broken.

        Raises:
          TimeoutError: If it still does; the message names what.
        """
        broken: tuple[checks.Broken, ...] | str = ()

        async def sound() -> bool:
            nonlocal broken
            try:
                broken = await self.broken()
            except TimeoutError as exc:
                broken = str(exc)
            return not broken

        try:
            await until(sound, SOUND_MS, "no invariant is broken")
        except TimeoutError as exc:
            raise TimeoutError(f"{exc}; broken: {broken}") from exc

    def written(self, name: str) -> list[journal_lib.Line]:
        """Returns what a fake wrote down."""
        return journal_lib.read(self.folder / f"{name}.jsonl")

    def all_written(self, kind: str) -> list[journal_lib.Line]:
        """Returns what all fakes of one kind (`w` or `p`) wrote down."""
        names = [name for name in self.children if name[0] == kind]
        lines = [line for name in names for line in self.written(name)]
        return sorted(lines, key=lambda line: line.monotonic_ms)

    def _add_replica(self, replica: settings.ReplicaAddress) -> None:
        cfg = self._settings(
            replica.id, settings.ProcessRole.REPLICA, replica.failure_domain
        )
        listen = settings.Listen(
            http=cfg.listen.http, grpc=replica.grpc, datagram=replica.datagram
        )
        self._add(
            msgspec.structs.replace(
                cfg,
                listen=listen,
                replica_id=replica.id,
                data_folder=str(self.folder / replica.id),
            )
        )

    def _add_agent(self, name: str, domain: str) -> None:
        cfg = self._settings(name, settings.ProcessRole.AGENT, domain)
        datagram = self._ports.udp()
        listen = msgspec.structs.replace(cfg.listen, datagram=datagram)
        self.agents[name] = msgspec.structs.replace(cfg, listen=listen)
        self._add(self.agents[name])
        for number in range(self.layout.endpoints):
            self._add_fake(
                f"p{name[1:]}{number + 1}",
                "fake_endpoint",
                name,
                domain,
                ["--service", SERVICE],
            )
        for number in range(self.layout.workers):
            self._add_fake(
                f"w{name[1:]}{number + 1}",
                "fake_worker",
                name,
                domain,
                ["--rack", f"{domain}-1", "--run-ms", str(self.layout.run_ms)],
            )

    def _add_fake(
        self, name: str, module: str, agent: str, domain: str, more: list[str]
    ) -> None:
        args = ["-m", f"extras.fakes.{module}", "--name", name]
        args += ["--agent", self.http[agent], "--failure-domain", domain]
        args += ["--journal", str(self.folder / f"{name}.jsonl"), *more]
        self.children[name] = processes.Child(name, args, self.folder)

    def _settings(
        self, name: str, role: settings.ProcessRole, domain: str
    ) -> settings.Settings:
        return settings.Settings(
            host=name,
            failure_domain=domain,
            roles=(role,),
            listen=settings.Listen(http=self._ports.tcp()),
            replicas=tuple(self._seen_by(name, r) for r in self.replicas),
            timing=self.layout.timing,
            log=self.layout.log,
        )

    def _seen_by(
        self, name: str, replica: settings.ReplicaAddress
    ) -> settings.ReplicaAddress:
        if self._wiring is None or replica.id == name:
            return replica
        return self._wiring(name, replica)

    def _add(self, cfg: settings.Settings) -> None:
        path = self.folder / f"{cfg.host}.toml"
        path.write_text(to_toml(cfg))
        args = ["-m", "bilberryroute", "run", "--settings", str(path)]
        self.children[cfg.host] = processes.Child(cfg.host, args, self.folder)
        self.http[cfg.host] = cfg.listen.http


async def until(
    holds: Callable[[], object], timeout_ms: int, what: str
) -> None:
    """Waits until an awaited condition holds.

    Raises:
      TimeoutError: If it does not in time; the message says what.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + clock_lib.seconds(timeout_ms)
    while not await holds():
        if loop.time() > deadline:
            raise TimeoutError(f"not within {timeout_ms} ms: {what}")
        await asyncio.sleep(clock_lib.seconds(POLL_MS))


def to_toml(cfg: settings.Settings) -> str:
    """Returns settings as TOML; JSON's scalars and lists are TOML's too."""
    plain = msgspec.to_builtins(cfg)
    lines = [
        f"{key} = {json.dumps(value)}"
        for key, value in plain.items()
        if not isinstance(value, dict) and key != "replicas"
    ]
    for key, value in plain.items():
        if isinstance(value, dict):
            lines += [f"[{key}]", *_pairs(value)]
    for replica in plain["replicas"]:
        lines += ["[[replicas]]", *_pairs(replica)]
    return "\n".join(lines) + "\n"


def _pairs(table: dict[str, object]) -> list[str]:
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]


def _replicas(
    layout: Layout, held: ports.Ports
) -> Iterator[settings.ReplicaAddress]:
    for number, domain in enumerate(layout.domains):
        yield settings.ReplicaAddress(
            id=f"r{number + 1}",
            grpc=held.tcp(),
            datagram=held.udp(),
            failure_domain=domain,
        )
