"""The agent role: its services, connected by one blackboard."""

from aiohttp import web
from mode import Service

from bilberryroute import context
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import batch as batch_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import endpoints as endpoints_lib
from bilberryroute.agent import renewal as renewal_lib
from bilberryroute.agent import requests as requests_lib
from bilberryroute.agent import tasks as tasks_lib
from bilberryroute.agent import worker_port
from bilberryroute.agent import workers as workers_lib

INCARNATION_BITS = 64


class AgentRole(Service):
    """Builds and runs the agent's services.

    Attributes:
      board: The agent's blackboard.
      incarnation: Differs at every start of the process.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        metrics: metrics_lib.Metrics,
        port: worker_port.WorkerPort | None = None,
    ):
        super().__init__()
        self.board = board_lib.new_board()
        self.incarnation = f"{env.rng.getrandbits(INCARNATION_BITS):016x}"
        self._clock = env.clock
        identity = renewal_lib.AgentIdentity(
            agent=cfg.host,
            incarnation=self.incarnation,
            failure_domain=cfg.failure_domain,
        )
        self.endpoints = endpoints_lib.EndpointService(
            cfg, self.board, env.clock
        )
        self.requests = requests_lib.RequestService(
            cfg, self.board, env.clock, self.incarnation, metrics
        )
        self.workers = workers_lib.WorkerService(cfg, env, self.board)
        self.tasks = tasks_lib.TaskService(
            cfg, env, self.board, self.workers, metrics
        )
        self.renewal = renewal_lib.RenewalService(
            cfg, env, self.board, identity, metrics
        )
        self.batch: batch_lib.BatchAgent | None = None
        if port is not None:
            self.batch = batch_lib.BatchAgent(
                cfg, env, self.board, port, metrics
            )
        metrics.refresh_with(self._refresh)

    def register(self, app: web.Application) -> None:
        """Adds the agent's routes."""
        self.endpoints.register(app)
        self.requests.register(app)
        self.workers.register(app)

    def ready(self) -> bool:
        """Returns whether the agent holds a lease and does not drain."""
        leased = self.board.lease.get().left(self._clock.now()) > 0
        return leased and not self.board.draining.get()

    async def drain(self) -> None:
        """Refuses new requests and waits for those in flight."""
        self.board.draining.set(True)
        await self.requests.drain()

    async def on_start(self) -> None:
        """Starts the services; only the batch agent starts after renewals."""
        for service in (
            self.endpoints,
            self.requests,
            self.workers,
            self.tasks,
            self.renewal,
        ):
            await self.add_runtime_dependency(service)
        if self.batch is not None:
            await self.add_runtime_dependency(self.batch)

    def _refresh(self, metrics: metrics_lib.Metrics) -> None:
        """Updates the gauges that are computed when metrics are read."""
        lease = self.board.lease.get()
        left = lease.left(self._clock.now())
        metrics.lease_left_ms.set({"lease": "agent"}, left)
        for name, running in self.board.running.get().items():
            metrics.in_flight.set({"endpoint": name}, running)
        metrics.draining.set({}, int(self.board.draining.get()))

    def position(self) -> logs.Position:
        """Returns the term of the lease and the revision applied here."""
        return logs.Position(
            term=self.board.lease.get().term,
            revision=self.board.desired.get().revision,
        )
