"""Explores how long innocent jobs wait while others crash their workers.

`EXPLORE_CRASHES=first:count` selects other seeds.
"""

import os

import pytest

from bilberryroute.model import batch
from tests.scheduling import crash_model

_FIRST_SEED, _SEED_COUNT = map(
    int, os.environ.get("EXPLORE_CRASHES", "0:8").split(":")
)
SEEDS = range(_FIRST_SEED, _FIRST_SEED + _SEED_COUNT)
JOBS = 40
ROUNDS = 4_000
# A job counts as lost if nothing of it runs for so long although there is room
# for it twice over and less than half of the capacity is in use.
LOST_AFTER_MS = 3_000


class WaitingModel(crash_model.CrashModel):
    """Records how long each innocent job waits beside idle workers."""

    def __init__(self, seed: int, guilty_share: float):
        super().__init__(seed, jobs=JOBS, guilty_share=guilty_share)
        self._since: dict[str, int] = {}
        self.longest_ms: dict[str, int] = {}

    def _play_round(self) -> None:
        super()._play_round()
        free = {
            worker.ref.name: worker.capacity
            for worker in self._present_workers()
        }
        capacity = sum(each.accelerators for each in free.values())
        running = set()
        for task_id, task, record in self._placed_runs():
            running.add(task_id.job_id)
            need = record.content.steps[task_id.step].need
            free[task.worker.name] = free[task.worker.name].minus(need)
        idle = sum(each.accelerators for each in free.values())
        for job_id, record in self.log.held.jobs.items():
            if (
                record.result is None
                and job_id not in running
                and job_id not in self.guilty
                and 2 * idle > capacity
                and _fits_twice(record, free.values())
            ):
                self._note_wait(job_id)
            else:
                self._since.pop(job_id, None)

    def _note_wait(self, job_id: str) -> None:
        now = self.log.now
        waited_ms = now - self._since.setdefault(job_id, now)
        known_ms = self.longest_ms.get(job_id, 0)
        self.longest_ms[job_id] = max(known_ms, waited_ms)


def _fits_twice(record: batch.BatchRecord, free) -> bool:
    step = record.content.steps[0]
    return sum(each.multiple_of(step.need) for each in free) >= 2 * step.count


@pytest.mark.parametrize("guilty_share", [0.1, 0.3])
def test_innocent_jobs_do_not_wait_long_beside_idle_workers(guilty_share):
    lost = []
    for seed in SEEDS:
        model = WaitingModel(seed, guilty_share)
        model.run(ROUNDS)
        lost += [
            (seed, job_id, waited_ms)
            for job_id, waited_ms in model.longest_ms.items()
            if waited_ms >= LOST_AFTER_MS
        ]
    assert lost == []
