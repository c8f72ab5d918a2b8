"""Switches and constants of the scheduling policy."""

import dataclasses

from bilberryroute import clock


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Parts of the policy, each of which can be turned off, and its bounds.

    Attributes:
      borrowing: Jobs may use idle guaranteed accelerators of others.
      preemption: Borrowers stop when an owner reclaims its guarantee.
      rebinding: Idle guarantees follow their account's jobs.
      shortest_first: Order by expected work left instead of by arrival.
      fair_shares: Order also by use beyond guarantees, per account.
      displacement: Jobs with much work left give way to short ones.
      reservations: Jobs that waited long get capacity set aside.
      backfill: Short jobs may run on capacity set aside.
      correction: Declared times and sizes are corrected by what was seen.
      quarantine: Workers that fail every task are left out and probed.
      defragmentation: Jobs move when that lets a larger one start.
      best_fit: Placements leave the least unusable room.
      migration: Jobs leave a failure domain by checkpoint.
      gentle_return: A returning failure domain fills up gradually.
      restart_ms: Run time expected to be lost by one stop and restart.
      width_exponent: How far a job's width delays it, beside its time left.
      width_exponent: float = -0.3
    patience_ms: Wait after which a job gets capacity set aside.
      reservation_ms: Longest wait for capacity set aside before the jobs on
        it are stopped.
      ramp_ms: Time in which a returning failure domain fills up.
    """

    borrowing: bool = True
    preemption: bool = True
    rebinding: bool = True
    shortest_first: bool = True
    fair_shares: bool = True
    displacement: bool = True
    reservations: bool = True
    backfill: bool = True
    correction: bool = True
    quarantine: bool = True
    defragmentation: bool = True
    best_fit: bool = True
    migration: bool = True
    gradual_return: bool = True
    restart_ms: int = 30 * clock.SECOND
    width_exponent: float = -0.3
    overdue_after_ms: int = 2 * clock.HOUR
    reservation_ms: int = 20 * clock.MINUTE
    ramp_ms: int = 15 * clock.SECOND
