"""The agent role: its services and its HTTP server."""

from aiohttp import web
from mode import Service

from bilberryroute import context
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import renewal as renewal_lib
from bilberryroute.agent import tasks as tasks_lib
from bilberryroute.agent import workers as workers_lib

INCARNATION_BITS = 64


class AgentRole(Service):
    """Joins the agent's services on one blackboard.

    Attributes:
      board: The agent's blackboard.
      http: Address of the HTTP server once started, `ip:port`.
    """

    def __init__(self, cfg: settings.Settings, env: context.Environment):
        super().__init__()
        self.board = board_lib.new_board()
        self.http = cfg.listen.http
        self._cfg = cfg
        self._env = env
        self._runner: web.AppRunner | None = None
        identity = renewal_lib.Identity(
            agent=cfg.host,
            incarnation=f"{env.rng.getrandbits(INCARNATION_BITS):016x}",
            failure_domain=cfg.failure_domain,
        )
        self.workers = workers_lib.WorkerService(cfg, env, self.board)
        self.tasks = tasks_lib.TaskService(cfg, env, self.board, self.workers)
        self.renewal = renewal_lib.RenewalService(
            cfg, env, self.board, identity
        )

    def register(self, app: web.Application) -> None:
        """Adds the agent's handlers to an HTTP server."""
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        self.workers.register(app)

    async def on_start(self) -> None:
        """Opens the HTTP server, then starts the services."""
        app = web.Application(client_max_size=self._cfg.limits.body_bytes)
        self.register(app)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        host, port = renewal_lib.split_address(self._cfg.listen.http)
        await web.TCPSite(self._runner, host, port).start()
        bound = self._runner.addresses[0]
        self.http = f"{bound[0]}:{bound[1]}"
        self.renewal.http = self.http
        for service in (self.workers, self.tasks, self.renewal):
            await self.add_runtime_dependency(service)

    async def on_stop(self) -> None:
        """Closes the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def drain(self) -> None:
        """Takes nothing new and finishes what is in flight."""
        self.board.draining.set(True)

    async def _healthz(self, req: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _readyz(self, req: web.Request) -> web.Response:
        now = self._env.clock.now()
        leased = self.board.lease.get().left(now) > 0
        ready = leased and not self.board.draining.get()
        return web.json_response(
            {"ready": ready, "leased": leased}, status=200 if ready else 503
        )
