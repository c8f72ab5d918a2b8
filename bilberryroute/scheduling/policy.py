"""Switches and constants of the scheduling policy."""

import dataclasses

from bilberryroute import clock


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Switches and parameters of the scheduling policy.

    Attributes:
      borrowing: Jobs may use idle accelerators bound for other accounts.
      preemption: Borrowers are preempted when the owner reclaims its guarantee.
      rebinding: Idle guarantees are rebound to where their account's jobs run.
      shortest_first: Order by expected remaining work instead of by arrival.
      fair_shares: Order also by use beyond guarantees, per account.
      displacement: Jobs may be made to wait for others that gain more.
      reservations: Overdue jobs get capacity reserved.
      backfill: Short jobs may run on reserved capacity.
      correction: Declared times and sizes are corrected by past errors.
      quarantine: Workers that fail several jobs in a row are excluded, then
        probed.
      defragmentation: Jobs are relocated to let another one start.
      best_fit: Placements use best fit instead of first fit.
      migration: Jobs save a checkpoint when they leave a failure domain.
      gradual_return: A failure domain back in service fills up gradually.
      restart_ms: Run time expected to be lost by one preemption.
      width_exponent: Exponent of a job's width in its score, by which its
        remaining time is multiplied.
      overdue_after_ms: Wait after which a job is overdue.
      reservation_ms: Longest wait for reserved capacity before the jobs on it
        may be preempted.
      ramp_ms: Time over which a returning failure domain fills up.
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
