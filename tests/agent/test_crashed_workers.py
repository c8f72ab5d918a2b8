"""Tests of the batch agent with a worker that crashes."""

import asyncio

from bilberryroute import errors
from bilberryroute.agent import worker_life
from bilberryroute.agent import worker_port
from tests.agent import batch_harness


async def test_run_on_a_crashed_worker_is_reported_as_crashed(harness):
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == ["crashed"]


async def test_crash_report_tells_how_long_the_run_had_run(harness):
    """The restart of the worker is not part of it."""
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    harness.clock.advance(300)
    harness.port.down = True
    await harness.until(lambda: harness.port.refused)
    harness.clock.advance(500)
    harness.port.down = False
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == ["crashed"]
    (end,) = harness.board.batch.get()[0].ends
    assert end.down_after_ms == 300


async def test_start_that_crashes_the_worker_unanswered_is_reported(harness):
    harness.port.unanswered = {"start"}
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.attempts)
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == ["crashed"]


async def test_run_on_a_worker_that_withdrew_has_not_crashed_it(harness):
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: harness.port.calls)
    harness.agent.withdraw("w1")
    await batch_harness.restart_worker(harness)
    assert await batch_harness.loss_causes(harness) == []


async def test_start_that_may_have_crashed_the_worker_is_not_repeated(harness):
    """The restarted worker accepts it, as it has the same name."""
    port, start_run = harness.port, harness.port.start_run

    async def crash(address, order):
        port.attempts.append("start")
        port.down = True
        port.start_run = start_run
        raise errors.Unavailable("no answer")

    port.start_run = crash
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: port.attempts)
    await asyncio.sleep(0.3)
    await batch_harness.restart_worker(harness)
    port.down = False
    assert await batch_harness.loss_causes(harness) == ["crashed"]
    assert ("start", batch_harness.TASK, 1) not in port.calls


async def test_poll_sent_before_an_unanswered_start_does_not_let_it_repeat(
    harness,
):
    """Its listing was made before the start may have crashed the worker."""
    port = harness.port
    listed, released, starts = asyncio.Event(), asyncio.Event(), []
    list_runs = port.extend_lease

    async def list_late(address, order):
        listing = await list_runs(address, order)
        listed.set()
        await released.wait()
        return listing

    async def refuse(address, order):
        await asyncio.sleep(0.005)
        raise worker_port.WorkerDown("refused")

    async def crash(address, order):
        port.extend_lease = refuse
        starts.append(order.run)
        raise errors.Unavailable("no answer")

    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    port.start_run = crash
    port.extend_lease = list_late
    await listed.wait()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: starts)
    await asyncio.sleep(0.2)
    released.set()
    await asyncio.sleep(0.3)
    assert starts == [1]


async def test_late_start_of_an_ended_run_is_barred_on_a_restarted_worker(
    harness,
):
    """Its first call got no answer; the second one ran the task to its end."""
    port = harness.port
    port.unanswered = {"start"}
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: port.attempts)
    port.unanswered = set()
    await harness.until(lambda: port.calls)
    harness.desire()
    await asyncio.sleep(0.3)
    port.calls.clear()
    port.unanswered = {"stop"}
    await batch_harness.restart_worker(harness)
    await asyncio.sleep(0.3)
    assert harness.board.batch.get() == ()
    port.unanswered = set()
    await harness.until(lambda: harness.board.batch.get())
    assert ("stop", batch_harness.TASK, 1) in port.calls


async def test_unanswered_start_is_forgotten_once_it_cannot_arrive_any_more(
    harness,
):
    port = harness.port
    port.unanswered = {"start"}
    harness.announce()
    harness.desire(batch_harness.desired())
    await harness.until(lambda: port.attempts)
    harness.desire()
    await asyncio.sleep(0.3)
    harness.clock.advance(worker_life.LATE_CALL_MS)
    harness.lease(harness.clock.now() + 100_000)
    port.calls.clear()
    await batch_harness.restart_worker(harness)
    await harness.until(lambda: harness.board.batch.get())
    assert ("stop", batch_harness.TASK, 1) not in port.calls
