"""A few seeds of the soak; `python -m tests.soak.run` plays many."""

import pytest

from tests.soak import run
from tests.soak import site as site_lib

# Play all kinds of faults.
SEEDS = (0, 1)


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_are_kept_under_faults(tmp_path, seed):
    report = await run.play(seed, tmp_path, site_lib.Layout())
    assert not report.violations, str(report)
