"""Model of workers that tasks crash, for the planner and the state machine.

Time is simulated; there are no agents and no network.
"""

import random

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import jobs
from bilberryroute.scheduling.batch import views
from bilberryroute.state import machine as machine_lib
from tests.utils import batches

ROUND_MS = 250
# How long a crashed worker is away.
RESTART_MS = 3_000
# Longest time from the start of a run to the crash that it causes.
MAX_CRASH_DELAY_MS = 3_000
WORKER_COUNT = 8
QUEUES = ("urgent", "planned", "nightly")
STEPS = (
    batches.step(1, 1, estimate_ms=5_000),
    batches.step(6, 1, estimate_ms=8_000),
    batches.step(2, 4, gang=True, estimate_ms=5_000),
    batches.step(3, 2, gang=True, same_rack=True, estimate_ms=4_000),
)


class CrashModel:
    """Plays jobs, some of which have a task that crashes its workers.

    Attributes:
      guilty: The task that crashes its workers, by job.
      crashes: Number of workers that each guilty task crashed.
    """

    def __init__(self, seed: int, *, jobs: int, guilty_share: float):
        self._rng = random.Random(seed)
        self.log = batches.Log()
        self._leader = batches.Leader(self.log)
        self._born = dict.fromkeys(
            (f"w{number}" for number in range(WORKER_COUNT)), 1
        )
        self._away_until: dict[str, int] = {}
        self._crashed_ms: dict[str, int] = {}
        self._crash_at: dict[tuple[batch.TaskId, int], int] = {}
        self.guilty: dict[str, batch.TaskId] = {}
        self.crashes: dict[str, int] = {}
        self._pending = [f"j{number}" for number in range(jobs)]
        self._guilty_share = guilty_share

    @property
    def results(self) -> dict[str, jobs.JobResult | None]:
        """How each job ended."""
        return {
            job_id: record.result
            for job_id, record in self.log.held.jobs.items()
        }

    def run(self, rounds: int) -> None:
        """Plays until all jobs have ended, or for a number of rounds."""
        for _ in range(rounds):
            self._play_round()
            if not self._pending and all(self.results.values()):
                return

    def _play_round(self) -> None:
        self.log.now += ROUND_MS
        if self._pending and self._rng.random() < 0.5:
            self._submit(self._pending.pop())
        self._crash_workers()
        self._end_runs()
        if self._rng.random() < 0.02:
            self._change_leader()
        decided = self._leader.plan(self._present_workers())
        if decided.stops:
            self._stop(decided)
        if decided.units:
            self.log.place(*decided.units)

    def _submit(self, job_id: str) -> None:
        step = self._rng.choice(STEPS)
        queue = self._rng.choice(QUEUES)
        self.log.submit(job_id, batches.content(step), queue)
        if self._rng.random() < self._guilty_share:
            index = self._rng.randrange(step.count)
            self.guilty[job_id] = batches.task(job_id, index)
            self.crashes[job_id] = 0

    def _change_leader(self) -> None:
        """Another replica goes on from a snapshot, without memory of its own."""
        self._crashed_ms.clear()
        self._leader = batches.Leader(self.log)
        restored = machine_lib.StateMachine()
        restored.restore(self.log.machine.snapshot())
        self.log.machine = restored

    def _present_workers(self):
        return [
            batches.worker(
                name,
                rack=f"r{int(name[1:]) % 2}",
                ref=batches.ref(name, born),
                crashed=name in self._crashed_ms,
            )
            for name, born in self._born.items()
            if self._away_until.get(name, 0) <= self.log.now
        ]

    def _placed_runs(self):
        for task_ids in list(self.log.held.placed.values()):
            for task_id in list(task_ids):
                record = self.log.held.jobs[task_id.job_id]
                yield task_id, record.task(task_id), record

    def _crash_workers(self) -> None:
        for task_id, task, _ in list(self._placed_runs()):
            if self.guilty.get(task_id.job_id) != task_id or not task.active:
                continue
            delay_ms = self._rng.randrange(MAX_CRASH_DELAY_MS)
            at_ms = self._crash_at.setdefault(
                (task_id, task.run), task.placed_ms + delay_ms
            )
            if at_ms <= self.log.now:
                self.crashes[task_id.job_id] += 1
                self.crash(task.worker.name)

    def crash(self, name: str) -> None:
        """Crashes a worker with all that runs on it."""
        self._end_all_on(name, batch.LossCause.CRASHED)
        self._crashed_ms[name] = self.log.now

    def lose_power(self, name: str) -> None:
        """Ends all that runs on a worker whose host lost power."""
        self._end_all_on(name, batch.LossCause.RESTARTED)

    def _end_all_on(self, name: str, cause: batch.LossCause) -> None:
        ends = tuple(
            batching.RunEnd(
                task=task_id,
                run=task.run,
                outcome=batch.RunOutcome.LOST,
                cause=cause,
                down_after_ms=self.log.now - task.placed_ms,
            )
            for task_id, task, _ in self._placed_runs()
            if task.worker.name == name
        )
        if ends:
            self.log.apply(batching.EndRuns(ends=ends, at_ms=self.log.now))
        self._born[name] += 1
        self._away_until[name] = self.log.now + RESTART_MS
        self._break_gangs()

    def _break_gangs(self) -> None:
        """Ends the runs of gangs that have lost a member."""
        for task_id, task, record in list(self._placed_runs()):
            steps = record.occurrences[task_id.occurrence]
            members = steps[task_id.step].tasks
            gang = record.content.steps[task_id.step].gang
            if gang and not all(each.active for each in members):
                self.log.end(task_id, task.run, batch.RunOutcome.BROKEN)

    def _end_runs(self) -> None:
        for task_id, task, record in list(self._placed_runs()):
            step = record.content.steps[task_id.step]
            if task.state == batch.TaskState.STOPPING:
                self.log.end(task_id, task.run, batch.RunOutcome.STOPPED)
            elif self.log.now - task.placed_ms >= step.estimate_ms:
                self.log.end(task_id, task.run, batch.RunOutcome.DONE)

    def _stop(self, decided: views.BatchPlan) -> None:
        command = batching.StopRuns(runs=decided.stops, at_ms=self.log.now)
        self.log.apply(command)
