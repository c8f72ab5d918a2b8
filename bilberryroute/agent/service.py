"""The agent role: its services joined on one blackboard."""

import mode
from aiohttp import web

from bilberryroute import context
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import endpoints as endpoints_lib
from bilberryroute.agent import renewal as renewal_lib
from bilberryroute.agent import requests as requests_lib
from bilberryroute.agent import tasks as tasks_lib
from bilberryroute.agent import workers as workers_lib

INCARNATION_BITS = 64


class AgentRole(mode.Service):
    """Joins the agent's services.

    Attributes:
      board: The agent's blackboard.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self.board = board_lib.new_board()
        self._clock = env.clock
        identity = renewal_lib.Identity(
            agent=cfg.host,
            incarnation=f"{env.rng.getrandbits(INCARNATION_BITS):016x}",
            failure_domain=cfg.failure_domain,
        )
        self.workers = workers_lib.WorkerService(cfg, env, self.board)
        self.tasks = tasks_lib.TaskService(cfg, env, self.board, self.workers)
        self.endpoints = endpoints_lib.EndpointService(
            cfg, self.board, env.clock
        )
        self.requests = requests_lib.RequestService(
            cfg, self.board, env.clock, identity.incarnation, metrics
        )
        self.renewal = renewal_lib.RenewalService(
            cfg, env, self.board, identity
        )
        metrics.refresh_with(self._refresh)

    def register(self, app: web.Application) -> None:
        """Adds the routes for workers, endpoints and entries."""
        self.workers.register(app)
        self.endpoints.register(app)
        self.requests.register(app)

    def ready(self) -> bool:
        """Says whether the agent may start work."""
        leased = self.board.lease.get().left(self._clock.now()) > 0
        return leased and not self.board.draining.get()

    async def drain(self) -> None:
        """Takes nothing new and finishes what is in flight."""
        self.board.draining.set(True)
        await self.requests.drain()

    async def on_start(self) -> None:
        """Starts the services; the renewal last, so that it reports all."""
        for service in (
            self.endpoints,
            self.requests,
            self.workers,
            self.tasks,
            self.renewal,
        ):
            await self.add_runtime_dependency(service)

    def _refresh(self, metrics: metrics_lib.Metrics) -> None:
        left = self.board.lease.get().left(self._clock.now())
        metrics.lease_left_ms.set({"lease": "agent"}, left)
        metrics.revision.set({}, self.board.desired.get().revision)
