"""Clocks, and milliseconds as the only unit of time in the package.

Durations and instants are whole milliseconds (`Millis`). Instants of `now()`
are monotonic and local to one process; instants of `wall()` are Unix time and
serve people and logs only, never a lease or a timeout.
"""

import math
import time
from typing import NewType
from typing import Protocol

Millis = NewType("Millis", int)

MS_PER_SECOND = 1_000
NS_PER_MS = 1_000_000

SECOND = Millis(MS_PER_SECOND)
MINUTE = Millis(60 * MS_PER_SECOND)
HOUR = Millis(3_600 * MS_PER_SECOND)
DAY = Millis(24 * 3_600 * MS_PER_SECOND)


# Clocks of two machines drift apart by this factor at most; the platform
# guarantees it.
MAX_DRIFT_FACTOR = 1.02


def with_drift(duration: int) -> Millis:
    """Returns how long a duration on another clock may last on this one."""
    return Millis(math.ceil(duration * MAX_DRIFT_FACTOR))


def seconds(duration: int) -> float:
    """Returns a duration in milliseconds as the seconds asyncio expects."""
    return duration / MS_PER_SECOND


class Clock(Protocol):
    """Reads the time in milliseconds."""

    def now(self) -> Millis:
        """Returns monotonic milliseconds, local to this process."""

    def wall(self) -> Millis:
        """Returns milliseconds of Unix time."""


class SystemClock:
    """Clock of the operating system.

    Its monotonic reading counts the time for which the machine was suspended,
    so a lease that ran out meanwhile is over when the process wakes.
    """

    def now(self) -> Millis:
        """Returns monotonic milliseconds, local to this process."""
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)

    def wall(self) -> Millis:
        """Returns milliseconds of Unix time."""
        return Millis(time.time_ns() // NS_PER_MS)


class ManualClock:
    """Clock that moves only when told to.

    Attributes:
      offset: Unix time in milliseconds at reading zero.
    """

    def __init__(self, start: int = 0, offset: int = 0):
        self._now = start
        self.offset = offset

    def now(self) -> Millis:
        """Returns the milliseconds advanced so far."""
        return Millis(self._now)

    def wall(self) -> Millis:
        """Returns the reading shifted by `offset`."""
        return Millis(self._now + self.offset)

    def advance(self, duration: int) -> Millis:
        """Moves the clock forward and returns its new reading.

        Args:
          duration: Milliseconds, not negative.

        Raises:
          ValueError: If the duration is negative.
        """
        if duration < 0:
            raise ValueError("a monotonic clock does not go back")
        self._now += duration
        return self.now()
