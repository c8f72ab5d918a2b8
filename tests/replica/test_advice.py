"""Permits of the advisory service."""

import asyncio

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.platform import advice as wire_form
from bilberryroute.replica import advice as advice_lib
from bilberryroute.scheduling.batch import planner
from tests.utils import batches

KEY = ("j1", 0, 0)


class FakeAdvisor:
    """Allows every worker whose name is not in `denied`."""

    def __init__(self):
        self.calls: list[list[str]] = []
        self.denied: set[str] = set()
        self.error: errors.BilberryrouteError | None = None

    async def advise(self, step, workers):
        self.calls.append(workers)
        if self.error is not None:
            raise self.error
        permits = {n: f"p-{n}" for n in workers if n not in self.denied}
        return advice_lib.Advice(permits=permits, valid_ms=3_000)


@pytest.fixture
def clock():
    return clock_lib.ManualClock(start=10_000)


@pytest.fixture
def advisor():
    return FakeAdvisor()


@pytest.fixture
async def permits(advisor, clock):
    wakeup = asyncio.Event()
    service = advice_lib.Permits(advisor, clock, wakeup)
    await service.start()
    yield service
    await service.stop()


async def request(permits, *workers):
    permits.request(KEY, list(workers))
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def test_permits_are_requested_once_while_they_are_valid(
    permits, advisor, clock
):
    await request(permits, "w1", "w2")
    clock.advance(1_000)
    await request(permits, "w1", "w2")
    assert advisor.calls == [["w1", "w2"]]
    assert permits.valid_permits() == {KEY: {"w1": "p-w1", "w2": "p-w2"}}


async def test_permits_are_renewed_before_they_expire(permits, advisor, clock):
    await request(permits, "w1")
    clock.advance(2_700)
    assert permits.valid_permits() == {}
    await request(permits, "w1")
    assert len(advisor.calls) == 2


async def test_permits_for_other_workers_are_requested_after_a_pause(
    permits, advisor, clock
):
    advisor.denied = {"w1"}
    await request(permits, "w1")
    assert permits.valid_permits() == {KEY: {}}
    await request(permits, "w1", "w2")
    assert len(advisor.calls) == 1
    clock.advance(advice_lib.REQUEST_PAUSE_MS)
    await request(permits, "w1", "w2")
    assert permits.valid_permits() == {KEY: {"w2": "p-w2"}}


async def test_many_workers_are_asked_about_in_several_calls(
    permits, advisor, clock
):
    names = [f"w{number}" for number in range(70)]
    for _ in range(3):
        await request(permits, *names)
        clock.advance(advice_lib.REQUEST_PAUSE_MS)
    assert [len(call) for call in advisor.calls] == [30, 30, 10]


async def test_failed_call_is_repeated(permits, advisor, clock):
    advisor.error = errors.Unavailable("busy")
    await request(permits, "w1")
    advisor.error = None
    clock.advance(advice_lib.REQUEST_PAUSE_MS)
    await request(permits, "w1")
    assert permits.valid_permits() == {KEY: {"w1": "p-w1"}}


@pytest.fixture
def advised():
    log = batches.Log()
    batches.advised(log.held)
    log.submit("j1", batches.content())
    return log


def test_advised_unit_waits_for_its_permit(advised):
    workers = [batches.worker("w1"), batches.worker("w2")]
    first = planner.plan(advised.held, workers, {}, advised.now)
    assert first.units == ()
    assert first.permit_candidates == {KEY: ["w1", "w2"]}
    allowed = {KEY: {"w2": "p"}}
    second = planner.plan(
        advised.held, workers, {}, advised.now, permits=allowed
    )
    (member,) = second.units[0].members
    assert (member.worker.name, member.permit) == ("w2", "p")


def test_answer_is_decoded():
    answer = wire_form.decode(b'{"allowed":[["i1","t1"]],"validityMs":3000}')
    assert answer == advice_lib.Advice(permits={"i1": "t1"}, valid_ms=3_000)


@pytest.mark.parametrize("text", [b"", b"[]", b'{"allowed":[["i1"]]}'])
def test_unreadable_answers_are_refused(text):
    with pytest.raises(errors.MalformedInput):
        wire_form.decode(text)
