"""Notices runs that outlast their forecast, for operators.

Answers a load with long tails: a queue of which many runs do so has changed, or
one of its workers is slow; a single one is a run that takes long.
"""

import heapq
import itertools
import logging
from collections.abc import Iterable

from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.scheduling.batch import run_times as run_times_lib

logger = logging.getLogger(__name__)

# A run is logged once it outlasts this share of its like; of sound runs one in
# twenty is.
OVERDUE_QUANTILE = 0.95
# Runs that are watched at most: more than a leader has in place at once.
MAX_WATCHED = 20_000
# Lines a round; more would hide what else the log says.
MAX_LINES = 8


class OverdueRuns:
    """The runs that this leader has placed, by when they are overdue."""

    def __init__(
        self,
        run_times: run_times_lib.RunTimes,
        metrics: metrics_lib.Metrics,
    ):
        self._run_times = run_times
        self._metrics = metrics
        # Instant, number that orders those of one instant, task and run.
        self._watched: list[tuple[int, int, batch.TaskId, int]] = []
        self._numbers = itertools.count()

    def update(
        self,
        units: Iterable[batching.Unit],
        batch_state: batch.BatchState,
        wall_ms: int,
    ) -> None:
        """Notes overdue runs, and watches the units that are placed now."""
        self._note(batch_state, wall_ms)
        self._watch(units, batch_state, wall_ms)

    def _watch(
        self,
        units: Iterable[batching.Unit],
        batch_state: batch.BatchState,
        wall_ms: int,
    ) -> None:
        """Watches the first task of each unit."""
        for unit in units:
            record = batch_state.jobs.get(unit.job_id)
            if record is None or len(self._watched) >= MAX_WATCHED:
                continue
            step = record.content.steps[unit.step]
            if step.long_running:
                continue
            limit_ms = self._run_times.quantile_ms(
                record.queue, step.estimate_ms, OVERDUE_QUANTILE
            )
            task = unit.task(unit.members[0])
            due_ms = wall_ms + limit_ms
            number = next(self._numbers)
            heapq.heappush(self._watched, (due_ms, number, task, unit.run))

    def _note(self, batch_state: batch.BatchState, wall_ms: int) -> None:
        """Logs and counts the runs that have become overdue."""
        lines = 0
        while self._watched and self._watched[0][0] <= wall_ms:
            *_, task_id, run = heapq.heappop(self._watched)
            record = batch_state.jobs.get(task_id.job_id)
            task = record.task(task_id) if record is not None else None
            if task is None or not task.active or task.run != run:
                continue
            self._metrics.overdue_runs.inc({"queue": record.queue})
            lines += 1
            if lines <= MAX_LINES:
                self._log(record, task_id, task, wall_ms)

    def _log(
        self,
        record: batch.BatchRecord,
        task_id: batch.TaskId,
        task: batch.TaskRecord,
        wall_ms: int,
    ) -> None:
        estimate_ms = record.content.steps[task_id.step].estimate_ms
        ran_ms = wall_ms - task.placed_ms
        queue = record.queue
        logger.info(
            "outlasts its forecast",
            extra={
                "job_id": record.id,
                "queue": queue,
                "step": task_id.step,
                "index": task_id.index,
                "run": task.run,
                "worker": task.worker.name,
                "ran_ms": ran_ms,
                "estimate_ms": estimate_ms,
                "expected_ms": self._run_times.expected_ms(queue, estimate_ms),
                "error": round(self._run_times.error(queue), 2),
                "left_ms": self._run_times.remaining_ms(
                    queue, estimate_ms, ran_ms
                ),
            },
        )
