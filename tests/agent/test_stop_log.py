"""Log lines of stops that the worker does not answer."""

import pytest

from bilberryroute.agent import batch as batch_lib
from tests.agent import batch_harness

# Enough for several stops without an answer.
ATTEMPTS = 3


@pytest.fixture
def lines(caplog):
    """Returns the messages on stops, with the count of those unanswered."""
    caplog.set_level("INFO")

    def find():
        return [
            (line.getMessage(), getattr(line, "unanswered", None))
            for line in caplog.records
            if line.getMessage().startswith("stop")
        ]

    return find


async def leave_stops_unanswered(harness):
    """Starts a run, then has its stop sent several times without an answer."""
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    harness.port.unanswered = {"stop"}
    harness.desire(batch_harness.desired(stop=True))
    await harness.until(lambda: harness.port.attempts.count("stop") >= ATTEMPTS)


async def test_unanswered_stops_of_a_run_log_no_line_each(harness, lines):
    await leave_stops_unanswered(harness)
    assert len(lines()) == 1
    harness.port.unanswered = set()
    await harness.until(lambda: len(lines()) > 1)
    unanswered = harness.port.attempts.count("stop") - 1
    assert lines()[1:] == [("stopped", unanswered)]


async def test_unanswered_stops_are_counted_when_the_worker_has_ended(
    harness, lines
):
    await leave_stops_unanswered(harness)
    harness.port.down = True
    harness.agent.withdraw("w1")
    await harness.until(lambda: harness.port.refused > 1)
    harness.clock.advance(batch_lib.DOWN_MS)
    await harness.until(lambda: len(lines()) > 1)
    unanswered = harness.port.attempts.count("stop")
    assert lines()[1:] == [("stop no longer sent", unanswered)]


async def test_unanswered_stops_are_counted_when_the_worker_has_restarted(
    harness, lines
):
    await leave_stops_unanswered(harness)
    before = harness.port.attempts.count("stop")
    harness.port.unanswered = set()
    await batch_harness.restart_worker(harness)
    await harness.until(lambda: ("stop no longer sent", before) in lines())


async def test_stop_that_is_answered_at_once_has_no_count(harness, lines):
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    harness.desire(batch_harness.desired(stop=True))
    await harness.until(lines)
    assert lines() == [("stopped", None)]
