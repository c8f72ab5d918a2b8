"""Views of batch jobs, queues and accounts."""

import pytest

from bilberryroute.model import batch
from bilberryroute.replica import batch_views
from tests.utils import batches


@pytest.fixture
def log():
    """One job with a task that runs and one that is done, one that waits."""
    command_log = batches.Log()
    command_log.submit("j1", batches.content(batches.step(2, 3)), "urgent")
    command_log.place(batches.unit("j1", batches.ref("w1"), batches.ref("w2")))
    command_log.end(batches.task("j1", 1))
    command_log.submit("j2", batches.content(), "urgent")
    return command_log


def test_queues_count_open_and_pending_jobs(log):
    shown = {view.name: view for view in batch_views.queues(log.held)}
    assert list(shown) == ["urgent", "planned", "nightly"]
    assert (shown["urgent"].pending, shown["urgent"].open) == (1, 2)
    assert (shown["planned"].pending, shown["planned"].open) == (0, 0)


def test_ended_job_is_not_open(log):
    log.cancel("j2", "urgent")
    assert batch_views.queues(log.held)[0].open == 1


def test_accounts_show_their_usage_and_no_key(log):
    (shown,) = batch_views.accounts(log.held)
    assert (shown.guaranteed, shown.accelerators, shown.keys) == (8, 3, 1)
    assert batches.KEY not in repr(shown)


def test_summary_counts_tasks(log):
    shown = batch_views.summary(log.held.jobs["j1"])
    assert (shown.done, shown.active, shown.failed) == (1, 1, 0)
    log.end(batches.task("j1"), outcome=batch.RunOutcome.FAILED)
    assert batch_views.summary(log.held.jobs["j1"]).failed == 1
