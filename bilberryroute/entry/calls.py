"""One caller's request within an entry."""

import dataclasses

from bilberryroute import errors
from bilberryroute.routing import protocol


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """A request and what has become of it so far.

    Attributes:
      sent_once: No other send of the id can have reached any entry.
      deadline: Monotonic instant at which the caller stops waiting.
      retention_ms: How long the claim must be remembered, in milliseconds.
      attempts: Runs asked for so far.
      may_have_run: Whether an attempt is not proved unspent.
      unspent: Whether all claims are proved unspent and closed.
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
    unspent: bool = False

    def left_ms(self, now: int) -> int:
        """Returns the milliseconds until the deadline, at least 0."""
        return max(0, self.deadline - now)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The answer to a call, kept whole at an agent.

    Attributes:
      body: First segment.
      address: Address of the agent.
      order: What the agent ran.
    """

    reply: protocol.AgentReply
    body: bytes
    address: str
    order: protocol.Dispatch


class ReplyError(errors.BilberryrouteError):
    """An agent could not be reached, or gave no usable reply in time.

    Attributes:
      reason: Label of the counter.
      sent: Whether a request of ours may have reached the agent.
    """

    kind = "agent_unreachable"

    def __init__(self, reason: str, *, sent: bool):
        super().__init__(f"no reply from the agent: {reason}")
        self.reason = reason
        self.sent = sent
