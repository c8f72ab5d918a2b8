"""JSON logs: one object a line, with the fields of process and context.

Lines are bounded in number for each kind of message. On the platform they are
written by a thread of their own from a bounded queue, so that a reader that
stalls never blocks the process.
"""

import collections
import contextlib
import contextvars
import copy
import dataclasses
import logging
import logging.handlers
import queue
import time
import types
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TextIO

from pythonjsonlogger import msgspec as json_formatter

_FORMAT = "%(levelname)s %(name)s %(message)s"
_HTTP_PARSER_LOGGER = "aiohttp.server"
_RENAMED = {"levelname": "level", "name": "logger", "exc_info": "traceback"}

# Lines of one message written per second: several times the rate of a busy
# day, and a bound on the cost of a log storm.
LINES_PER_SECOND = 50
# Lines queued for the writer: some seconds of a log storm.
QUEUE_LINES = 4_096

_fields: contextvars.ContextVar[Mapping[str, object]] = contextvars.ContextVar(
    "log_fields", default=types.MappingProxyType({})
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """How far a process has followed the leading replica.

    Attributes:
      term: Highest term seen.
      revision: Configuration revision in force.
    """

    term: int = 0
    revision: int = 0


class _ContextFilter(logging.Filter):
    """Adds the process's position and the fields of the present context."""

    def __init__(self):
        super().__init__()
        self.position: Callable[[], Position] = Position

    def filter(self, record: logging.LogRecord) -> bool:
        position = dataclasses.asdict(self.position())
        for name, value in (position | _fields.get()).items():
            if not hasattr(record, name):
                setattr(record, name, value)
        return True


class RateFilter(logging.Filter):
    """Bounds the lines of each message and says how many were left out."""

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        self._clock = clock
        self._second = 0
        self._written: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._left_out: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether to write a line; adds the count of lines left out."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        key = (record.name, str(record.msg))
        self._written[key] += 1
        if self._written[key] > LINES_PER_SECOND:
            self._left_out[key] += 1
            return False
        left_out = self._left_out.pop(key, 0)
        if left_out:
            record.left_out = left_out
        return True


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues lines for the writer; drops and counts them if it lags.

    Attributes:
      dropped: Lines dropped so far.
    """

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Adds the fields of this moment; the writer formats the line."""
        record = copy.copy(record)
        record.msg = record.getMessage()
        record.args = None
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a line without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


_context_filter = _ContextFilter()


def configure(
    *,
    stream: TextIO,
    level: str,
    role: str,
    host: str,
    failure_domain: str,
    in_background: bool = False,
) -> BoundedQueueHandler | None:
    """Sends all logs of the process to `stream` as JSON lines.

    Args:
      stream: Where the lines go.
      level: Name of the lowest level written.
      role: Roles of the process, joined by `+`.
      host: Name of the process.
      failure_domain: Failure domain of the process.
      in_background: Whether a thread writes the lines; call `flush` last.

    Returns:
      The handler that counts dropped lines, if a thread writes.
    """
    formatter = json_formatter.MsgspecFormatter(
        _FORMAT,
        rename_fields=_RENAMED,
        timestamp="time",
        static_fields={
            "role": role,
            "host": host,
            "failure_domain": failure_domain,
        },
    )
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    queued = _behind_a_queue(handler) if in_background else None
    first = handler if queued is None else queued
    first.addFilter(RateFilter())
    first.addFilter(_context_filter)
    root = logging.getLogger()
    root.handlers[:] = [first]
    root.setLevel(level)
    # aiohttp logs malformed requests with their headers, tokens included;
    # errors of handlers are logged by `api`.
    logging.getLogger(_HTTP_PARSER_LOGGER).setLevel(logging.CRITICAL)
    return queued


_listeners: list[logging.handlers.QueueListener] = []


def _behind_a_queue(handler: logging.Handler) -> BoundedQueueHandler:
    lines: queue.Queue = queue.Queue(QUEUE_LINES)
    listener = logging.handlers.QueueListener(lines, handler)
    listener.start()
    _listeners.append(listener)
    return BoundedQueueHandler(lines)


def flush() -> None:
    """Writes all queued lines; called at process exit."""
    while _listeners:
        _listeners.pop().stop()


def set_position_source(position: Callable[[], Position]) -> None:
    """Adds the process's term and revision to all later lines."""
    _context_filter.position = position


@contextlib.contextmanager
def fields(**extra: object) -> Iterator[None]:
    """Adds fields to the lines logged within, in this task only.

    The customary ones are `request_id`, `job_id`, `ticket`, `account` and
    `service`.
    """
    token = _fields.set({**_fields.get(), **extra})
    try:
        yield
    finally:
        _fields.reset(token)
