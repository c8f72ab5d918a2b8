"""Lower bound on the mean completion time of any schedule of a workload.

Each job is taken as fluid: its work in accelerator-milliseconds may be done
at any rate up to all capacity in service that does not fail every task, and
be interrupted for nothing.
On such a machine, least-total-work-first, preemptive, has the least sum of
mean busy times M of all schedules; and whatever runs a job at its own width
ends it at least half its run time after its mean busy time. So the sum of
M + run time / 2 bounds the sum of completion times from below. The sum of
completion times of least-work-left-first and the sum of arrival plus run time
are bounds too; the largest of the three is taken.
"""

import heapq

from benchmarks import decisions_workload as workloads


def completion_ms(workload: workloads.Workload, offset_ms: int) -> float:
    """Returns a bound on the mean time from submission to the end.

    Args:
      workload: The session.
      offset_ms: How much later than drawn the loop submits the jobs.
    """
    subs = [
        each
        for each in workload.submissions
        if not each.impossible and each.cancel_ms is None
    ]
    arrivals = sorted(
        (
            each.job.submitted_ms + offset_ms,
            float(each.runs_ms * each.job.shape.accelerators),
            each.runs_ms,
        )
        for each in subs
    )
    submitted = sum(at for at, _, _ in arrivals)
    busy, _ = _fluid(workload, arrivals, by_total=True)
    _, ends = _fluid(workload, arrivals, by_total=False)
    runs = sum(runs_ms for _, _, runs_ms in arrivals)
    best = max(busy + runs / 2 - submitted, ends - submitted, runs)
    return best / len(arrivals)


def able_accelerators(workload: workloads.Workload, now_ms: float) -> int:
    """Returns the accelerators in service of workers that do not fail."""
    out_ms, back_ms = workload.out_span_ms
    since_ms, until_ms = workload.failing_span_ms
    out = workload.domain_out if out_ms <= now_ms < back_ms else ""
    broken = workload.failing_worker if since_ms <= now_ms < until_ms else ""
    return sum(
        each.accelerators
        for each in workload.workers
        if each.failure_domain != out and each.name != broken
    )


def _fluid(workload, arrivals, by_total: bool) -> tuple[float, float]:
    """Returns the sums of mean busy times and of ends, least work first."""
    changes = sorted(
        [at for at, _, _ in arrivals]
        + [*workload.out_span_ms, *workload.failing_span_ms]
    )
    waiting: list[list[float]] = []
    busy, ends, position, now = 0.0, 0.0, 0, 0.0
    while position < len(arrivals) or waiting:
        later = [at for at in changes if at > now]
        until = later[0] if later else float("inf")
        while position < len(arrivals) and arrivals[position][0] <= now:
            work = arrivals[position][1]
            heapq.heappush(waiting, [work, position, work])
            position += 1
        rate = able_accelerators(workload, now)
        while waiting and now < until:
            key, index, left = waiting[0]
            span = min(left / rate, until - now)
            total = arrivals[index][1]
            busy += rate * span / total * (now + span / 2)
            now += span
            left -= rate * span
            if left <= 1e-6 * total:
                heapq.heappop(waiting)
                ends += now
            else:
                rank = key if by_total else left
                heapq.heapreplace(waiting, [rank, index, left])
        if now < until:
            now = until
    return busy, ends
