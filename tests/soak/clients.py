"""Callers and an operator, who keep using their connections under faults."""

import asyncio
import random

import aiohttp

from bilberryroute import clock as clock_lib
from tests.soak import records

HOST = "jobs.example"
KEY = "soak-key-0123456789ab"
CALL_MS = 3 * clock_lib.SECOND
PAUSE_MS = clock_lib.Millis(400)
RETRY_MS = clock_lib.Millis(150)
CHANGE_MS = clock_lib.Millis(1_200)
OPERATOR_CALL_MS = clock_lib.SECOND

_TASK = {"cpu": 1_000, "memRequestMb": 256, "gpu": 1}
STEPS = (
    [{"count": 2} | _TASK],
    [{"count": 3, "gang": True} | _TASK],
    [{"count": 2} | _TASK, {"count": 1, "dependsOn": [0]} | _TASK],
)


def config(version: int) -> dict:
    """Returns the configuration of a version."""
    return {
        "version": version,
        "routes": [
            {
                "name": "rosters",
                "host": HOST,
                "pathPrefix": "/rosters/",
                "kind": "unsafe",
                "service": "gang-alloc",
                "timeoutMs": 3_000,
                "targetLatencyMs": 1_000 + version,
                "priority": 1,
                "maxAttempts": 3,
                "slackFactor": 3.0,
            }
        ],
        "services": [{"name": "gang-alloc", "admissionCheck": True}],
        "tenants": [{"name": "waterfront", "apiKeys": [KEY]}],
    }


class Caller:
    """Submits jobs over one open connection, and asks about them.

    It goes to another entry only when the present one does not answer.

    Attributes:
      jobs: Its jobs, in the order of submission.
    """

    def __init__(
        self,
        entries: list[str],
        rng: random.Random,
        session: aiohttp.ClientSession,
        clock: clock_lib.Clock,
    ):
        self.jobs: list[records.JobRecord] = []
        self._entries = entries
        self._at = rng.randrange(len(entries))
        self._rng = rng
        self._session = session
        self._clock = clock

    async def submit_for_ever(self) -> None:
        """Submits one job after another until cancelled."""
        while True:
            job = records.JobRecord(
                job_id=f"{self._rng.getrandbits(64):016x}",
                body={"spec": "berth", "steps": self._rng.choice(STEPS)},
            )
            self.jobs.append(job)
            await self._submit(job)
            open_jobs = [
                each
                for each in self.jobs
                if each.accepted and each.completed_ms is None
            ]
            if open_jobs:
                await self.look_up(self._rng.choice(open_jobs))
            await _sleep(PAUSE_MS)

    async def _submit(self, job: records.JobRecord) -> None:
        """Sends a job until an answer is clear."""
        while True:
            status, _ = await self._call("POST", job, job.body)
            match status:
                case 200 | 201 | 202:
                    job.outcomes.append(records.Outcome.ACCEPTED)
                    return
                case 429 | 503:
                    job.outcomes.append(records.Outcome.REFUSED)
                    await _sleep(RETRY_MS)
                    return
            job.outcomes.append(records.Outcome.UNCLEAR)
            await _sleep(RETRY_MS)

    async def look_up(self, job: records.JobRecord) -> bool:
        """Asks for the state of an accepted job; returns whether it ended."""
        status, body = await self._call("GET", job, None)
        if status == 410:
            job.gone += 1
        state = body.get("state") if status == 200 else None
        if state == "completed" and job.completed_ms is None:
            job.completed_ms = self._clock.now()
        job.failed |= state in ("failed", "cancelled")
        return job.completed_ms is not None or job.failed

    async def _call(
        self, method: str, job: records.JobRecord, body: dict | None
    ) -> tuple[int, dict]:
        """Returns status and body of one answer, or 0 without one."""
        url = f"http://{self._entries[self._at]}/rosters/{job.job_id}"
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": str(CALL_MS),
        }
        status, answer = await _exchange(
            self._session, method, url, body, headers, CALL_MS
        )
        if status in (0, 502, 503, 504):
            self._at = (self._at + 1) % len(self._entries)
        return status, answer


class Operator:
    """Changes the configuration, and reads it back.

    Attributes:
      record: What was sent and seen.
    """

    def __init__(
        self,
        addresses: list[str],
        rng: random.Random,
        session: aiohttp.ClientSession,
        clock: clock_lib.Clock,
    ):
        self.record = records.ConfigRecord()
        self._addresses = addresses
        self._rng = rng
        self._session = session
        self._clock = clock

    async def change_for_ever(self) -> None:
        """Makes one change after another until cancelled."""
        version = 1
        while True:
            await self.change(version)
            await self.read()
            await _sleep(CHANGE_MS)
            version += self._rng.randint(1, 3)

    async def change(self, version: int) -> None:
        """Sends a configuration until it is acknowledged."""
        self.record.sent[version] = config(version)
        while version not in self.record.acknowledged:
            status, _ = await self._call("PUT", config(version))
            if status == 200:
                self.record.acknowledged[version] = self._clock.now()
            else:
                await _sleep(RETRY_MS)

    async def read(self) -> dict | None:
        """Reads the configuration at any replica; None without an answer."""
        sent_ms = self._clock.now()
        status, body = await self._call("GET", None)
        if status != 200:
            return None
        version = body["version"]
        self.record.reads.append(
            records.ConfigRead(sent_ms=sent_ms, version=version)
        )
        return body

    async def _call(self, method: str, body: dict | None) -> tuple[int, dict]:
        url = f"http://{self._rng.choice(self._addresses)}/bilberryroute/config"
        return await _exchange(
            self._session, method, url, body, {}, OPERATOR_CALL_MS
        )


async def _exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: dict | None,
    headers: dict[str, str],
    timeout_ms: int,
) -> tuple[int, dict]:
    timeout = aiohttp.ClientTimeout(total=clock_lib.seconds(timeout_ms))
    try:
        async with session.request(
            method, url, json=body, headers=headers, timeout=timeout
        ) as resp:
            if resp.content_type == "application/json":
                return resp.status, await resp.json()
            await resp.read()
            return resp.status, {}
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0, {}


async def _sleep(duration_ms: int) -> None:
    await asyncio.sleep(clock_lib.seconds(duration_ms))
