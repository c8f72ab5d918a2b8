"""How the time of one decision grows with the number of workers."""

import dataclasses
import random
import time

from benchmarks import decisions_deployments as deployments
from benchmarks import decisions_measures as measures
from benchmarks import decisions_workload as workloads
from bilberryroute.model import jobs
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import events
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import scheduler

DECISIONS = 400
DECIDE_MS = 100
US_PER_SECOND = 1_000_000


def measure(workers: int, seed: int) -> list[float]:
    """Returns the processor time of decisions under a full queue.

    Args:
      workers: Number of workers; 420 have 710 accelerators and 4,500 tasks.
      seed: Seed of jobs and of the order in which they end.

    Returns:
      One figure for each decision, in microseconds.
    """
    rng = random.Random(seed)
    made = scheduler.Scheduler(policies.Policy(), rng)
    workload = _workload(workers, seed)
    cfg = workload.configuration
    made.observe(events.ConfigurationChanged(configuration=cfg), 0)
    for worker in workload.workers:
        made.observe(events.WorkerJoined(worker=worker), 0)
    for each in workload.submissions:
        if not each.impossible:
            record = jobs.JobRecord(job=each.job)
            made.observe(events.JobQueued(record=record), 0)
    placed: dict[str, int] = {}
    times = []
    for step in range(DECISIONS):
        now_ms = 10_000 + step * DECIDE_MS
        if placed and step % 2:
            job_id = rng.choice(sorted(placed))
            _release(made, job_id, placed.pop(job_id), False, now_ms)
        begun = time.thread_time()
        taken = made.decide(now_ms)
        times.append((time.thread_time() - begun) * US_PER_SECOND)
        for each in taken:
            match each:
                case decisions.PlaceAttempt(job_id=job_id, attempt=attempt):
                    placed[job_id] = attempt
                case decisions.StopAttempt(job_id=job_id, attempt=attempt):
                    placed.pop(job_id, None)
                    _release(made, job_id, attempt, True, now_ms)
    return times


def _workload(workers: int, seed: int) -> workloads.Workload:
    """Returns the target's job mix for a share of its workers."""
    target = deployments.DEPLOYMENTS["target"]
    step = len(target.widths) // workers
    scaled = dataclasses.replace(
        target,
        widths=target.widths[::step][:workers],
        jobs=target.jobs * workers // len(target.widths),
    )
    return workloads.generate_for(scaled, seed)


def _release(made, job_id: str, attempt: int, requeued: bool, now_ms: int):
    released = events.JobReleased(
        job_id=job_id, attempt=attempt, progress_ms=0, requeued=requeued
    )
    made.observe(released, now_ms)


def growth_us(seed: int, workers: tuple[int, ...]) -> dict[str, float]:
    """Returns median and p99 of a decision's time by number of workers."""
    result = {}
    for count in workers:
        times = measure(count, seed)
        for percent in (50, 99):
            name = f"decision_us_p{percent}_{count}_workers"
            result[name] = measures.percentile(times, percent)
    return result
