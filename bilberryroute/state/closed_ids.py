"""Ids of jobs that no submission may take any more.

A submission may be held up on its way and arrive after the job was cancelled,
or after an earlier copy of it has run and the job is no longer stored.
"""

# Linux gives up a connection after 15 minutes without an acknowledgement
# (tcp_retries2); until then it still delivers what was sent.
KEPT_MS = 20 * 60_000
# Bounds the state at about 1 MB; the oldest are dropped beyond it.
MAX_KEPT = 10_000

# Unix time in milliseconds until which each id is kept, by account and id;
# oldest first.
ClosedIds = dict[str, int]


def close(closed: ClosedIds, account: str, job_id: str, at_ms: int) -> None:
    """Keeps an id of an account from being taken by a job."""
    _prune(closed, at_ms)
    key = _key(account, job_id)
    closed.pop(key, None)
    closed[key] = at_ms + KEPT_MS
    if len(closed) > MAX_KEPT:
        del closed[next(iter(closed))]


def is_closed(closed: ClosedIds, account: str, job_id: str, at_ms: int) -> bool:
    """Returns whether no job may take an id of an account."""
    return closed.get(_key(account, job_id), 0) > at_ms


def _prune(closed: ClosedIds, at_ms: int) -> None:
    while closed:
        oldest = next(iter(closed))
        if closed[oldest] > at_ms:
            return
        del closed[oldest]


def _key(account: str, job_id: str) -> str:
    return f"{account}/{job_id}"
