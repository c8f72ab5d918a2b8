"""Switches and constants of the scheduling policy."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Parts of the policy, each of which can be turned off, and its bounds.

    Attributes:
      borrowing: Jobs may use idle guaranteed accelerators of others.
      preemption: Borrowers stop when an owner reclaims its guarantee.
      rebinding: Idle guarantees follow their account's jobs.
      shortest_first: Order by expected work left instead of by arrival.
      fair_shares: Order also by use beyond guarantees, per account.
      reservations: Jobs that waited long get capacity set aside.
      backfill: Short jobs may run on capacity set aside.
      correction: Declared run times are corrected by what was seen.
      quarantine: Workers that fail every task are left out and probed.
      defragmentation: Jobs move when that lets a larger one start.
      best_fit: Placements leave the least unusable room.
      gentle_return: A returning failure domain fills up gradually.
      migration: Jobs leave a failure domain by checkpoint.
    """

    borrowing: bool = True
    preemption: bool = True
    rebinding: bool = True
    shortest_first: bool = True
    fair_shares: bool = True
    reservations: bool = True
    backfill: bool = True
    correction: bool = True
    quarantine: bool = True
    defragmentation: bool = True
    best_fit: bool = True
    gentle_return: bool = True
    migration: bool = True
