"""The scheduler: events in, decisions out, no clock and no I/O of its own."""

import random

from bilberryroute.model import jobs
from bilberryroute.scheduling import admission
from bilberryroute.scheduling import checks
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from bilberryroute.scheduling import explaining
from bilberryroute.scheduling import placing
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import queueing
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_SETTLE_MS = 2_000
_RAMP_MS = 15_000
_PLACEMENTS_PER_DECISION = 64

_Signature = queueing.Signature


class Scheduler:
    """Decides what runs where; counts its own decisions as taken."""

    def __init__(self, policy: policies.Policy, rng: random.Random):
        self._policy = policy
        self._rng = rng
        self._state = states.State()
        self._placer = placing.Placer(policy, self._state)
        self._queue = queueing.Queue()
        self._pending: list[decisions.Decision] = []
        self._restored: list[jobs.JobRecord] = []
        self._unchecked: dict[str, None] = {}
        self._capacity_changed = False
        self._joined_ms = 0
        self._misfits: dict[object, int] = {}

    def observe(self, event: events.Event, now_ms: int) -> None:
        """Takes in one event.

        Args:
          event: What happened.
          now_ms: Clock reading in milliseconds.
        """
        match event:
            case events.ConfigurationChanged(configuration=configuration):
                self._state.configuration = configuration
                self._state.guarantees.configure(configuration)
                self._capacity_changed = True
                self._service_changed(now_ms)
            case events.WorkerJoined(worker=worker):
                self._worker_joined(worker, now_ms)
            case events.WorkerLost(name=name):
                self._worker_lost(name)
            case events.JobQueued(record=record):
                self._job_queued(record, now_ms)
            case events.JobRemoved(job_id=job_id):
                self._forget(job_id)
            case events.JobStarted(job_id=job_id, attempt=attempt):
                self._job_started(job_id, attempt, now_ms)
            case events.JobStopping(job_id=job_id, attempt=attempt):
                entry = self._current(job_id, attempt)
                if entry is not None:
                    entry.phase = jobs.JobPhase.STOPPING
            case events.JobReleased():
                self._job_released(event, now_ms)
            case events.TaskEnded():
                self._task_ended(event, now_ms)
            case events.JobRestored(record=record):
                self._restored.append(record)
            case events.UsageReported():
                pass

    def decide(self, now_ms: int) -> list[decisions.Decision]:
        """Returns the decisions due now, all counted as taken.

        Args:
          now_ms: Clock reading in milliseconds.
        """
        self._restore(now_ms)
        self._state.open_due(now_ms)
        if self._capacity_changed:
            self._capacity_changed = False
            if self._state.guarantees.repair():
                self._state.recount_protection()
        self._refuse_impossible(now_ms)
        self._serve_queue(now_ms)
        taken, self._pending = self._pending, []
        return taken

    def explain(self, job_id: str, now_ms: int) -> decisions.Explanation | None:
        """Says in words why a job waits, or None if it is not known."""
        entry = self._state.entries.get(job_id)
        if entry is None:
            return None
        return explaining.explain(self._state, entry, now_ms)

    def shortfalls(self) -> tuple[decisions.Shortfall, ...]:
        """Returns the guarantees that capacity in service does not hold."""
        return self._state.guarantees.shortfalls()

    def check(self) -> list[decisions.Violation]:
        """Checks all invariants from scratch."""
        return checks.check(self._state)

    def _service_changed(self, now_ms: int) -> None:
        """Moves jobs away from workers that operators took out."""
        ramp_ms = _RAMP_MS if self._policy.gentle_return else 0
        self._state.refresh_service(now_ms, ramp_ms)
        nodes = self._state.tree.nodes
        out = [
            entry
            for entry in self._state.entries.values()
            if entry.placed
            and any(not nodes[name].in_service for name in entry.units)
        ]
        for entry in sorted(out, key=_leaving_order):
            self._stop(entry, "its failure domain or worker is out of service")

    def _worker_joined(self, worker: jobs.Worker, now_ms: int) -> None:
        node = self._state.tree.nodes.get(worker.name)
        if node is not None:
            if node.worker == worker:
                return
            self._worker_lost(worker.name)
        node = self._state.tree.join(worker)
        node.in_service = admission.in_service(
            self._state.configuration, worker
        )
        self._joined_ms = now_ms
        self._capacity_changed = True
        self._state.room_grew()

    def _worker_lost(self, name: str) -> None:
        for entry in self._state.lose_worker(name):
            if entry.placed:
                reason = f"worker {name} is lost"
                self._stop(entry, reason, checkpoint=False)
        self._capacity_changed = True

    def _job_queued(self, record: jobs.JobRecord, now_ms: int) -> None:
        if record.job.id in self._state.entries:
            return
        entry = table.Entry(
            job=record.job,
            attempt=record.attempt,
            progress_ms=record.progress_ms,
            waits_since_ms=now_ms,
        )
        self._state.entries[record.job.id] = entry
        self._unchecked[record.job.id] = None
        self._enqueue(entry)

    def _enqueue(self, entry: table.Entry) -> None:
        self._queue.add(entry, self._rank(entry))

    def _rank(self, entry: table.Entry) -> int:
        if not self._policy.shortest_first:
            return entry.job.submitted_ms
        return max(1, entry.job.declared_ms - entry.progress_ms)

    def _job_started(self, job_id: str, attempt: int, now_ms: int) -> None:
        entry = self._current(job_id, attempt)
        if entry is None or entry.phase != jobs.JobPhase.RESERVED:
            return
        entry.phase = jobs.JobPhase.RUNNING
        entry.started_ms = now_ms

    def _job_released(self, event: events.JobReleased, now_ms: int) -> None:
        entry = self._current(event.job_id, event.attempt)
        if entry is None or entry.phase == jobs.JobPhase.QUEUED:
            return
        self._state.release(entry)
        if not event.requeued:
            self._forget(event.job_id)
            return
        entry.phase = jobs.JobPhase.QUEUED
        entry.progress_ms = event.progress_ms
        entry.stops += entry.started_ms is not None
        entry.started_ms = None
        entry.waits_since_ms = now_ms
        self._enqueue(entry)

    def _task_ended(self, event: events.TaskEnded, now_ms: int) -> None:
        entry = self._current(event.job_id, event.attempt)
        if entry is None or not entry.placed:
            return
        match event.result:
            case jobs.TaskResult.FAILED:
                entry.failed_on.add(event.worker)
                reason = f"its task on worker {event.worker} failed"
                self._stop(entry, reason, checkpoint=False)
            case jobs.TaskResult.OVER_LIMIT:
                entry.over_limit += 1
                reason = f"the guard of worker {event.worker} stopped its task"
                self._stop(entry, reason, checkpoint=False)
            case jobs.TaskResult.LOST | jobs.TaskResult.STOPPED:
                reason = f"its task on worker {event.worker} was lost"
                self._stop(entry, reason, checkpoint=False)
            case jobs.TaskResult.DONE:
                pass

    def _current(self, job_id: str, attempt: int) -> table.Entry | None:
        """Returns the job if this is its present attempt."""
        entry = self._state.entries.get(job_id)
        if entry is None or entry.attempt != attempt:
            return None
        return entry

    def _forget(self, job_id: str) -> None:
        """Drops a job that ended or left the queue."""
        entry = self._state.entries.get(job_id)
        if entry is None:
            return
        self._queue.remove(job_id)
        self._state.drop_set_aside(job_id)
        self._state.release(entry)
        self._unchecked.pop(job_id, None)
        del self._state.entries[job_id]

    def _stop(
        self, entry: table.Entry, reason: str, checkpoint: bool = True
    ) -> None:
        """Decides to stop a placed job and to queue it again."""
        entry.phase = jobs.JobPhase.STOPPING
        self._pending.append(
            decisions.Stop(
                job_id=entry.job.id,
                attempt=entry.attempt,
                reason=reason,
                checkpoint=checkpoint,
                requeue=True,
            )
        )

    def _restore(self, now_ms: int) -> None:
        """Takes over the records given to a new leader's scheduler."""
        records, self._restored = self._restored, []
        for record in records:
            if record.phase == jobs.JobPhase.QUEUED:
                self._job_queued(record, now_ms)
            elif record.phase != jobs.JobPhase.ENDED:
                self._restore_placed(record, now_ms)
        if records:
            self._state.guarantees.repair()
            self._state.recount_protection()

    def _restore_placed(self, record: jobs.JobRecord, now_ms: int) -> None:
        if record.job.id in self._state.entries:
            return
        entry = table.Entry(
            job=record.job,
            phase=record.phase,
            attempt=record.attempt,
            assignments=record.assignments,
            progress_ms=record.progress_ms,
        )
        if record.phase == jobs.JobPhase.RUNNING:
            entry.started_ms = now_ms
        self._state.entries[record.job.id] = entry
        complete = self._state.restore_hold(entry)
        nodes = self._state.tree.nodes
        if not entry.placed:
            return
        if not complete:
            self._stop(entry, "one of its workers is lost", checkpoint=False)
        elif any(not nodes[name].in_service for name in entry.units):
            self._stop(entry, "its failure domain or worker is out of service")

    def _refuse_impossible(self, now_ms: int) -> None:
        """Refuses new jobs that would not fit even into empty workers."""
        if not self._unchecked or not self._state.tree.nodes:
            return
        if now_ms - self._joined_ms < _SETTLE_MS:
            return
        for job_id in self._unchecked:
            entry = self._state.entries[job_id]
            job = entry.job
            tree = self._state.tree
            if admission.fits_when_empty(tree, job.shape, entry.need):
                continue
            size = admission.largest(tree, job.shape, entry.need)
            reason = (
                f"no {job.shape.adjacency} can hold"
                f" {job.shape.accelerators} accelerators with"
                f" {job.cores_per_accelerator} cores and"
                f" {job.memory_mb_per_accelerator} MB each; the largest"
                f" shape that exists is {size} accelerators"
            )
            self._pending.append(decisions.Refuse(job_id=job_id, reason=reason))
        refused = [
            each.job_id
            for each in self._pending
            if isinstance(each, decisions.Refuse)
        ]
        self._unchecked.clear()
        for job_id in refused:
            self._forget(job_id)

    def _serve_queue(self, now_ms: int) -> None:
        """Tries the first of each lot, in order, until nothing more fits."""
        heads = [
            (self._score(job_id, now_ms), lot, job_id)
            for lot, job_id in self._queue.heads()
        ]
        heads.sort(key=lambda item: item[0])
        left = _PLACEMENTS_PER_DECISION
        for _, lot, job_id in heads:
            while job_id is not None and left:
                if not self._serve(self._state.entries[job_id], now_ms):
                    break
                left -= 1
                job_id = self._queue.head(lot)

    def _score(self, job_id: str, now_ms: int):
        """Returns the place in the order; the lowest is tried first."""
        entry = self._state.entries[job_id]
        job = entry.job
        urgency = states.kind_rank(job.kind) > 0
        if not self._policy.shortest_first:
            return (urgency, job.submitted_ms, job.id)
        left = max(1, job.declared_ms - entry.progress_ms)
        return (urgency, left * job.shape.accelerators, job.id)

    def _serve(self, entry: table.Entry, now_ms: int) -> bool:
        """Places a job now if it can be; else reclaims its guarantee."""
        if self._placer.place_set_aside(entry):
            return self._placed(entry)
        if self._misses("free", entry) and self._placer.place_free(
            entry, now_ms
        ):
            return self._placed(entry)
        self._note_misfit("free", entry)
        if not self._policy.preemption or not self._misses("own", entry):
            return False
        if not self._reclaim(entry, now_ms):
            self._note_misfit("own", entry)
        return False

    def _misses(self, where: str, entry: table.Entry) -> bool:
        """Returns whether a job may fit by now, if it did not before."""
        key = self._misfit_key(where, entry)
        return self._misfits.get(key) != self._state.version

    def _note_misfit(self, where: str, entry: table.Entry) -> None:
        key = self._misfit_key(where, entry)
        self._misfits[key] = self._state.version

    def _misfit_key(self, where: str, entry: table.Entry):
        signature = queueing.signature_of(entry)
        return (where, entry.job.account, entry.job.kind, signature)

    def _placed(self, entry: table.Entry) -> bool:
        self._queue.remove(entry.job.id)
        self._state.drop_set_aside(entry.job.id)
        self._pending.append(
            decisions.Place(
                job_id=entry.job.id,
                attempt=entry.attempt,
                assignments=entry.assignments,
            )
        )
        return True

    def _reclaim(self, entry: table.Entry, now_ms: int) -> bool:
        """Stops borrowers so that a job gets its account's guarantee."""
        if entry.job.id in self._state.set_asides:
            return True
        plan = self._placer.plan_reclaim(entry, now_ms)
        if plan is None:
            return False
        for job_id in plan.victims:
            victim = self._state.entries[job_id]
            self._state.unprotect(victim)
            if victim.placed:
                self._stop(victim, "its room is reclaimed by its owner")
        aside = states.SetAside(
            fit=plan.fit,
            units=self._state.units(entry, plan.fit),
            guaranteed=True,
            since_ms=now_ms,
        )
        self._state.set_aside(entry, aside)
        return True


def _leaving_order(entry: table.Entry):
    """Guaranteed jobs first, then by kind: they find room first."""
    rank = states.kind_rank(entry.job.kind)
    return (not entry.protected, rank, entry.job.id)
