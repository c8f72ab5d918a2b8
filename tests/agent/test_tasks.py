import asyncio
import dataclasses

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


class Harness:
    """A task service with one fake worker; grants leases as the leader does."""

    def __init__(self, service, table, journal, announcement):
        self.service = service
        self.board: board_lib.AgentBoard = service.board
        self.table: task_table.TaskTable = table
        self.journal = journal
        self.announcement = announcement
        self.version = 0

    def announce(self) -> None:
        """Announces the worker with its present clock."""
        announcement = msgspec.structs.replace(
            self.announcement, clock_ms=CLOCK.now()
        )
        self.service._workers.announce(announcement)

    def lease(self, duration: int = 60_000) -> None:
        """Grants a lease."""
        expires = clock_lib.Millis(CLOCK.now() + duration)
        self.board.lease.set(
            board_lib.Lease(term=1, expires=expires, workers={"w1": expires})
        )

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
                version = self.board.tasks.version
                report = self.board.tasks.get().get(KEY)
                if report is not None and report.state == state:
                    return report
                await self.board.tasks.changed(version)

    def refusals(self, reason: str) -> int:
        """Returns how many starts were refused for a reason."""
        refusals = self.service._metrics.refusals
        return refusals.values.get({"reason": reason}, 0)

    def events(self) -> list[str]:
        """Returns the events in the worker's journal."""
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
async def harness(tmp_path):
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
    announcement = workers_lib.WorkerAnnouncement(
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
    harness = Harness(service, table, path, announcement)
    harness.announce()
    board.covered.set(frozenset({"w1"}))
    harness.lease()
    await service.start()
    yield harness
    await service.stop()
    await runner.cleanup()


async def test_task_is_reserved_then_started_then_stopped(harness):
    harness.desire("reserved")
    await harness.until("reserved")
    assert harness.events() == []
    harness.desire("running")
    await harness.until("running")
    assert harness.events() == ["start"]
    harness.desire("stopped", checkpoint=True)
    report = await harness.until("stopped")
    assert harness.events() == ["start", "end"]
    assert report.progress_ms >= 0


async def test_end_state_is_reported_until_the_leader_drops_it(harness):
    harness.table.fail_all = True
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    await harness.until("failed")
    harness.version += 1
    harness.board.desired.set(leader_lib.desired_state(harness.version))
    async with asyncio.timeout(10):
        while harness.board.tasks.get():
            await harness.board.tasks.changed(harness.board.tasks.version)


async def test_start_that_arrives_late_is_refused_by_the_worker(harness):
    """The process pauses between its check and the call."""
    harness.desire("reserved")
    await harness.until("reserved")
    start = harness.service._client.start

    async def delayed(contact, call):
        await asyncio.sleep(0.3)
        return await start(contact, call)

    harness.service._client.start = delayed
    harness.lease(200)
    harness.desire("running")
    async with asyncio.timeout(10):
        while not harness.refusals("start_late"):
            await asyncio.sleep(0.02)
    assert harness.events() == ["refuse"]
    harness.lease()
    await harness.until("running")
    assert harness.events() == ["refuse", "start"]


async def test_start_refused_otherwise_fails_the_task(harness):
    harness.table._accelerators = 1
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    await harness.until("failed")
    assert harness.refusals("start_refused") == 1


async def test_start_is_withheld_without_a_lease(harness):
    harness.desire("reserved")
    await harness.until("reserved")
    harness.board.lease.set(board_lib.Lease())
    harness.desire("running")
    await asyncio.sleep(0.2)
    assert harness.events() == []
    harness.lease()
    await harness.until("running")


async def test_lease_is_checked_again_right_before_the_call(harness):
    """The process pauses between planning a start and sending it."""
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    held = harness.service._held[KEY]
    harness.board.lease.set(board_lib.Lease())
    await harness.service._start(held)
    assert harness.events() == []
    assert harness.refusals("start_not_allowed") == 1


async def test_unconfirmed_start_is_fenced_and_reported_lost(harness):
    harness.desire("reserved")
    await harness.until("reserved")

    async def lose_answer(contact, call):
        raise worker_api.WorkerUnreachable("the answer was lost")

    start = harness.service._client.start
    harness.service._client.start = lose_answer
    harness.desire("running")
    await harness.until("lost")
    contact = harness.service._workers.contacts["w1"]
    now = CLOCK.now()
    call = start_call(not_after=now + 9_000, lease_until=now + 9_000)
    with pytest.raises(worker_api.StartRefused):
        await start(contact, call)


async def test_task_without_a_renewed_lease_is_killed_by_its_worker(harness):
    now = CLOCK.now()
    call = start_call(not_after=now + 9_000, lease_until=now + 300)
    harness.table.start(call, now)
    assert harness.table.tasks(now + 299).tasks[0].state == "running"
    assert harness.table.tasks(now + 300).tasks[0].state == "lost"


async def test_restarted_agent_adopts_running_tasks(harness):
    now = CLOCK.now()
    call = start_call(not_after=now + 9, lease_until=now + 60_000)
    harness.table.start(call, now)
    harness.service._task_lists.drop_stale({})
    harness.desire("running")
    await harness.until("running")
    assert harness.events() == []


async def test_restarted_agent_starts_nothing_that_it_did_not_reserve(harness):
    harness.desire("running")
    await harness.until("lost")
    assert "start" not in harness.events()


async def test_task_that_its_worker_lost_is_reported(harness):
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    await harness.until("running")
    harness.table._tasks.clear()
    await harness.until("lost")


async def test_start_meant_for_an_earlier_incarnation_is_refused(harness):
    """The deadline refers to a clock that restarted with the worker's host."""
    harness.desire("reserved")
    await harness.until("reserved")
    harness.table._incarnation = "i2"
    harness.desire("running")
    async with asyncio.timeout(10):
        while not harness.refusals("start_late"):
            await asyncio.sleep(0.02)
    assert "start" not in harness.events()


async def test_end_during_a_pause_of_the_agent_is_not_lost(harness):
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    await harness.until("running")
    harness.table.fail_all = True
    harness.service._held[KEY].lease_expires = 0
    await harness.until("failed")


async def test_task_of_a_silent_worker_ends_with_its_lease(harness):
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    await harness.until("running")
    harness.service._workers.contacts.clear()
    harness.service._held[KEY].lease_expires = CLOCK.now() + 300
    assert harness.board.tasks.get()[KEY].state == "running"
    await harness.until("lost")
    assert CLOCK.now() >= harness.service._held[KEY].lease_expires


async def run_task(harness) -> None:
    harness.desire("reserved")
    await harness.until("reserved")
    harness.desire("running")
    await harness.until("running")


async def test_task_on_a_slow_clock_is_not_lost_before_its_lease_ends(harness):
    await run_task(harness)
    lease_ms = harness.service._cfg.timing.task_lease_ms
    left_ms = harness.service._held[KEY].lease_expires - CLOCK.now()
    assert left_ms > clock_lib.with_drift(lease_ms)


async def test_task_is_not_renewed_for_good_while_its_worker_answers_no_call(
    harness, monkeypatch
):
    await run_task(harness)
    renewed = []

    async def leave_unanswered(contact, leases=None):
        renewed.append(leases is not None)
        raise worker_api.WorkerUnreachable("no answer")

    monkeypatch.setattr(harness.service._client, "renew", leave_unanswered)
    monkeypatch.setattr(harness.service._client, "tasks", leave_unanswered)
    while not renewed:
        await asyncio.sleep(0.02)
    lease_ms = harness.service._cfg.timing.task_lease_ms
    harness.service._answered_ms["w1"] = CLOCK.now() - lease_ms // 2 - 1
    renewed.clear()
    while len(renewed) < 2:
        await asyncio.sleep(0.02)
    assert renewed == [False, False]
    harness.service._held[KEY].lease_expires = CLOCK.now()
    await harness.until("lost")


async def test_task_is_not_renewed_while_its_worker_is_not_reported(
    harness, monkeypatch
):
    """The leader counts from the last report until the task has ended."""
    await run_task(harness)
    lease = harness.board.lease.get()
    harness.board.lease.set(dataclasses.replace(lease, workers={}))
    renewed = []
    monkeypatch.setattr(
        harness.service._client, "renew", lambda *args: renewed.append(args)
    )
    await asyncio.sleep(3 * clock_lib.seconds(tasks_lib.POLL_INTERVAL_MS))
    assert renewed == []
