"""Model of workers that fail all they start, for health and planner.

Time is simulated; there are no agents and no network.
"""

from bilberryroute import clock as clock_lib
from bilberryroute.model import batch
from bilberryroute.model import crashes
from bilberryroute.model import wire
from bilberryroute.replica import batch_health
from bilberryroute.scheduling.batch import readiness
from tests.scheduling import crash_model
from tests.utils import batches


class FailingModel(crash_model.CrashModel):
    """Plays jobs on workers, some of which fail all that they start.

    Attributes:
      failing: Names of the workers that fail what they start now.
      lost_together: Most units without a guarantee that failed together on a
        worker which was known to fail when they started.
    """

    def __init__(self, seed: int, *, jobs: int):
        super().__init__(seed, jobs=jobs, guilty_share=0)
        self.failing: set[str] = set()
        self.lost_together = 0
        self._clock = clock_lib.ManualClock()
        self._health = batch_health.BatchWorkerHealth(self._clock)

    def _play_round(self) -> None:
        self._clock.advance(crash_model.ROUND_MS)
        super()._play_round()

    def _change_leader(self) -> None:
        """The leader stays: what it knows of its workers is not replicated."""

    def _present_workers(self):
        return [
            batches.worker(
                name,
                rack=f"r{int(name[1:]) % 2}",
                ref=batches.ref(name, born),
                health=self._health.assess(name),
                probation=self._health.probation(name),
            )
            for name, born in self._born.items()
        ]

    def _end_runs(self) -> None:
        self._fail_runs()
        for task_id, task, record in self._placed_runs():
            step = record.content.steps[task_id.step]
            over = self.log.now - task.placed_ms >= step.estimate_ms
            if over and task.state == batch.TaskState.PLACED:
                self._report(task_id, task, batch.RunOutcome.DONE)
        super()._end_runs()

    def _fail_runs(self) -> None:
        """Ends the runs of failing workers in the round after their start."""
        guaranteed = readiness.guaranteed_jobs(self.log.held)
        known = set(filter(self._health.probation, self.failing))
        lost: dict[str, set] = {}
        for task_id, task, record in list(self._placed_runs()):
            ran_ms = self.log.now - task.placed_ms
            if task.active and (
                task.worker.name in self.failing
                and ran_ms <= crash_model.ROUND_MS
            ):
                if task_id.job_id not in guaranteed:
                    unit = crashes.unit_key(record, task_id)
                    lost.setdefault(task.worker.name, set()).add(unit)
                self._report(task_id, task, batch.RunOutcome.FAILED)
                self.log.end(task_id, task.run, batch.RunOutcome.FAILED)
                self._break_gangs()
        for name in known.intersection(lost):
            self.lost_together = max(self.lost_together, len(lost[name]))

    def _report(self, task_id, task, outcome: batch.RunOutcome) -> None:
        end = wire.EndReport(
            number=1, task=task_id, run=task.run, outcome=outcome
        )
        ran_ms = self.log.now - task.placed_ms
        self._health.record_end(task.worker.name, end, ran_ms, task.worker)
