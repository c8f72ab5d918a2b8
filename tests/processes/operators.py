"""What operators and submitters do to a system under test."""

import asyncio
import dataclasses
import itertools

from bilberryroute import clock as clock_lib
from extras import cluster as cluster_lib

ACCOUNT = "waterfront"
HEADERS = {"Bilberryroute-Account": ACCOUNT}
CLOCK = clock_lib.SystemClock()
STEP_MS = 20_000


@dataclasses.dataclass(slots=True)
class Operator:
    """Applies tickets one after another.

    Attributes:
      number: Number of the last accepted ticket.
    """

    cluster: cluster_lib.Cluster
    number: int = 0

    async def apply(self, entry: str = "e1", **objects: object) -> int:
        """Applies the next ticket; returns the clock at its answer."""
        ticket = {"number": self.number + 1, **objects}
        answer = await self.cluster.post(entry, "/v1/tickets", ticket)
        assert answer is not None and answer.status == 200, answer
        self.number += 1
        return CLOCK.now()

    async def configure(self) -> None:
        """Names one account and all failure domains once workers are known."""
        layout = self.cluster.layout
        wanted = len(layout.agents) * layout.workers

        async def announced() -> bool:
            status = await self.status()
            return status is not None and len(status["workers"]) == wanted

        await cluster_lib.until(announced, STEP_MS, "all workers announced")
        await self.apply(
            accounts=[{"name": ACCOUNT}],
            failure_domains=[{"name": name} for name in layout.domains],
            services=[{"name": cluster_lib.SERVICE}],
        )

    async def set_domain(
        self, name: str, in_service: bool, entry: str = "e1"
    ) -> int:
        """Takes a failure domain out or back; returns the clock."""
        domain = {"name": name, "in_service": in_service}
        return await self.apply(entry, failure_domains=[domain])

    async def status(self) -> dict | None:
        """Returns the status that an entry shows, or None."""
        answer = await self.cluster.get("e1", "/v1/status")
        if answer is None or answer.status != 200:
            return None
        return answer.json()

    async def submit(
        self, job_id: str, accelerators: int, **fields: object
    ) -> None:
        """Submits one block of adjacent accelerators."""
        shape = {"accelerators": accelerators, "adjacency": "rack"}
        shape |= fields.pop("shape", {})
        job = {
            "id": job_id,
            "account": ACCOUNT,
            "shape": shape,
            "declared_ms": 1_000,
            **fields,
        }
        answer = await self.cluster.post("e1", "/v1/jobs", job, HEADERS)
        assert answer is not None and answer.status == 202, answer

    async def job(self, job_id: str) -> dict:
        """Returns a job's record."""
        path = f"/v1/jobs/{job_id}"
        answer = None
        while answer is None or answer.status != 200:
            entry = self.cluster.entries[-1]
            answer = await self.cluster.ask("GET", entry, path, None, HEADERS)
        return answer.json()["record"]

    async def until_phase(self, job_id: str, *phases: str) -> dict:
        """Returns a job's record once it is in one of the phases."""

        async def reached() -> bool:
            return (await self.job(job_id))["phase"] in phases

        await cluster_lib.until(reached, STEP_MS, f"{job_id} in {phases}")
        return await self.job(job_id)


class JobStream:
    """Submits short jobs without pause, so that starts never cease."""

    def __init__(self, operator: Operator, *, pause_ms: int = 100):
        self._operator = operator
        self._pause_ms = pause_ms
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "JobStream":
        self._task = asyncio.ensure_future(self._submit_always())
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _submit_always(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                group.create_task(self._submit(number))
                await asyncio.sleep(clock_lib.seconds(self._pause_ms))

    async def _submit(self, number: int) -> None:
        """Submits one job; whether it is accepted does not matter here."""
        cluster = self._operator.cluster
        job = {
            "id": f"stream-{number}-run200",
            "account": ACCOUNT,
            "shape": {"accelerators": 4, "adjacency": "worker"},
            "declared_ms": 200,
        }
        entry = cluster.entries[number % len(cluster.entries)]
        await cluster.post(entry, "/v1/jobs", job, HEADERS)
