"""What the leader infers of workers that went down beside their agents."""

import pytest

from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import batch_ends
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import parts as parts_lib
from tests.utils import batches
from tests.utils import environment

CRASHED = batch.LossCause.CRASHED
RESTARTED = batch.LossCause.RESTARTED


def worker(born: int = 1, name: str = "w1", **more) -> wire.WorkerReport:
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


RESTARTED_WORKERS = [worker(2), worker(2, "w1-again")]


@pytest.fixture
def parts(tmp_path) -> parts_lib.ReplicaParts:
    """A leader; one job runs on the first incarnation of a worker."""
    env = environment.fake_environment()
    cfg = embedded.embedded_settings(str(tmp_path))
    parts = parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())
    log = batches.Log()
    log.machine = parts.machine
    log.apply(batching.ApplyCatalog(catalog=batches.catalog(), at_ms=1))
    log.submit("j1", batches.content())
    log.place(batches.unit("j1", batches.ref("w1")))
    return parts


@pytest.fixture
def renew(parts):
    """Returns a function that stores a renewal of the worker's agent."""
    service = lease_lib.LeaseService(parts)
    sent = iter(range(1, 100))

    def renew(incarnation: str, *reports, draining: bool = False) -> None:
        renewal = wire.Renewal(
            agent="a-w1",
            incarnation=incarnation,
            failure_domain="apapa",
            sent_ms=next(sent),
            term=1,
            desired_version=0,
            revision=0,
            http="",
            draining=draining,
            endpoints=(),
            workers=(),
            tasks=(),
            batch=reports,
        )
        assert service._store_renewal(renewal, ("", 0))

    return renew


def causes(parts) -> list[batch.LossCause]:
    ends = batch_ends.lost_runs(
        parts.machine.state.batch,
        parts.board,
        parts.cfg.timing,
        parts.clock.now(),
    )
    return [end.cause for end in ends]


@pytest.mark.parametrize("restarted", RESTARTED_WORKERS)
def test_crash_is_not_forgotten_by_an_agent_that_restarts_after_it(
    parts, renew, restarted
):
    renew("i1", worker())
    renew("i1")
    renew("i2")
    renew("i2", restarted)
    assert causes(parts) == [CRASHED]


@pytest.mark.parametrize("restarted", RESTARTED_WORKERS)
def test_loss_of_power_takes_worker_and_agent_at_once(parts, renew, restarted):
    renew("i1", worker())
    renew("i2")
    renew("i2", restarted)
    assert causes(parts) == [RESTARTED]


def test_run_that_its_agent_never_started_has_not_crashed(parts, renew):
    """An agent that goes on reports the crashes itself."""
    renew("i1", worker())
    renew("i1")
    renew("i1", worker(2))
    assert causes(parts) == [RESTARTED]


def test_worker_that_answers_again_has_not_crashed(parts, renew):
    renew("i1", worker())
    renew("i1")
    renew("i1", worker())
    renew("i2", worker(2))
    assert causes(parts) == [RESTARTED]


@pytest.mark.parametrize("draining", [True, False])
def test_worker_whose_end_was_announced_has_not_crashed(parts, renew, draining):
    renew("i1", worker(draining=not draining))
    renew("i1", draining=draining)
    renew("i2", worker(2))
    assert causes(parts) == [RESTARTED]
