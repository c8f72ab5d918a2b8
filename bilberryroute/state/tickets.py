"""Acceptance of operators' change tickets."""

import dataclasses

from bilberryroute import errors
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.scheduling import admission
from bilberryroute.state import records

TICKETS_KEPT = 2_000


def apply_ticket(
    state: records.State, command: commands.ApplyTicket
) -> commands.TicketAccepted | commands.TicketRefused:
    """Accepts or refuses a ticket as a whole."""
    known = state.tickets.get(command.ticket.number)
    if known is not None:
        return _answer_again(state, command, known)
    if command.ticket.number <= state.configuration.revision:
        return _refuse(
            state,
            command,
            errors.TicketConflict.kind,
            "the number is not above the last accepted one",
        )
    proposed = updated(state.configuration, command.ticket)
    short = _short_accounts(proposed, state)
    blocked = _newly_short(state, command.ticket, short)
    if blocked:
        return _refuse(state, command, errors.GuaranteeDoesNotFit.kind, blocked)
    return _accept(state, command, proposed, short)


def updated(
    configuration: config.Configuration, ticket: config.Ticket
) -> config.Configuration:
    """Returns the configuration with the ticket's objects replaced."""
    return config.Configuration(
        revision=ticket.number,
        accounts=_replaced(configuration.accounts, ticket.accounts),
        failure_domains=_replaced(
            configuration.failure_domains, ticket.failure_domains
        ),
        services=_replaced(configuration.services, ticket.services),
        workers=_replaced(configuration.workers, ticket.workers),
    )


def _replaced(present: dict, objects: tuple) -> dict:
    merged = dict(present)
    for item in objects:
        merged[item.name] = item
    return {
        name: item
        for name, item in merged.items()
        if not getattr(item, "removed", False)
    }


def _short_accounts(
    configuration: config.Configuration, state: records.State
) -> dict[str, str]:
    """Maps each account with a guarantee that does not fit to its shape."""
    found = admission.shortfalls(configuration, tuple(state.workers.values()))
    return {s.account: _describe(s.shape) for s in found}


def _describe(shape: config.Shape) -> str:
    where = shape.failure_domain or "any failure domain"
    return (
        f"{shape.copies} x {shape.accelerators} accelerators in one"
        f" {shape.adjacency} of {where}"
    )


def _newly_short(
    state: records.State, ticket: config.Ticket, short: dict[str, str]
) -> str:
    """Returns why the guarantees set by the ticket do not fit, or ''.

    A ticket that sets no account is never refused: operators may always take
    capacity out, and are told which guarantees that leaves short.
    """
    if not ticket.accounts or not short:
        return ""
    unchanged = dataclasses.replace(ticket, accounts=())
    before = _short_accounts(updated(state.configuration, unchanged), state)
    new = {name: shape for name, shape in short.items() if name not in before}
    changed = {a.name for a in ticket.accounts}
    new.update({n: s for n, s in short.items() if n in changed})
    return "; ".join(f"{n}: {s} do not fit" for n, s in sorted(new.items()))


def _answer_again(
    state: records.State,
    command: commands.ApplyTicket,
    known: records.TicketRecord,
) -> commands.TicketAccepted | commands.TicketRefused:
    if known.digest == command.digest:
        return commands.TicketAccepted(
            number=known.ticket.number,
            digest=known.digest,
            short_guarantees=known.short_guarantees,
        )
    return _refuse(
        state,
        command,
        errors.TicketConflict.kind,
        "another ticket holds the number",
    )


def _refuse(
    state: records.State,
    command: commands.ApplyTicket,
    kind: str,
    message: str,
) -> commands.TicketRefused:
    known = state.tickets.get(command.ticket.number)
    return commands.TicketRefused(
        number=command.ticket.number,
        kind=kind,
        message=message,
        winner_digest=known.digest if known else "",
        next_number=state.configuration.revision + 1,
    )


def _accept(
    state: records.State,
    command: commands.ApplyTicket,
    proposed: config.Configuration,
    short: dict[str, str],
) -> commands.TicketAccepted:
    record = records.TicketRecord(
        ticket=command.ticket,
        digest=command.digest,
        accepted_ms=command.at_ms,
        short_guarantees=tuple(sorted(short)),
    )
    state.configuration = proposed
    state.tickets[command.ticket.number] = record
    while len(state.tickets) > TICKETS_KEPT:
        del state.tickets[min(state.tickets)]
    return commands.TicketAccepted(
        number=command.ticket.number,
        digest=command.digest,
        short_guarantees=record.short_guarantees,
    )
