"""Fake workers under one scheduler, and the loop that drives both."""

import collections
import dataclasses
import heapq
import itertools
import random
import time

from benchmarks import decisions_workload as workloads
from bilberryroute import clock
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events

DECIDE_MS = 100
IDLE_MS = 10_000
RESTORE_MS = 20_000
AUTOMATIC_CHECKPOINT_MS = 600_000
REPORT_MS = 60_000
LAST_MS = 3 * workloads.SESSION_MS


@dataclasses.dataclass(slots=True, kw_only=True)
class Life:
    """What became of one job on the fake workers.

    Attributes:
      place: Present placement, if it has one.
      running_ms: When the present attempt began; None if it has not.
      kept_ms: Run time that checkpoints keep.
      work: Spans of work that was kept, as (from, to) instants.
      stopping: Whether its present attempt has ended or is being stopped.
      gone: Whether it will never run again.
    """

    submission: workloads.Submission
    place: decisions.PlaceAttempt | None = None
    running_ms: int | None = None
    kept_ms: int = 0
    first_start_ms: int | None = None
    ended_ms: int | None = None
    work: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    stopping: bool = False
    gone: bool = False

    @property
    def waits(self) -> bool:
        """Whether it is queued."""
        return self.place is None and not self.gone


class Loop:
    """Runs one session under one scheduler, with a manual clock.

    Attributes:
      lives: What became of each job, by id.
      active: Those of them that still wait or run.
      tasks: Jobs placed on each worker.
      decision_us: Time of each decision in microseconds.
    """

    def __init__(self, workload: workloads.Workload, scheduler, watcher):
        self.workload = workload
        self.scheduler = scheduler
        self.clock = clock.ManualClock()
        self.lives: dict[str, Life] = {}
        self.active: dict[str, Life] = {}
        self.tasks: dict[str, set[str]] = collections.defaultdict(set)
        self.decision_us: list[float] = []
        self._workers = {each.name: each for each in workload.workers}
        self._watcher = watcher
        self._rng = random.Random(7)
        self._due: list = []
        self._order = itertools.count()

    def run(self) -> None:
        """Runs until every job has ended, or far beyond the session."""
        cfg = self.workload.configuration
        self.tell(events.ConfigurationChanged(configuration=cfg))
        for worker in self.workload.workers:
            self.tell(events.WorkerJoined(worker=worker))
        for each in self.workload.submissions:
            self._after(each.job.submitted_ms + 10_000, self._submit, each)
            if each.cancel_ms is not None:
                self._after(each.cancel_ms + 10_000, self._cancel, each.job.id)
        out_ms, back_ms = self.workload.out_span_ms
        self._after(out_ms, self._set_domain, False)
        self._after(back_ms, self._set_domain, True)
        waiting = False
        while (self._due or waiting) and self.clock.now() < LAST_MS:
            self._step(waiting)
            waiting = any(life.waits for life in self.active.values())

    def tell(self, event) -> None:
        """Tells the scheduler of an event now."""
        self.scheduler.observe(event, self.clock.now())

    def _after(self, duration_ms: int, act, *args) -> None:
        item = (self.clock.now() + duration_ms, next(self._order), act, args)
        heapq.heappush(self._due, item)

    def _step(self, waiting: bool) -> None:
        """Lets all that is due before the next decision happen; decides."""
        soon = self.scheduler.unfinished()
        idle_ms = self.clock.now() + (DECIDE_MS if soon else IDLE_MS)
        due_ms = self._due[0][0] if self._due else idle_ms
        due_ms = min(due_ms, idle_ms) if waiting else due_ms
        tick_ms = -(-due_ms // DECIDE_MS) * DECIDE_MS
        happened = 0
        while self._due and self._due[0][0] <= tick_ms:
            happened += 1
            at_ms, _, act, args = heapq.heappop(self._due)
            self.clock.advance(max(0, at_ms - self.clock.now()))
            act(*args)
        self.clock.advance(max(0, tick_ms - self.clock.now()))
        begun = time.thread_time()
        taken = self.scheduler.decide(self.clock.now())
        self.decision_us.append((time.thread_time() - begun) * 1e6)
        for decision in taken:
            self._apply(decision)
        self._watcher.watch(self, bool(happened or taken))

    def _apply(self, decision: decisions.Decision) -> None:
        life = self.lives[decision.job_id]
        match decision:
            case decisions.PlaceAttempt(
                attempt=attempt, assignments=assignments
            ):
                self._watcher.placed(self, decision)
                life.place, life.stopping = decision, False
                for each in assignments:
                    self.tasks[each.worker].add(decision.job_id)
                delay_ms = self._rng.randint(60, 300)
                self._after(delay_ms, self._start, life, attempt)
            case decisions.StopAttempt(checkpoint=checkpoint, requeue=requeue):
                self._stop(life, checkpoint, requeue)
            case decisions.Fail():
                self._stop(life, False, False)
            case decisions.Refuse(job_id=job_id):
                self._end_for_good(job_id)

    def _submit(self, submission: workloads.Submission) -> None:
        job = dataclasses.replace(submission.job, submitted_ms=self.clock.now())
        life = Life(submission=dataclasses.replace(submission, job=job))
        self.lives[job.id] = self.active[job.id] = life
        self._watcher.submitted(self, life)
        self.tell(events.JobQueued(record=jobs.JobRecord(job=job)))

    def _cancel(self, job_id: str) -> None:
        life = self.lives[job_id]
        if life.waits:
            self._end_for_good(job_id)
            self.tell(events.JobRemoved(job_id=job_id))
        elif life.place is not None:
            attempt = life.place.attempt
            self.tell(events.JobStopping(job_id=job_id, attempt=attempt))
            self._stop(life, False, False)

    def _end_for_good(self, job_id: str) -> None:
        self.lives[job_id].gone = True
        del self.active[job_id]

    def _set_domain(self, in_service: bool) -> None:
        name = self.workload.domain_out
        before = self.workload.configuration
        domain = config.FailureDomain(name=name, in_service=in_service)
        domains = {**before.failure_domains, name: domain}
        cfg = dataclasses.replace(before, failure_domains=domains)
        self.tell(events.ConfigurationChanged(configuration=cfg))

    def _is_current(self, life: Life, attempt: int) -> bool:
        place = life.place
        return not life.stopping and place and place.attempt == attempt

    def _start(self, life: Life, attempt: int) -> None:
        """Starts a gang that is reserved on all members."""
        if not self._is_current(life, attempt):
            return
        job_id = life.place.job_id
        life.running_ms = self.clock.now()
        life.first_start_ms = life.first_start_ms or life.running_ms
        self._watcher.started(self, life)
        self.tell(events.JobStarted(job_id=job_id, attempt=attempt))
        lasts_ms = life.submission.runs_ms - life.kept_ms
        lasts_ms += RESTORE_MS if attempt > 1 else 0
        worker, result = self._goes_wrong(life)
        if worker is not None:
            lasts_ms = min(lasts_ms, self._rng.randint(5_000, 60_000))
        self._after(lasts_ms, self._end, life, attempt, worker, result)
        self._after(REPORT_MS, self._report, life, attempt)

    def _report(self, life: Life, attempt: int) -> None:
        """Reports the usage of a running job, with a lag."""
        if self._is_current(life, attempt):
            reported = events.UsageReported(
                worker=life.place.assignments[0].worker,
                job_id=life.place.job_id,
                progress_ms=life.kept_ms,
                memory_mb=life.submission.memory_mb,
            )
            self.tell(reported)

    def _goes_wrong(self, life: Life):
        """Returns on which worker the attempt will fail, if any, and how."""
        since_ms, until_ms = self.workload.failing_span_ms
        broken = since_ms <= self.clock.now() < until_ms
        for each in life.place.assignments:
            if broken and each.worker == self.workload.failing_worker:
                return each.worker, jobs.TaskResult.FAILED
            if self._memory_mb(each.worker) > 0 and self._over_share(life):
                return each.worker, jobs.TaskResult.OVER_LIMIT
        return None, jobs.TaskResult.DONE

    def _memory_mb(self, name: str) -> int:
        """Returns by how much the tasks on a worker exceed its memory."""
        total_mb = -self._workers[name].memory_mb
        for job_id in self.tasks[name]:
            life = self.lives[job_id]
            for each in life.place.assignments:
                if each.worker == name:
                    count = len(each.accelerators)
                    total_mb += count * life.submission.memory_mb
        return total_mb

    def _over_share(self, life: Life) -> bool:
        """Returns whether the guard takes this task to be the one at fault."""
        worker = self._workers[life.place.assignments[0].worker]
        share_mb = worker.memory_mb // worker.accelerators
        return life.submission.memory_mb > share_mb

    def _end(self, life: Life, attempt: int, worker, result) -> None:
        if not self._is_current(life, attempt):
            return
        ran_ms = self.clock.now() - life.running_ms
        for each in life.place.assignments:
            if worker in (None, each.worker):
                ended = events.TaskEnded(
                    job_id=life.place.job_id,
                    attempt=attempt,
                    worker=each.worker,
                    result=result,
                    ran_ms=ran_ms,
                )
                self.tell(ended)
        if worker is None:
            self._keep(life, life.submission.runs_ms)
            life.ended_ms = self.clock.now()
            life.stopping = True
            self._after(50, self._release, life, False)

    def _stop(self, life: Life, checkpoint: bool, requeue: bool) -> None:
        """Stops an attempt; a checkpoint takes its time and keeps the work."""
        if life.stopping or life.place is None:
            return
        life.stopping = True
        delay_ms = self._rng.randint(100, 300)
        if life.running_ms is not None:
            restore_ms = RESTORE_MS if life.place.attempt > 1 else 0
            ran_ms = self.clock.now() - life.running_ms - restore_ms
            done_ms = life.kept_ms + max(0, ran_ms)
            if checkpoint and requeue:
                delay_ms = self._rng.randint(300, 1_800)
            elif requeue:
                done_ms -= done_ms % AUTOMATIC_CHECKPOINT_MS
            self._keep(life, done_ms)
        self._after(delay_ms, self._release, life, requeue)

    def _keep(self, life: Life, done_ms: int) -> None:
        """Notes the work of this attempt that is kept."""
        gained_ms = done_ms - life.kept_ms
        if gained_ms > 0:
            now_ms = self.clock.now()
            life.work.append((now_ms - gained_ms, now_ms))
            life.kept_ms = done_ms

    def _release(self, life: Life, requeue: bool) -> None:
        place = life.place
        for each in place.assignments:
            self.tasks[each.worker].discard(place.job_id)
        self._watcher.released(self, place)
        life.place, life.running_ms, life.stopping = None, None, False
        if not requeue:
            self._end_for_good(place.job_id)
        released = events.JobReleased(
            job_id=place.job_id,
            attempt=place.attempt,
            progress_ms=life.kept_ms,
            requeued=requeue,
        )
        self.tell(released)
