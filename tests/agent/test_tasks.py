import asyncio

import msgspec
import pytest
from aiohttp import web

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import tasks as tasks_lib
from bilberryroute.agent import worker_api
from bilberryroute.agent import workers as workers_lib
from bilberryroute.model import wire
from extras.fakes import fake_worker
from extras.fakes import journal as journal_lib
from extras.fakes import task_table
from tests.utils import environment
from tests.utils import leader as leader_lib

KEY = ("w1", "j1", 1)
CLOCK = clock_lib.SystemClock()


class Bench:
    """A task service, one fake worker, and the leader's hand."""

    def __init__(self, service, table, journal, hello):
        self.service = service
        self.board: board_lib.AgentBoard = service.board
        self.table: task_table.TaskTable = table
        self.journal = journal
        self.hello = hello
        self.version = 0

    def announce(self) -> None:
        """Announces the worker with its present clock."""
        hello = msgspec.structs.replace(self.hello, clock_ms=CLOCK.now())
        self.service._workers.announce(hello)

    def lease(self, duration: int = 60_000) -> None:
        """Grants a lease."""
        expires = clock_lib.Millis(CLOCK.now() + duration)
        self.board.lease.set(board_lib.Lease(term=1, expires=expires))

    def desire(self, state: str, domains=("apapa",), **changes) -> None:
        """Sets the one desired task."""
        self.version += 1
        task = wire.DesiredTask(
            job_id="j1",
            attempt=1,
            worker="w1",
            accelerators=(0, 1),
            state=state,
            **changes,
        )
        self.board.desired.set(
            leader_lib.desired_state(self.version, task, domains=domains)
        )

    async def until(self, state: str) -> wire.TaskReport:
        """Returns the first report of the task in a state."""
        async with asyncio.timeout(10):
            while True:
                seen = self.board.tasks.version
                report = self.board.tasks.get().get(KEY)
                if report is not None and report.state == state:
                    return report
                await self.board.tasks.changed(seen)

    def refusals(self, reason: str) -> int:
        """Returns how many starts were refused for a reason."""
        refusals = self.service._metrics.refusals
        return refusals.values.get({"reason": reason}, 0)

    def events(self) -> list[str]:
        """Returns what the worker wrote down."""
        return [line.event for line in journal_lib.read(self.journal)]


def start_call(
    not_after: int, lease_until: int, incarnation: str = "i1"
) -> worker_api.StartTaskRequest:
    """Returns the start of the task on accelerators 0 and 1."""
    return worker_api.StartTaskRequest(
        job_id="j1",
        attempt=1,
        incarnation=incarnation,
        accelerators=(0, 1),
        progress_ms=0,
        left_ms=1_000,
        not_after_ms=not_after,
        lease_until_ms=lease_until,
    )


@pytest.fixture
async def bench(tmp_path):
    table = task_table.TaskTable(
        incarnation="i1",
        accelerators=8,
        run_ms=60_000,
        lag_ms=0,
        fail_all=False,
    )
    path = tmp_path / "w1.jsonl"
    journal = journal_lib.Journal(str(path), "w1", "apapa", CLOCK)
    worker = fake_worker.FakeWorker(None, "", table, journal, CLOCK)
    runner = web.AppRunner(worker.app())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    hello = workers_lib.WorkerAnnouncement(
        name="w1",
        incarnation="i1",
        address=f"{host}:{port}",
        rack="k1",
        failure_domain="apapa",
        accelerators=8,
        cores=30,
        memory_mb=65_536,
        clock_ms=0,
    )
    cfg = settings.Settings(
        host="a1",
        failure_domain="apapa",
        roles=(settings.ProcessRole.AGENT,),
        timing=settings.Timing(worker_lease_ms=60_000),
    )
    env = environment.fake_environment(clock=CLOCK)
    board = board_lib.new_board()
    workers = workers_lib.WorkerService(cfg, env, board)
    service = tasks_lib.TaskService(
        cfg, env, board, workers, metrics_lib.Metrics()
    )
    bench = Bench(service, table, path, hello)
    bench.announce()
    board.covered.set(frozenset({"w1"}))
    bench.lease()
    await service.start()
    yield bench
    await service.stop()
    await runner.cleanup()


async def test_task_is_reserved_then_started_then_stopped(bench):
    bench.desire("reserved")
    await bench.until("reserved")
    assert bench.events() == []
    bench.desire("running")
    await bench.until("running")
    assert bench.events() == ["start"]
    bench.desire("stopped", checkpoint=True)
    report = await bench.until("stopped")
    assert bench.events() == ["start", "end"]
    assert report.progress_ms >= 0


async def test_end_state_is_reported_until_the_leader_drops_it(bench):
    bench.table.fail_all = True
    bench.desire("reserved")
    await bench.until("reserved")
    bench.desire("running")
    await bench.until("failed")
    bench.version += 1
    bench.board.desired.set(leader_lib.desired_state(bench.version))
    async with asyncio.timeout(10):
        while bench.board.tasks.get():
            await bench.board.tasks.changed(bench.board.tasks.version)


async def test_start_that_arrives_late_is_refused_by_the_worker(bench):
    """The process freezes between its check and the call's departure."""
    bench.desire("reserved")
    await bench.until("reserved")
    start = bench.service._client.start

    async def held_up(contact, call):
        await asyncio.sleep(0.3)
        return await start(contact, call)

    bench.service._client.start = held_up
    bench.lease(200)
    bench.desire("running")
    async with asyncio.timeout(10):
        while not bench.refusals("start_late"):
            await asyncio.sleep(0.02)
    assert bench.events() == ["refuse"]
    bench.lease()
    await bench.until("running")
    assert bench.events() == ["refuse", "start"]


async def test_start_refused_otherwise_fails_the_task(bench):
    bench.table._accelerators = 1
    bench.desire("reserved")
    await bench.until("reserved")
    bench.desire("running")
    await bench.until("failed")
    assert bench.refusals("start_refused") == 1


async def test_start_is_withheld_without_a_lease(bench):
    bench.desire("reserved")
    await bench.until("reserved")
    bench.board.lease.set(board_lib.Lease())
    bench.desire("running")
    await asyncio.sleep(0.2)
    assert bench.events() == []
    bench.lease()
    await bench.until("running")


async def test_lease_is_checked_again_right_before_the_call(bench):
    """The process freezes between planning a start and making it."""
    bench.desire("reserved")
    await bench.until("reserved")
    bench.desire("running")
    held = bench.service._held[KEY]
    bench.board.lease.set(board_lib.Lease())
    await bench.service._start(held)
    assert bench.events() == []
    assert bench.refusals("start_not_allowed") == 1


async def test_unconfirmed_start_is_fenced_and_reported_lost(bench):
    bench.desire("reserved")
    await bench.until("reserved")

    async def lose(contact, call):
        raise worker_api.WorkerUnreachable("the answer was lost")

    start = bench.service._client.start
    bench.service._client.start = lose
    bench.desire("running")
    await bench.until("lost")
    contact = bench.service._workers.contacts["w1"]
    now = CLOCK.now()
    call = start_call(not_after=now + 9_000, lease_until=now + 9_000)
    with pytest.raises(worker_api.StartRefused):
        await start(contact, call)


async def test_task_without_a_renewed_lease_is_killed_by_its_worker(bench):
    now = CLOCK.now()
    call = start_call(not_after=now + 9_000, lease_until=now + 300)
    bench.table.start(call, now)
    assert bench.table.tasks(now + 299).tasks[0].state == "running"
    assert bench.table.tasks(now + 300).tasks[0].state == "lost"


async def test_restarted_agent_adopts_what_runs(bench):
    now = CLOCK.now()
    call = start_call(not_after=now + 9, lease_until=now + 60_000)
    bench.table.start(call, now)
    bench.service._task_lists.drop_stale({})
    bench.desire("running")
    await bench.until("running")
    assert bench.events() == []


async def test_restarted_agent_starts_nothing_that_it_did_not_reserve(bench):
    bench.desire("running")
    await bench.until("lost")
    assert "start" not in bench.events()


async def test_task_that_its_worker_lost_is_reported(bench):
    bench.desire("reserved")
    await bench.until("reserved")
    bench.desire("running")
    await bench.until("running")
    bench.table._tasks.clear()
    await bench.until("lost")


async def test_start_meant_for_an_earlier_incarnation_is_refused(bench):
    """Its deadline is on a clock that began anew with the worker's host."""
    bench.desire("reserved")
    await bench.until("reserved")
    bench.table._incarnation = "i2"
    bench.desire("running")
    async with asyncio.timeout(10):
        while not bench.refusals("start_late"):
            await asyncio.sleep(0.02)
    assert "start" not in bench.events()


async def test_end_that_came_while_the_agent_stood_still_is_not_lost(bench):
    bench.desire("reserved")
    await bench.until("reserved")
    bench.desire("running")
    await bench.until("running")
    bench.table.fail_all = True
    bench.service._held[KEY].lease_expires = 0
    await bench.until("failed")


async def test_task_of_a_silent_worker_ends_with_its_lease(bench):
    bench.desire("reserved")
    await bench.until("reserved")
    bench.desire("running")
    await bench.until("running")
    bench.service._workers.contacts.clear()
    bench.service._held[KEY].lease_expires = CLOCK.now() + 300
    assert bench.board.tasks.get()[KEY].state == "running"
    await bench.until("lost")
    assert CLOCK.now() >= bench.service._held[KEY].lease_expires
