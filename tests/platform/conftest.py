"""A whole system on loopback, reached over the platform's adapter."""

import asyncio
import contextlib
import itertools
import random

import aiohttp
import pytest

from bilberryroute import context
from bilberryroute import process
from bilberryroute import settings
from bilberryroute.platform import settings as platform_settings
from extras.fakes import fake_runner
from tests.utils import ports

ROLES = (
    settings.ProcessRole.REPLICA,
    settings.ProcessRole.AGENT,
    settings.ProcessRole.ENTRY,
)
HOST = "h.example"
KEY = "k" * 20
DEADLINE_S = 15.0
# How long a crashed worker is away.
RESTART_S = 0.3

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r1",
            "host": HOST,
            "pathPrefix": "/plan/",
            "service": "gang-alloc",
            "timeoutMs": 3_000,
            "priority": 1,
            "maxAttempts": 2,
            "slackFactor": 3.0,
        }
    ],
    "services": [{"name": "gang-alloc", "admissionCheck": True}],
    "tenants": [{"name": "t1", "apiKeys": [KEY], "guaranteedGpus": {"gpu": 4}}],
}


class Site:
    """One replica, one entry, one agent and a fake worker in this process.

    Attributes:
      table: What the worker holds.
      processes: Our processes by role.
    """

    def __init__(self, tmp_path):
        self._tmp_path = tmp_path
        self._addresses = {
            name: ports.free_address()
            for name in ("callers", "readiness", "control", "worker")
        }
        listen = settings.Listen(
            http=ports.free_address(),
            grpc=ports.free_address(),
            datagram=ports.free_address(),
        )
        self._replica = settings.ReplicaAddress(
            id="r-1", grpc=listen.grpc, datagram=listen.datagram
        )
        self._listen = listen
        self.table = fake_runner.RunTable(run_ms=150, room=8)
        self.processes = {}

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        for role in ROLES:
            await self.start_role(role, stack)
        task = asyncio.create_task(self._run_worker())
        stack.callback(task.cancel)
        self.session = await stack.enter_async_context(aiohttp.ClientSession())

    async def _run_worker(self) -> None:
        """Runs the worker, under another name after each crash."""
        for life in itertools.count(1):
            runner = fake_runner.FakeRunner(
                f"i{life}",
                self._addresses["worker"],
                "apapa",
                "gang-alloc",
                self.table,
            )
            await runner.run()
            await asyncio.sleep(RESTART_S)
            self.table.restart()

    async def start_role(self, role, stack) -> None:
        place = self._place(role)
        env = context.Environment(rng=random.Random(7))
        running = process.build(place.settings, env, place)
        await running.start()
        stack.push_async_callback(running.stop)
        self.processes[role] = running

    def _place(self, role) -> platform_settings.PlatformSettings:
        is_replica = role == settings.ProcessRole.REPLICA
        listen = settings.Listen(http=ports.free_address())
        cfg = settings.Settings(
            host=f"host-{role}",
            failure_domain="apapa",
            roles=(role,),
            replica_id="r-1" if is_replica else "",
            data_folder=str(self._tmp_path) if is_replica else "",
            listen=self._listen if is_replica else listen,
            replicas=(self._replica,),
            timing=settings.Timing(balancer_lag_ms=0),
        )
        control = "worker" if role == settings.ProcessRole.AGENT else "control"
        addresses = platform_settings.ApiAddresses(
            callers=self._addresses["callers"],
            readiness=self._addresses["readiness"],
            control=self._addresses[control],
        )
        return platform_settings.PlatformSettings(
            settings=cfg, addresses=addresses
        )

    async def call(self, method, api, path, body=None, key=KEY, data=None):
        """Returns status and body of one call to an API."""
        headers = {"Host": HOST}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        async with self.session.request(
            method,
            f"http://{self._addresses[api]}{path}",
            json=body,
            data=data,
            headers=headers,
        ) as resp:
            text = await resp.read()
            is_json = resp.content_type.endswith("json")
            return resp.status, (await resp.json()) if is_json else text

    async def until(self, method, api, path, expected, **more):
        """Repeats a call until it answers as expected."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                answer = await self.call(method, api, path, **more)
                if answer == expected:
                    return
                await asyncio.sleep(0.05)


@pytest.fixture
async def site(tmp_path):
    """A running site with the first configuration in force."""
    async with contextlib.AsyncExitStack() as stack:
        made = Site(tmp_path)
        await made.start(stack)
        await made.until(
            "PUT", "control", "/bilberryroute/config", (200, {}), body=CONFIG
        )
        yield made
