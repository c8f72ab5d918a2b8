"""Regression bounds for the latency of the request path."""

import pytest

from benchmarks import requests as bench

pytestmark = pytest.mark.serial

REQUESTS = 300


async def test_path_adds_little_to_an_idempotent_request():
    latency, _ = await bench.run_processes(REQUESTS)
    medians = {each.name: each.median_ms for each in latency}
    added_ms = medians["idempotent"] - medians["direct"]
    assert added_ms <= bench.ADDED_MEDIAN_MAX_MS
