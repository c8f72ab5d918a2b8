"""Commands on the system as a whole and on single processes."""

from collections.abc import Iterator

from bilberryroute import status
from bilberryroute.cli import checks
from bilberryroute.cli import client
from bilberryroute.model import config
from bilberryroute.model import queries

Table = tuple[tuple[str, ...], list[tuple[object, ...]]]


@client.command
async def show_status(
    session: client.Session, *, check: bool = False
) -> status.ExitStatus:
    """Shows the system as the leading replica sees it.

    Example::

      bilberryroute status --check

    Args:
      session: Connection to the entry.
      check: Judge the invariants that can be seen from outside instead; exit
        status 8 says that one is broken.
    """
    answer = await session.call("GET", "/v1/status")
    view = answer.decode(queries.StatusView)
    if check:
        return _show_checks(session, checks.evaluate(view))
    if session.output.as_json:
        session.output.json(view)
    else:
        answer = await session.call("GET", "/v1/configuration")
        _show_tables(session, view, answer.decode(config.Configuration))
    return status.ExitStatus.SUCCESS


def _show_checks(
    session: client.Session, broken: tuple[checks.Broken, ...]
) -> status.ExitStatus:
    if session.output.as_json:
        session.output.json({"broken": broken})
    elif broken:
        rows = [(each.invariant, each.detail) for each in broken]
        session.output.table(("broken", "detail"), rows)
    else:
        session.output.line("all invariants hold")
    if not broken:
        return status.ExitStatus.SUCCESS
    noun = "invariant" if len(broken) == 1 else "invariants"
    session.env.print_error(
        f"{len(broken)} {noun} broken (See docs/operations/checks.md.)"
    )
    return status.ExitStatus.CHECK_FAILED


def _show_tables(
    session: client.Session,
    view: queries.StatusView,
    configuration: config.Configuration,
) -> None:
    out = session.output
    counts = ", ".join(f"{c.jobs} {c.phase}" for c in view.jobs)
    out.fields(
        ("leader", f"{view.leader_id} in term {view.term}"),
        ("revision", view.revision),
        ("jobs", counts or "none"),
    )
    tables = (
        *_configuration_tables(configuration),
        *_tables(view),
        *_batch_tables(view),
    )
    for header, rows in tables:
        if rows:
            out.line()
            out.table(header, rows)
    for sentence in (*view.shortfalls, *view.violations):
        out.line(f"! {sentence}")


def _configuration_tables(
    configuration: config.Configuration,
) -> Iterator[Table]:
    yield (
        ("client account", "weight", "guarantees"),
        [
            (a.name, a.weight, ", ".join(map(_shape, a.guarantees)) or "none")
            for a in configuration.accounts.values()
        ],
    )
    yield (
        ("service", "slots", "connections", "queue"),
        [
            (
                s.name,
                s.slots_per_endpoint,
                s.connections_per_endpoint,
                s.queue_per_account,
            )
            for s in configuration.services.values()
        ],
    )


def _shape(shape: config.Shape) -> str:
    where = f" of {shape.failure_domain}" if shape.failure_domain else ""
    return (
        f"{shape.copies}x{shape.accelerators} in one {shape.adjacency}{where}"
    )


def _tables(view: queries.StatusView) -> Iterator[Table]:
    yield (
        ("replica", "role", "match index", "heard ms ago"),
        [(r.id, r.role, r.match_index, r.heard_ms_ago) for r in view.replicas],
    )
    yield (
        ("entry", "revision"),
        [(e.name, e.revision) for e in view.entries],
    )
    yield (
        ("failure domain", "in service"),
        [(d.name, _yes(d.in_service)) for d in view.failure_domains],
    )
    yield (
        ("agent", "failure domain", "revision", "lease left ms", "draining"),
        [
            (
                a.name,
                a.failure_domain,
                a.revision,
                a.lease_left_ms,
                _yes(a.draining),
            )
            for a in view.agents
        ],
    )
    yield (
        (
            "worker",
            "rack",
            "failure domain",
            "free",
            "in service",
            "quarantined",
        ),
        [
            (
                w.worker.name,
                w.worker.rack,
                w.worker.failure_domain,
                f"{w.free}/{w.worker.accelerators}",
                _yes(w.in_service),
                _yes(w.quarantined),
            )
            for w in view.workers
        ],
    )


def _batch_tables(view: queries.StatusView) -> Iterator[Table]:
    yield (
        ("batch queue", "pool", "priority", "pending", "open"),
        [
            (q.name, q.pool, q.priority, q.pending, q.open)
            for q in view.batch_queues
        ],
    )
    yield (
        ("batch account", "keys", "guaranteed", "accelerators held"),
        [
            (a.name, a.keys, a.guaranteed, a.accelerators)
            for a in view.batch_accounts
        ],
    )


def _yes(value: bool) -> str:
    return "yes" if value else "no"


@client.command
async def drain(session: client.Session) -> status.ExitStatus:
    """Asks one process to finish its work and leave, as SIGTERM does.

    Example::

      bilberryroute drain --entry http://10.0.0.1:7070
    """
    answer = await session.call("POST", "/v1/drain")
    if session.output.as_json:
        session.output.json(answer.decode())
    else:
        session.output.line("draining")
    return status.ExitStatus.SUCCESS
