"""The job scheduler: turns events into decisions, without clock or I/O."""

import random

from bilberryroute.model import jobs
from bilberryroute.scheduling import admission
from bilberryroute.scheduling import checks
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import dispatch
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import events
from bilberryroute.scheduling import explaining
from bilberryroute.scheduling import lifecycle
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import queueing
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_SETTLE_MS = 2_000

# Restored records are applied only once all workers are known, so these events
# may precede that. Any other event may refer to a restored record.
_EVENTS_BEFORE_RESTORE = (
    events.ConfigurationChanged,
    events.WorkerJoined,
    events.JobRestored,
)


class Scheduler:
    """Decides which job runs where.

    Its state assumes that every decision it returned is carried out.
    """

    def __init__(self, policy: policies.Policy, rng: random.Random):
        self._rng = rng
        self._state = states.SchedulerState()
        queue = queueing.JobQueue()
        estimator = estimates.JobEstimator(policy.correction)
        self._dispatcher = dispatch.JobDispatcher(
            policy, self._state, queue, estimator
        )
        self._handler = lifecycle.EventHandler(
            policy, self._state, queue, estimator, self._dispatcher
        )
        self._restored: list[jobs.JobRecord] = []

    def observe(self, event: events.Event, now_ms: int) -> None:
        """Applies one event to the scheduler's state.

        Args:
          event: What happened.
          now_ms: Current time in milliseconds.
        """
        handler = self._handler
        if self._restored and not isinstance(event, _EVENTS_BEFORE_RESTORE):
            self._restore(now_ms)
        match event:
            case events.ConfigurationChanged(configuration=configuration):
                self._state.configuration = configuration
                self._state.guarantees.configure(configuration)
                handler.in_service_changed(now_ms)
            case events.WorkerJoined(worker=worker):
                handler.worker_joined(worker, now_ms)
            case events.WorkerLost(name=name):
                handler.worker_lost(name)
            case events.JobQueued(record=record):
                handler.job_queued(record, now_ms)
            case events.JobRemoved(job_id=job_id):
                handler.remove_job(job_id)
            case events.JobStarted():
                handler.job_started(event, now_ms)
            case events.JobStopping():
                handler.job_stopping(event)
            case events.JobReleased():
                handler.job_released(event, now_ms)
            case events.TaskEnded():
                handler.task_ended(event, now_ms)
            case events.JobRestored(record=record):
                self._restored.append(record)
            case events.UsageReported():
                handler.usage_reported(event)

    def decide(self, now_ms: int) -> list[decisions.Decision]:
        """Returns the decisions due now, already applied to the state.

        Args:
          now_ms: Current time in milliseconds.
        """
        self._restore(now_ms)
        self._handler.probe_workers(now_ms)
        self._state.complete_ramp_ups(now_ms)
        if self._state.rebinding_due:
            self._state.rebinding_due = False
            self._state.guarantees.rebind()
            self._state.recompute_protection()
        self._refuse_impossible(now_ms)
        self._dispatcher.dispatch(now_ms)
        due, self._state.pending_decisions = self._state.pending_decisions, []
        return due

    def explain(self, job_id: str, now_ms: int) -> decisions.Explanation | None:
        """Explains why a job waits; returns None for an unknown job."""
        entry = self._state.entries.get(job_id)
        if entry is None:
            return None
        return explaining.explain(self._state, entry, now_ms)

    def refusal(self, job: jobs.Job, now_ms: int) -> str:
        """Returns why a job can never run, or an empty string.

        No job is refused shortly after a worker joined: others may follow.
        """
        if not self._workers_settled(now_ms):
            return ""
        return self._impossible_reason(table.JobEntry(job=job))

    def shortfalls(self) -> tuple[decisions.Shortfall, ...]:
        """Returns the guarantees that do not fit the workers in service."""
        return self._state.guarantees.shortfalls()

    def unfinished(self) -> bool:
        """Returns whether the last call of decide() left work for the next."""
        return self._dispatcher.unfinished

    def check(self) -> list[decisions.Violation]:
        """Checks all invariants against the whole state."""
        return checks.check(self._state)

    def _restore(self, now_ms: int) -> None:
        """Applies the job records that a new leader passed in."""
        records, self._restored = self._restored, []
        for record in records:
            self._handler.restore(record, now_ms)
        if records:
            self._state.guarantees.rebind()
            self._state.recompute_protection()

    def _refuse_impossible(self, now_ms: int) -> None:
        """Refuses new jobs that would not fit even into empty workers."""
        unvalidated = self._handler.unvalidated
        if not unvalidated or not self._workers_settled(now_ms):
            return
        for job_id in list(unvalidated):
            reason = self._impossible_reason(self._state.entries[job_id])
            if reason:
                refusal = decisions.Refuse(job_id=job_id, reason=reason)
                self._state.pending_decisions.append(refusal)
                self._handler.remove_job(job_id)
        unvalidated.clear()

    def _workers_settled(self, now_ms: int) -> bool:
        if not self._state.tree.nodes:
            return False
        return now_ms - self._handler.last_join_ms >= _SETTLE_MS

    def _impossible_reason(self, entry: table.JobEntry) -> str:
        """Returns why a job can never run, or an empty string."""
        job, tree = entry.job, self._state.tree
        if admission.fits_when_empty(tree, job.shape, entry.need):
            return ""
        size = admission.max_feasible_accelerators(tree, job.shape, entry.need)
        return (
            f"no {job.shape.adjacency} can hold"
            f" {job.shape.accelerators} accelerators with"
            f" {job.cores_per_accelerator} cores and"
            f" {job.memory_mb_per_accelerator} MB each; the largest"
            f" shape that exists is {size} accelerators"
        )
