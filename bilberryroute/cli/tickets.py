"""Commands on operators' change tickets."""

import tomllib

import msgspec

from bilberryroute import errors
from bilberryroute import status
from bilberryroute.cli import client
from bilberryroute.model import queries


@client.command
async def apply(session: client.Session, file: str) -> status.ExitStatus:
    """Applies a change ticket and waits until it is durable.

    The ticket holds its number and the whole new state of each object that it
    touches. Resending the same ticket gives the first answer again.

    Example::

      bilberryroute ticket apply ticket-1.toml

    Args:
      session: Connection to the entry.
      file: The ticket, TOML if it ends in .toml, else JSON; - for JSON on
        standard input.
    """
    ticket = _read_ticket(session, file)
    answer = await session.call(
        "POST", "/v1/tickets", body=msgspec.json.encode(ticket)
    )
    accepted = answer.decode()
    if session.output.as_json:
        session.output.json(accepted)
        return status.ExitStatus.SUCCESS
    short = ", ".join(accepted["short_guarantees"])
    session.output.fields(
        ("ticket", accepted["number"]),
        ("digest", accepted["digest"]),
        ("short guarantees", short or "none"),
    )
    return status.ExitStatus.SUCCESS


def _read_ticket(session: client.Session, file: str) -> dict:
    payload = client.read_file(session.env, file)
    try:
        if file.endswith(".toml"):
            return tomllib.loads(payload.decode())
        return msgspec.json.decode(payload, type=dict)
    except (ValueError, RecursionError) as exc:
        raise errors.MalformedInput(
            f"{file} is no ticket: {exc}",
            remedy="See the tickets under extras/ for the form.",
        ) from exc


@client.command
async def show(session: client.Session, number: int) -> status.ExitStatus:
    """Shows an accepted ticket and which processes have it in force.

    Example::

      bilberryroute ticket show 1

    Args:
      session: Connection to the entry.
      number: The ticket's number.
    """
    answer = await session.call("GET", f"/v1/tickets/{number}")
    view = answer.decode(queries.TicketView)
    if session.output.as_json:
        session.output.json(view)
        return status.ExitStatus.SUCCESS
    ticket = view.ticket
    touched = (
        *ticket.accounts,
        *ticket.failure_domains,
        *ticket.services,
        *ticket.workers,
    )
    session.output.fields(
        ("ticket", view.number),
        ("digest", view.digest),
        ("sets", ", ".join(each.name for each in touched) or "nothing"),
        ("in force at", ", ".join(view.applied_by) or "none"),
        ("pending at", ", ".join(view.pending) or "none"),
    )
    return status.ExitStatus.SUCCESS
