"""Limits what starts on a worker that just failed a run, without I/O.

A worker that fails all it starts has room again at once. Tasks that start there
together would lose an attempt each, although the first one shows it.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views

# Share of the workers that may wait for probes. If more are failing, the cause
# is probably not the workers.
MAX_PROBED_SHARE = 0.25


class Probes:
    """Runs that show whether workers which just failed one still fail.

    Attributes:
      under_way: Names of workers on which nothing else should start for now.
    """

    def __init__(
        self,
        state: batch.BatchState,
        workers: Mapping[str, views.WorkerSnapshot],
        wall_ms: int,
    ):
        """Looks for probes among the runs that are placed.

        Args:
          state: State of the batch jobs with all their placed tasks.
          workers: Workers that are present, by name.
          wall_ms: Unix time in milliseconds.
        """
        self.under_way: set[str] = set()
        self._unprobed: set[str] = set()
        for name, worker in workers.items():
            if worker.probation is None:
                continue
            ran_ms = _run_times_since_failure(state, worker, wall_ms)
            if not ran_ms:
                self._unprobed.add(name)
            elif max(ran_ms) < worker.probation.probe_ms:
                self.under_way.add(name)
        limit = max(1, int(MAX_PROBED_SHARE * len(workers)))
        if len(self._unprobed | self.under_way) > limit:
            self._unprobed.clear()
            self.under_way.clear()

    def note_start(self, names: Iterable[str]) -> None:
        """Makes a unit the probe of those of its workers that have none."""
        self.under_way |= self._unprobed.intersection(names)


def _run_times_since_failure(
    state: batch.BatchState, worker: views.WorkerSnapshot, wall_ms: int
) -> list[int]:
    """Returns for how long runs that began since the last failure have run."""
    failed_ms = wall_ms - worker.probation.failed_ago_ms
    tasks = (
        state.jobs[task_id.job_id].task(task_id)
        for task_id in state.placed.get(worker.ref.agent, ())
    )
    return [
        wall_ms - task.placed_ms
        for task in tasks
        if task.worker == worker.ref and task.placed_ms >= failed_ms
    ]
