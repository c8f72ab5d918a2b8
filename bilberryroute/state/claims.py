"""Claims: exclusive assignment of a non-idempotent request to an agent."""

import itertools

from bilberryroute import clock as clock_lib
from bilberryroute.model import commands
from bilberryroute.state import records

MIN_RETENTION_MS = clock_lib.DAY
MAX_PRUNED_PER_COMMAND = 16


def claim_request(
    state: records.ReplicatedState, command: commands.ClaimRequest
) -> commands.ClaimHeld | commands.ClaimRefused:
    """Assigns the request to the named agent unless it is already assigned."""
    _prune(state)
    key = f"{command.account}/{command.request_id}"
    existing = state.claims.get(key)
    if existing is None:
        claim = _new_claim(command)
        state.claims[key] = claim
        return _claim_result(claim, first=True)
    if existing.fingerprint != command.fingerprint:
        return commands.ClaimRefused(
            request_id=command.request_id,
            message="the request id was used before with other content",
        )
    return _claim_result(existing, first=False)


def _new_claim(command: commands.ClaimRequest) -> records.ClaimRecord:
    return records.ClaimRecord(
        request_id=command.request_id,
        account=command.account,
        service=command.service,
        fingerprint=command.fingerprint,
        agent=command.agent,
        incarnation=command.incarnation,
        endpoint=command.endpoint,
        expires_ms=command.at_ms + max(command.keep_ms, MIN_RETENTION_MS),
    )


def _claim_result(
    claim: records.ClaimRecord, *, first: bool
) -> commands.ClaimHeld:
    return commands.ClaimHeld(
        request_id=claim.request_id,
        fingerprint=claim.fingerprint,
        agent=claim.agent,
        incarnation=claim.incarnation,
        endpoint=claim.endpoint,
        first=first,
    )


def _prune(state: records.ReplicatedState) -> None:
    """Removes expired claims among the oldest few.

    The number per command is bounded, so that no single command is slow.
    """
    oldest = list(
        itertools.islice(state.claims.items(), MAX_PRUNED_PER_COMMAND)
    )
    for key, claim in oldest:
        if claim.expires_ms <= state.at_ms:
            del state.claims[key]
