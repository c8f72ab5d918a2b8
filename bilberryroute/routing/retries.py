"""Pure verdicts on a failed attempt at an idempotent request."""

import dataclasses
import random

BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0
BACKOFF_MIN_MS = 10
BACKOFF_MAX_MS = 500
ATTEMPTS_MAX = 4


class Budget:
    """Retries as a share of recent requests.

    Every request adds a part of a retry, up to a bound; every retry takes a
    whole one. Under overload, retries can therefore not multiply the load.
    """

    def __init__(
        self, ratio: float = BUDGET_RATIO, burst: float = BUDGET_BURST
    ):
        self._ratio = ratio
        self._burst = burst
        self.left = burst

    def earn(self) -> None:
        """Counts one request."""
        self.left = min(self._burst, self.left + self._ratio)

    def spend(self) -> bool:
        """Takes one retry out; returns False if none is left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Try again on another endpoint, after a wait."""

    after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GiveUp:
    """Tell the caller.

    Attributes:
      reason: Label of the counter.
    """

    reason: str


def judge(
    attempts: int, time_left_ms: int, budget: Budget, rng: random.Random
) -> Retry | GiveUp:
    """Returns what to do after the given number of failed attempts."""
    if attempts >= ATTEMPTS_MAX:
        return GiveUp(reason="attempts_used")
    after_ms = backoff_ms(attempts, rng)
    if after_ms >= time_left_ms:
        return GiveUp(reason="deadline")
    if not budget.spend():
        return GiveUp(reason="budget_used")
    return Retry(after_ms=after_ms)


def backoff_ms(attempts: int, rng: random.Random) -> int:
    """Returns a random wait that doubles its bound with each attempt."""
    bound = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS << min(attempts, 16))
    return rng.randint(BACKOFF_MIN_MS // 2, bound)
