"""When callers of refused jobs may return, without I/O.

Answers bursts: callers that were refused together would otherwise return
together, and meet the same backlog.
"""

from bilberryroute.scheduling.batch import admission

# Bounds what is remembered of refused jobs, by account so that a flood of one
# does not push out others'; callers give up within minutes.
MAX_REFUSED_IDS = 1_000
REFUSED_KEPT_MS = 120_000


class Returns:
    """Refused jobs that may return, and when."""

    def __init__(self):
        self._first_ms: dict[str, dict[str, int]] = {}
        self._next_ms: dict[str, float] = {}

    def clear(self) -> None:
        """Forgets all; a job that returns is then taken for a new one."""
        self._first_ms.clear()
        self._next_ms.clear()

    def first_ms(self, account: str, job_id: str, wall_ms: int) -> int | None:
        """Returns the Unix time when a job was refused first, or None."""
        ids = self._first_ms.get(account, {})
        while ids:
            oldest = next(iter(ids))
            if wall_ms - ids[oldest] <= REFUSED_KEPT_MS:
                break
            del ids[oldest]
        return ids.get(job_id)

    def drop(self, account: str, job_id: str) -> None:
        """Forgets a job that is accepted."""
        self._first_ms.get(account, {}).pop(job_id, None)

    def refuse(
        self,
        pool: str,
        job_id: str,
        demand: admission.Demand,
        verdict: admission.Refuse,
        wall_ms: int,
    ) -> int:
        """Returns after how many milliseconds a refused job may return.

        New ones return one after another, in the order in which they came, as
        fast as the pool can serve them. One that has returned keeps its place.
        """
        retry_after_ms = verdict.retry_after_ms
        ids = self._first_ms.setdefault(demand.account, {})
        if job_id in ids:
            return retry_after_ms
        ids[job_id] = wall_ms
        if len(ids) > MAX_REFUSED_IDS:
            del ids[next(iter(ids))]
        at_ms = max(wall_ms + retry_after_ms, self._next_ms.get(pool, 0.0))
        at_ms = min(at_ms, wall_ms + admission.MAX_RETRY_MS)
        self._next_ms[pool] = at_ms + max(demand.work)
        return int(at_ms - wall_ms)
