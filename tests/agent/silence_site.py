"""Silent workers under a leader and agents on clocks that run apart.

Notes each run that the leader counts as ended while it goes on, and each task
that runs twice.
"""

import dataclasses
import random

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import commands
from tests.agent import capacity_site
from tests.agent import silent_worker
from tests.utils import virtual_time

# Rates within which any two clocks are at most 2% apart.
RATES = (0.9901, 1.0, 1.0099)


@dataclasses.dataclass(slots=True)
class Cut:
    """Which datagrams of a host are lost."""

    renewals: bool = False
    grants: bool = False


class SilenceSite(capacity_site.Site):
    """Four hosts whose workers are silent at times.

    Attributes:
      cuts: Lost datagrams by host.
      faults: Descriptions of the rules that were broken.
      lost: Causes of the runs that were lost.
    """

    def __init__(self, seed: int, loop: virtual_time.VirtualTimeLoop):
        self._loop = loop
        # Not of the site's generator, which the base class sets up later.
        self._rates = random.Random(f"rates {seed}")
        super().__init__(seed, loop)
        self.clock = self._clock()
        self.agent_clocks = {host: self._clock() for host in self.HOSTS}
        self.cuts = {host: Cut() for host in self.HOSTS}
        self.faults: list[str] = []
        self.lost: list[str] = []
        self._refs: dict[tuple[batch.TaskId, int], batch.WorkerRef] = {}
        self._started_s: dict[batch.TaskId, float] = {}
        self._over: dict[tuple[batch.TaskId, int], str] = {}

    def _clock(self) -> virtual_time.VirtualClock:
        return virtual_time.VirtualClock(self._loop, self._rates.choice(RATES))

    def _new_worker(self, host, rack) -> silent_worker.SilentWorker:
        return silent_worker.SilentWorker(
            host,
            rack=rack,
            capacity=capacity_site.CAPACITIES[0],
            rng=self.rng,
            clock=self._clock(),
            chaos=self.chaos,
            need_of=self._need_of,
            on_start=self._check_start,
        )

    async def start(self) -> None:
        """Starts everything; commands are checked from now on."""
        await super().start()
        self.log.machine.listeners.append(self._check_command)

    def send_renewal(self, host: str, payload: bytes) -> None:
        """Sends a renewal unless the host is cut off."""
        if not self.cuts[host].renewals:
            super().send_renewal(host, payload)

    def send_grant(self, payload: bytes, address: tuple[str, int]) -> None:
        """Sends a grant unless the host is cut off."""
        if not self.cuts[address[0]].grants:
            super().send_grant(payload, address)

    def _check_command(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        match command:
            case batching.PlaceRuns(units=units):
                for unit in units:
                    for member in unit.members:
                        key = (unit.task(member), unit.run)
                        self._refs[key] = member.worker
            case batching.EndRuns(ends=ends):
                for end in ends:
                    self._check_end(end)

    def _check_end(self, end: batching.RunEnd) -> None:
        key = (end.task, end.run)
        why = str(end.cause or end.outcome)
        if end.outcome == batch.RunOutcome.LOST:
            self.lost.append(why)
        self._over[key] = why
        for host, worker in self.workers.items():
            if worker.holds(*key):
                self._note(f"{key} goes on on {host} but has ended: {why}")

    def _check_start(self, host: str, task: batch.TaskId, run: int) -> None:
        if (task, run) in self._over:
            why = self._over[task, run]
            self._note(f"{(task, run)} starts on {host} but has ended: {why}")
        self._started_s[task] = self._loop.time()
        for other, worker in self.workers.items():
            if other != host and worker.runs(task):
                self._note(f"{task} runs on {other} and starts on {host}")

    def _note(self, what: str) -> None:
        at_s = self._loop.elapsed_s
        self.faults.append(f"{at_s:.3f} s: {what}")

    def repeated(self) -> list[str]:
        """Returns the tasks that were started again after they were done."""
        return [
            f"{task} was done on {host} and has started again"
            for host, worker in self.workers.items()
            for task, done_s in worker.done.items()
            if self._started_s[task] > done_s
        ]

    def held_runs(self) -> list[str]:
        """Returns the runs that the leader counts as begun and are nowhere."""
        return [
            f"{task_id} run {task.run} on {task.worker.name}"
            for task_ids in self.batch_state.placed.values()
            for task_id in task_ids
            if (task := self.batch_state.jobs[task_id.job_id].task(task_id))
            and not any(
                worker.holds(task_id, task.run)
                for worker in self.workers.values()
            )
        ]
