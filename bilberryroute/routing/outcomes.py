"""Pure decisions on what a caller may be told about its request.

A request that is not idempotent is bound to one agent by a claim. If that
agent proves that the claim was never spent, the next claim of the same
request is made under the next generation; a claim that names no agent closes
the request for good. So the claims of one request form a chain in which at
most one was spent, and which every entry reads alike.
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
OPAQUE_CLAIM_KEPT_MS = clock_lib.HOUR
CLOCK_SKEW_MS = clock_lib.MINUTE
NEW_ID_REMEDY = "Send it again under a new request id; this one is closed."
SAME_ID_REMEDY = "Resend under the same request id, never under a new one."

_ID_FORM = re.compile(r"[A-Za-z0-9._:~-]{1,128}")


def check_id(name: str, value: str) -> str:
    """Returns an id that is safe in headers, keys and paths.

    Raises:
      errors.MalformedInput: If it is empty, too long, or has other characters.
    """
    if _ID_FORM.fullmatch(value) is None:
        raise errors.MalformedInput(
            f"{name} must match {_ID_FORM.pattern}",
            remedy="Use letters, digits and . _ : ~ - only.",
        )
    return value


def new_id(wall_ms: int, random_bits: int) -> str:
    """Returns a UUID of version 7, which carries the time of its making."""
    value = (wall_ms & (1 << 48) - 1) << 80
    value |= 0x7 << 76
    value |= (random_bits >> 62 & (1 << 12) - 1) << 64
    value |= 0b10 << 62
    value |= random_bits & (1 << 62) - 1
    return str(uuid.UUID(int=value))


def made_at(request_id: str) -> int | None:
    """Returns the Unix milliseconds in a UUID of version 7, else None."""
    try:
        value = uuid.UUID(request_id)
    except ValueError:
        return None
    return value.int >> 80 if value.version == 7 else None


def claim_kept_ms(request_id: str, answer_kept_ms: int) -> int:
    """Returns how long a claim must be remembered, in milliseconds.

    An id that carries its time is refused by age, so its claim may go soon.
    """
    if made_at(request_id) is None:
        return OPAQUE_CLAIM_KEPT_MS
    return 2 * answer_kept_ms + 2 * CLOCK_SKEW_MS


def check_age(request_id: str, answer_kept_ms: int, wall_ms: int) -> None:
    """Checks that the claim of an id that carries its time is still known.

    Raises:
      errors.AnswerExpired: If the id is too old.
      errors.MalformedInput: If its time lies in the future.
    """
    made = made_at(request_id)
    if made is None:
        return
    if wall_ms - made > answer_kept_ms + CLOCK_SKEW_MS:
        raise errors.AnswerExpired("the request id is too old")
    if made - wall_ms > CLOCK_SKEW_MS:
        raise errors.MalformedInput(
            "the time in the request id lies in the future",
            remedy="Set the clock, then make a new request id.",
        )


def fingerprint(service: str, content_type: str, body: bytes) -> str:
    """Returns the digest of a request's content."""
    digest = hashlib.sha256()
    for part in (service.encode(), content_type.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_id(request_id: str, generation: int) -> str:
    """Returns the id under which one generation is claimed."""
    return request_id if generation == 1 else f"{request_id}/{generation}"


def claim_key(account: str, request_id: str, generation: int) -> str:
    """Returns the key under which an agent runs a claim."""
    return f"{account}/{claim_id(request_id, generation)}"


def attempt_key(
    account: str, request_id: str, entry_token: str, attempt: int
) -> str:
    """Returns the key of one attempt of one entry at an idempotent request."""
    return f"{account}/{request_id}@{entry_token}.{attempt}"


def is_closed(claim: commands.ClaimHeld) -> bool:
    """Returns whether a claim closes its request without a run."""
    return claim.agent == ""


def proves_unspent(
    claim: commands.ClaimHeld, reply: protocol.AgentReply, since_claim_ms: int
) -> bool:
    """Returns whether a reply proves that a claim was and stays unspent.

    Args:
      claim: The claim.
      reply: What the agent at the claim's address said.
      since_claim_ms: Milliseconds since this entry began to make the claim.
    """
    match reply.state:
        case protocol.RequestState.NOT_RUN:
            return True
        case protocol.RequestState.STALE:
            # The claimed incarnation had ended before the claim existed.
            return claim.first and reply.up_ms > since_claim_ms
        case _:
            return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What an entry knows when it must refuse a request.

    Attributes:
      sent_once: No other send of the id can have reached any entry.
      may_have_run: An attempt of this entry is not proved unspent.
      unspent: Every claim is proved unspent and the chain is closed.
    """

    sent_once: bool
    may_have_run: bool
    unspent: bool


def refusal_outcome(evidence: Evidence) -> errors.Outcome:
    """Returns the outcome that the evidence supports."""
    if evidence.unspent:
        return errors.Outcome.NOT_RUN
    if evidence.sent_once and not evidence.may_have_run:
        return errors.Outcome.NOT_RUN
    return errors.Outcome.UNKNOWN
