"""Fake environment for tests."""

import io
import random

from bilberryroute import clock as clock_lib
from bilberryroute import context


def fake_environment(**overrides: object) -> context.Environment:
    """Returns an environment with captured streams and a manual clock."""
    defaults: dict[str, object] = {
        "stdin": io.StringIO(),
        "stdout": io.StringIO(),
        "stderr": io.StringIO(),
        "variables": {},
        "clock": clock_lib.ManualClock(offset=1_700_000_000_000),
        "rng": random.Random(0),
    }
    return context.Environment(**(defaults | overrides))
