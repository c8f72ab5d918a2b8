"""Runs the roles of one process with one HTTP server."""

import asyncio
from typing import Protocol

import mode
from aiohttp import web

from bilberryroute import api
from bilberryroute import context
from bilberryroute import intake as intake_lib
from bilberryroute import lifecycle
from bilberryroute import logs
from bilberryroute import metrics as metrics_lib
from bilberryroute import rights as rights_lib
from bilberryroute import settings
from bilberryroute import starting
from bilberryroute.platform import settings as platform_settings
from bilberryroute.transport import http as http_lib


class RoleService(Protocol):
    """What every role offers besides being a `mode.Service`."""

    def register(self, app: web.Application) -> None:
        """Adds the role's routes."""

    def position(self) -> logs.Position:
        """Returns the term and revision that the role has seen."""

    def ready(self) -> bool:
        """Says whether the role can do its work now."""

    async def drain(self) -> None:
        """Returns once nothing in flight would be cut off by a stop."""


class Process(mode.Service):
    """One process with the roles that its settings name.

    Attributes:
      roles: The roles, in the order of starting.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        env: context.Environment,
        place: platform_settings.PlatformSettings | None = None,
    ):
        super().__init__()
        self._clock = env.clock
        self.metrics = metrics_lib.Metrics(env.began_ms)
        self._client = _platform_client(place)
        self.roles = [
            _role(r, cfg, env, self.metrics, self._client)
            for r in _ordered(cfg)
        ]
        self._platform_servers: list[mode.Service] = []
        if place is not None:
            self._platform_servers = _platform_servers(
                place, env, self.roles[0], self.metrics
            )
        app = self._application(cfg)
        self.metrics.refresh_with(self._refresh)
        self.http = http_lib.HttpServer(app, cfg.listen.http, cfg.limits)
        intake = intake_lib.Intake(cfg.limits)
        for server in (self.http, *self._platform_servers):
            if isinstance(server, http_lib.HttpServer):
                server.share(intake, env.clock, self.metrics)

    def _application(self, cfg: settings.Settings) -> web.Application:
        rights = rights_lib.load(cfg.tokens)
        app = api.new_application(cfg.limits, self.metrics, rights)
        probes = lifecycle.Lifecycle()
        probes.register(app)
        for name, role in zip(_ordered(cfg), self.roles, strict=True):
            probes.ready_when(name, role.ready)
            role.register(app)
        return app

    async def on_start(self) -> None:
        """Starts the roles, then listens."""
        self._record_start(starting.Part.LOADED)
        if self._client is not None:
            await self.add_runtime_dependency(self._client)
        for role in self.roles:
            await self.add_runtime_dependency(role)
        await self.add_runtime_dependency(self.http)
        for server in self._platform_servers:
            await self.add_runtime_dependency(server)
        self._record_start(starting.Part.SERVING)

    def _record_start(self, part: starting.Part) -> None:
        starting.record_end(part, self.metrics, self._clock.now())

    def position(self) -> logs.Position:
        """Returns the highest term and revision that a role has seen."""
        positions = [role.position() for role in self.roles]
        return logs.Position(
            term=max(each.term for each in positions),
            revision=max(each.revision for each in positions),
        )

    def _refresh(self, metrics: metrics_lib.Metrics) -> None:
        position = self.position()
        metrics.term.set({}, position.term)
        metrics.revision.set({}, position.revision)

    async def drain(self) -> None:
        """Prepares a stop that cuts off nothing in flight."""
        await asyncio.gather(*(role.drain() for role in self.roles))


def build(
    cfg: settings.Settings,
    env: context.Environment,
    place: platform_settings.PlatformSettings | None = None,
) -> Process:
    """Returns the process that the settings describe, not yet started.

    Args:
      cfg: The settings.
      env: The process's surroundings.
      place: Settings given by the platform, if the process runs on one.
    """
    return Process(cfg, env, place)


def _ordered(cfg: settings.Settings) -> list[settings.ProcessRole]:
    """Returns the roles with those first that others depend on."""
    order = (
        settings.ProcessRole.REPLICA,
        settings.ProcessRole.AGENT,
        settings.ProcessRole.ENTRY,
    )
    return [role for role in order if role in cfg.roles]


def _role(
    role: settings.ProcessRole,
    cfg: settings.Settings,
    env: context.Environment,
    metrics: metrics_lib.Metrics,
    client: mode.Service | None,
) -> RoleService:
    """Builds one role; imports it late, so that unused roles cost no memory."""
    match role:
        case settings.ProcessRole.REPLICA if not cfg.data_folder:
            from bilberryroute.entry import referrals

            return referrals.ReferralRole(cfg, env, metrics)
        case settings.ProcessRole.REPLICA:
            from bilberryroute.replica import service as replica_service

            return replica_service.ReplicaRole(cfg, env, metrics, client)
        case settings.ProcessRole.AGENT:
            from bilberryroute.agent import service as agent_service

            return agent_service.AgentRole(cfg, env, metrics, client)
        case settings.ProcessRole.ENTRY:
            from bilberryroute.entry import service as entry_service

            return entry_service.EntryRole(cfg, env, metrics)


def _platform_client(
    place: platform_settings.PlatformSettings | None,
) -> mode.Service | None:
    """Returns what a role asks of the platform: its worker, or advice."""
    if place is None:
        return None
    match place.settings.roles[0]:
        case settings.ProcessRole.AGENT:
            from bilberryroute.platform import workers

            return workers.WorkerClient()
        case settings.ProcessRole.REPLICA if place.advisor:
            from bilberryroute.platform import advice

            return advice.AdviceClient(place.advisor)
    return None


def _platform_servers(
    place: platform_settings.PlatformSettings,
    env: context.Environment,
    role: RoleService,
    metrics: metrics_lib.Metrics,
) -> list[mode.Service]:
    """Returns the servers towards the platform; imported late, as roles are."""
    match place.settings.roles[0]:
        case settings.ProcessRole.REPLICA:
            from bilberryroute.platform import operators

            return operators.services(place, role, env, metrics)
        case settings.ProcessRole.AGENT:
            from bilberryroute.platform import announcements

            return announcements.services(place, role, metrics)
        case settings.ProcessRole.ENTRY:
            from bilberryroute.platform import callers

            return callers.services(place, role, env, metrics)
