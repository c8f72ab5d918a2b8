"""Client of the HTTP API of the platform's workers.

Deadlines are instants of the worker's own clock, so that a call delayed by the
network or by a frozen process is refused however late it arrives.
"""

import enum
import http
from typing import TypeVar

import aiohttp
import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.agent import workers as workers_lib

CALL_TIMEOUT_MS = 2_000
REFUSALS = frozenset(
    {
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.CONFLICT,
        http.HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)

LATE = "late"

T = TypeVar("T")


class WorkerTaskState(enum.StrEnum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    OVER_LIMIT = "over_limit"
    LOST = "lost"


class StartTaskRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/tasks`.

    Attributes:
      incarnation: Incarnation of the worker whose clock the deadlines are on;
        another one refuses the start.
      left_ms: Remaining time of the agent's lease, for the worker's log.
      not_after_ms: Worker's clock after which the start is refused.
      lease_until_ms: Worker's clock at which the task is killed unless its
        lease was renewed.
    """

    job_id: str
    attempt: int
    incarnation: str
    accelerators: tuple[int, ...]
    progress_ms: int
    left_ms: int
    not_after_ms: int
    lease_until_ms: int


class TaskName(msgspec.Struct, frozen=True):
    """Names one task on its worker."""

    job_id: str
    attempt: int


class Leases(msgspec.Struct, frozen=True):
    """Body of `POST /v1/leases`.

    Attributes:
      tasks: Tasks whose lease is renewed.
      until_ms: Worker's clock at which they are killed unless renewed again.
    """

    tasks: tuple[TaskName, ...]
    until_ms: int


class Task(msgspec.Struct, frozen=True):
    """One task as its worker reports it.

    Attributes:
      progress_ms: Work done and kept so far, in milliseconds of run time.
    """

    job_id: str
    attempt: int
    state: WorkerTaskState
    accelerators: tuple[int, ...] = ()
    progress_ms: int = 0


class StartProblem(msgspec.Struct, frozen=True):
    """Problem document of a refused start.

    Attributes:
      kind: `late` if the deadline had passed; anything else otherwise.
    """

    kind: str = ""
    detail: str = ""


class Tasks(msgspec.Struct, frozen=True):
    """Answer with all tasks that the worker has a record of."""

    tasks: tuple[Task, ...]


class StartRefused(errors.Refused):
    """The worker refused a start: the task does not run."""

    kind = "start_refused"
    remedy = "Place the task again."


class StartLate(StartRefused):
    """The start reached the worker after the agent's lease had ended."""

    kind = "start_late"
    remedy = "Start again under a lease that holds."


class WorkerUnreachable(errors.OutcomeUnknown):
    """The worker gave no complete answer."""

    kind = "worker_unreachable"
    remedy = "Wait until the task's lease has ended."


class WorkerApiClient:
    """Calls workers over one connection pool."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def start(
        self, contact: workers_lib.WorkerContact, start: StartTaskRequest
    ) -> Task:
        """Starts a task.

        Raises:
          StartLate: If it arrived too late; nothing runs.
          StartRefused: If the worker refused otherwise; nothing runs.
          WorkerUnreachable: If it may or may not have started.
        """
        status, body = await self._call(contact, "POST", "/v1/tasks", start)
        if status in REFUSALS:
            raise _refusal(body)
        return self._decode(contact, status, body, Task)

    async def tasks(self, contact: workers_lib.WorkerContact) -> Tasks:
        """Returns all tasks that the worker has a record of.

        Raises:
          WorkerUnreachable: If there was no complete answer.
        """
        status, body = await self._call(contact, "GET", "/v1/tasks")
        return self._decode(contact, status, body, Tasks)

    async def renew(
        self, contact: workers_lib.WorkerContact, leases: Leases
    ) -> Tasks:
        """Renews task leases; returns all tasks that it has a record of.

        Raises:
          WorkerUnreachable: If there was no complete answer.
        """
        status, body = await self._call(contact, "POST", "/v1/leases", leases)
        return self._decode(contact, status, body, Tasks)

    async def checkpoint(
        self,
        contact: workers_lib.WorkerContact,
        name: TaskName,
        timeout_ms: int,
    ) -> Task:
        """Has a task save a checkpoint, which may take long.

        Raises:
          WorkerUnreachable: If there was no complete answer.
        """
        status, body = await self._call(
            contact, "POST", "/v1/checkpoints", name, timeout_ms
        )
        return self._decode(contact, status, body, Task)

    async def stop(
        self, contact: workers_lib.WorkerContact, name: TaskName
    ) -> Task:
        """Stops a task; one that never started can no longer start.

        Raises:
          WorkerUnreachable: If there was no complete answer.
        """
        status, body = await self._call(contact, "DELETE", "/v1/tasks", name)
        return self._decode(contact, status, body, Task)

    async def _call(
        self,
        contact: workers_lib.WorkerContact,
        method: str,
        path: str,
        message: msgspec.Struct | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> tuple[int, bytes]:
        url = f"http://{contact.address}{path}"
        payload = None if message is None else msgspec.json.encode(message)
        try:
            async with self._session.request(
                method, url, data=payload, timeout=_timeout(timeout_ms)
            ) as response:
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise WorkerUnreachable(
                f"worker {contact.name} did not answer: {exc!r}"
            ) from exc

    def _decode(
        self,
        contact: workers_lib.WorkerContact,
        status: int,
        body: bytes,
        kind: type[T],
    ) -> T:
        if status >= http.HTTPStatus.MULTIPLE_CHOICES:
            raise WorkerUnreachable(
                f"worker {contact.name} answered {status}: {body[:200]!r}"
            )
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as exc:
            raise WorkerUnreachable(
                f"worker {contact.name} answered no {kind.__name__}: {exc}"
            ) from exc


def _timeout(duration: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(total=clock_lib.seconds(duration))


def _refusal(body: bytes) -> StartRefused:
    try:
        refusal = msgspec.json.decode(body, type=StartProblem)
    except msgspec.MsgspecError:
        return StartRefused(f"the worker refused: {body[:200]!r}")
    kind = StartLate if refusal.kind == LATE else StartRefused
    return kind(f"the worker refused: {refusal.detail}")
