from hypothesis import given
from hypothesis import strategies as st

from bilberryroute.routing import queues

BOUND = 50


def fill(queue, account: str, count: int) -> None:
    for number in range(count):
        assert queue.push(account, (account, number), BOUND)


def test_accounts_take_turns_by_weight():
    weights = {"large": 2, "small": 1}
    queue = queues.FairQueue(weights.__getitem__)
    fill(queue, "large", 40)
    fill(queue, "small", 40)
    first = [queue.pop()[0] for _ in range(30)]
    assert first.count("large") == 20


def test_late_account_does_not_wait_for_a_backlog():
    queue = queues.FairQueue()
    fill(queue, "flood", 50)
    for _ in range(10):
        queue.pop()
    fill(queue, "late", 1)
    assert ("late", 0) in [queue.pop() for _ in range(2)]


def test_account_is_bounded():
    queue = queues.FairQueue()
    fill(queue, "flood", BOUND)
    assert not queue.push("flood", None, BOUND)
    assert queue.push("other", None, BOUND)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans())))
def test_nothing_is_lost_and_order_holds_within_an_account(steps):
    queue = queues.FairQueue()
    expected = {"a": [], "b": [], "c": []}
    for number, (account, pops) in enumerate(steps):
        if pops:
            popped = queue.pop()
            if popped is not None:
                assert expected[popped[0]].pop(0) == popped
        elif number % 5 == 4 and expected[account]:
            assert queue.remove(account, expected[account].pop())
        else:
            queue.push(account, (account, number), BOUND)
            expected[account].append((account, number))
        assert len(queue) == sum(map(len, expected.values()))
