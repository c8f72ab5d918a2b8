"""Exception tree: each kind names its remedy, HTTP status and outcome.

Every error that leaves the process, as an exit code, a problem document or a
status between our own processes, is one of these kinds.
"""

import enum
import http
from typing import ClassVar

from bilberryroute import status


class Outcome(enum.StrEnum):
    """What a caller may believe about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class BilberryrouteError(Exception):
    """Base of all errors of the project.

    Attributes:
      kind: Stable name, used in problem documents, counters and logs.
      remedy: What the reader can do about it.
      http_status: Status of the problem document.
      outcome: What is known about the request that met the error.
      exit_status: Exit code of a command that ends with it.
      retry_after_ms: When a new try makes sense, in milliseconds, or None.
      extensions: More members of the problem document, by name.
      log_fields: More fields of the log line about the error.
    """

    kind: ClassVar[str] = "internal"
    remedy: str = "Report it with the log lines of this request."
    http_status: ClassVar[int] = http.HTTPStatus.INTERNAL_SERVER_ERROR
    outcome: Outcome = Outcome.UNKNOWN
    exit_status: ClassVar[status.ExitStatus] = status.ExitStatus.ERROR

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        retry_after_ms: int | None = None,
        outcome: Outcome | None = None,
    ):
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.extensions: dict[str, object] = {}
        self.log_fields: dict[str, object] = {}
        if remedy is not None:
            self.remedy = remedy
        if outcome is not None:
            self.outcome = outcome

    def __str__(self) -> str:
        return f"{self.message} ({self.remedy})"


class UsageError(BilberryrouteError):
    """The command line cannot be carried out as given."""

    kind = "usage"
    remedy = "See --help."
    http_status = http.HTTPStatus.BAD_REQUEST
    outcome = Outcome.NOT_RUN
    exit_status = status.ExitStatus.USAGE


class SettingsError(BilberryrouteError):
    """The settings cannot be used."""

    kind = "settings"
    remedy = "Mend the settings file and run check-settings."
    outcome = Outcome.NOT_RUN
    exit_status = status.ExitStatus.SETTINGS


class CannotListen(SettingsError):
    """An address or the data folder cannot be taken at the start."""

    remedy = (
        "Check the addresses and the data folder in the settings;"
        " another process may hold them."
    )


class Refused(BilberryrouteError):
    """Base of refusals: nothing was changed and nothing was run."""

    kind = "refused"
    remedy = "Change the request."
    http_status = http.HTTPStatus.CONFLICT
    outcome = Outcome.NOT_RUN
    exit_status = status.ExitStatus.REFUSED


class MalformedInput(Refused):
    """The body or a header does not have the documented form."""

    kind = "malformed"
    remedy = "Send the form described in docs/API.md."
    http_status = http.HTTPStatus.BAD_REQUEST


class TooLarge(Refused):
    """The body or its headers exceed the bound."""

    kind = "too_large"
    remedy = "Send a smaller body."
    http_status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class Unauthenticated(Refused):
    """The bearer token is missing or wrong."""

    kind = "unauthenticated"
    remedy = "Send the bearer token that the operators gave you."
    http_status = http.HTTPStatus.UNAUTHORIZED


class Forbidden(Refused):
    """The token does not carry this right or this client account."""

    kind = "forbidden"
    remedy = "Use a token of this client account, or of an operator."
    http_status = http.HTTPStatus.FORBIDDEN


class Gone(Refused):
    """The job does not exist, or ended too long ago to be remembered."""

    kind = "gone"
    remedy = "Submit it again under a new id."
    http_status = http.HTTPStatus.GONE


class NotFound(Refused):
    """The object named does not exist."""

    kind = "not_found"
    remedy = "Check the name; `bilberryroute status` lists what exists."
    http_status = http.HTTPStatus.NOT_FOUND


class TicketConflict(Refused):
    """The ticket's number is taken by other content, or too low."""

    kind = "ticket_conflict"
    remedy = "Read the accepted ticket and use the next free number."


class GuaranteeDoesNotFit(Refused):
    """The capacity in service cannot hold all guarantees at once."""

    kind = "guarantee_does_not_fit"
    remedy = "Lower the guaranteed shape named, or add capacity first."


class ImpossibleJob(Refused):
    """No worker set in the system could ever run the job."""

    kind = "impossible_job"
    remedy = "Ask for at most the largest shape named."
    http_status = http.HTTPStatus.UNPROCESSABLE_ENTITY


class RequestConflict(Refused):
    """The request id was used before with other content."""

    kind = "request_conflict"
    remedy = "Use a new request id for new content."


class AnswerExpired(Refused):
    """The request id has ended and its answer is no longer kept.

    The request itself may have run, so the outcome is unknown.
    """

    kind = "answer_expired"
    remedy = "Ask the service itself; do not resend under a new id blindly."
    http_status = http.HTTPStatus.GONE
    outcome = Outcome.UNKNOWN
    exit_status = status.ExitStatus.UNKNOWN


class Overloaded(Refused):
    """A bounded queue or limit is full."""

    kind = "overloaded"
    remedy = "Wait for Retry-After, then resend under the same id."
    http_status = http.HTTPStatus.TOO_MANY_REQUESTS
    exit_status = status.ExitStatus.NOT_RUN


class IntakeFull(Refused):
    """The process holds as much for its clients as its memory allows."""

    kind = "intake_full"
    remedy = "Wait for Retry-After, then resend."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    exit_status = status.ExitStatus.NOT_RUN


class NoEndpoint(Refused):
    """No endpoint of the service can take the request now."""

    kind = "no_endpoint"
    remedy = "Wait for Retry-After, then resend under the same id."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    exit_status = status.ExitStatus.NOT_RUN


class Draining(Refused):
    """The process is leaving and takes nothing new."""

    kind = "draining"
    remedy = "Resend under the same id; another process takes it."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    exit_status = status.ExitStatus.NOT_RUN


class DeadlineExceeded(Refused):
    """The deadline passed before the request was dispatched."""

    kind = "deadline_exceeded"
    remedy = "Resend under the same id with a later deadline."
    http_status = http.HTTPStatus.GATEWAY_TIMEOUT
    exit_status = status.ExitStatus.NOT_RUN


class Overtaken(Refused):
    """A later order on the same object was acknowledged before this one."""

    kind = "overtaken"
    remedy = "Look at the present state, and give the order again if need be."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE


class NotRun(Refused):
    """The request was dispatched and is proved not to have run."""

    kind = "not_run"
    remedy = "Resend under the same id."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    exit_status = status.ExitStatus.NOT_RUN


class OutcomeUnknown(BilberryrouteError):
    """The request may or may not have run."""

    kind = "unknown"
    remedy = "Resend under the same id to learn more; never under a new one."
    http_status = http.HTTPStatus.BAD_GATEWAY
    outcome = Outcome.UNKNOWN
    exit_status = status.ExitStatus.UNKNOWN


class Unavailable(BilberryrouteError):
    """The control state cannot be reached; nothing was changed."""

    kind = "unavailable"
    remedy = "Wait for Retry-After, then resend."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN
    exit_status = status.ExitStatus.UNAVAILABLE


class NotLeader(Unavailable):
    """This replica does not lead.

    Attributes:
      leader_id: The replica that leads, as far as known, or None.
      leader_address: Address of its gRPC server, `ip:port`, or empty.
    """

    kind = "not_leader"
    remedy = "Ask the leading replica."

    def __init__(self, leader_id: str | None = None, leader_address: str = ""):
        super().__init__(f"this replica does not lead; leader: {leader_id}")
        self.leader_id = leader_id
        self.leader_address = leader_address


class CommitUnknown(BilberryrouteError):
    """Leadership or time was lost while an entry was on its way."""

    kind = "commit_unknown"
    remedy = "Resend the same content; an accepted one is answered again."
    http_status = http.HTTPStatus.SERVICE_UNAVAILABLE
    exit_status = status.ExitStatus.UNKNOWN


class StorageError(BilberryrouteError):
    """The data folder cannot be written or read."""

    kind = "storage"
    remedy = "Free space in the data folder, or replace the host's disk."


class DiskFailing(StorageError):
    """The disk of the data folder is full, read-only or returns I/O errors.

    The data read so far is sound, so the folder can be opened again once the
    disk accepts writes.
    """

    kind = "disk_failing"
    remedy = "Free space on the data folder's disk, or replace the disk."


class LogDamaged(StorageError):
    """A record before the end of the log fails its checksum."""

    kind = "log_damaged"
    remedy = (
        "Move the data folder away and let the host rejoin as a new replica;"
        " see docs/operations/replace-a-host.md."
    )


def all_kinds() -> tuple[type[BilberryrouteError], ...]:
    """Returns every class of the tree that is loaded, the base first."""
    found = [BilberryrouteError]
    for kind in found:
        found.extend(kind.__subclasses__())
    return tuple(found)


def by_kind(kind: str) -> type[BilberryrouteError]:
    """Returns the error class of a kind, or the base for an unknown one.

    Only classes that take a message as their one positional argument qualify.
    """
    return _KINDS.get(kind, BilberryrouteError)


_KINDS = {k.kind: k for k in all_kinds() if k != NotLeader}
