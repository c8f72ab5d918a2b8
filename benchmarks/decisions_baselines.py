"""Baseline schedulers: arrival order with first fit, and with backfill.

They know no guarantees and stop nothing but what a failure domain, a worker
or a guard forces out. They refuse impossible jobs, or else nothing would run.
"""

from bilberryroute.model import jobs
from bilberryroute.scheduling import admission
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table


class Baseline:
    """Serves jobs in order of arrival.

    Args:
      backfill: Whether later jobs may start if, by declared times, they do
        not delay the first; also places by best fit.
    """

    def __init__(self, *, backfill: bool):
        self._backfill = backfill
        self._state = states.SchedulerState()
        self._queue: list[table.JobEntry] = []
        self._out: list[decisions.Decision] = []

    def observe(self, event: events.Event, now_ms: int) -> None:
        """Takes in one event."""
        state = self._state
        match event:
            case events.ConfigurationChanged(configuration=configuration):
                state.configuration = configuration
                state.refresh_in_service(now_ms, 0)
                self._leave()
            case events.WorkerJoined(worker=worker):
                node = state.tree.add_worker(worker)
                node.in_service = admission.in_service(
                    state.configuration, worker
                )
            case events.JobQueued(record=record):
                self._submit(table.JobEntry(job=record.job))
            case events.JobRemoved(job_id=job_id):
                self._queue.remove(state.entries.pop(job_id))
            case events.JobStarted(job_id=job_id):
                state.entries[job_id].phase = jobs.JobPhase.RUNNING
                state.entries[job_id].started_ms = now_ms
            case events.JobStopping(job_id=job_id):
                state.entries[job_id].phase = jobs.JobPhase.STOPPING
            case events.JobReleased():
                self._released(event)
            case events.TaskEnded(result=result):
                if result != jobs.TaskResult.DONE:
                    entry = state.entries[event.job_id]
                    if result == jobs.TaskResult.OVER_LIMIT:
                        entry.over_limit_count += 1
                    self._stop(entry, checkpoint=False)

    def unfinished(self) -> bool:
        """Returns False: each decision is whole."""
        return False

    def decide(self, now_ms: int) -> list[decisions.Decision]:
        """Places what it can, in order of arrival."""
        shadow_ms, spare = None, 0
        for entry in list(self._queue):
            if shadow_ms is None:
                if not self._place(entry):
                    if not self._backfill:
                        break
                    shadow_ms, spare = self._shadow(entry, now_ms)
                continue
            wanted = entry.job.shape.accelerators
            ends_ms = now_ms + entry.job.declared_ms - entry.progress_ms
            if ends_ms > shadow_ms and wanted > spare:
                continue
            if self._place(entry) and ends_ms > shadow_ms:
                spare -= wanted
        taken, self._out = self._out, []
        return taken

    def _submit(self, entry: table.JobEntry) -> None:
        shape, need = entry.job.shape, entry.need
        if not admission.fits_when_empty(self._state.tree, shape, need):
            self._out.append(
                decisions.Refuse(job_id=entry.job.id, reason="impossible")
            )
            return
        self._state.entries[entry.job.id] = entry
        self._queue.append(entry)

    def _leave(self) -> None:
        nodes = self._state.tree.nodes
        for entry in self._state.entries.values():
            out = any(not nodes[name].in_service for name in entry.units)
            if entry.placed and out:
                self._stop(entry, checkpoint=True)

    def _stop(self, entry: table.JobEntry, checkpoint: bool) -> None:
        entry.phase = jobs.JobPhase.STOPPING
        self._out.append(
            decisions.StopAttempt(
                job_id=entry.job.id,
                attempt=entry.attempt,
                reason="forced out",
                checkpoint=checkpoint,
                requeue=True,
            )
        )

    def _released(self, event: events.JobReleased) -> None:
        entry = self._state.entries[event.job_id]
        self._state.release(entry)
        if not event.requeued:
            del self._state.entries[event.job_id]
            return
        entry.phase = jobs.JobPhase.QUEUED
        entry.progress_ms = event.progress_ms
        self._queue.append(entry)
        self._queue.sort(key=lambda each: each.job.submitted_ms)

    def _place(self, entry: table.JobEntry) -> bool:
        fit = fitting.find(
            self._state.tree,
            entry.job.shape,
            entry.need,
            _free,
            best=self._backfill,
        )
        if fit is None:
            return False
        self._queue.remove(entry)
        self._state.allocate(entry, fit)
        self._out.append(
            decisions.PlaceAttempt(
                job_id=entry.job.id,
                attempt=entry.attempt,
                assignments=entry.assignments,
            )
        )
        return True

    def _shadow(self, first: table.JobEntry, now_ms: int) -> tuple[int, int]:
        """Returns when the first job should start, and what is spare then."""
        free = sum(
            node.room
            for node in self._state.tree.nodes.values()
            if node.in_service
        )
        ends = sorted(
            (
                max(now_ms, each.started_ms + each.job.declared_ms),
                sum(each.units.values()),
            )
            for each in self._state.entries.values()
            if each.units and each.started_ms is not None
        )
        wanted = first.job.shape.accelerators
        for ends_ms, units in ends:
            free += units
            if free >= wanted:
                return ends_ms, free - wanted
        return now_ms, 0


def _free(node: capacity.Node) -> int:
    return node.room
