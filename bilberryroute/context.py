"""Process environment: streams, variables, clock and randomness."""

import os
import random
import sys
from collections.abc import Mapping
from typing import TextIO

from bilberryroute import clock as clock_lib


class Environment:
    """Streams, variables, clock and random source of one run.

    Tests override single attributes by keyword.

    Attributes:
      program_name: Name shown in messages.
      stdout: Where results go.
      stderr: Where messages and logs go.
      variables: Environment variables.
      clock: Source of time.
      rng: Source of randomness.
      began_ms: When the process began, by `clock`.
    """

    def __init__(self, **overrides: object):
        self.program_name: str = "bilberryroute"
        self.stdin: TextIO = sys.stdin
        self.stdout: TextIO = sys.stdout
        self.stderr: TextIO = sys.stderr
        self.variables: Mapping[str, str] = os.environ
        self.clock: clock_lib.Clock = clock_lib.SystemClock()
        self.rng: random.Random = random.Random(
            int.from_bytes(os.urandom(8), "big")
        )
        for name, value in overrides.items():
            if not hasattr(self, name):
                raise AttributeError(f"Environment has no {name!r}")
            setattr(self, name, value)
        self.began_ms: clock_lib.Millis = self.clock.now()

    def print_error(self, message: str) -> None:
        """Writes one `prog: error: …` line to stderr."""
        self.stderr.write(f"{self.program_name}: error: {message}\n")
