"""The replica role: replicated log, and the leader's controllers."""

import grpc
import mode
from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute import context
from bilberryroute import errors
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.model import commands
from bilberryroute.model import jobs
from bilberryroute.replica import admission as admission_lib
from bilberryroute.replica import advice as advice_lib
from bilberryroute.replica import batch as batch_lib
from bilberryroute.replica import control as control_lib
from bilberryroute.replica import endpoints as endpoint_lib
from bilberryroute.replica import jobs as job_lib
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import queries as query_lib
from bilberryroute.replica import repair as repair_lib
from bilberryroute.replica import workers as worker_lib

GRPC_STOP_SECONDS = 1.0
FAILURE_CHECK_MS = clock_lib.Millis(200)

_SERVER_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.so_reuseport", 0),
)


class ReplicaRole(mode.Service):
    """Runs the services of one replica.

    Attributes:
      parts: Components that the replica's services share.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        metrics: metrics_lib.Metrics,
        advisor: advice_lib.Advisor | None = None,
    ):
        super().__init__()
        self._cfg = cfg
        self._metrics = metrics
        self.parts = parts_lib.build(cfg, env.clock, env.rng, metrics)
        self._server: grpc.aio.Server | None = None
        self.parts.machine.listeners.append(self._count_command)
        controller = job_lib.JobController(self.parts)
        query_handler = query_lib.QueryHandler(self.parts, controller)
        leases = lease_lib.LeaseService(self.parts)
        batches = batch_lib.BatchController(
            self.parts, leases, metrics, advisor
        )
        admission = admission_lib.Admission(self.parts, batches.typical_ms)
        self._control = control_lib.ControlService(
            self.parts, query_handler, admission.propose
        )
        self._services = (
            self.parts.group,
            self.parts.leadership,
            controller,
            leases,
            batches,
            repair_lib.RepairController(self.parts),
            worker_lib.WorkerController(self.parts),
            endpoint_lib.EndpointController(self.parts),
            self._control,
        )
        metrics.refresh_with(self._refresh_gauges)

    def register(self, app: web.Application) -> None:
        """Adds no routes: a replica serves only health and metrics by HTTP."""

    def ready(self) -> bool:
        """Returns whether this replica knows a leader, or leads."""
        return self.parts.group.leader_id is not None

    async def drain(self) -> None:
        """Transfers leadership, which avoids an election timeout."""
        await self.parts.group.hand_over()

    async def on_start(self) -> None:
        """Starts the gRPC server, then the services in order of dependency."""
        self._server = grpc.aio.server(options=_SERVER_OPTIONS)
        self.parts.group.register(self._server)
        self._control.register(self._server)
        self._server.add_insecure_port(self._cfg.listen.grpc)
        await self._server.start()
        for service in self._services:
            await self.add_runtime_dependency(service)

    @mode.Service.task
    async def _exit_after_failure(self) -> None:
        """Ends the process after a failure that only a restart can mend.

        A replica whose disk failed stays up, and goes on once the disk works.
        """
        while self._cfg.group.repairs_itself and not self.should_stop:
            await self.sleep(clock_lib.seconds(FAILURE_CHECK_MS))
            failure = self.parts.group.failure
            if failure and not isinstance(failure, errors.DiskFailing):
                raise failure

    async def on_stop(self) -> None:
        """Stops the gRPC server."""
        if self._server is not None:
            await self._server.stop(GRPC_STOP_SECONDS)

    def _refresh_gauges(self, metrics: metrics_lib.Metrics) -> None:
        """Sets the gauges that are computed only when metrics are read."""
        group = self.parts.group
        metrics.log_index.set({"point": "committed"}, group.commit_index)
        metrics.log_index.set({"point": "applied"}, group.applied_index)
        metrics.leading.set({}, int(group.is_leader()))
        metrics.halted.set({}, int(group.failure is not None))
        phases = [r.phase for r in self.parts.machine.state.jobs.values()]
        queued = phases.count(jobs.JobPhase.QUEUED)
        metrics.queue_length.set({"queue": "jobs"}, queued)

    def _count_command(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        """Counts an applied command."""
        labels = {
            "kind": type(command).__name__,
            "result": type(result).__name__,
        }
        self._metrics.commands.inc(labels)

    def position(self) -> logs.Position:
        """Returns this replica's term and last applied revision."""
        return logs.Position(
            term=self.parts.group.term,
            revision=self.parts.machine.state.configuration.revision,
        )
