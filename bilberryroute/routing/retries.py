"""Retry policy for idempotent requests: budget, limit and backoff."""

import dataclasses
import random

BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0
BACKOFF_MIN_MS = 10
BACKOFF_MAX_MS = 500
ATTEMPTS_MAX = 4


class RetryBudget:
    """Retry budget: limits retries to a ratio of recent requests.

    Every request deposits a fraction of a token, up to `burst`; every retry
    withdraws a whole token. Retries therefore cannot multiply the load during
    an overload.

    Attributes:
      balance: Tokens left.
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ):
        self._ratio = ratio
        self._burst = burst
        self.balance = burst

    def deposit(self) -> None:
        """Adds the share of one request."""
        self.balance = min(self._burst, self.balance + self._ratio)

    def withdraw(self) -> bool:
        """Removes one token for a retry; returns False if none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Retry on another endpoint after a delay."""

    after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Return the failure to the caller.

    Attributes:
      reason: Reason label of the error metric.
    """

    reason: str


def decide(
    attempts: int, time_left_ms: int, budget: RetryBudget, rng: random.Random
) -> Retry | GiveUp:
    """Decides whether to retry after the given number of failed attempts."""
    if attempts >= ATTEMPTS_MAX:
        return GiveUp(reason="attempts_used")
    after_ms = backoff_ms(attempts, rng)
    if after_ms >= time_left_ms:
        return GiveUp(reason="deadline")
    if not budget.withdraw():
        return GiveUp(reason="budget_used")
    return Retry(after_ms=after_ms)


def backoff_ms(attempts: int, rng: random.Random) -> int:
    """Returns a random delay whose upper bound doubles with each attempt."""
    bound = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS << min(attempts, 16))
    return rng.randint(BACKOFF_MIN_MS // 2, bound)
