"""The entry role: HTTP API for callers and operators."""

import mode
from aiohttp import web

from bilberryroute import context
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import batch as batch_lib
from bilberryroute.entry import batch_api
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import control as control_lib
from bilberryroute.entry import operators as operators_lib
from bilberryroute.entry import replicas as replica_routes
from bilberryroute.entry import requests as requests_lib


class EntryRole(mode.Service):
    """Combines the services of one entry.

    Attributes:
      board: Blackboard shared by the services.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._clock = env.clock
        self.board = board_lib.new_board()
        self.control = control_lib.ControlClient(
            cfg, self.board, env.clock, env.rng, metrics
        )
        self.requests = requests_lib.RequestService(
            cfg, self.board, self.control, env.clock, env.rng, metrics
        )
        self.operators = operators_lib.OperatorService(
            cfg, self.board, self.control, env.clock, env.rng, metrics
        )
        self.replicas = replica_routes.ReplicaRoutes(cfg.limits, self.control)
        self.batch = batch_lib.BatchClient(
            self.control, cfg.timing, env.clock, metrics
        )
        self.batch_routes = batch_api.BatchRoutes(cfg.limits, self.batch)
        metrics.refresh_with(self._update_gauges)

    def register(self, app: web.Application) -> None:
        """Adds the routes under `/v1`."""
        self.requests.register(app)
        self.operators.register(app)
        self.replicas.register(app)
        self.batch_routes.register(app)

    def _update_gauges(self, metrics: metrics_lib.Metrics) -> None:
        """Called whenever the metrics are read."""
        metrics.in_flight.set({"service": "all"}, self.requests.in_flight)
        for service, length in self.requests.queue_lengths().items():
            metrics.queue_length.set({"queue": service}, length)
        metrics.draining.set({}, int(self.board.draining.get()))

    def ready(self) -> bool:
        """Returns whether the load balancer may send callers to this entry."""
        if self.board.draining.get():
            return False
        return self.board.configuration.get().revision > 0

    def ready_for_batch(self) -> bool:
        """Returns whether the entry may serve batch calls.

        It may if it is not draining and the leader was seen recently.
        """
        leader_seen_ms = self.board.leader_seen_ms.get()
        silent_ms = self._clock.now() - leader_seen_ms
        return (
            not self.board.draining.get()
            and leader_seen_ms > 0
            and silent_ms < control_lib.WATCH_TIMEOUT_MS
        )

    async def drain(self) -> None:
        """Accepts requests for the load balancer's lag, then finishes all."""
        await self.requests.drain()

    async def on_start(self) -> None:
        """Starts the control client, then the services that use it."""
        for service in (self.control, self.operators, self.requests):
            await self.add_runtime_dependency(service)

    def position(self) -> logs.Position:
        """Returns the term and revision that this entry has seen."""
        return logs.Position(
            term=self.board.term.get(),
            revision=self.board.configuration.get().revision,
        )
