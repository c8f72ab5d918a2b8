"""Learns the workers' speeds on the leader from the progress that they report.

Answers pools of unequal workers (see `scheduling.batch.speeds`). What is learned
is not replicated. A new leader has what the ended runs in the log told it while
it followed (`ended_runs`), and learns on from the reports of the runs that go on.
"""

import logging
from collections.abc import Callable
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import commands
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import ended_runs
from bilberryroute.replica import turns
from bilberryroute.scheduling.batch import run_progress
from bilberryroute.scheduling.batch import speeds

# Time between two updates: a run that takes half a second, the shortest to tell
# anything, is seen at least once.
UPDATE_MS = 500
# Sweeps of the fit at the beginning of a term; the estimates of earlier runs
# settle within about ten.
FIRST_SWEEPS = 10
# Change of a believed speed that the log tells: less moves few jobs' ends.
LOGGED_FACTOR = 1.2
# Error of a speed's logarithm up to which what runs on the worker is corrected
# for it: less than half of the slowdown that counts as harm of a neighbour.
WELL_KNOWN_ERROR = 0.1
# Worker names that the gauge counts at most, as each is a series of its own.
MAX_SERIES = 512

logger = logging.getLogger(__name__)


class WorkerSpeeds:
    """The believed speed of each worker."""

    def __init__(self, clock: clock_lib.Clock, metrics: metrics_lib.Metrics):
        self._clock = clock
        self._metrics = metrics
        self._estimator = speeds.SpeedEstimator()
        self._ended = ended_runs.EndedRuns()
        self._term = 0
        self._updated_ms: int | None = None
        self._series: set[str] = set()

    def on_applied(
        self, command: commands.Command, state: batch.BatchState
    ) -> None:
        """Notes the runs that an applied command ended, leading or not."""
        # A replica that starts applies what its log holds from before.
        age_ms = max(0, self._clock.wall() - getattr(command, "at_ms", 0))
        at_ms = self._clock.now() - age_ms
        for run in self._ended.apply(command, state, at_ms):
            self._estimator.note_ended(run.progress, run.took_ms)

    async def update(
        self,
        state: batch.BatchState,
        reports: Mapping[str, board_lib.BatchWorker],
        term: int,
        goes_on: Callable[[], bool],
    ) -> None:
        """Takes the newest reports, unless the last ones were just taken.

        Args:
          state: State of the batch jobs.
          reports: Newest report of each worker.
          term: Term in which this replica leads.
          goes_on: Whether it still leads; asked before each turn.
        """
        now = self._clock.now()
        sweeps = 1
        if term != self._term:
            self._term = term
            sweeps = FIRST_SWEEPS
        elif self._updated_ms is not None and (
            now - self._updated_ms < UPDATE_MS
        ):
            return
        self._updated_ms = now
        workers = [worker.report for worker in reports.values()]
        reported = {
            (run.task, run.run): (run.percent, worker.last_seen_ms)
            for worker in reports.values()
            for run in worker.report.running
        }
        racks = {worker.name: worker.rack for worker in workers}
        for _ in range(sweeps):
            slices = self._estimator.update_in_slices(
                run_progress.progress_of(state, reported, racks),
                {worker.name: worker.pool for worker in workers},
                now,
            )
            changes = await turns.run(slices, goes_on, self._clock)
            self._note(changes or {})

    def speed(self, name: str) -> float:
        """Returns the believed speed of a worker; 1 if none is known."""
        return self._estimator.speed(name)

    def well_known(self) -> dict[str, float]:
        """Returns the speeds that are known well enough to be corrected for."""
        return {
            name: known.speed
            for name, known in self._estimator.known().items()
            if known.error < WELL_KNOWN_ERROR
        }

    def _note(self, changes: Mapping[str, tuple[float, float]]) -> None:
        known = self._estimator.known()
        for name, (before, after) in changes.items():
            if name in self._series or len(self._series) < MAX_SERIES:
                self._series.add(name)
                self._metrics.worker_speed.set({"worker": name}, after)
            if max(before, after) < LOGGED_FACTOR * min(before, after):
                continue
            logger.info(
                "worker speed changed",
                extra={
                    "worker": name,
                    "speed_before": before,
                    "speed": after,
                    "error": round(known[name].error, 2),
                    "seen_ms_ago": self._clock.now() - known[name].at_ms,
                },
            )
