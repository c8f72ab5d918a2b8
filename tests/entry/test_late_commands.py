"""Commands that reach the leader after their opposite, or once more.

The rows of `docs/design/late-commands.md`.
"""

import pytest

from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import batch as entry_batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.model import queries
from bilberryroute.state import jobs as job_rules
from tests.utils import batches
from tests.utils import environment

DOMAIN = "apapa"
WITHIN_MS = 900


class Cut:
    """Path of one host to the leader, which may hold up what is sent.

    Attributes:
      cut: Whether commands are held up; their sender gets no answer.
    """

    def __init__(self, log):
        self._log = log
        self._held_up = []
        self.cut = False

    async def propose(self, command, within_ms=0):
        del within_ms
        if self.cut:
            self._held_up.append(command)
            raise errors.CommitUnknown("the leading replica did not answer")
        return self._log.apply(command)

    async def query(self, query, within_ms=0):
        del within_ms
        held = self._log.held
        match query:
            case queries.GetEvacuation(failure_domain=domain):
                return queries.EvacuationView(
                    evacuated=domain in held.evacuated,
                    last_order=held.evacuation_orders.get(domain, 0),
                )
        raise AssertionError(f"unexpected query {query!r}")

    def heal(self):
        """Delivers what was held up; nobody reads the answers."""
        self.cut = False
        return [self._log.apply(command) for command in self._held_up]


class Host:
    """A host that passes callers' and operators' requests on."""

    def __init__(self, log, clock):
        self.path = Cut(log)
        self._client = entry_batch.BatchClient(
            self.path, settings.Timing(), clock, metrics_lib.Metrics()
        )

    async def order(self, evacuated):
        await self._client.set_evacuated(DOMAIN, evacuated, WITHIN_MS)

    async def submit(self, job_id):
        return await self._client.submit(
            batches.address(job_id=job_id), batches.content(), WITHIN_MS
        )

    async def cancel(self, job_id):
        await self._client.cancel(batches.address(job_id=job_id), WITHIN_MS)


@pytest.fixture
def log():
    return batches.Log()


@pytest.fixture
def hosts(log):
    """Returns a host whose path is going to be cut, and a sound one."""
    clock = environment.fake_environment().clock
    return Host(log, clock), Host(log, clock)


async def hold_up(host, call):
    """Makes a call that is held up on its way to the leader."""
    host.path.cut = True
    with pytest.raises(errors.CommitUnknown):
        await call


@pytest.mark.parametrize("late", [True, False], ids=["evacuate", "take_back"])
async def test_late_evacuation_order_does_not_undo_a_later_one(
    log, hosts, late
):
    """The repeated order and its opposite are acknowledged by another host."""
    cut, sound = hosts
    await sound.order(not late)
    await hold_up(cut, cut.order(late))
    await sound.order(late)
    await sound.order(not late)
    cut.path.heal()
    assert (DOMAIN in log.held.evacuated) == (not late)


@pytest.mark.parametrize("late", [True, False], ids=["evacuate", "take_back"])
async def test_late_evacuation_order_does_not_undo_one_that_changed_nothing(
    log, hosts, late
):
    """The operator has thought better of an order that got no answer."""
    cut, sound = hosts
    await sound.order(not late)
    await hold_up(cut, cut.order(late))
    await sound.order(not late)
    cut.path.heal()
    assert (DOMAIN in log.held.evacuated) == (not late)


async def test_evacuation_order_without_a_later_one_is_carried_out_late(
    log, hosts
):
    cut, _ = hosts
    await hold_up(cut, cut.order(True))
    cut.path.heal()
    assert log.held.evacuated == [DOMAIN]


async def test_repeated_evacuation_order_is_acknowledged(log, hosts):
    cut, sound = hosts
    await sound.order(True)
    await sound.order(True)
    assert log.held.evacuated == [DOMAIN]


async def test_overtaken_evacuation_order_is_refused_to_its_caller(log, hosts):
    _, sound = hosts
    await sound.order(True)
    stale = batching.SetEvacuated(
        failure_domain=DOMAIN, evacuated=False, after_order=0, at_ms=0
    )
    assert log.apply(stale).kind == errors.Overtaken.kind


async def test_late_submission_does_not_run_a_job_cancelled_as_unknown(
    log, hosts
):
    """The caller was told that there is no such job."""
    cut, sound = hosts
    await hold_up(cut, cut.submit("j1"))
    with pytest.raises(errors.Gone):
        await sound.cancel("j1")
    cut.path.heal()
    assert "j1" not in log.held.jobs


async def test_cancellation_as_unknown_binds_its_account_only(log, hosts):
    other = batches.catalog(
        2,
        accounts=(
            *batches.catalog().accounts,
            catalog_model.BatchAccount(name="other", keys=("o" * 20,)),
        ),
    )
    log.apply(batching.ApplyCatalog(catalog=other, at_ms=log.now))
    address = batches.address(job_id="j1", key="o" * 20)
    log.apply(batching.CancelBatch(address=address, at_ms=log.now))
    assert log.submit("j1", batches.content()).first


async def test_late_submission_does_not_revive_a_cancelled_job(log, hosts):
    cut, sound = hosts
    await hold_up(cut, cut.submit("j1"))
    await sound.submit("j1")
    await sound.cancel("j1")
    cut.path.heal()
    assert log.held.jobs["j1"].result == jobs.JobResult.CANCELLED


async def test_late_submission_does_not_run_a_job_again_that_is_not_stored(
    log, hosts
):
    """Ended jobs are dropped from the state after a while."""
    cut, sound = hosts
    await hold_up(cut, cut.submit("j1"))
    await sound.submit("j1")
    log.place(batches.unit("j1"))
    log.end(batches.task("j1"))
    log.now += batches.KEEP_MS + 1
    log.submit("j2", batches.content())
    assert "j1" not in log.held.jobs
    cut.path.heal()
    assert "j1" not in log.held.jobs


async def test_late_cancellation_changes_nothing_of_an_ended_job(log, hosts):
    cut, sound = hosts
    await sound.submit("j1")
    await hold_up(cut, cut.cancel("j1"))
    log.place(batches.unit("j1"))
    log.end(batches.task("j1"))
    cut.path.heal()
    assert log.held.jobs["j1"].result == jobs.JobResult.DONE


def test_late_catalog_does_not_replace_a_later_one(log):
    first, second = batches.catalog(2), batches.catalog(3, accounts=())
    log.apply(batching.ApplyCatalog(catalog=second, at_ms=log.now))
    log.apply(batching.ApplyCatalog(catalog=first, at_ms=log.now))
    assert log.held.catalog.version == 3


def test_late_ticket_does_not_replace_a_later_one(log):
    for number in (1, 2):
        _apply_ticket(log, number)
    late = _apply_ticket(log, 1)
    assert log.machine.state.configuration.revision == 2
    assert isinstance(late, commands.TicketAccepted)


def test_late_job_does_not_run_again_that_is_not_stored(log, monkeypatch):
    monkeypatch.setattr(job_rules, "MAX_ENDED_JOBS", 1)
    _apply_ticket(log, 1)
    for job_id in ("j1", "j2"):
        log.apply(commands.SubmitJob(job=_job(job_id), at_ms=log.now))
        log.apply(commands.CancelJobs(job_ids=(job_id,), at_ms=log.now))
    late = commands.SubmitJob(job=_job("j1"), at_ms=log.now)
    assert log.apply(late).kind == errors.Gone.kind
    assert list(log.machine.state.jobs) == ["j2"]


def test_late_claim_does_not_bind_a_request_to_another_agent(log):
    first, late = (
        commands.ClaimRequest(
            request_id="q1",
            account="trust",
            service="s",
            fingerprint="f",
            agent=agent,
            incarnation="1",
            endpoint="e1",
            keep_ms=1_000,
            at_ms=log.now,
        )
        for agent in ("a1", "a2")
    )
    log.apply(first)
    assert log.apply(late).agent == "a1"


def _apply_ticket(log, number):
    ticket = config.Ticket(
        number=number, accounts=(config.ClientAccount(name="trust"),)
    )
    return log.apply(
        commands.ApplyTicket(ticket=ticket, digest=str(number), at_ms=log.now)
    )


def _job(job_id):
    return jobs.Job(
        id=job_id,
        account="trust",
        kind=jobs.JobKind.PLANNED,
        shape=config.Shape(accelerators=1),
        declared_ms=1_000,
    )
