"""Runs one seed of the soak, or many: `python -m tests.soak.run --help`."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import tempfile

import aiohttp
import defopt

from bilberryroute import clock as clock_lib
from extras.fakes import signals
from tests.soak import clients
from tests.soak import faults
from tests.soak import records
from tests.soak import site as site_lib
from tests.soak import verdict

CALLERS = 3
START_MS = 30 * clock_lib.SECOND
# Traffic goes on for this long after the final loss of power.
TRAFFIC_AFTER_MS = 3 * clock_lib.SECOND
# All accepted jobs have ended this long after the end of the traffic: recovery
# takes up to 12 s, and what waits then up to 14 s.
SETTLE_MS = 26 * clock_lib.SECOND
POLL_MS = clock_lib.Millis(200)
# Short, as the final fault comes right after a job was accepted.
ACCEPTED_POLL_MS = clock_lib.Millis(2)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What one run showed.

    Attributes:
      seed: Seed of its faults and callers.
      violations: Broken promises, in words.
      submitted: Number of jobs that callers sent.
      accepted: Number of those that were accepted.
      runs: Number of runs that workers started.
      plan: The faults.
    """

    seed: int
    violations: tuple[str, ...]
    submitted: int
    accepted: int
    runs: int
    plan: faults.Plan

    def __str__(self) -> str:
        lines = [
            f"seed {self.seed}: {self.submitted} jobs, {self.accepted}"
            f" accepted, {self.runs} runs, {len(self.violations)} violations"
        ]
        if self.violations:
            lines += [f"  {text}" for text in self.violations]
            lines += [f"  {each}" for each in self.plan.faults]
            lines += [f"  {self.plan.final}"]
        return "\n".join(lines)


async def play(
    seed: int, folder: pathlib.Path, layout: site_lib.Layout
) -> Report:
    """Plays one run: traffic and faults, a final loss of power, recovery."""
    async with contextlib.AsyncExitStack() as stack:
        site = site_lib.Site(folder, layout)
        stack.push_async_callback(site.close)
        await site.open_links()
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit_per_host=0)
            )
        )
        return await _Run(seed, site, session).play()


class _Run:
    """One run of the soak."""

    def __init__(
        self, seed: int, site: site_lib.Site, session: aiohttp.ClientSession
    ):
        rng = random.Random(seed)
        clock = clock_lib.SystemClock()
        self._seed = seed
        self._site = site
        self._plan = faults.draw(seed, site)
        self._operator = clients.Operator(
            site.control_addresses(), rng, session, clock
        )
        self._callers = [
            clients.Caller(site.callers_addresses(), rng, session, clock)
            for _ in range(CALLERS)
        ]

    async def play(self) -> Report:
        """Plays the run and returns what it showed."""
        site = self._site
        site.start_all()
        await site.until_listening(START_MS)
        async with asyncio.timeout(clock_lib.seconds(START_MS)):
            await self._operator.change(1)
        site.end_founding()
        await self._disturb()
        site.start_all()
        unsettled = await self._settle()
        final = await self._read_config()
        self._operator.record.final = final
        for name in ("worker", "entry", "agent", "replica"):
            await asyncio.gather(*(site.stop(n) for n in site.names(name)))
        return self._report(unsettled)

    async def _disturb(self) -> None:
        """Lets callers and the operator work under faults."""
        traffic = [
            asyncio.create_task(caller.submit_for_ever())
            for caller in self._callers
        ]
        traffic.append(asyncio.create_task(self._operator.change_for_ever()))
        try:
            await faults.apply_all(self._site, self._plan.faults)
            await self._until_accepted()
            await faults.apply(self._site, self._plan.final)
            await asyncio.sleep(clock_lib.seconds(TRAFFIC_AFTER_MS))
        finally:
            for task in traffic:
                task.cancel()
            results = await asyncio.gather(*traffic, return_exceptions=True)
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise result

    async def _until_accepted(self) -> None:
        """Waits until one more job is accepted, for a bounded time."""
        before = self._accepted()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock_lib.seconds(SETTLE_MS)):
                while self._accepted() == before:
                    await asyncio.sleep(clock_lib.seconds(ACCEPTED_POLL_MS))

    def _jobs(self) -> list[records.JobRecord]:
        return [job for caller in self._callers for job in caller.jobs]

    def _accepted(self) -> int:
        return sum(job.accepted for job in self._jobs())

    async def _settle(self) -> int:
        """Looks jobs up until all have ended; returns how many have not."""
        open_jobs = [
            (caller, job)
            for caller in self._callers
            for job in caller.jobs
            if job.accepted and job.completed_ms is None
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock_lib.seconds(SETTLE_MS)):
                while open_jobs:
                    ended = [await c.look_up(job) for c, job in open_jobs]
                    open_jobs = [
                        pair
                        for pair, over in zip(open_jobs, ended, strict=True)
                        if not over
                    ]
                    await asyncio.sleep(clock_lib.seconds(POLL_MS))
        return len(open_jobs)

    async def _read_config(self) -> dict | None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(clock_lib.seconds(SETTLE_MS)):
                while True:
                    config = await self._operator.read()
                    if config is not None:
                        return config
                    await asyncio.sleep(clock_lib.seconds(POLL_MS))
        return None

    def _report(self, unsettled: int) -> Report:
        jobs = self._jobs()
        journals = self._site.journals()
        found = verdict.violations(jobs, self._operator.record, journals)
        if unsettled:
            found.append(f"{unsettled} jobs had not ended after {SETTLE_MS} ms")
        return Report(
            seed=self._seed,
            violations=(*found, *self._site.wrong),
            submitted=len(jobs),
            accepted=self._accepted(),
            runs=len(verdict.spans(journals)),
            plan=self._plan,
        )


def main(
    *,
    first: int = 0,
    count: int = 50,
    disks: int = 3,
    entries: int = 1,
    workers: int = 4,
    folder: str = "",
) -> None:
    """Plays seeds of the soak one after another; prints what each showed.

    :param first: First seed.
    :param count: Number of seeds.
    :param disks: Hosts with a disk, each with a replica and an entry.
    :param entries: Further hosts with an entry.
    :param workers: Hosts with an agent and a worker.
    :param folder: Where logs are kept; empty for a temporary folder.
    """
    layout = site_lib.Layout(disks=disks, entries=entries, workers=workers)
    root = pathlib.Path(folder or tempfile.mkdtemp(prefix="soak-"))
    seeds = range(first, first + count)
    failed: list[int] = []
    played = signals.until_signalled(_play_seeds(seeds, root, layout, failed))
    asyncio.run(played)
    raise SystemExit(bool(failed))


async def _play_seeds(
    seeds: range,
    root: pathlib.Path,
    layout: site_lib.Layout,
    failed: list[int],
) -> None:
    """Plays seeds in turn; adds those that broke a promise to `failed`."""
    for seed in seeds:
        folder = root / f"seed-{seed}"
        folder.mkdir(parents=True)
        report = await play(seed, folder, layout)
        print(report, flush=True)
        if report.violations:
            failed.append(seed)
    print(f"{len(seeds)} seeds, {len(failed)} failed: {failed}; logs: {root}")


if __name__ == "__main__":
    defopt.run(main)
