"""JSON logs: one object a line, with the fields of process and context."""

import contextlib
import contextvars
import logging
import types
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TextIO

from pythonjsonlogger import msgspec as json_formatter

_FORMAT = "%(levelname)s %(name)s %(message)s"
_RENAMED = {"levelname": "level", "name": "logger", "exc_info": "traceback"}

_fields: contextvars.ContextVar[Mapping[str, object]] = contextvars.ContextVar(
    "log_fields", default=types.MappingProxyType({})
)


class _ContextFilter(logging.Filter):
    """Adds the fields of the process and of the present context."""

    def __init__(self):
        super().__init__()
        self.process_fields: dict[str, object] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        for name, value in (self.process_fields | _fields.get()).items():
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


def set_process_fields(**fields: object) -> None:
    """Sets fields of all later lines, such as `term` and `revision`."""
    _context_filter.process_fields.update(fields)


def clear_process_fields() -> None:
    """Forgets all fields that `set_process_fields` set."""
    _context_filter.process_fields.clear()


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
