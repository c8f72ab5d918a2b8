"""Messages between entry and agent, each in one HTTP header.

An entry posts a `Dispatch` with the request's body, or an `Attach` without a
body. The agent answers either with an `AgentReply` after at most `wait_ms`. The
body of the HTTP response is the body of the endpoint's answer, if any.
"""

import dataclasses
import enum
from typing import TypeVar

import msgspec

from bilberryroute import errors

DISPATCH_HEADER = "Bilberryroute-Dispatch"
REPLY_HEADER = "Bilberryroute-Reply"
REQUEST_ID_HEADER = "Bilberryroute-Request-Id"
RUN_HEADER = "Bilberryroute-Run"
ATTEMPTS_HEADER = "Bilberryroute-Attempts"
ACCOUNT_HEADER = "Bilberryroute-Account"
IDEMPOTENT_HEADER = "Bilberryroute-Idempotent"
DEADLINE_HEADER = "Bilberryroute-Deadline-Ms"
RESEND_HEADER = "Bilberryroute-Resend"
OUTCOME_HEADER = "Bilberryroute-Outcome"
INCARNATION_HEADER = "Bilberryroute-Incarnation"
STATE_HEADER = "Bilberryroute-State"

DISPATCH_PATH = "/internal/v1/requests"
INCARNATION_PATH = "/internal/v1/incarnation"
ATTACH_PATH = DISPATCH_PATH + "/{id}/attach"
SEGMENT_BYTES = 262_144

T = TypeVar("T")


class RequestState(enum.StrEnum):
    """State of the run of one key, as known to its agent.

    Attributes:
      RUNNING: Accepted and not finished.
      DONE: Finished; the reply contains the answer.
      NOT_RUN: Did not run and never will under this key.
      UNKNOWN: May have run; no answer is available.
      EXPIRED: The answer, or the whole record, is no longer kept.
      STALE: The request names another incarnation of the agent.
    """

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    STALE = "stale"


class Reason(enum.StrEnum):
    """Why an attempt gave no usable answer; used in replies and metrics."""

    AGENT_UNREACHABLE = "agent_unreachable"
    AGENT_SILENT = "agent_silent"
    AGENT_BROKE = "agent_broke"
    AGENT_MALFORMED = "agent_malformed"
    AGENT_ERROR = "agent_error"
    AGENT_GONE = "agent_gone"
    COMMIT_UNKNOWN = "commit_unknown"
    DEADLINE = "deadline"
    DOMAIN_OUT = "domain_out"
    DRAINING = "draining"
    ENDPOINT_BROKE = "endpoint_broke"
    ENDPOINT_ERROR = "endpoint_error"
    ENDPOINT_GONE = "endpoint_gone"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_MISMATCHED = "endpoint_mismatched"
    ENDPOINT_NEVER_SEEN = "endpoint_never_seen"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_TIMEOUT = "endpoint_timeout"
    ENDPOINT_TOO_LONG = "endpoint_too_long"
    ENDPOINT_TRUNCATED = "endpoint_truncated"
    ENDPOINT_UNFRAMED = "endpoint_unframed"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    EXPIRED = "expired"
    MEMORY_FULL = "memory_full"
    NEVER_SEEN = "never_seen"
    NO_LEASE = "no_lease"
    NO_SLOT = "no_slot"
    STALE_INCARNATION = "stale_incarnation"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Asks an agent to run a request, or to attach to a run of the same key.

    Attributes:
      key: Identifies one run: a claim, or one attempt of one entry.
      request_id: Id given by the caller.
      attempt: Number of this run among those requested by the entry; starts
        at 1.
      incarnation: Incarnation of the agent that the claim names; empty for
        an idempotent request.
      fresh: Whether the key is recent enough that the agent cannot have
        discarded its record.
      term: Highest term that the entry has seen.
      time_left_ms: Milliseconds until the caller's deadline.
      kept_ms: How long the key may be sent again, in milliseconds.
      wait_ms: Maximum time until the reply, in milliseconds.
    """

    key: str
    request_id: str
    attempt: int
    account: str
    service: str
    endpoint: str
    incarnation: str
    fresh: bool
    term: int
    idempotent: bool
    time_left_ms: int
    kept_ms: int
    wait_ms: int
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attach:
    """Asks an agent for the state of a key, and its answer once done.

    A key that the agent has never seen is fenced: it can never run later.

    Attributes:
      offset: Byte offset at which the returned segment starts.
    """

    key: str
    incarnation: str
    wait_ms: int
    kept_ms: int
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AgentReply:
    """Reply of an agent about a key.

    Attributes:
      reason: Why the request did not run, or is not known to have run.
      incarnation: Incarnation of the agent that replies.
      up_ms: Uptime of that incarnation, in milliseconds.
      status: HTTP status of the endpoint's answer.
      length: Size of the whole answer in bytes; one HTTP response contains at
        most `SEGMENT_BYTES` of it, from the requested offset.
      content_type: Content type of the endpoint's answer.
      retry_after_ms: Milliseconds after which a slot may be free.
    """

    key: str
    state: RequestState
    reason: str = ""
    incarnation: str = ""
    up_ms: int = 0
    status: int = 0
    length: int = 0
    content_type: str = ""
    content_encoding: str = ""
    retry_after_ms: int = 0


def encode(message: Dispatch | Attach | AgentReply) -> str:
    """Encodes a message as a header value."""
    return msgspec.json.encode(message).decode()


def decode(value: str | None, kind: type[T]) -> T:
    """Decodes a message of the given kind from a header value.

    Raises:
      errors.MalformedInput: If the header is missing or malformed.
    """
    if value is None:
        raise errors.MalformedInput(f"the {kind.__name__} header is missing")
    try:
        return msgspec.json.decode(value.encode(), type=kind)
    except (msgspec.MsgspecError, UnicodeError) as exc:
        raise errors.MalformedInput(f"malformed message: {exc}") from exc
