"""The replica role: replicated log, and the leader's controllers."""

import grpc
import mode
from aiohttp import web

from bilberryroute import context
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import group as group_lib
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import control as control_lib
from bilberryroute.replica import desired as desired_lib
from bilberryroute.replica import endpoints as endpoint_lib
from bilberryroute.replica import jobs as job_lib
from bilberryroute.replica import leadership as leadership_lib
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import proposer as proposer_lib
from bilberryroute.replica import queries as query_lib
from bilberryroute.replica import workers as worker_lib
from bilberryroute.state import machine as machine_lib

GRPC_STOP_SECONDS = 1.0

_SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.so_reuseport", 0),
)


class ReplicaRole(mode.Service):
    """Joins the services of one replica.

    Attributes:
      board: What the leader observes.
      group: This replica's part in the replicated log.
      machine: The state machine that the log drives.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._cfg = cfg
        self.board = board_lib.new_board()
        self.machine = machine_lib.StateMachine()
        self.group = group_lib.ReplicaGroup(
            _group_config(cfg), self.machine, env.clock, env.rng
        )
        self._server: grpc.aio.Server | None = None
        self._join(env)
        metrics.refresh_with(self._refresh)
        self._metrics = metrics
        self.machine.listeners.append(self._count)

    def _join(self, env: context.Environment) -> None:
        """Builds the controllers; all share the board."""
        cfg, board, group = self._cfg, self.board, self.group
        machine, clock = self.machine, env.clock
        desired = desired_lib.DesiredStates()
        proposer = proposer_lib.Proposer(group, clock)
        self._leadership = leadership_lib.Leadership(
            board, group, desired, clock
        )
        self._jobs = job_lib.JobController(
            cfg,
            board,
            group,
            self._leadership,
            machine,
            desired,
            proposer,
            clock,
            env.rng,
        )
        self._leases = lease_lib.LeaseService(
            cfg, board, group, self._leadership, machine, desired, clock
        )
        self._workers = worker_lib.WorkerController(
            cfg, board, self._leadership, machine, proposer, clock
        )
        self._endpoints = endpoint_lib.EndpointController(
            cfg, board, self._leadership, clock
        )
        desk = query_lib.QueryDesk(
            cfg, board, group, machine, self._jobs, clock
        )
        self._control = control_lib.ControlService(
            cfg, board, group, self._leadership, machine, proposer, desk, clock
        )

    def register(self, app: web.Application) -> None:
        """Adds no routes: a replica's HTTP is health and metrics only."""

    def ready(self) -> bool:
        """Says whether this replica follows or leads."""
        return self.group.leader_id is not None

    async def drain(self) -> None:
        """Leaves at once: other replicas take over."""

    async def on_start(self) -> None:
        """Starts the log, then what depends on it."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        self.group.register(self._server)
        self._control.register(self._server)
        self._server.add_insecure_port(self._cfg.listen.grpc)
        await self._server.start()
        for service in (
            self.group,
            self._leadership,
            self._jobs,
            self._leases,
            self._workers,
            self._endpoints,
            self._control,
        ):
            await self.add_runtime_dependency(service)

    async def on_stop(self) -> None:
        """Stops serving entries and other replicas."""
        if self._server is not None:
            await self._server.stop(GRPC_STOP_SECONDS)

    def _refresh(self, metrics: metrics_lib.Metrics) -> None:
        """Sets the gauges that are read only when asked for."""
        group = self.group
        metrics.log_index.set({"point": "committed"}, group.commit_index)
        metrics.log_index.set({"point": "applied"}, group.applied_index)
        metrics.leading.set({}, int(group.is_leader()))
        phases = [r.phase for r in self.machine.state.jobs.values()]
        queued = phases.count(jobs.JobPhase.QUEUED)
        metrics.queue_length.set({"queue": "jobs"}, queued)

    def _count(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        labels = {
            "kind": type(command).__name__,
            "result": type(result).__name__,
        }
        self._metrics.commands.inc(labels)

    def position(self) -> logs.Position:
        """Returns this replica's term and the revision that it has applied."""
        return logs.Position(
            term=self.group.term,
            revision=self.machine.state.configuration.revision,
        )


def _group_config(cfg: settings.Settings) -> group_lib.GroupConfig:
    return group_lib.GroupConfig(
        replica_id=cfg.replica_id,
        members=cfg.replicas,
        data_folder=cfg.data_folder,
        timing=cfg.timing,
        log=cfg.log,
    )
