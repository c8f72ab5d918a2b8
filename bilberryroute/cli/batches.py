"""Commands on batch jobs and the catalog."""

import tomllib
import urllib.parse

import msgspec

from bilberryroute import errors
from bilberryroute import status
from bilberryroute.cli import client
from bilberryroute.entry import batch_api
from bilberryroute.model import batch
from bilberryroute.model import queries

_COLUMNS = ("job", "queue", "account", "state", "done", "running", "failed")
_TASK_COLUMNS = ("task", "state", "run", "worker", "failed", "checkpoint")


def _document(session: client.Session, path: str) -> bytes:
    """Returns a TOML or JSON file as JSON."""
    content = client.read_file(session.env, path)
    if not path.endswith(".toml"):
        return content
    try:
        return msgspec.json.encode(tomllib.loads(content.decode()))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        raise errors.UsageError(
            f"{path} is no TOML: {exc}",
            remedy="Mend the file, or send JSON.",
        ) from exc


@client.command
async def submit(
    session: client.Session, file: str, *, key: str = ""
) -> status.ExitStatus:
    """Submits a batch job of steps and tasks.

    Example::

      bilberryroute batch submit extras/batch/roster.toml --key KEY

    Args:
      session: Connection to the entry.
      file: TOML (`*.toml`) or JSON file with the job; `-` for standard input.
      key: Key of the client account.
    """
    answer = await session.call(
        "POST",
        "/v1/batch-jobs",
        body=_document(session, file),
        headers={batch_api.KEY_HEADER: key} if key else None,
    )
    return _print(session, answer.decode(), ("job", "job_id"))


@client.command
async def cancel(
    session: client.Session, id: str, *, queue: str, key: str = ""
) -> status.ExitStatus:
    """Cancels a batch job; its tasks are stopped.

    Example::

      bilberryroute batch cancel roster-17 --queue rosters --key KEY

    Args:
      session: Connection to the entry.
      id: The job's id.
      queue: Its queue.
      key: Key of the client account.
    """
    query = urllib.parse.urlencode({"queue": queue})
    answer = await session.call(
        "DELETE",
        f"/v1/batch-jobs/{urllib.parse.quote(id, safe='')}?{query}",
        headers={batch_api.KEY_HEADER: key} if key else None,
    )
    return _print(session, answer.decode(), ("cancelled", "job_id"))


@client.command
async def show(session: client.Session, id: str) -> status.ExitStatus:
    """Shows a batch job with its tasks and runs.

    Example::

      bilberryroute batch show roster-17

    Args:
      session: Connection to the entry.
      id: The job's id.
    """
    path = f"/v1/batch-jobs/{urllib.parse.quote(id, safe='')}"
    detail = (await session.call("GET", path)).decode(queries.BatchDetail)
    if session.output.as_json:
        session.output.json(detail)
        return status.ExitStatus.SUCCESS
    record = detail.record
    session.output.fields(
        ("job", record.id),
        ("queue", record.queue),
        ("account", record.account or "none"),
        ("result", record.result or "none yet"),
        ("reason", record.reason or "none"),
    )
    session.output.line()
    session.output.table(_TASK_COLUMNS, list(_task_rows(record)))
    return status.ExitStatus.SUCCESS


def _task_rows(record: batch.BatchRecord):
    for number, steps in sorted(record.occurrences.items()):
        for step_number, step in enumerate(steps):
            for index, task in enumerate(step.tasks):
                yield (
                    f"{number}.{step_number}.{index}",
                    task.state,
                    task.run,
                    task.worker.name if task.worker else "-",
                    task.failed,
                    task.saved or "-",
                )
            if len(step.tasks) < step.count:
                yield (
                    f"{number}.{step_number}.{len(step.tasks)}"
                    f"-{step.count - 1}",
                    batch.TaskState.WAITING,
                    0,
                    "-",
                    0,
                    "-",
                )


@client.command
async def list_jobs(session: client.Session) -> status.ExitStatus:
    """Lists batch jobs in the order of acceptance.

    Example::

      bilberryroute batch list

    Args:
      session: Connection to the entry.
    """
    answer = await session.call("GET", "/v1/batch-jobs")
    found = answer.decode(queries.BatchList)
    if session.output.as_json:
        session.output.json(found)
        return status.ExitStatus.SUCCESS
    rows = [
        (
            each.id,
            each.queue,
            each.account or "-",
            each.result or ("running" if each.begun else "queued"),
            each.done,
            each.active,
            each.failed,
        )
        for each in found.jobs
    ]
    session.output.table(_COLUMNS, rows)
    return status.ExitStatus.SUCCESS


@client.command
async def apply_catalog(
    session: client.Session, file: str
) -> status.ExitStatus:
    """Puts queues and client accounts in force, as a whole.

    Example::

      bilberryroute catalog apply extras/batch/catalog.toml

    Args:
      session: Connection to the entry.
      file: TOML (`*.toml`) or JSON file; `-` for standard input.
    """
    answer = await session.call(
        "POST", "/v1/catalog", body=_document(session, file)
    )
    return _print(
        session, answer.decode(), ("version", "version"), ("changed", "changed")
    )


@client.command
async def show_catalog(session: client.Session) -> status.ExitStatus:
    """Shows the queues in force.

    Example::

      bilberryroute catalog show

    Args:
      session: Connection to the entry.
    """
    catalog = (await session.call("GET", "/v1/catalog")).decode()
    if session.output.as_json:
        session.output.json(catalog)
        return status.ExitStatus.SUCCESS
    session.output.fields(("version", catalog["version"]))
    session.output.line()
    session.output.table(
        ("queue", "host", "path", "pool", "priority"),
        [
            (q["name"], q["host"], q["path_prefix"], q["pool"], q["priority"])
            for q in catalog["queues"]
        ],
    )
    session.output.line()
    session.output.table(
        ("client account", "guaranteed", "keys"),
        [
            (a["name"], a["guaranteed"], len(a["keys"]))
            for a in catalog["accounts"]
        ],
    )
    return status.ExitStatus.SUCCESS


def _print(
    session: client.Session, body: dict, *fields: tuple[str, str]
) -> status.ExitStatus:
    if session.output.as_json:
        session.output.json(body)
    else:
        session.output.fields(*((name, body[key]) for name, key in fields))
    return status.ExitStatus.SUCCESS
