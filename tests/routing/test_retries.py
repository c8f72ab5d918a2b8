import random

from bilberryroute.routing import retries

PLENTY_MS = 60_000


def test_budget_is_a_share_of_requests():
    budget = retries.RetryBudget(ratio=0.1, burst=5)
    granted = 0
    for _ in range(1_000):
        budget.deposit()
        granted += budget.withdraw()
    assert granted <= 0.1 * 1_000 + 5


def test_retry_decisions():
    rng = random.Random(0)
    budget = retries.RetryBudget(burst=1)
    assert isinstance(retries.decide(1, PLENTY_MS, budget, rng), retries.Retry)
    without_budget = retries.decide(1, PLENTY_MS, budget, rng)
    assert without_budget == retries.GiveUp(reason="budget_used")
    past_deadline = retries.decide(1, 1, retries.RetryBudget(), rng)
    assert past_deadline == retries.GiveUp(reason="deadline")
    out_of_attempts = retries.decide(
        retries.ATTEMPTS_MAX, PLENTY_MS, retries.RetryBudget(), rng
    )
    assert out_of_attempts == retries.GiveUp(reason="attempts_used")


def test_backoff_grows_and_is_random():
    rng = random.Random(0)
    first = {retries.backoff_ms(1, rng) for _ in range(50)}
    later = {retries.backoff_ms(9, rng) for _ in range(50)}
    assert max(first) <= 2 * retries.BACKOFF_MIN_MS < max(later)
    assert max(later) <= retries.BACKOFF_MAX_MS
    assert len(first) > 5
