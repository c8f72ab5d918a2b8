"""Claims: which agent alone may run a request that is not idempotent."""

import itertools

from bilberryroute import clock as clock_lib
from bilberryroute.model import commands
from bilberryroute.state import records

MIN_KEPT_MS = clock_lib.DAY
PRUNED_AT_ONCE = 16


def claim_request(
    state: records.State, command: commands.ClaimRequest
) -> commands.ClaimHeld | commands.ClaimRefused:
    """Binds the request to the agent named, unless it is bound already."""
    _prune(state)
    key = f"{command.account}/{command.request_id}"
    known = state.claims.get(key)
    if known is None:
        claim = _new_claim(command)
        state.claims[key] = claim
        return _held(claim, first=True)
    if known.fingerprint != command.fingerprint:
        return commands.ClaimRefused(
            request_id=command.request_id,
            message="the request id was used before with other content",
        )
    return _held(known, first=False)


def _new_claim(command: commands.ClaimRequest) -> records.Claim:
    return records.Claim(
        request_id=command.request_id,
        account=command.account,
        service=command.service,
        fingerprint=command.fingerprint,
        agent=command.agent,
        incarnation=command.incarnation,
        endpoint=command.endpoint,
        expires_ms=command.at_ms + max(command.keep_ms, MIN_KEPT_MS),
    )


def _held(claim: records.Claim, *, first: bool) -> commands.ClaimHeld:
    return commands.ClaimHeld(
        request_id=claim.request_id,
        fingerprint=claim.fingerprint,
        agent=claim.agent,
        incarnation=claim.incarnation,
        endpoint=claim.endpoint,
        first=first,
    )


def _prune(state: records.State) -> None:
    """Drops a few of the oldest claims, so that no single command is slow."""
    oldest = list(itertools.islice(state.claims.items(), PRUNED_AT_ONCE))
    for key, claim in oldest:
        if claim.expires_ms <= state.at_ms:
            del state.claims[key]
