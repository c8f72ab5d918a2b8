"""JSON logs: one object a line, with the fields of process and context."""

import contextlib
import contextvars
import dataclasses
import logging
import types
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TextIO

from pythonjsonlogger import msgspec as json_formatter

_FORMAT = "%(levelname)s %(name)s %(message)s"
_HTTP_PARSER_LOGGER = "aiohttp.server"
_RENAMED = {"levelname": "level", "name": "logger", "exc_info": "traceback"}

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


_context_filter = _ContextFilter()


def configure(
    *,
    stream: TextIO,
    level: str,
    role: str,
    host: str,
    failure_domain: str,
) -> None:
    """Sends all logs of the process to `stream` as JSON lines.

    Args:
      stream: Where the lines go.
      level: Name of the lowest level written.
      role: Roles of the process, joined by `+`.
      host: Name of the process.
      failure_domain: Failure domain of the process.
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
    handler.addFilter(_context_filter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # aiohttp logs malformed requests with their headers, tokens included;
    # errors of handlers are logged by `api`.
    logging.getLogger(_HTTP_PARSER_LOGGER).setLevel(logging.CRITICAL)


def show_position(position: Callable[[], Position]) -> None:
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
