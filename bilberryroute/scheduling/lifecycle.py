"""Applies events on jobs, tasks and workers to the scheduler's state."""

from bilberryroute.model import jobs
from bilberryroute.scheduling import admission
from bilberryroute.scheduling import dispatch
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import events
from bilberryroute.scheduling import health
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import queueing
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_MAX_OVER_LIMIT_RETRIES = 4
_OUT_OF_SERVICE = "its failure domain or worker is out of service"


class EventHandler:
    """Applies events to the state and decides the stops they require.

    Attributes:
      unvalidated: IDs of queued jobs not yet checked for feasibility.
      last_join_ms: Time at which a worker last joined, in milliseconds.
    """

    def __init__(
        self,
        policy: policies.Policy,
        state: states.SchedulerState,
        queue: queueing.JobQueue,
        estimator: estimates.JobEstimator,
        dispatcher: dispatch.JobDispatcher,
    ):
        self._policy = policy
        self._state = state
        self._queue = queue
        self._estimator = estimator
        self._dispatcher = dispatcher
        self._health = health.WorkerHealth()
        self.unvalidated: dict[str, None] = {}
        self.last_join_ms = 0

    def in_service_changed(self, now_ms: int) -> None:
        """Stops jobs on workers that operators took out of service."""
        ramp_ms = self._policy.ramp_ms if self._policy.gradual_return else 0
        self._state.refresh_in_service(now_ms, ramp_ms)
        self._state.rebinding_due = True
        nodes = self._state.tree.nodes
        leaving = [
            entry
            for entry in self._state.entries.values()
            if entry.placed
            and any(not nodes[name].in_service for name in entry.units)
        ]
        for entry in sorted(leaving, key=_evacuation_order):
            self._state.stop(entry, _OUT_OF_SERVICE, self._policy.migration)

    def worker_joined(self, worker: jobs.Worker, now_ms: int) -> None:
        """Adds a worker; a new incarnation implies the loss of the old one."""
        node = self._state.tree.nodes.get(worker.name)
        if node is not None:
            if node.worker == worker:
                return
            self.worker_lost(worker.name)
        node = self._state.tree.add_worker(worker)
        node.in_service = admission.in_service(
            self._state.configuration, worker
        )
        self.last_join_ms = now_ms
        self._state.rebinding_due = True
        self._state.mark_capacity_grown()

    def worker_lost(self, name: str) -> None:
        """Stops every job that had a task on a lost worker."""
        for entry in self._state.remove_worker(name):
            if entry.placed:
                reason = f"worker {name} is lost"
                self._state.stop(entry, reason, checkpoint=False)
        self._health.remove_worker(name)
        self._state.rebinding_due = True

    def job_queued(self, record: jobs.JobRecord, now_ms: int) -> None:
        """Adds a job to the queue."""
        if record.job.id in self._state.entries:
            return
        entry = table.JobEntry(
            job=record.job,
            attempt=record.attempt,
            progress_ms=record.progress_ms,
            waiting_since_ms=now_ms,
        )
        self._estimate_memory(entry)
        self._state.entries[record.job.id] = entry
        self.unvalidated[record.job.id] = None
        self._dispatcher.enqueue(entry)

    def job_started(self, event: events.JobStarted, now_ms: int) -> None:
        """Marks a job as running once all its tasks were started."""
        entry = self._current_entry(event.job_id, event.attempt)
        if entry is not None and entry.phase == jobs.JobPhase.RESERVED:
            entry.phase = jobs.JobPhase.RUNNING
            entry.started_ms = now_ms

    def job_stopping(self, event: events.JobStopping) -> None:
        """Marks a job as stopping if the stop was decided elsewhere."""
        entry = self._current_entry(event.job_id, event.attempt)
        if entry is not None and entry.placed:
            entry.phase = jobs.JobPhase.STOPPING
            self._state.unprotect(entry)

    def job_released(self, event: events.JobReleased, now_ms: int) -> None:
        """Releases an attempt's accelerators; requeues the job if asked to."""
        entry = self._current_entry(event.job_id, event.attempt)
        if entry is None or entry.phase == jobs.JobPhase.QUEUED:
            return
        self._state.release(entry)
        if not event.requeued:
            self.remove_job(event.job_id)
            return
        entry.phase = jobs.JobPhase.QUEUED
        entry.progress_ms = event.progress_ms
        entry.stop_count += entry.started_ms is not None
        entry.started_ms = None
        entry.waiting_since_ms = now_ms
        self._estimate_memory(entry)
        self._dispatcher.enqueue(entry)

    def task_ended(self, event: events.TaskEnded, now_ms: int) -> None:
        """Handles the end of a task; one lost or failed task stops the job."""
        entry = self._current_entry(event.job_id, event.attempt)
        if entry is None or not entry.placed:
            return
        name = event.worker
        match event.result:
            case jobs.TaskResult.DONE:
                self._task_done(entry, event)
            case jobs.TaskResult.FAILED:
                self._task_failed(entry, name, now_ms)
            case jobs.TaskResult.OVER_LIMIT:
                self._task_over_limit(entry, name)
            case jobs.TaskResult.LOST | jobs.TaskResult.STOPPED:
                reason = f"its task on worker {name} was lost"
                self._state.stop(entry, reason, checkpoint=False)

    def usage_reported(self, event: events.UsageReported) -> None:
        """Records the memory use of a running task, once per job."""
        entry = self._state.entries.get(event.job_id)
        if entry is None or not event.memory_mb or entry.memory_recorded:
            return
        entry.memory_recorded = True
        self._estimator.record_memory(entry.job, event.memory_mb)

    def probe_workers(self, now_ms: int) -> None:
        """Starts probing quarantined workers whose quarantine has ended."""
        for name in self._health.due_probes(now_ms):
            node = self._state.tree.nodes.get(name)
            if node is not None and node.quarantined:
                node.quarantined, node.probing = False, True
                self._state.mark_capacity_grown()

    def restore(self, record: jobs.JobRecord, now_ms: int) -> None:
        """Restores a job from the record of an earlier leader."""
        if record.phase == jobs.JobPhase.QUEUED:
            self.job_queued(record, now_ms)
            return
        known = record.job.id in self._state.entries
        if known or record.phase == jobs.JobPhase.ENDED:
            return
        entry = table.JobEntry(
            job=record.job,
            phase=record.phase,
            attempt=record.attempt,
            assignments=record.assignments,
            progress_ms=record.progress_ms,
        )
        if record.phase == jobs.JobPhase.RUNNING:
            entry.started_ms = now_ms
        self._state.entries[record.job.id] = entry
        complete = self._state.restore_allocation(entry)
        nodes = self._state.tree.nodes
        if not entry.placed:
            return
        if not complete:
            reason = "one of its workers is lost"
            self._state.stop(entry, reason, checkpoint=False)
        elif any(not nodes[name].in_service for name in entry.units):
            self._state.stop(entry, _OUT_OF_SERVICE, self._policy.migration)

    def remove_job(self, job_id: str) -> None:
        """Removes a job that ended or left the queue."""
        entry = self._state.entries.get(job_id)
        if entry is None:
            return
        self._queue.remove(job_id)
        self._state.cancel_reservation(job_id)
        self._state.release(entry)
        self.unvalidated.pop(job_id, None)
        del self._state.entries[job_id]

    def _estimate_memory(self, entry: table.JobEntry) -> None:
        """Sets the expected memory, or the declared size if that cannot fit."""
        entry.memory_mb = self._estimator.memory_mb(entry.job)
        tree = self._state.tree
        shape = entry.job.shape
        if not admission.fits_when_empty(tree, shape, entry.need):
            entry.memory_mb = 0

    def _current_entry(
        self, job_id: str, attempt: int
    ) -> table.JobEntry | None:
        """Returns the job if `attempt` is its current one, else None."""
        entry = self._state.entries.get(job_id)
        if entry is None or entry.attempt != attempt:
            return None
        return entry

    def _task_done(
        self, entry: table.JobEntry, event: events.TaskEnded
    ) -> None:
        node = self._state.tree.nodes.get(event.worker)
        if self._health.record_success(event.worker) and node is not None:
            node.quarantined, node.probing = False, False
            self._state.rebinding_due = True
            self._state.mark_capacity_grown()
        if event.worker == entry.assignments[0].worker:
            total_ms = entry.progress_ms + event.ran_ms
            self._estimator.record_run_time(entry.job, total_ms)

    def _task_failed(
        self, entry: table.JobEntry, name: str, now_ms: int
    ) -> None:
        entry.failed_on.add(name)
        job_id = entry.job.id
        if self._policy.quarantine:
            if self._health.record_failure(name, job_id, now_ms):
                self._quarantine(name)
            if self._health.is_faulty_job(entry):
                self._health.discard_failures_of(job_id)
                count = len(entry.failed_on)
                reason = f"it failed on {count} workers that serve others"
                self._state.fail(entry, reason)
                return
        reason = f"its task on worker {name} failed"
        self._state.stop(entry, reason, checkpoint=False)

    def _quarantine(self, name: str) -> None:
        node = self._state.tree.nodes.get(name)
        if node is not None:
            node.quarantined, node.probing = True, False
            self._state.rebinding_due = True

    def _task_over_limit(self, entry: table.JobEntry, name: str) -> None:
        """Retries with doubled resources, a bounded number of times."""
        entry.over_limit_count += 1
        tree, shape = self._state.tree, entry.job.shape
        fits = admission.fits_when_empty(tree, shape, entry.need)
        if entry.over_limit_count > _MAX_OVER_LIMIT_RETRIES or not fits:
            reason = f"the guard of worker {name} stopped it at every size"
            self._state.fail(entry, reason)
            return
        reason = f"the guard of worker {name} stopped its task"
        self._state.stop(entry, reason, checkpoint=False)


def _evacuation_order(entry: table.JobEntry):
    """Sorts protected jobs first, then by kind.

    Jobs that stop first are requeued and placed elsewhere first.
    """
    rank = states.kind_rank(entry.job.kind)
    return (not entry.protected, rank, entry.job.id)
