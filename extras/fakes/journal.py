"""JSON lines file in which a fake records what actually happened."""

import dataclasses
import pathlib

import msgspec

from bilberryroute import clock as clock_lib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One event.

    Attributes:
      event: What happened, such as `start`, `end`, `refuse` or `run`.
      monotonic_ms: Monotonic clock, shared by the processes of one host.
      wall_ms: Unix time.
      source: Name of the fake.
      subject: What it happened to, such as a job or request id.
      attempt: Attempt of the job, or 0.
      detail: Further text.
    """

    event: str
    monotonic_ms: int
    wall_ms: int
    source: str
    subject: str
    attempt: int = 0
    failure_domain: str = ""
    detail: str = ""


class Journal:
    """Appends events, each with one write."""

    def __init__(
        self,
        path: str,
        source: str,
        failure_domain: str,
        clock: clock_lib.Clock,
    ):
        self._path = path
        self._source = source
        self._failure_domain = failure_domain
        self._clock = clock

    def write(
        self,
        event: str,
        subject: str,
        attempt: int = 0,
        detail: str = "",
        monotonic_ms: int | None = None,
    ) -> None:
        """Appends one event; without a path it is dropped.

        Args:
          event: What happened.
          subject: What it happened to.
          attempt: Attempt of the subject, or 0.
          detail: Further text.
          monotonic_ms: When it happened; None for now.
        """
        if not self._path:
            return
        line = Line(
            event=event,
            monotonic_ms=self._clock.now()
            if monotonic_ms is None
            else monotonic_ms,
            wall_ms=self._clock.wall(),
            source=self._source,
            subject=subject,
            attempt=attempt,
            failure_domain=self._failure_domain,
            detail=detail,
        )
        with open(self._path, "ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")


def read(path: pathlib.Path) -> list[Line]:
    """Returns the events of one file, oldest first."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Line) for line in lines]
