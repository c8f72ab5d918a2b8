"""Commands on jobs."""

import urllib.parse
from typing import Literal

import msgspec

from bilberryroute import status
from bilberryroute.cli import client
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.model import queries

# Literals are read from the command line by value, enumerations by name.
_Adjacency = Literal[tuple(each.value for each in config.Adjacency)]
_Kind = Literal[tuple(each.value for each in jobs.JobKind)]

_COLUMNS = ("job", "account", "kind", "shape", "phase", "attempt", "result")


@client.command
async def submit(
    session: client.Session,
    *,
    account: str = "",
    accelerators: int = 1,
    adjacency: _Adjacency = config.Adjacency.RACK.value,
    failure_domain: str = "",
    kind: _Kind = jobs.JobKind.PLANNED.value,
    declared_ms: int = 60_000,
    cores: int = 1,
    memory_mb: int = 1_024,
    id: str = "",
) -> status.ExitStatus:
    """Submits a job; all of its accelerators start together or none does.

    Example::

      bilberryroute job submit --account rosters --accelerators 16

    Args:
      session: Connection to the entry.
      account: Client account; by default the one of the token.
      accelerators: Adjacent accelerators, by default 1.
      adjacency: What must hold all of them, by default rack.
      failure_domain: Where to run; by default anywhere.
      kind: How soon it is wanted, by default planned.
      declared_ms: Expected run time in milliseconds, by default 60000.
      cores: Processors beside each accelerator, by default 1.
      memory_mb: MiB of memory beside each accelerator, by default 1024.
      id: Id of the job; by default the entry chooses one. Submitting the same
        job again under its id changes nothing.
    """
    body = {
        "account": account,
        "kind": kind,
        "shape": {
            "accelerators": accelerators,
            "adjacency": adjacency,
            "failure_domain": failure_domain,
        },
        "declared_ms": declared_ms,
        "cores_per_accelerator": cores,
        "memory_mb_per_accelerator": memory_mb,
    }
    if id:
        body["id"] = id
    answer = await session.call(
        "POST", "/v1/jobs", body=msgspec.json.encode(body)
    )
    return _show_view(session, answer)


@client.command
async def show(session: client.Session, id: str) -> status.ExitStatus:
    """Shows a job, where it stands and why.

    Example::

      bilberryroute job show roster-17

    Args:
      session: Connection to the entry.
      id: The job's id.
    """
    path = f"/v1/jobs/{urllib.parse.quote(id, safe='')}"
    return _show_view(session, await session.call("GET", path))


def _show_view(
    session: client.Session, answer: client.Answer
) -> status.ExitStatus:
    view = answer.decode(queries.JobView)
    if session.output.as_json:
        session.output.json(view)
        return status.ExitStatus.SUCCESS
    record = view.record
    placed = (
        f"{each.worker}[{','.join(map(str, each.accelerators))}]"
        for each in record.assignments
    )
    session.output.fields(
        ("job", record.job.id),
        ("account", record.job.account),
        ("phase", record.phase),
        ("attempt", record.attempt),
        ("placed on", " ".join(placed) or "nothing"),
        ("result", record.result or "none yet"),
        ("reason", record.reason or "none"),
        ("explanation", view.explanation or "none"),
    )
    return status.ExitStatus.SUCCESS


@client.command
async def list_jobs(
    session: client.Session, *, account: str = ""
) -> status.ExitStatus:
    """Lists jobs in the order of submission.

    Example::

      bilberryroute job list --account rosters

    Args:
      session: Connection to the entry.
      account: Only jobs of this client account.
    """
    query = urllib.parse.urlencode({"account": account})
    answer = await session.call("GET", f"/v1/jobs?{query}")
    found = answer.decode(queries.JobList)
    if session.output.as_json:
        session.output.json(found)
        return status.ExitStatus.SUCCESS
    session.output.table(_COLUMNS, map(_row, found.records))
    return status.ExitStatus.SUCCESS


def _row(record: jobs.JobRecord) -> tuple[object, ...]:
    job = record.job
    return (
        job.id,
        job.account,
        job.kind,
        f"{job.shape.accelerators} in one {job.shape.adjacency}",
        record.phase,
        record.attempt,
        record.result or "-",
    )


@client.command
async def cancel(session: client.Session, *ids: str) -> status.ExitStatus:
    """Cancels jobs: queued ones end, placed ones stop on all workers.

    Example::

      bilberryroute job cancel roster-17 roster-18

    Args:
      session: Connection to the entry.
      ids: Ids of the jobs.
    """
    body = msgspec.json.encode({"job_ids": ids})
    answer = await session.call("POST", "/v1/jobs/cancel", body=body)
    cancelled = answer.decode()
    if session.output.as_json:
        session.output.json(cancelled)
    else:
        session.output.fields(("cancelled", " ".join(cancelled["job_ids"])))
    return status.ExitStatus.SUCCESS
