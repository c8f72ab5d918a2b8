"""Data folders that a process locks before it loads the rest of its code.

A replica that was restarted keeps silent for a while, as a leader's lease may
rest on a reply that its predecessor sent. That time counts from the lock, which
ends the predecessor, so it passes while the code loads.
"""

import dataclasses
import pathlib

from bilberryroute import clock as clock_lib
from bilberryroute.consensus import files as files_lib

LOCK = "lock"

# The storage that takes a reservation is built only after the code has loaded.
_reserved: dict[pathlib.Path, "Reservation"] = {}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """A locked data folder.

    Attributes:
      descriptor: Holds the lock until it is closed.
      since_ms: When it was locked, by this process's monotonic clock.
    """

    descriptor: int
    since_ms: int


def reserve(folder: str, clock: clock_lib.Clock) -> None:
    """Locks a data folder for this process, if nothing prevents it.

    What prevents it is reported when the folder is opened. The clock is read
    once the lock is held: until then the predecessor may reply.
    """
    path = pathlib.Path(folder)
    if path in _reserved:
        return
    try:
        descriptor = files_lib.Files(path).lock(LOCK)
    except OSError:
        return
    _reserved[path] = Reservation(descriptor=descriptor, since_ms=clock.now())


def take(folder: pathlib.Path) -> Reservation | None:
    """Hands over the lock of a folder, which can be taken only once."""
    return _reserved.pop(folder, None)
