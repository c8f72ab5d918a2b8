"""A leader, agents and workers whose capacities change, in virtual time.

The agents, their renewals, the leader's controller and its leases are the real
ones. Workers are simulated, and so are the datagrams and the replicated log.
"""

import asyncio
import dataclasses
import random

from bilberryroute import clock as clock_lib
from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import batch as agent_batch
from bilberryroute.agent import board as agent_board
from bilberryroute.agent import renewal
from bilberryroute.consensus import records as log_records
from bilberryroute.model import batch
from bilberryroute.replica import advice
from bilberryroute.replica import batch as replica_batch
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import leases
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import proposer as proposer_lib
from bilberryroute.state import machine as machine_lib
from tests.agent import unguarded_worker
from tests.utils import batches
from tests.utils import environment
from tests.utils import virtual_time

CAPACITIES = tuple(
    batch.Resources(
        cpu_millis=4_000 * accelerators,
        memory_mb=8_000 * accelerators,
        accelerators=accelerators,
    )
    for accelerators in (8, 6, 4, 2, 0)
)
DATAGRAM_MS = (1, 20)
COMMIT_MS = (5, 30)
LAPSE_CHECK_MS = 20


class Network:
    """Carries datagrams with delays; loses some.

    Attributes:
      loss: Share of datagrams that are lost.
    """

    def __init__(self, rng: random.Random):
        self.loss = 0.0
        self._rng = rng

    def deliver(self, receive, *arguments) -> None:
        """Calls `receive` after a delay, or never."""
        if self._rng.random() >= self.loss:
            delay_s = clock_lib.seconds(self._rng.randint(*DATAGRAM_MS))
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, receive, *arguments)


class _Socket:
    """The sending side of a socket that always takes a message."""

    def __init__(self, send):
        self._send = send

    def send(self, message, address) -> bool:
        self._send(message, address)
        return True

    def close(self) -> None:
        pass


class SharedLog:
    """A replicated log without replicas; one leader at a time writes it.

    Attributes:
      machine: The state machine that it drives.
      term: Present term.
    """

    def __init__(self, rng: random.Random):
        self.machine = machine_lib.StateMachine()
        self.term = 0
        self.applied_index = 0
        self._rng = rng

    def apply(self, payload: bytes):
        """Appends a command and applies it."""
        self.applied_index += 1
        return self.machine.apply(self.applied_index, self.term, payload)

    def delay_s(self) -> float:
        """Returns how long the next commit takes."""
        return clock_lib.seconds(self._rng.randint(*COMMIT_MS))


@dataclasses.dataclass(slots=True)
class _Applied:
    """Result of a command."""

    result: object


class _Member:
    """The leader's member of the group, and its leadership."""

    def __init__(self, log: SharedLog):
        self.term = log.term
        self.leader_id = "local"
        self._log = log

    @property
    def applied_index(self) -> int:
        return self._log.applied_index

    def members(self) -> tuple[log_records.Member, ...]:
        return ()

    def active(self) -> bool:
        return self.term == self._log.term

    async def propose(self, payload: bytes) -> _Applied:
        await asyncio.sleep(self._log.delay_s())
        return _Applied(result=self._log.apply(payload))


class _Advisor:
    """Allows every worker, after a while."""

    async def advise(self, step, workers) -> advice.Advice:
        await asyncio.sleep(0.2)
        permits = dict.fromkeys(workers, "permit")
        return advice.Advice(permits=permits, valid_ms=5_000)


class _Leases(leases.LeaseService):
    """Lease service on the simulated network."""

    def __init__(self, parts, transport: _Socket):
        super().__init__(parts)
        self._link = transport

    async def on_start(self) -> None:
        self._socket = self._link


class _Renewals(renewal.RenewalService):
    """Renewals on the simulated network."""

    def __init__(self, *arguments, transport: _Socket):
        super().__init__(*arguments)
        self._link = transport

    async def on_start(self) -> None:
        self._socket = self._link


class Leader:
    """The leader of one term."""

    def __init__(self, site: "Site"):
        cfg = embedded.embedded_settings("unused")
        parts = parts_lib.build(
            cfg, site.clock, site.rng, metrics_lib.Metrics()
        )
        member = _Member(site.log)
        self.parts = dataclasses.replace(
            parts,
            machine=site.log.machine,
            group=member,
            leadership=member,
            proposer=proposer_lib.Proposer(
                member, site.clock, metrics_lib.Metrics()
            ),
        )
        parts.board.term.set(
            board_lib.LeaderTerm(number=site.log.term, began=site.clock.now())
        )
        self.leases = _Leases(self.parts, _Socket(site.send_grant))
        self.controller = replica_batch.BatchController(
            self.parts, self.leases, metrics_lib.Metrics(), _Advisor()
        )

    async def start(self) -> None:
        await self.leases.start()
        await self.controller.start()

    async def stop(self) -> None:
        await self.controller.stop()
        await self.leases.stop()


class AgentProcess:
    """The agent of one host, from its start to its end."""

    def __init__(self, site: "Site", host: str):
        env = environment.fake_environment(clock=site.agent_clocks[host])
        env.rng = random.Random(site.rng.getrandbits(32))
        cfg = settings.Settings(
            host=host,
            failure_domain="apapa",
            roles=(settings.ProcessRole.AGENT,),
            replicas=embedded.embedded_settings("unused").replicas,
        )
        board = agent_board.new_board()
        metrics = metrics_lib.Metrics()
        identity = renewal.AgentIdentity(
            agent=host,
            incarnation=f"{env.rng.getrandbits(32)}",
            failure_domain="apapa",
        )
        self.batch = agent_batch.BatchAgent(
            cfg, env, board, site.workers[host], metrics
        )
        self.renewal = _Renewals(
            cfg,
            env,
            board,
            identity,
            metrics,
            transport=_Socket(
                lambda payload, address: site.send_renewal(host, payload)
            ),
        )

    async def start(self) -> None:
        await self.batch.start()
        await self.renewal.start()

    async def stop(self) -> None:
        await self.renewal.stop()
        await self.batch.stop()


class Site:
    """Four hosts in two racks, each with an agent and a worker.

    Attributes:
      agent_clocks: Clocks of the agents by host.
      workers: Workers by host.
      agents: Running agents by host.
      leader: Present leader, or None during a change.
    """

    HOSTS = ("a-w1", "a-w2", "a-w3", "a-w4")

    def __init__(self, seed: int, loop: virtual_time.VirtualTimeLoop):
        self.rng = random.Random(seed)
        self.clock = virtual_time.VirtualClock(loop)
        self.agent_clocks = dict.fromkeys(self.HOSTS, self.clock)
        self.log = SharedLog(self.rng)
        self.network = Network(self.rng)
        self.chaos = unguarded_worker.Chaos()
        self.workers = {
            host: self._new_worker(host, rack=f"r{index // 2}")
            for index, host in enumerate(self.HOSTS)
        }
        self.agents: dict[str, AgentProcess] = {}
        self.leader: Leader | None = None
        self._tasks: list[asyncio.Task] = []

    def _new_worker(
        self, host: str, rack: str
    ) -> unguarded_worker.UnguardedWorker:
        return unguarded_worker.UnguardedWorker(
            host,
            rack=rack,
            capacity=CAPACITIES[0],
            rng=self.rng,
            clock=self.clock,
            chaos=self.chaos,
            need_of=self._need_of,
        )

    @property
    def batch_state(self) -> batch.BatchState:
        """State of all jobs."""
        return self.log.machine.state.batch

    def submit(self, job_id: str, content: batch.Content, queue: str) -> None:
        """Submits a job."""
        submitter = batches.Log()
        submitter.machine = self.log.machine
        submitter.index = self.log.applied_index
        submitter.now = self.clock.wall()
        submitter.submit(job_id, content, queue)
        self.log.applied_index = submitter.index

    def cancel(self, job_id: str) -> None:
        """Cancels a job."""
        canceller = batches.Log()
        canceller.machine = self.log.machine
        canceller.index = self.log.applied_index
        canceller.now = self.clock.wall()
        canceller.cancel(job_id, self.batch_state.jobs[job_id].queue)
        self.log.applied_index = canceller.index

    async def start(self) -> None:
        """Starts the leader, all agents and all workers."""
        self.log.term = 1
        writer = batches.Log()
        self.log.machine = writer.machine
        self.log.applied_index = writer.index
        self.leader = Leader(self)
        await self.leader.start()
        for host, worker in self.workers.items():
            worker.announce_to = lambda each, host=host: self._announce(
                host, each
            )
            await self.start_agent(host)
            self._tasks.append(asyncio.create_task(worker.announce_forever()))
        self._tasks.append(asyncio.create_task(self._end_lapsed()))

    async def stop(self) -> None:
        """Stops everything."""
        for task in self._tasks:
            task.cancel()
        for host in list(self.agents):
            await self.stop_agent(host)
        if self.leader is not None:
            await self.leader.stop()

    async def start_agent(self, host: str) -> None:
        """Starts the agent of a host."""
        self.workers[host].heard_from_ms = 0
        self.agents[host] = AgentProcess(self, host)
        await self.agents[host].start()

    async def stop_agent(self, host: str) -> None:
        """Ends the agent of a host without notice."""
        await self.agents.pop(host).stop()

    def withdraw_worker(self, host: str) -> None:
        """Ends the worker of a host after it has told its agent."""
        worker = self.workers[host]
        if host in self.agents:
            self.agents[host].batch.withdraw(worker.name)
        worker.crash()

    async def change_leader(self, pause_ms: int) -> None:
        """Replaces the leader after a pause without one."""
        former, self.leader = self.leader, None
        self.log.term += 1
        await former.stop()
        await asyncio.sleep(clock_lib.seconds(pause_ms))
        self.leader = Leader(self)
        await self.leader.start()

    def send_renewal(self, host: str, payload: bytes) -> None:
        """Sends a renewal to the present leader."""
        self.network.deliver(self._receive_renewal, host, payload)

    def _receive_renewal(self, host: str, payload: bytes) -> None:
        if self.leader is not None:
            self.leader.leases.on_datagram(payload, (host, 0))

    def send_grant(self, payload: bytes, address: tuple[str, int]) -> None:
        """Sends a grant to the agent of a host."""
        self.network.deliver(self._receive_grant, address[0], payload)

    def _receive_grant(self, host: str, payload: bytes) -> None:
        if host in self.agents:
            self.agents[host].renewal.receive(payload)

    def _announce(self, host: str, announcement) -> bool:
        if host in self.agents:
            self.agents[host].batch.announce(announcement)
        return host in self.agents

    async def _end_lapsed(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.seconds(LAPSE_CHECK_MS))
            for worker in self.workers.values():
                worker.end_lapsed()

    def _need_of(self, task: batch.TaskId) -> batch.Resources:
        content = self.batch_state.jobs[task.job_id].content
        return batch.task_demand(content.steps[task.step])
