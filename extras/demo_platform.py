"""Walks a batch job over the users' platform's interfaces, on loopback.

Starts a replica, an entry and an agent as the platform would, and beside the
agent a stand-in of the platform's worker.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys
import tempfile

import aiohttp
import msgspec

from bilberryroute.platform import settings as platform_settings

HOST = "jobs.example"
KEY = "demo-key-0123456789ab"
JOB = "5c0e7a21d94b36f8"
PORTS = 16
DEADLINE_S = 20.0
POLL_S = 0.1

CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "rosters",
            "host": HOST,
            "pathPrefix": "/rosters/",
            "service": "gang-alloc",
            "timeoutMs": 3_000,
            "priority": 1,
            "maxAttempts": 2,
            "slackFactor": 3.0,
        }
    ],
    "services": [{"name": "gang-alloc"}],
    "tenants": [{"name": "waterfront", "apiKeys": [KEY]}],
}
WORK = {
    "spec": "berth 3",
    "steps": [
        {"count": 4, "cpu": 500, "memRequestMb": 64, "gpu": 1, "gang": True},
        {"count": 2, "cpu": 500, "memRequestMb": 64, "dependsOn": [0]},
    ],
}

SETTINGS = """\
nodeName = "demo"
ip = "127.0.0.1"
zone = "local"
region = "local"
internalPorts = [{first},{last}]
seedNodes = ["127.0.0.1:{control}"]
bootstrap = true
dataDir = "{folder}"
[listenAddrs]
frontendAddr = "127.0.0.1:{callers}"
readinessAddr = "127.0.0.1:{readiness}"
controlPlane = "127.0.0.1:{control}"
"""


def _free_range() -> int:
    """Returns the first of some ports that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1] - PORTS


def _write(folder: pathlib.Path, role: str, first: int) -> str:
    control = first + (12 if role == "replica" else 13)
    path = folder / f"{role}.toml"
    path.write_text(
        SETTINGS.format(
            first=first,
            last=first + PORTS - 1,
            control=control,
            callers=first + 10,
            readiness=first + 11,
            folder=folder,
        )
    )
    return str(path)


async def _start(stack: contextlib.AsyncExitStack, *args: str, **env: str):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *args,
        env=os.environ | env,
        stdout=asyncio.subprocess.DEVNULL,
    )
    stack.push_async_callback(process.wait)
    stack.callback(process.terminate)


async def _until(call, expected: object) -> None:
    async with asyncio.timeout(DEADLINE_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await call() == expected:
                    return
            await asyncio.sleep(POLL_S)


async def walk() -> None:
    """Starts the processes and walks one job from door to door."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        first = _free_range()
        for role in ("replica", "agent", "entry"):
            path = _write(folder, role, first)
            await _start(
                stack,
                "bilberryroute",
                "run",
                "--platform",
                role,
                **{platform_settings.VARIABLE: path},
            )
        await _start(
            stack,
            "extras.fakes.fake_runner",
            "--name",
            "i-demo",
            "--agent",
            f"127.0.0.1:{first + 13}",
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        await _walk_job(session, first)


async def _walk_job(session: aiohttp.ClientSession, first: int) -> None:
    operators = f"http://127.0.0.1:{first + 12}/bilberryroute/config"
    job = f"http://127.0.0.1:{first + 10}/rosters/{JOB}"
    headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}

    async def configure() -> int:
        async with session.put(operators, json=CONFIG) as resp:
            return resp.status

    async def submit() -> int:
        async with session.post(job, json=WORK, headers=headers) as resp:
            return resp.status

    async def state() -> dict:
        async with session.get(job, headers=headers) as resp:
            return msgspec.json.decode(await resp.read())

    await _until(configure, 200)
    print("platform: configuration acknowledged")
    await _until(submit, 200)
    print(f"platform: job {JOB} accepted")
    await _until(state, {"state": "completed"})
    print("platform: a gang of 4 and 2 tasks after it ran; job completed")


if __name__ == "__main__":
    asyncio.run(walk())
