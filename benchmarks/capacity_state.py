"""Bytes of state, snapshot, log and messages, by encoding the real records."""

import tracemalloc
from collections.abc import Callable
from collections.abc import Sequence

from benchmarks import capacity_model as model
from benchmarks import lease_agents
from bilberryroute import clock as clock_lib
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.state import jobs as job_rules
from bilberryroute.state import machine as machine_lib
from bilberryroute.state import records
from bilberryroute.state import tickets as ticket_rules
from bilberryroute.transport import codec
from bilberryroute.transport import proposals

SIZES = (100, 200, 400, 800)
TASK_SIZES = (1, 2, 4, 8, 16)
CLAIMS_SHOWN = 1_000
NOW_MS = 1_800_000_000_000

Fill = Callable[[records.ReplicatedState, int], None]


def job_record(number: int, tasks: int = 1) -> jobs.JobRecord:
    """Returns a running job whose gang has a number of tasks."""
    return jobs.JobRecord(
        job=jobs.Job(
            id=f"job-{number:08}",
            account=f"account{number % model.TEAMS:02}",
            kind=jobs.JobKind.PLANNED,
            shape=config.Shape(accelerators=8 * tasks),
            declared_ms=clock_lib.HOUR,
            submitted_ms=NOW_MS,
        ),
        phase=jobs.JobPhase.RUNNING,
        attempt=1,
        assignments=tuple(_assignment(number + n) for n in range(tasks)),
        phase_since_ms=NOW_MS,
    )


def _assignment(number: int) -> jobs.Assignment:
    return jobs.Assignment(
        worker=f"worker-{number:05}", accelerators=tuple(range(8))
    )


def claim(number: int) -> records.ClaimRecord:
    """Returns the claim of one request."""
    return records.ClaimRecord(
        request_id=f"{number:032x}",
        account=f"account{number % model.TEAMS:02}",
        service="gang-alloc",
        fingerprint=f"{number:064x}",
        agent=f"agent-{number % model.WORKERS:04}",
        incarnation="0123456789abcdef",
        endpoint=f"endpoint-{number % model.WORKERS:04}",
        expires_ms=NOW_MS,
    )


def ticket(number: int) -> config.Ticket:
    """Returns a ticket that sets one account with two guarantees."""
    shapes = (config.Shape(accelerators=8), config.Shape(accelerators=4))
    name = f"account{number % model.TEAMS:02}"
    account = config.ClientAccount(name=name, guarantees=shapes)
    return config.Ticket(number=number, accounts=(account,))


def _fill_jobs(state: records.ReplicatedState, count: int) -> None:
    state.jobs.update((f"job-{n:08}", job_record(n)) for n in range(count))
    state.ended.extend(f"job-{n:08}" for n in range(count))


def _fill_workers(state: records.ReplicatedState, count: int) -> None:
    for number in range(count):
        worker = lease_agents.worker_of(f"agent-{number:05}")
        state.workers[worker.name] = worker


def _fill_held(state: records.ReplicatedState, count: int) -> None:
    for number in range(count):
        holder = state.held.setdefault(f"worker-{number // 8:05}", {})
        holder[number % 8] = f"job-{number:08}"


def _fill_claims(state: records.ReplicatedState, count: int) -> None:
    for number in range(count):
        state.claims[f"account/{number:032x}"] = claim(number)


def _fill_tickets(state: records.ReplicatedState, count: int) -> None:
    for number in range(count):
        state.tickets[number] = records.TicketRecord(
            ticket=ticket(number), digest=f"{number:064x}", accepted_ms=NOW_MS
        )


KINDS: dict[str, tuple[Fill, int]] = {
    "job kept": (_fill_jobs, job_rules.MAX_ENDED_JOBS + model.JOBS_A_DAY),
    "worker": (_fill_workers, model.WORKERS),
    "accelerator held": (_fill_held, model.ACCELERATORS),
    "claim": (_fill_claims, CLAIMS_SHOWN),
    "ticket kept": (_fill_tickets, ticket_rules.MAX_TICKETS),
}


def snapshot_of(fill: Fill, count: int) -> bytes:
    """Returns the snapshot of a state with one kind of record."""
    machine = machine_lib.StateMachine()
    fill(machine.state, count)
    return machine.snapshot()


def memory_of(snapshot: bytes) -> int:
    """Returns the bytes that a restored snapshot takes in memory."""
    machine = machine_lib.StateMachine()
    tracemalloc.start()
    machine.restore(snapshot)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def state_lines() -> list[model.Line]:
    """Returns what each kind of record takes in snapshot and memory."""
    lines = []
    for name, (fill, target) in KINDS.items():
        snapshots = [snapshot_of(fill, size) for size in SIZES]
        held = [memory_of(each) for each in snapshots]
        stored = [len(each) for each in snapshots]
        for cost, sizes in (("snapshot", stored), ("memory", held)):
            values = tuple(size / model.KB for size in sizes)
            lines.append(_line("replica", cost, name, SIZES, values, target))
    snapshots = [codec.encode(job_record(1, n)) for n in TASK_SIZES]
    values = tuple(len(each) / model.KB for each in snapshots)
    lines.append(
        _line("replica", "snapshot", "task", TASK_SIZES, values, model.TASKS)
    )
    return lines


def log_bytes() -> dict[str, int]:
    """Returns the bytes that each command takes in the log, unframed."""
    record = job_record(1)
    request = claim(1)
    found: dict[str, commands.Command] = {
        "ticket of one account": commands.ApplyTicket(
            ticket=ticket(1), digest=f"{1:064x}", at_ms=NOW_MS
        ),
        "job submitted": commands.SubmitJob(job=record.job, at_ms=NOW_MS),
        "job placed, one task": commands.PlaceJob(
            job_id=record.job.id,
            attempt=1,
            assignments=record.assignments,
            at_ms=NOW_MS,
        ),
        "job started": commands.StartJob(
            job_id=record.job.id, attempt=1, at_ms=NOW_MS
        ),
        "worker joined": commands.JoinWorker(
            worker=lease_agents.worker_of("agent-00001"), at_ms=NOW_MS
        ),
        "claim": commands.ClaimRequest(
            request_id=request.request_id,
            account=request.account,
            service=request.service,
            fingerprint=request.fingerprint,
            agent=request.agent,
            incarnation=request.incarnation,
            endpoint=request.endpoint,
            keep_ms=0,
            at_ms=NOW_MS,
        ),
    }
    return {
        name: len(proposals.COMMANDS.encode(command))
        for name, command in found.items()
    }


def message_lines() -> list[model.Line]:
    """Returns the bytes of messages that grow with what they carry."""
    return [
        _messages("agent", "desired state", "task", _desired, TASK_SIZES),
        _messages("agent", "renewal", "task", _renewal, TASK_SIZES),
        _messages("entry", "watch: endpoints", "endpoint", _endpoints, SIZES),
        _messages("entry", "watch: accounts", "account", _accounts, SIZES),
    ]


TARGETS = {
    "task": model.TASKS_PER_WORKER,
    "endpoint": model.WORKERS,
    "account": model.TEAMS,
}


def _messages(
    role: str,
    cost: str,
    over: str,
    make: Callable[[int], object],
    sizes: Sequence[int],
) -> model.Line:
    values = tuple(len(codec.encode(make(n))) / model.KB for n in sizes)
    return _line(role, cost, over, sizes, values, TARGETS[over])


def _desired(tasks: int) -> wire.Desired:
    each = [
        wire.DesiredTask(
            job_id=f"job-{number:08}",
            attempt=1,
            worker="worker-00001",
            accelerators=(number,),
            state="running",
        )
        for number in range(tasks)
    ]
    return wire.Desired(
        version=1,
        revision=1,
        domains_in_service=tuple(f"domain-{n}" for n in range(8)),
        services=(config.Service(name="gang-alloc"),),
        tasks=tuple(each),
    )


def _renewal(tasks: int) -> wire.Renewal:
    agent = lease_agents.StandInAgent("s0001", clock_lib.SystemClock())
    plain = agent.renewal()
    reports = [
        wire.TaskReport(
            job_id=f"job-{n:08}", attempt=1, worker="w-1", state="running"
        )
        for n in range(tasks)
    ]
    fields = {name: getattr(plain, name) for name in plain.__slots__}
    return wire.Renewal(**fields | {"tasks": tuple(reports)})


def _endpoints(count: int) -> wire.WatchEvent:
    views = tuple(
        wire.EndpointView(
            name=f"endpoint-{number:04}",
            service="gang-alloc",
            agent=f"agent-{number:04}",
            incarnation="0123456789abcdef",
            http="10.0.0.1:7070",
            failure_domain="domain-1",
            slots=8,
            in_flight=3,
            leaving=False,
            healthy=True,
        )
        for number in range(count)
    )
    return wire.WatchEvent(
        term=1, leader_id="r1", configuration=None, endpoints=views
    )


def _accounts(count: int) -> wire.WatchEvent:
    shapes = (config.Shape(accelerators=8), config.Shape(accelerators=4))
    names = [f"account{n:03}" for n in range(count)]
    accounts = {
        name: config.ClientAccount(name=name, guarantees=shapes)
        for name in names
    }
    cfg = config.Configuration(revision=1, accounts=accounts)
    return wire.WatchEvent(
        term=1, leader_id="r1", configuration=cfg, endpoints=None
    )


def _line(role, cost, over, sizes, values, target) -> model.Line:
    return model.Line(
        role=role,
        cost=cost,
        unit="KB",
        over=over,
        sizes=tuple(sizes),
        values=values,
        target=target,
    )
