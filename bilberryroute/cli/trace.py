"""The story of one job or request, from the logs of all processes."""

import heapq
import re
from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from bilberryroute import context
from bilberryroute import errors
from bilberryroute import status
from bilberryroute.cli import client

# Fields that every line has, or that are shown in front.
_COMMON = frozenset(
    {
        "time",
        "host",
        "message",
        "level",
        "logger",
        "role",
        "failure_domain",
        "revision",
    }
)
# Messages that often explain what befell a job; services put their own name
# in front.
_LANDMARKS = (": leading", "role: leader", "lost the leader", "lease lost")

_OBJECT = re.compile(r"\{.*\}")


def trace(id: str, *files: str):
    """Prints one job's or request's log lines in order, across processes.

    A change of leader and lines of lost dependencies in between are printed
    too, as they often are the cause. Lines are ordered by the time of day of
    the hosts, which may differ by some milliseconds.

    Example::

      bilberryroute trace 5c0e7a21d94b36f8 replica.log entry.log agent-*.log

    Args:
      id: Id of the job or request.
      files: Log files; standard input by default.
    """

    def run(env: context.Environment) -> status.ExitStatus:
        texts = [client.read_file(env, path) for path in files or ("-",)]
        lines = sorted(
            (line for text in texts for line in _lines(text)),
            key=lambda line: str(line.get("time", "")),
        )
        found = list(story(id, lines))
        if not found:
            raise errors.NotFound(
                f"no line names {id!r}",
                remedy="Give the logs of entries, replicas and agents.",
            )
        for line in found:
            env.stdout.write(_shown(line) + "\n")
        return status.ExitStatus.SUCCESS

    return run


def story(id: str, lines: Iterable[dict]) -> Iterator[dict]:
    """Yields the lines that tell of an id, and what befell between them."""
    between: list[dict] = []
    begun = False
    for line in lines:
        if _names(line, id):
            yield from heapq.merge(between, key=lambda each: each["time"])
            between.clear()
            begun = True
            yield line
        elif begun and _is_landmark(line):
            between.append(line)


def _lines(text: bytes) -> Iterator[dict]:
    """Yields the JSON objects of a log, one a line; others are left out."""
    for row in text.decode(errors="replace").splitlines():
        match = _OBJECT.search(row)
        if match is None:
            continue
        try:
            line = msgspec.json.decode(match.group())
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "time" in line:
            yield line


def _names(line: dict, id: str) -> bool:
    own = (line.get("job_id"), line.get("request_id"))
    return id in own or str(line.get("path", "")).endswith(f"/{id}")


def _is_landmark(line: dict) -> bool:
    message = str(line.get("message", ""))
    return line.get("level") != "INFO" or any(
        each in message for each in _LANDMARKS
    )


def _shown(line: dict) -> str:
    extras = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _COMMON
    )
    return f"{line['time']} {line.get('host', '?')}: {line['message']} {extras}"
