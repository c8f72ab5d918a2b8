"""How far the lease of a worker's runs may be extended; does no I/O.

The leader expects that the runs of a worker which is no longer reported are not
extended once the lease of its last report has ended.
"""

from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import worker_life as life_lib


def left_ms(
    worker: life_lib.WorkerIncarnation | None, lease: board_lib.Lease, now: int
) -> int:
    """Returns for how long the runs' lease may still be extended.

    Args:
      worker: Present incarnation of the worker, or None.
      lease: The agent's lease.
      now: Agent's clock, in milliseconds.
    """
    if worker is None or worker.listing is None:
        return 0
    return lease.left_for(worker.name, now)


def extended_end_ms(
    worker: life_lib.WorkerIncarnation,
    lease: board_lib.Lease,
    now: int,
    length_ms: int,
) -> clock_lib.Millis | None:
    """Returns the end of a lease extended now, or None if it may not be.

    Args:
      worker: Present incarnation of the worker.
      lease: The agent's lease.
      now: Agent's clock, in milliseconds.
      length_ms: Length of the runs' lease.

    Returns:
      The end on the worker's clock.
    """
    if left_ms(worker, lease, now) == 0:
        return None
    return clock_lib.Millis(worker.worker_clock(now) + length_ms)


def confirmed_end(
    worker: life_lib.WorkerIncarnation,
    committed: Mapping[tuple[str, int], int],
) -> int:
    """Returns up to which listed end the worker may forget, or 0.

    A poll may be carried out seconds later, by an incarnation that counts its
    ends anew, so nothing is confirmed that is not listed any more.

    Args:
      worker: Present incarnation of the worker.
      committed: Number of the last committed end, by worker and its `born`.
    """
    if worker.listing is None:
        return 0
    announced = worker.announced
    number = committed.get((announced.name, announced.born), 0)
    listed = any(end.number <= number for end in worker.listing.ends)
    return number if listed else 0
