"""State of a caller's request within an entry."""

import dataclasses

from bilberryroute import errors
from bilberryroute.routing import protocol


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A caller's request and its progress so far.

    Attributes:
      sent_once: Whether no other send of this id can have reached any entry.
      deadline: Monotonic time at which the caller stops waiting.
      retention_ms: How long the key or claim must be kept, in milliseconds.
      attempts: Number of runs requested so far.
      may_have_run: Whether an attempt of this entry may have run.
      proved_not_run: Whether it is proved that the request never ran and
        never will.
    """

    id: str
    account: str
    service: str
    idempotent: bool
    sent_once: bool
    deadline: int
    retention_ms: int
    content_type: str
    fingerprint: str
    body: bytes
    attempts: int = 0
    may_have_run: bool = False
    proved_not_run: bool = False

    def left_ms(self, now: int) -> int:
        """Returns the milliseconds until the deadline, at least 0."""
        return max(0, self.deadline - now)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswer:
    """The endpoint's answer to a call; the agent keeps its whole body.

    Attributes:
      body: First segment of the body.
      address: HTTP address of the agent.
      dispatch: The message that started the run.
    """

    reply: protocol.AgentReply
    body: bytes
    address: str
    dispatch: protocol.Dispatch


class ReplyError(errors.BilberryrouteError):
    """An agent could not be reached, or gave no valid reply in time.

    Attributes:
      reason: Reason label for metrics.
      may_have_arrived: Whether a request may have reached the agent.
    """

    kind = "agent_unreachable"

    def __init__(self, reason: str, *, may_have_arrived: bool):
        super().__init__(f"no reply from the agent: {reason}")
        self.reason = reason
        self.may_have_arrived = may_have_arrived
