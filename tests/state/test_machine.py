import dataclasses

import pytest

from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.state import claims
from bilberryroute.state import machine as machine_lib
from bilberryroute.transport import proposals


class CommandLog:
    """Applies commands the way a replicated log does."""

    def __init__(self):
        self.machine = machine_lib.StateMachine()
        self.index = 0

    def apply(self, command: commands.Command) -> commands.Result:
        self.index += 1
        payload = proposals.COMMANDS.encode(command)
        return self.machine.apply(self.index, 1, payload)

    @property
    def state(self):
        return self.machine.state


def _worker(name: str, domain: str = "apapa", incarnation: str = "i1"):
    return jobs.Worker(
        name=name,
        incarnation=incarnation,
        agent="agent-1",
        rack="rack-1",
        failure_domain=domain,
        accelerators=8,
        cores=30,
        memory_mb=64_000,
    )


def _ticket(number: int, guarantee: int = 8, **objects) -> config.Ticket:
    shape = config.Shape(accelerators=guarantee)
    account = config.ClientAccount(name="trust", guarantees=(shape,))
    defaults = {
        "accounts": (account,),
        "failure_domains": (config.FailureDomain(name="apapa"),),
    }
    return config.Ticket(number=number, **(defaults | objects))


def _apply_ticket(log: CommandLog, ticket: config.Ticket, digest: str = "d"):
    return log.apply(
        commands.ApplyTicket(ticket=ticket, digest=digest, at_ms=1)
    )


def _job(job_id: str = "j1", **changes) -> jobs.Job:
    defaults = {
        "id": job_id,
        "account": "trust",
        "kind": jobs.JobKind.URGENT,
        "shape": config.Shape(accelerators=16),
        "declared_ms": 60_000,
    }
    return jobs.Job(**(defaults | changes))


def _place(log: CommandLog, job_id: str, attempt: int, *workers: str):
    assignments = tuple(
        jobs.Assignment(worker=w, accelerators=tuple(range(8))) for w in workers
    )
    return log.apply(
        commands.PlaceJob(
            job_id=job_id, attempt=attempt, assignments=assignments, at_ms=2
        )
    )


@pytest.fixture
def log() -> CommandLog:
    log = CommandLog()
    for name in ("w1", "w2", "w3"):
        log.apply(commands.JoinWorker(worker=_worker(name), at_ms=0))
    accepted = _apply_ticket(log, _ticket(1))
    assert isinstance(accepted, commands.TicketAccepted)
    log.apply(commands.SubmitJob(job=_job(), at_ms=1))
    return log


def test_same_ticket_gets_the_first_answer_again(log):
    first = _apply_ticket(log, _ticket(2), "a")
    assert _apply_ticket(log, _ticket(3), "b").number == 3
    assert _apply_ticket(log, _ticket(2), "a") == first
    assert log.state.configuration.revision == 3


def test_other_content_under_a_taken_number_names_winner_and_next(log):
    _apply_ticket(log, _ticket(2), "a")
    refused = _apply_ticket(log, _ticket(2), "b")
    assert isinstance(refused, commands.TicketRefused)
    assert refused.kind == "ticket_conflict"
    assert (refused.winner_digest, refused.next_number) == ("a", 3)


def test_number_below_the_last_accepted_is_refused(log):
    _apply_ticket(log, _ticket(5))
    refused = _apply_ticket(log, _ticket(4))
    assert isinstance(refused, commands.TicketRefused)
    assert refused.next_number == 6


def test_guarantees_that_do_not_fit_are_refused_with_the_shape(log):
    refused = _apply_ticket(log, _ticket(2, guarantee=32))
    assert isinstance(refused, commands.TicketRefused)
    assert refused.kind == "guarantee_does_not_fit"
    assert "32 accelerators" in refused.message
    assert log.state.configuration.revision == 1


def test_taking_a_failure_domain_out_is_accepted_and_says_what_it_breaks(log):
    out = config.FailureDomain(name="apapa", in_service=False)
    ticket = config.Ticket(number=2, failure_domains=(out,))
    accepted = _apply_ticket(log, ticket)
    assert isinstance(accepted, commands.TicketAccepted)
    assert accepted.short_guarantees == ("trust",)


def test_objects_not_named_by_a_ticket_stay_as_they_are(log):
    service = config.Service(name="gang-alloc")
    _apply_ticket(log, config.Ticket(number=2, services=(service,)))
    assert set(log.state.configuration.accounts) == {"trust"}
    assert set(log.state.configuration.services) == {"gang-alloc"}


def test_gang_is_reserved_whole_or_not_at_all(log):
    other = _job("j2", shape=config.Shape(accelerators=8))
    log.apply(commands.SubmitJob(job=other, at_ms=1))
    assert isinstance(_place(log, "j2", 1, "w2"), commands.Changed)
    assert isinstance(_place(log, "j1", 1, "w1", "w2"), commands.Unchanged)
    assert set(log.state.held) == {"w2"}
    assert isinstance(_place(log, "j1", 1, "w1", "w3"), commands.Changed)


def test_no_start_in_a_failure_domain_that_left_meanwhile(log):
    _place(log, "j1", 1, "w1", "w2")
    out = config.FailureDomain(name="apapa", in_service=False)
    _apply_ticket(log, config.Ticket(number=2, failure_domains=(out,)))
    start = commands.StartJob(job_id="j1", attempt=1, at_ms=3)
    assert isinstance(log.apply(start), commands.Unchanged)


def test_stale_attempt_changes_nothing(log):
    _place(log, "j1", 1, "w1", "w2")
    release = commands.ReleaseJob(
        job_id="j1", attempt=1, progress_ms=7, result=None, reason="", at_ms=3
    )
    log.apply(release)
    _place(log, "j1", 2, "w1", "w2")
    assert isinstance(log.apply(release), commands.Unchanged)
    assert log.state.jobs["j1"].attempt == 2
    assert log.state.jobs["j1"].progress_ms == 7


def test_cancellation_ends_queued_jobs_and_stops_placed_ones(log):
    log.apply(commands.SubmitJob(job=_job("j2"), at_ms=1))
    _place(log, "j1", 1, "w1", "w2")
    log.apply(commands.CancelJobs(job_ids=("j1", "j2", "none"), at_ms=3))
    assert log.state.jobs["j1"].phase == jobs.JobPhase.STOPPING
    assert log.state.jobs["j2"].result == jobs.JobResult.CANCELLED


def test_job_id_with_other_content_is_refused(log):
    again = log.apply(commands.SubmitJob(job=_job(), at_ms=9))
    assert again == commands.JobAccepted(job_id="j1", first=False)
    other = _job(declared_ms=1)
    refused = log.apply(commands.SubmitJob(job=other, at_ms=9))
    assert isinstance(refused, commands.JobRefused)


def _claim(agent: str, fingerprint: str = "f", at_ms: int = 10):
    return commands.ClaimRequest(
        request_id="r1",
        account="trust",
        service="gang-alloc",
        fingerprint=fingerprint,
        agent=agent,
        incarnation="i1",
        endpoint="e1",
        keep_ms=1_000,
        at_ms=at_ms,
    )


def test_second_claim_gets_the_first_agent(log):
    assert log.apply(_claim("agent-1")).first
    again = log.apply(_claim("agent-2"))
    assert (again.agent, again.first) == ("agent-1", False)


def test_claim_with_other_content_is_refused(log):
    log.apply(_claim("agent-1"))
    refused = log.apply(_claim("agent-1", fingerprint="other"))
    assert isinstance(refused, commands.ClaimRefused)


def test_claim_outlives_the_answer_by_its_retention(log):
    log.apply(_claim("agent-1"))
    late = 10 + claims.MIN_RETENTION_MS - 1
    assert not log.apply(_claim("agent-2", at_ms=late)).first


def test_snapshot_restores_an_equal_state(log):
    _place(log, "j1", 1, "w1", "w2")
    log.apply(_claim("agent-1"))
    restored = machine_lib.StateMachine()
    restored.restore(log.machine.snapshot())
    assert restored.state == log.state
    assert machine_lib.state_digest(restored.state) == machine_lib.state_digest(
        log.state
    )


def test_worker_restart_replaces_its_incarnation(log):
    restarted = dataclasses.replace(_worker("w1"), incarnation="i2")
    log.apply(commands.JoinWorker(worker=restarted, at_ms=5))
    stale = commands.LoseWorker(name="w1", incarnation="i1", at_ms=6)
    assert isinstance(log.apply(stale), commands.Unchanged)
    assert log.state.workers["w1"].incarnation == "i2"
