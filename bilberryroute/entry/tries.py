"""Record of the tries of one call to the leader, for the log of a failure."""

import dataclasses

UNREACHED = "unreached"
UNSERVED = "unserved"
SILENT = "silent"
BROKEN = "broken"
TOO_LARGE = "too_large"


@dataclasses.dataclass(slots=True, kw_only=True)
class Try:
    """Tries in a row at one address that ended alike.

    Attributes:
      address: Address of the replica asked.
      failure: Kind of the error that it replied. `UNREACHED`: not connected;
        `UNSERVED`: the process there does not serve this call; `SILENT`:
        nothing came back in the time for one try; `BROKEN`: the connection or
        call ended without a reply; `TOO_LARGE`: the call or its answer exceeds
        the limit of a message.
      named: Leader that the replica named, if any.
      times: Number of tries.
      took_ms: Time that they took together.
      connection_age_ms: Age of the connection after the last of them.
      silent_ms: How long nothing had arrived over it then; None if nothing
        ever did.
      channel: State of its gRPC channel then.
    """

    address: str
    failure: str
    named: str = ""
    times: int = 1
    took_ms: int
    connection_age_ms: int
    silent_ms: int | None
    channel: str


class Tries:
    """The tries of one call that failed, in order.

    Attributes:
      found_no_leader: Whether a try met no leader that answered.
    """

    def __init__(self):
        self.found_no_leader = False
        self._failed: list[Try] = []

    def add(self, failed: Try) -> None:
        """Records a try that failed."""
        last = self._failed[-1] if self._failed else None
        if last is not None and _ended_alike(last, failed):
            failed.times += last.times
            failed.took_ms += last.took_ms
            self._failed.pop()
        self._failed.append(failed)

    @property
    def last_failure(self) -> str:
        """Failure of the last try, or empty."""
        return self._failed[-1].failure if self._failed else ""

    def rows(self) -> list[dict[str, object]]:
        """Returns the tries as a field of a log line."""
        return [dataclasses.asdict(each) for each in self._failed]


def _ended_alike(one: Try, other: Try) -> bool:
    return (one.address, one.failure, one.named) == (
        other.address,
        other.failure,
        other.named,
    )
