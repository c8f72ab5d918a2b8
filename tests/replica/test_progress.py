import pytest

from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import progress

FENCE_MS = 10_000


def _record(phase: jobs.JobPhase, **changes) -> jobs.JobRecord:
    job = jobs.Job(
        id="j1",
        account="trust",
        kind=jobs.JobKind.URGENT,
        shape=config.Shape(accelerators=2),
        declared_ms=1_000,
    )
    assignments = tuple(
        jobs.Assignment(worker=w, accelerators=(0,)) for w in ("w1", "w2")
    )
    return jobs.JobRecord(
        job=job, phase=phase, attempt=1, assignments=assignments, **changes
    )


def _report(board, agent: str, worker: str, state: str | None, **changes):
    """Stores an agent with a worker and at most one task report."""
    report = wire.TaskReport(
        job_id="j1",
        attempt=1,
        worker=worker,
        state=state or "",
        progress_ms=changes.get("progress_ms", 0),
    )
    reports = (report,) if state else ()
    renewal = wire.Renewal(
        agent=agent,
        incarnation="i1",
        failure_domain="apapa",
        sent_ms=0,
        term=1,
        desired_version=changes.get("version", 5),
        revision=1,
        http="",
        draining=False,
        endpoints=(),
        workers=(),
        tasks=reports,
    )
    board.agents.get()[agent] = board_lib.AgentRecord(
        renewal=renewal,
        address=("127.0.0.1", 1),
        last_seen_ms=0,
        incarnation_since_ms=changes.get("incarnation_since_ms", 0),
        tasks={(t.job_id, t.attempt, t.worker): t for t in reports},
    )
    board.worker_agent[worker] = agent
    board.worker_last_seen[worker] = changes.get("last_seen_ms", 0)


@pytest.fixture
def board() -> board_lib.ReplicaBoard:
    return board_lib.new_board()


def _next(record, board, now: int = 0):
    observed = progress.Observations(
        now=now,
        term_began=0,
        fence_ms=FENCE_MS,
        board=board,
        desired_version=lambda agent: 5,
    )
    return progress.next_command(record, observed, at_ms=1)


def test_gang_starts_only_when_every_member_is_reserved(board):
    record = _record(jobs.JobPhase.RESERVED)
    _report(board, "a1", "w1", "reserved")
    _report(board, "a2", "w2", None)
    assert _next(record, board) is None
    _report(board, "a2", "w2", "reserved")
    assert isinstance(_next(record, board), commands.StartJob)


def test_job_is_done_when_every_member_is_done(board):
    record = _record(jobs.JobPhase.RUNNING)
    _report(board, "a1", "w1", "done")
    _report(board, "a2", "w2", "running")
    assert _next(record, board) is None
    _report(board, "a2", "w2", "done")
    assert _next(record, board).result == jobs.JobResult.DONE


def test_stop_keeps_the_least_progress_of_all_members(board):
    record = _record(jobs.JobPhase.STOPPING, requeue=True)
    _report(board, "a1", "w1", "stopped", progress_ms=400)
    _report(board, "a2", "w2", "stopped", progress_ms=300)
    command = _next(record, board)
    assert (command.result, command.progress_ms) == (None, 300)


def test_silent_member_holds_its_accelerators_until_it_is_fenced(board):
    record = _record(jobs.JobPhase.STOPPING, requeue=True)
    _report(board, "a1", "w1", "stopped")
    assert _next(record, board, now=FENCE_MS - 1) is None
    assert isinstance(_next(record, board, now=FENCE_MS), commands.ReleaseJob)


def test_last_report_of_a_silent_host_does_not_hold_its_accelerators(board):
    record = _record(jobs.JobPhase.STOPPING, requeue=True)
    _report(board, "a1", "w1", "stopped")
    _report(board, "a2", "w2", "running")
    assert _next(record, board, now=FENCE_MS - 1) is None
    assert isinstance(_next(record, board, now=FENCE_MS), commands.ReleaseJob)


def test_restarted_agent_proves_no_end_before_the_fence_time(board):
    record = _record(jobs.JobPhase.STOPPING)
    _report(board, "a1", "w1", "stopped")
    late = FENCE_MS + 100
    _report(
        board,
        "a2",
        "w2",
        None,
        incarnation_since_ms=late - 50,
        last_seen_ms=late,
    )
    assert _next(record, board, now=late) is None
    later = late - 50 + FENCE_MS
    _report(
        board,
        "a2",
        "w2",
        None,
        incarnation_since_ms=late - 50,
        last_seen_ms=later,
    )
    assert _next(record, board, now=later) is not None


def test_agent_that_has_not_received_the_stop_proves_no_end(board):
    record = _record(jobs.JobPhase.STOPPING)
    _report(board, "a1", "w1", "stopped")
    now = 2 * FENCE_MS
    _report(board, "a2", "w2", None, version=4, last_seen_ms=now)
    assert _next(record, board, now=now) is None
