"""Wire form of a worker: its announcements, and orders to it."""

import logging

import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire
from bilberryroute.platform import client

# A worker beside the agent answers an order within some milliseconds; after
# this long its connection is given up.
ORDER_TIMEOUT_MS = clock_lib.Millis(500)
# The same beyond the time that a look may wait.
LOOK_MARGIN_MS = clock_lib.Millis(700)
CONFLICT = 409
# Unhealthy, or another worker than the one meant: nothing was done.
BUSY = frozenset({421, 429, 503})
MEANT_HEADER = "X-Expected-Instance"

logger = logging.getLogger(__name__)

_VERDICTS = {
    "fence": worker_port.StartVerdict.FENCED,
    "old": worker_port.StartVerdict.OLD,
    "late": worker_port.StartVerdict.LATE,
    "room": worker_port.StartVerdict.NO_ROOM,
    "ticket": worker_port.StartVerdict.INVALID,
}


class _Capacity(msgspec.Struct, rename="camel"):
    """What a worker has; `cpu` in thousandths of a core."""

    cpu: int = 0
    mem_request_mb: int = 0
    gpu: int = 0


class _Instance(msgspec.Struct, rename="camel"):
    """A worker's announcement.

    Attributes:
      service: Pool that it belongs to.
      labels: Its kind, and last the rack that it stands in.
      clock_ms: Its steady clock; a worker's own announcement always has it.
      born: Unix time of its start in milliseconds: one value a life.
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: int
    capacity: _Capacity
    clock_ms: int
    labels: tuple[str, ...] = ()
    born: int = 0
    remaining_ms: int = 0


class _Answer(msgspec.Struct, rename="camel"):
    """Answer to an order.

    Attributes:
      reason: Why a start was refused.
    """

    clock_ms: int = 0
    reason: str = ""


class _Hold(msgspec.Struct, rename="camel"):
    """What a worker holds.

    Attributes:
      running: Rows of task, run, checkpoint, percent and load.
      finished: Rows of number, task, run, outcome and checkpoint.
    """

    clock_ms: int
    born: int = 0
    running: list[list] = []
    finished: list[list] = []


_instances = msgspec.json.Decoder(_Instance)
_answers = msgspec.json.Decoder(_Answer)
_holds = msgspec.json.Decoder(_Hold)


def decode_announcement(
    name: str, body: bytes
) -> worker_port.BatchWorkerAnnouncement:
    """Returns what a worker says of itself.

    Raises:
      errors.MalformedInput: If another writer's form cannot be read.
    """
    try:
        said = _instances.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.MalformedInput(f"malformed announcement: {exc}") from exc
    if said.state not in ("ready", "draining"):
        raise errors.MalformedInput(f"unknown state {said.state!r}")
    return worker_port.BatchWorkerAnnouncement(
        name=name,
        born=said.born,
        sequence=said.sequence,
        clock_ms=said.clock_ms,
        address=said.address,
        pool=said.service,
        failure_domain=said.zone,
        rack=said.labels[-1] if said.labels else "",
        labels=said.labels,
        capacity=batch.Resources(
            cpu_millis=said.capacity.cpu,
            memory_mb=said.capacity.mem_request_mb,
            accelerators=said.capacity.gpu,
        ),
        draining=said.state == "draining",
        remaining_ms=said.remaining_ms,
    )


def task_name(task: batch.TaskId) -> str:
    """Returns the worker's name of a task."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def task_id(name: str) -> batch.TaskId:
    """Returns the task of a worker's name.

    Raises:
      errors.MalformedInput: If it is none.
    """
    try:
        job_id, occurrence, step, index = name.split(".")
        return batch.TaskId(
            job_id=job_id,
            occurrence=int(occurrence),
            step=int(step),
            index=int(index),
        )
    except (ValueError, AttributeError) as exc:
        raise errors.MalformedInput(f"{name!r} names no task") from exc


def decode_listing(body: bytes) -> worker_port.Listing:
    """Returns what a worker holds.

    Raises:
      errors.MalformedInput: If the answer cannot be read.
    """
    try:
        said = _holds.decode(body)
        return worker_port.Listing(
            born=said.born,
            clock_ms=said.clock_ms,
            running=tuple(map(_running, said.running)),
            ends=tuple(map(_end, said.finished)),
            loads=_loads(said.running),
        )
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        raise errors.MalformedInput(f"malformed list of runs: {exc}") from exc


def _running(row: list) -> wire.RunReport:
    name, run, saved, percent = row[:4]
    return wire.RunReport(
        task=task_id(name), run=run, saved=saved, percent=int(percent)
    )


def _loads(rows: list[list]) -> dict[tuple[batch.TaskId, int], int]:
    """Returns the fifth entries of rows; workers may leave them out."""
    return {
        (task_id(row[0]), row[1]): int(row[4]) for row in rows if len(row) > 4
    }


def _end(row: list) -> wire.EndReport:
    number, name, run, how, saved = row[:5]
    return wire.EndReport(
        number=number,
        task=task_id(name),
        run=run,
        outcome=batch.RunOutcome(how),
        saved=saved,
    )


class WorkerClient(client.PlatformClient):
    """Orders to the worker beside this process; `worker_port.WorkerPort`."""

    async def start_run(
        self, address: str, order: worker_port.StartOrder
    ) -> worker_port.StartAnswer:
        """Lets a run begin."""
        body = {
            "task": task_name(order.task),
            "run": order.run,
            "spec": order.payload,
            "untilMs": order.until_ms,
            "fencingToken": order.fence,
        }
        if order.saved:
            body["checkpoint"] = order.saved
        if order.permit:
            body["ticket"] = order.permit
        said = await self._order(
            address,
            "run-start",
            body,
            ORDER_TIMEOUT_MS,
            headers={MEANT_HEADER: order.worker},
        )
        answer = _decode_answer(said.body)
        return worker_port.StartAnswer(
            verdict=_verdict(said.status, answer), clock_ms=answer.clock_ms
        )

    async def stop_run(
        self, address: str, task: batch.TaskId, run: int, fence: int
    ) -> int:
        """Ends a run, also one that is still to come; returns the clock."""
        body = {"task": task_name(task), "run": run, "fencingToken": fence}
        said = await self._order(address, "run-stop", body, ORDER_TIMEOUT_MS)
        _require_done(said, "stop")
        return _decode_answer(said.body).clock_ms

    async def pace_run(
        self,
        address: str,
        task: batch.TaskId,
        run: int,
        percent: int,
        fence: int,
    ) -> None:
        """Lets a run work at a share until the next such order."""
        body = {
            "task": task_name(task),
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        said = await self._order(address, "pace", body, ORDER_TIMEOUT_MS)
        _require_done(said, "pace")

    async def extend_lease(
        self, address: str, order: worker_port.ExtendLeaseOrder
    ) -> worker_port.Listing:
        """Extends the lease and returns what runs and what ended."""
        body = {
            "fencingToken": order.fence,
            "ackCursor": order.committed,
            "waitMs": order.wait_ms,
        }
        if order.until_ms is not None:
            body["untilMs"] = order.until_ms
        timeout_ms = clock_lib.Millis(order.wait_ms + LOOK_MARGIN_MS)
        said = await self._order(address, "hold", body, timeout_ms)
        _require_done(said, "look")
        return decode_listing(said.body)

    async def _order(
        self,
        address: str,
        call: str,
        body: dict[str, object],
        timeout_ms: clock_lib.Millis,
        headers: dict[str, str] | None = None,
    ) -> client.Answer:
        try:
            return await self.post(address, call, body, timeout_ms, headers)
        except client.PortClosed as exc:
            raise worker_port.WorkerDown(exc.message) from exc


def _require_done(said: client.Answer, order: str) -> None:
    if said.status != client.OK:
        raise errors.Unavailable(
            f"the worker answered a {order} by {said.status}"
        )


def _decode_answer(text: bytes) -> _Answer:
    if not text:
        return _Answer()
    try:
        return _answers.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.Unavailable(f"unreadable answer: {exc}") from exc


def _verdict(status: int, answer: _Answer) -> worker_port.StartVerdict:
    if status == client.OK:
        return worker_port.StartVerdict.STARTED
    if status == CONFLICT and answer.reason in _VERDICTS:
        return _VERDICTS[answer.reason]
    if status in BUSY:
        return worker_port.StartVerdict.BUSY
    logger.warning("worker refused a start: %s %s", status, answer.reason)
    return worker_port.StartVerdict.INVALID
