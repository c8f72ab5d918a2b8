"""Replies of the leading replica to entries."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ErrorReply:
    """A typed error sent between two processes of the system.

    Attributes:
      kind: Kind of the error, see `errors`.
      leader_id: The leading replica, as far as the sender knows, or empty.
      leader_address: Address of its gRPC server, or empty. Lets a process that
        has just started reach a leader that its settings don't name.
      retry_after_ms: When a new try makes sense, in milliseconds, or None.
    """

    kind: str
    message: str
    remedy: str
    leader_id: str = ""
    retry_after_ms: int | None = None
    leader_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Either the encoded result or answer, or an error.

    Attributes:
      payload: Encoded by the codec of the method asked; empty with an error.
    """

    payload: bytes = b""
    error: ErrorReply | None = None
