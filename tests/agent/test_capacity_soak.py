"""Faults around workers that don't check their capacity, in virtual time.

No start may exceed the capacity, and every job must end once the faults are over.
`CAPACITY_SEEDS=first:count` selects other seeds. A seed plays the same again,
also under another `PYTHONHASHSEED`.
"""

import asyncio
import os
import random

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life
from tests.agent import capacity_site
from tests.utils import batches
from tests.utils import virtual_time

pytestmark = pytest.mark.usefixtures("ordered_services")

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("CAPACITY_SEEDS", "0:4").split(":")
)
_MUTANT_SEEDS = (11, *range(16))
CHAOS_MS = 25_000
CALM_MS = 60 * clock_lib.SECOND
EVENT_PAUSE_MS = (20, 400)
DOWN_MS = (100, 3_000)
DRAIN_MS = (500, 4_000)

CONTENTS = (
    batches.content(batches.step(1, 4)),
    batches.content(batches.step(3, 3)),
    batches.content(batches.step(2, 6, gang=True)),
    batches.content(batches.step(3, 4, gang=True, same_rack=True)),
    batches.content(batches.step(4, 2), batches.step(1, 2, depends_on=(0,))),
    batches.content(batches.step(2, 0, fills=True), batches.step(2, 5)),
)
QUEUES = ("urgent", "planned", "nightly")


class Soak:
    """Plays one seed on a `capacity_site.Site`."""

    def __init__(self, seed: int, loop: virtual_time.VirtualTimeLoop):
        self.site = capacity_site.Site(seed, loop)
        self._rng = random.Random(seed)
        # Half of the seeds have long faults and partitions, half short ones.
        self._partitions = seed % 2 == 0
        self._job_count = 0
        self._repairs: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Plays random events, then lets all jobs end without faults."""
        site = self.site
        await site.start()
        if self._rng.random() < 0.3:
            batches.advised(site.batch_state)
        end_ms = site.clock.now() + CHAOS_MS
        while site.clock.now() < end_ms:
            await self._pause(EVENT_PAUSE_MS)
            events = self._events()
            (event,) = self._rng.choices(list(events), list(events.values()))
            event()
        await self._calm_down()
        await site.stop()

    def _events(self) -> dict:
        """Returns the events with their relative frequency."""
        return {
            self._submit: 8,
            self._cancel: 1,
            self._resize: 8,
            self._change_chaos: 1 if self._partitions else 3,
            self._crash_worker: 1,
            self._drain_worker: 1,
            self._restart_agent: 1,
            self._change_leader: 0.5,
        }

    async def _pause(self, bounds: tuple[int, int]) -> None:
        await asyncio.sleep(clock_lib.seconds(self._rng.randint(*bounds)))

    def _repair_later(self, repair) -> None:
        task = asyncio.create_task(repair)
        self._repairs.add(task)
        task.add_done_callback(self._repairs.discard)

    def _submit(self) -> None:
        self._job_count += 1
        self.site.submit(
            f"j{self._job_count}",
            self._rng.choice(CONTENTS),
            self._rng.choice(QUEUES),
        )

    def _cancel(self) -> None:
        jobs = self.site.batch_state.jobs.values()
        running = [job.id for job in jobs if job.result is None]
        if running:
            self.site.cancel(self._rng.choice(running))

    def _resize(self) -> None:
        worker = self._rng.choice(list(self.site.workers.values()))
        worker.resize(self._rng.choice(capacity_site.CAPACITIES))

    def _change_chaos(self) -> None:
        chaos = self.site.chaos
        chaos.late_calls = self._rng.choice((0, 0.1, 0.4))
        chaos.lost_answers = self._rng.choice((0, 0.1, 0.3))
        chaos.lost_announcements = self._rng.choice((0, 0.3, 1.0))
        chaos.late_announcements = self._rng.choice((0, 0.3, 0.8))
        losses = (0, 0.1, 0.4, 1.0) if self._partitions else (0, 0.1, 0.4)
        self.site.network.loss = self._rng.choice(losses)

    def _crash_worker(self) -> None:
        worker = self._rng.choice(list(self.site.workers.values()))
        if worker.up:
            worker.crash()
            self._repair_later(self._begin_worker(worker))

    def _drain_worker(self) -> None:
        host = self._rng.choice(sorted(self.site.workers))
        worker = self.site.workers[host]
        if worker.up and not worker.draining:
            worker.draining = True
            self._repair_later(self._replace_worker(host))

    async def _replace_worker(self, host: str) -> None:
        worker = self.site.workers[host]
        await self._pause(DRAIN_MS)
        if worker.draining:
            self.site.withdraw_worker(host)
            await self._begin_worker(worker)

    async def _begin_worker(self, worker) -> None:
        await self._pause(DOWN_MS)
        worker.begin(self._rng.choice(capacity_site.CAPACITIES))

    def _restart_agent(self) -> None:
        if self.site.agents:
            host = self._rng.choice(sorted(self.site.agents))
            self._repair_later(self._replace_agent(host))

    async def _replace_agent(self, host: str) -> None:
        if host in self.site.agents:
            await self.site.stop_agent(host)
            await self._pause(DOWN_MS)
            await self.site.start_agent(host)

    def _change_leader(self) -> None:
        if self.site.leader is not None:
            pause_ms = self._rng.randint(*DOWN_MS)
            self._repair_later(self.site.change_leader(pause_ms))

    async def _calm_down(self) -> None:
        site = self.site
        await asyncio.gather(*self._repairs)
        for name in site.chaos.__slots__:
            setattr(site.chaos, name, 0.0)
        site.network.loss = 0.0
        for worker in site.workers.values():
            worker.resize(capacity_site.CAPACITIES[0])
        end_ms = site.clock.now() + CALM_MS
        while site.clock.now() < end_ms and self.unfinished():
            await asyncio.sleep(0.5)

    def unfinished(self) -> list[str]:
        """Returns the jobs that have not ended."""
        jobs = self.site.batch_state.jobs.values()
        return [job.id for job in jobs if job.result is None]


def play(seed: int) -> Soak:
    """Plays a seed and returns what it has found."""
    with asyncio.Runner(loop_factory=virtual_time.VirtualTimeLoop) as runner:
        soak = Soak(seed, runner.get_loop())
        runner.run(soak.run())
    return soak


def excesses(soak: Soak) -> list[str]:
    return [
        each
        for worker in soak.site.workers.values()
        for each in worker.excesses
    ]


@pytest.mark.parametrize("seed", range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT))
def test_no_worker_starts_more_than_its_capacity(seed):
    soak = play(seed)
    assert excesses(soak) == []
    assert soak.unfinished() == []
    assert sum(w.start_count for w in soak.site.workers.values()) > 20


def _start_beyond_the_capacity(patch):
    patch.setattr(run_plan, "held_starts", lambda view: frozenset())


def _trust_old_announcements(patch):
    original = worker_life.WorkerIncarnation.known_capacity
    patch.setattr(
        worker_life.WorkerIncarnation,
        "known_capacity",
        lambda self, now, max_age_ms: original(self, now, clock_lib.DAY),
    )


def _trust_announcements_of_earlier_incarnations(patch):
    patch.setattr(worker_life.WorkerIncarnation, "has_announced_itself", True)


@pytest.mark.parametrize(
    "mutant",
    [
        _start_beyond_the_capacity,
        _trust_old_announcements,
        _trust_announcements_of_earlier_incarnations,
    ],
    ids=lambda mutant: mutant.__name__,
)
def test_soak_fails_without(mutant, monkeypatch):
    mutant(monkeypatch)
    assert any(excesses(play(seed)) for seed in _MUTANT_SEEDS)
