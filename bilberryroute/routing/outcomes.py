"""Which outcome of a request may be reported to the caller.

A request that is not idempotent is bound to one agent by a claim in the
replicated log. If the agent proves that it did not and will not run the
request under that claim, the entry commits another claim under the next
generation. A claim that names no agent closes the request permanently. The
claims of one request thus form a chain, identical for every entry, in which
at most one claim led to a run.
"""

import dataclasses
import hashlib
import re
import uuid

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.model import commands
from bilberryroute.routing import protocol

GENERATIONS_MAX = 4
OPAQUE_ID_RETENTION_MS = clock_lib.HOUR
CLOCK_SKEW_MS = clock_lib.MINUTE
NEW_ID_REMEDY = "Send it again under a new request id; this one is closed."
SAME_ID_REMEDY = "Resend under the same request id, never under a new one."

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:~-]{1,128}")


def check_id(name: str, value: str) -> str:
    """Validates and returns an id that is safe in headers, keys and paths.

    Raises:
      errors.MalformedInput: If it is empty, too long or has other characters.
    """
    if _ID_PATTERN.fullmatch(value) is None:
        raise errors.MalformedInput(
            f"{name} must match {_ID_PATTERN.pattern}",
            remedy="Use letters, digits and . _ : ~ - only.",
        )
    return value


def new_id(wall_ms: int, random_bits: int) -> str:
    """Returns a version 7 UUID, which contains its creation time."""
    value = (wall_ms & (1 << 48) - 1) << 80
    value |= 0x7 << 76
    value |= (random_bits >> 62 & (1 << 12) - 1) << 64
    value |= 0b10 << 62
    value |= random_bits & (1 << 62) - 1
    return str(uuid.UUID(int=value))


def id_timestamp_ms(request_id: str) -> int | None:
    """Returns the Unix time of a version 7 UUID in ms, or None for other ids."""
    try:
        value = uuid.UUID(request_id)
    except ValueError:
        return None
    return value.int >> 80 if value.version == 7 else None


def claim_retention_ms(request_id: str, answer_kept_ms: int) -> int:
    """Returns how long the log must keep a claim, in milliseconds.

    `check_id_age` rejects old ids that contain a timestamp, so their claims
    need not be kept for as long as those of other ids.
    """
    if id_timestamp_ms(request_id) is None:
        return OPAQUE_ID_RETENTION_MS
    return 2 * answer_kept_ms + 2 * CLOCK_SKEW_MS


def check_id_age(request_id: str, answer_kept_ms: int, wall_ms: int) -> None:
    """Rejects an id whose timestamp shows that its claim may have expired.

    Ids without a timestamp pass.

    Raises:
      errors.AnswerExpired: If the id is too old.
      errors.MalformedInput: If its timestamp is in the future.
    """
    created_ms = id_timestamp_ms(request_id)
    if created_ms is None:
        return
    if wall_ms - created_ms > answer_kept_ms + CLOCK_SKEW_MS:
        raise errors.AnswerExpired("the request id is too old")
    if created_ms - wall_ms > CLOCK_SKEW_MS:
        raise errors.MalformedInput(
            "the timestamp in the request id is in the future",
            remedy="Correct the clock, then create a new request id.",
        )


def fingerprint(service: str, content_type: str, body: bytes) -> str:
    """Returns a digest of the service, content type and body."""
    digest = hashlib.sha256()
    for part in (service.encode(), content_type.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_id(request_id: str, generation: int) -> str:
    """Returns the id of a request's claim in one generation."""
    return request_id if generation == 1 else f"{request_id}/{generation}"


def claim_key(account: str, request_id: str, generation: int) -> str:
    """Returns the key under which an agent runs a claimed request."""
    return f"{account}/{claim_id(request_id, generation)}"


def attempt_key(
    account: str, request_id: str, entry_token: str, attempt: int
) -> str:
    """Returns the key of one entry's attempt at an idempotent request."""
    return f"{account}/{request_id}@{entry_token}.{attempt}"


def closes_request(claim: commands.ClaimHeld) -> bool:
    """Returns whether a claim names no agent, so the request never runs."""
    return claim.agent == ""


def proves_not_run(
    claim: commands.ClaimHeld, reply: protocol.AgentReply, since_claim_ms: int
) -> bool:
    """Returns whether a reply proves that a claim never led to a run.

    The proof also covers the future: the agent will not run it later.

    Args:
      claim: The claim.
      reply: Reply of the agent at the claim's address.
      since_claim_ms: Milliseconds since this entry began to propose the
        claim.
    """
    match reply.state:
        case protocol.RequestState.NOT_RUN:
            return True
        case protocol.RequestState.STALE:
            # This incarnation was up before the claim was proposed, so the
            # claimed one had already ended and never saw the claim. The agent's
            # clock may be faster than the entry's.
            since_ms = clock_lib.with_drift(since_claim_ms)
            return claim.first and reply.up_ms > since_ms
        case _:
            return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What an entry knows about a request that it is about to refuse.

    Attributes:
      sent_once: Whether no other send of this id can have reached any entry.
      may_have_run: Whether an attempt of this entry may have run.
      proved_not_run: Whether it is proved that the request never ran and
        never will.
    """

    sent_once: bool
    may_have_run: bool
    proved_not_run: bool


def refusal_outcome(evidence: Evidence) -> errors.Outcome:
    """Returns `NOT_RUN` if the evidence proves it, else `UNKNOWN`."""
    if evidence.proved_not_run:
        return errors.Outcome.NOT_RUN
    if evidence.sent_once and not evidence.may_have_run:
        return errors.Outcome.NOT_RUN
    return errors.Outcome.UNKNOWN
