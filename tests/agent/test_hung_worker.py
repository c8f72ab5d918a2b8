"""What the leader infers from a worker that hangs beside its agent."""

import asyncio

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.agent import worker_view
from bilberryroute.model import wire
from bilberryroute.replica import batch_ends
from bilberryroute.replica import board as board_lib


def renewal(reports) -> wire.Renewal:
    return wire.Renewal(
        agent="a-w1",
        incarnation="i1",
        failure_domain="apapa",
        sent_ms=1,
        term=1,
        desired_version=0,
        revision=0,
        http="",
        draining=False,
        endpoints=(),
        workers=(),
        tasks=(),
        batch=reports,
    )


async def test_hung_worker_counts_as_crashed_if_its_host_loses_power(
    harness, monkeypatch
):
    """Its runs went on, so no task can have crashed it."""

    async def hang(address, order):
        await asyncio.sleep(0.005)
        raise errors.Unavailable("no answer")

    harness.announce()
    await harness.until(lambda: harness.board.batch.get())
    known = board_lib.AgentRecord(
        renewal=renewal(harness.board.batch.get()),
        address=("", 0),
        last_seen_ms=clock_lib.Millis(1),
        incarnation_since_ms=clock_lib.Millis(1),
        tasks={},
    )
    monkeypatch.setattr(harness.port, "extend_lease", hang)
    harness.clock.advance(worker_view.SILENT_MS + 1)
    await harness.until(lambda: harness.board.batch.get() == ())
    assert batch_ends.down_worker(renewal(()), known) is None
