"""Validation and application of operators' change tickets."""

import dataclasses

from bilberryroute import errors
from bilberryroute.model import commands
from bilberryroute.model import config
from bilberryroute.scheduling import admission
from bilberryroute.state import records

MAX_TICKETS = 2_000


def apply_ticket(
    state: records.ReplicatedState, command: commands.ApplyTicket
) -> commands.TicketAccepted | commands.TicketRefused:
    """Accepts or refuses a ticket atomically."""
    existing = state.tickets.get(command.ticket.number)
    if existing is not None:
        return _resubmission_result(state, command, existing)
    if command.ticket.number <= state.configuration.revision:
        return _refuse(
            state,
            command,
            errors.TicketConflict.kind,
            "the number is not above the last accepted one",
        )
    proposed = updated_configuration(state.configuration, command.ticket)
    unmet = _unmet_guarantees(proposed, state)
    conflict = _guarantee_conflict(state, command.ticket, unmet)
    if conflict:
        return _refuse(
            state, command, errors.GuaranteeDoesNotFit.kind, conflict
        )
    return _accept(state, command, proposed, unmet)


def updated_configuration(
    configuration: config.Configuration, ticket: config.Ticket
) -> config.Configuration:
    """Returns the configuration with the ticket's objects replaced."""
    return config.Configuration(
        revision=ticket.number,
        accounts=_merged(configuration.accounts, ticket.accounts),
        failure_domains=_merged(
            configuration.failure_domains, ticket.failure_domains
        ),
        services=_merged(configuration.services, ticket.services),
        workers=_merged(configuration.workers, ticket.workers),
    )


def _merged(current: dict, objects: tuple) -> dict:
    merged = dict(current)
    for item in objects:
        merged[item.name] = item
    return {
        name: item
        for name, item in merged.items()
        if not getattr(item, "removed", False)
    }


def _unmet_guarantees(
    configuration: config.Configuration, state: records.ReplicatedState
) -> dict[str, str]:
    """Maps accounts to the description of a guarantee that does not fit."""
    shortfalls = admission.shortfalls(
        configuration, tuple(state.workers.values())
    )
    return {s.account: _describe_shape(s.shape) for s in shortfalls}


def _describe_shape(shape: config.Shape) -> str:
    domain = shape.failure_domain or "any failure domain"
    return (
        f"{shape.copies} x {shape.accelerators} accelerators in one"
        f" {shape.adjacency} of {domain}"
    )


def _guarantee_conflict(
    state: records.ReplicatedState, ticket: config.Ticket, unmet: dict[str, str]
) -> str:
    """Returns why the ticket's guarantees do not fit, or an empty string.

    A ticket that sets no account is never refused: operators may always
    remove capacity, and the answer names the guarantees that no longer fit.
    """
    if not ticket.accounts or not unmet:
        return ""
    without_accounts = dataclasses.replace(ticket, accounts=())
    before = _unmet_guarantees(
        updated_configuration(state.configuration, without_accounts), state
    )
    conflicts = {n: shape for n, shape in unmet.items() if n not in before}
    changed = {account.name for account in ticket.accounts}
    conflicts.update({n: s for n, s in unmet.items() if n in changed})
    return "; ".join(
        f"{name}: {shape} do not fit"
        for name, shape in sorted(conflicts.items())
    )


def _resubmission_result(
    state: records.ReplicatedState,
    command: commands.ApplyTicket,
    existing: records.TicketRecord,
) -> commands.TicketAccepted | commands.TicketRefused:
    if existing.digest == command.digest:
        return commands.TicketAccepted(
            number=existing.ticket.number,
            digest=existing.digest,
            short_guarantees=existing.short_guarantees,
        )
    return _refuse(
        state,
        command,
        errors.TicketConflict.kind,
        "another ticket holds the number",
    )


def _refuse(
    state: records.ReplicatedState,
    command: commands.ApplyTicket,
    kind: str,
    message: str,
) -> commands.TicketRefused:
    existing = state.tickets.get(command.ticket.number)
    return commands.TicketRefused(
        number=command.ticket.number,
        kind=kind,
        message=message,
        winner_digest=existing.digest if existing else "",
        next_number=state.configuration.revision + 1,
    )


def _accept(
    state: records.ReplicatedState,
    command: commands.ApplyTicket,
    proposed: config.Configuration,
    unmet: dict[str, str],
) -> commands.TicketAccepted:
    record = records.TicketRecord(
        ticket=command.ticket,
        digest=command.digest,
        accepted_ms=command.at_ms,
        short_guarantees=tuple(sorted(unmet)),
    )
    state.configuration = proposed
    state.tickets[command.ticket.number] = record
    while len(state.tickets) > MAX_TICKETS:
        del state.tickets[min(state.tickets)]
    return commands.TicketAccepted(
        number=command.ticket.number,
        digest=command.digest,
        short_guarantees=record.short_guarantees,
    )
