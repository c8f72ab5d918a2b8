"""Ends, stops and checkpoints that the leader derives from reports."""

import dataclasses
import logging
import types

import pytest

from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import batch as batch_lib
from bilberryroute.replica import batch_ends
from bilberryroute.replica import batch_presence
from bilberryroute.replica import batch_upkeep
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.transport import codec
from tests.utils import batches
from tests.utils import environment

DATAGRAM_BYTES = 65_507


@pytest.fixture
def env():
    return environment.fake_environment()


@pytest.fixture
def parts(tmp_path, env) -> parts_lib.ReplicaParts:
    cfg = embedded.embedded_settings(str(tmp_path))
    return parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())


@pytest.fixture
def log(parts):
    command_log = batches.Log()
    command_log.machine = parts.machine
    command_log.apply(batching.ApplyCatalog(catalog=batches.catalog(), at_ms=1))
    command_log.submit("j1", batches.content(batches.step(4)))
    command_log.place(batches.unit("j1", batches.ref("w1")))
    return command_log


def report(born: int = 1, name: str = "w1", **more) -> wire.WorkerReport:
    return wire.WorkerReport(
        name=name,
        born=born,
        pool="pool",
        failure_domain="apapa",
        rack="r1",
        labels=(),
        capacity=batches.task_need(),
        **more,
    )


def renewal(*reports: wire.WorkerReport, payloads=()) -> wire.Renewal:
    return wire.Renewal(
        agent="a-w1",
        incarnation="i",
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
        payloads=payloads,
    )


def report_now(parts, *reports: wire.WorkerReport) -> None:
    """Stores a renewal on the board as received now."""
    now = parts.clock.now()
    parts.board.agents.get()["a-w1"] = board_lib.AgentRecord(
        renewal=renewal(*reports),
        address=("", 0),
        last_seen_ms=now,
        incarnation_since_ms=0,
        tasks={},
    )
    for worker in reports:
        parts.board.batch_workers.get()[worker.name] = board_lib.BatchWorker(
            agent="a-w1", report=worker, last_seen_ms=now
        )


def lost(parts) -> list[batching.RunEnd]:
    return batch_ends.lost_runs(
        parts.machine.state.batch,
        parts.board,
        parts.cfg.timing,
        parts.clock.now(),
    )


def test_run_is_lost_only_once_its_lease_has_surely_lapsed(parts, env, log):
    report_now(parts, report())
    env.clock.advance(batch_ends.run_fence_ms(parts.cfg.timing))
    assert lost(parts) == []
    env.clock.advance(1)
    assert [end.outcome for end in lost(parts)] == [batch.RunOutcome.LOST]


def test_silence_counts_from_the_reports_and_the_term(parts, env, log):
    timing = parts.cfg.timing
    longest_ms = timing.agent_lease_ms + 1.02 * timing.run_lease_ms
    assert batch_ends.run_fence_ms(timing) > longest_ms
    env.clock.advance(10 * batch_ends.run_fence_ms(timing))
    parts.board.term.set(
        board_lib.LeaderTerm(number=2, began=parts.clock.now())
    )
    assert lost(parts) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"born": 2},
        {"born": 2, "name": "w1-again"},
        {"born": 1, "over": True},
    ],
)
def test_run_of_an_earlier_incarnation_is_lost_at_once(parts, log, changes):
    report_now(parts, report(**changes))
    assert len(lost(parts)) == 1


@pytest.mark.parametrize(
    "changes, cause",
    [
        ({"born": 2}, batch.LossCause.RESTARTED),
        ({"born": 1, "over": True}, batch.LossCause.WITHDRAWN),
    ],
)
def test_run_lost_with_its_worker_says_why(parts, log, changes, cause):
    report_now(parts, report(**changes))
    assert [end.cause for end in lost(parts)] == [cause]


def test_crash_that_the_agent_saw_is_committed_first(parts, log):
    """The leader also infers the end from the new incarnation."""
    crashed = wire.EndReport(
        number=0,
        task=batches.task(),
        run=1,
        outcome=batch.RunOutcome.LOST,
        cause=batch.LossCause.CRASHED,
    )
    report_now(parts, report(born=2, ends=(crashed,)))
    batch_state = parts.machine.state.batch
    ((_, end, _),) = batch_ends.reported_ends(batch_state, parts.board)
    assert end.cause == batch.LossCause.CRASHED
    ends = (
        batching.RunEnd(
            task=end.task, run=end.run, outcome=end.outcome, cause=end.cause
        ),
        *lost(parts),
    )
    log.apply(batching.EndRuns(ends=ends, at_ms=1))
    assert batch_state.jobs["j1"].task(batches.task()).crashes


def test_run_of_the_current_incarnation_continues(parts, log):
    report_now(parts, report(born=1))
    assert lost(parts) == []


def present(parts) -> list[str]:
    workers = batch_presence.present_workers(
        parts.board, parts.cfg.timing, parts.clock.now()
    )
    return [worker.report.name for worker in workers]


def test_nothing_is_placed_on_a_worker_that_its_host_has_replaced(parts, log):
    report_now(parts, report(name="w1"))
    assert present(parts) == ["w1"]
    report_now(parts, report(name="w1-again", born=2))
    assert present(parts) == ["w1-again"]


def test_nothing_is_placed_on_a_worker_left_out_of_the_newest_report(
    parts, log
):
    report_now(parts, report())
    report_now(parts)
    assert present(parts) == []


def test_worker_is_present_for_some_renewals(parts, env, log):
    report_now(parts, report())
    present_ms = batch_presence.PRESENT_RENEWALS * parts.cfg.timing.renewal_ms
    env.clock.advance(present_ms)
    assert present(parts) == ["w1"]
    env.clock.advance(1)
    assert present(parts) == []


def end_of(number: int, index: int) -> wire.EndReport:
    return wire.EndReport(
        number=number,
        task=batches.task(index=index),
        run=1,
        outcome=batch.RunOutcome.DONE,
    )


def test_worker_may_discard_only_committed_ends(parts, log):
    log.place(batches.unit("j1", batches.ref("w1"), first=1))
    report_now(parts, report(ends=(end_of(4, 0), end_of(5, 1), end_of(6, 2))))
    batch_state = parts.machine.state.batch
    assert batch_ends.update_committed_ends(batch_state, parts.board) == set()
    log.end(batches.task(index=0))
    assert batch_ends.update_committed_ends(batch_state, parts.board) == {
        "a-w1"
    }
    assert parts.board.committed_ends == {("w1", 1): 4}
    log.end(batches.task(index=1))
    batch_ends.update_committed_ends(batch_state, parts.board)
    assert parts.board.committed_ends == {("w1", 1): 6}


def test_checkpoint_is_committed_once(parts, log):
    running = (wire.RunReport(task=batches.task(), run=1, saved="c1"),)
    report_now(parts, report(running=running))
    batch_state = parts.machine.state.batch
    workers = parts.board.batch_workers.get()
    saves = batch_upkeep.new_checkpoints(batch_state, workers)
    assert [each.saved for each in saves] == ["c1"]
    log.apply(batching.NoteSaved(saves=saves, at_ms=1))
    assert batch_upkeep.new_checkpoints(batch_state, workers) == ()


def test_members_of_a_gang_that_lost_one_are_stopped(parts, log):
    log.submit("g", batches.content(batches.step(2, gang=True)))
    log.place(batches.unit("g", batches.ref("w1"), batches.ref("w2")))
    batch_state = parts.machine.state.batch
    assert batch_upkeep.required_stops(batch_state, {}, {}) == []
    log.end(batches.task("g", 0), outcome=batch.RunOutcome.LOST)
    (stop,) = batch_upkeep.required_stops(batch_state, {}, {})
    assert stop.task == batches.task("g", 1)


def test_gang_moves_as_a_whole_if_a_member_no_longer_fits(parts, log):
    log.end(batches.task())
    log.submit("g", batches.content(batches.step(2, gang=True)))
    log.place(batches.unit("g", batches.ref("w1"), batches.ref("w1")))
    begun, held = (batches.task("g", index) for index in range(2))
    report_now(parts, report(running=(wire.RunReport(task=begun, run=1),)))
    known = parts.machine.state.batch, parts.board.batch_workers.get(), {}
    (stop,) = batch_upkeep.required_stops(*known)
    assert stop.task == held
    log.apply(batching.StopRuns(runs=(stop,), at_ms=1))
    log.end(held, outcome=batch.RunOutcome.STOPPED)
    (stop,) = batch_upkeep.required_stops(*known)
    assert stop.task == begun


def test_checkpointing_run_leaves_a_draining_worker_in_time(parts, log):
    saving = batches.step(1, checkpointing=True)
    log.submit("s", batches.content(saving))
    log.place(batches.unit("s", batches.ref("w1")))
    task = batches.task("s")
    running = tuple(
        wire.RunReport(task=each, run=1) for each in (task, batches.task())
    )
    draining = report(running=running, draining=True, remaining_ms=2_000)
    report_now(parts, draining)
    batch_state = parts.machine.state.batch
    workers = parts.board.batch_workers.get()
    left = {(task, 1): 900, (batches.task(), 1): 9_000}
    assert batch_upkeep.required_stops(batch_state, workers, left) == []
    left = {(task, 1): 1_900, (batches.task(), 1): 9_000}
    (stop,) = batch_upkeep.required_stops(batch_state, workers, left)
    assert stop.task == task


@pytest.fixture
def pairs(parts, log):
    """Three runs of half a worker's capacity on w1, the first one begun."""
    log.end(batches.task())
    for job_id in ("p1", "p2", "p3"):
        log.submit(job_id, batches.content())
        log.place(batches.unit(job_id, batches.ref("w1")))
    running = (wire.RunReport(task=batches.task("p1"), run=1),)

    def stops(capacity: batch.Resources) -> list[str]:
        shrunk = dataclasses.replace(report(running=running), capacity=capacity)
        report_now(parts, shrunk)
        chosen = batch_upkeep.required_stops(
            parts.machine.state.batch, parts.board.batch_workers.get(), {}
        )
        return [each.task.job_id for each in chosen]

    return stops


NEED = batches.task_need()


def test_runs_not_begun_that_no_longer_fit_are_stopped_youngest_first(pairs):
    two = NEED.plus(NEED)
    assert pairs(two.plus(NEED)) == []
    assert pairs(two) == ["p3"]
    assert pairs(NEED) == ["p2", "p3"]
    assert pairs(batch.NO_RESOURCES) == ["p2", "p3"]


def test_changed_capacity_wakes_the_planner(parts):
    service = lease_lib.LeaseService(parts)
    cell = parts.board.batch_workers
    seen = []
    for capacity in (NEED, NEED, NEED.plus(NEED)):
        shrunk = dataclasses.replace(report(), capacity=capacity)
        service._store_renewal(renewal(shrunk), ("", 0))
        seen.append(cell.version)
    assert seen[0] == seen[1] < seen[2]


def test_leader_remembers_what_a_worker_had_before_it_shrank(parts):
    service = lease_lib.LeaseService(parts)
    for born, capacity in ((1, NEED), (1, NEED.plus(NEED)), (2, NEED)):
        shrunk = dataclasses.replace(report(), born=born, capacity=capacity)
        service._store_renewal(renewal(shrunk), ("", 0))
    (worker,) = parts.board.batch_workers.get().values()
    assert worker.report.capacity == NEED
    assert worker.largest_capacity == NEED.plus(NEED)


def test_run_being_stopped_still_counts_against_a_shrunken_capacity(pairs, log):
    stop = batching.TaskRun(task=batches.task("p2"), run=1)
    log.apply(batching.StopRuns(runs=(stop,), at_ms=1))
    assert pairs(NEED.plus(NEED)) == ["p3"]


def test_many_payloads_go_in_several_datagrams(parts, log):
    service = lease_lib.LeaseService(parts)
    for number in range(24):
        content = dataclasses.replace(
            batches.content(), payload=chr(97 + number) * 4_000
        )
        log.submit(f"p{number}", content)
        log.place(batches.unit(f"p{number}", batches.ref("w1")))
    received: set[str] = set()
    for _ in range(24):
        request = renewal(report(), payloads=tuple(received))
        grant = service._grant(request)
        assert len(codec.encode(grant)) < DATAGRAM_BYTES
        if not grant.payloads:
            break
        received |= grant.payloads.keys()
    assert received == {"j1", *(f"p{number}" for number in range(24))}


class Proposer:
    """Applies commands to the state machine of a test at once."""

    def __init__(self, log: batches.Log):
        self._log = log

    async def try_propose(self, command):
        return self._log.apply(command)


@pytest.fixture
def controller(parts, log, monkeypatch):
    leases = types.SimpleNamespace(push_to=lambda agents: None)
    controller = batch_lib.BatchController(parts, leases, metrics_lib.Metrics())
    monkeypatch.setattr(controller, "_proposer", Proposer(log))
    return controller


async def test_crash_that_an_agent_reports_is_logged_once(
    controller, parts, log, caplog
):
    """The new incarnation shows that the run is lost as well."""
    caplog.set_level(logging.INFO)
    crashed = wire.EndReport(
        number=0,
        task=batches.task(),
        run=1,
        outcome=batch.RunOutcome.LOST,
        cause=batch.LossCause.CRASHED,
    )
    report_now(parts, report(born=2, ends=(crashed,)))
    await controller._commit_ends()
    causes = [r.cause for r in caplog.records if r.message == "run ended"]
    assert causes == ["crashed"]
