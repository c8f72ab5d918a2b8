"""Event loop whose time jumps to the next timer, for tests without I/O."""

import asyncio
import selectors

from bilberryroute import clock as clock_lib


class _SkippingSelector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.loop.elapsed_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them.

    Attributes:
      elapsed_s: Time since the start of the loop, in seconds.
    """

    def __init__(self):
        self.elapsed_s = 0.0
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Returns the seconds since the start of the loop."""
        return self.elapsed_s


class VirtualClock:
    """Clock that follows a `VirtualTimeLoop`, faster or slower than it."""

    _START_MS = 10_000
    _UNIX_OFFSET_MS = 1_700_000_000_000

    def __init__(self, loop: VirtualTimeLoop, rate: float = 1.0):
        self._loop = loop
        self._ms_per_second = clock_lib.MS_PER_SECOND * rate

    def now(self) -> clock_lib.Millis:
        """Returns monotonic milliseconds."""
        elapsed_ms = round(self._loop.elapsed_s * self._ms_per_second)
        return clock_lib.Millis(self._START_MS + elapsed_ms)

    def wall(self) -> clock_lib.Millis:
        """Returns milliseconds of Unix time."""
        return clock_lib.Millis(self.now() + self._UNIX_OFFSET_MS)
