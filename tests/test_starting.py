"""The time of each part of a start is logged and measured."""

import logging

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import starting


@pytest.fixture
def ends(caplog):
    """Returns the logged ends of parts, with the time since the start."""
    caplog.set_level(logging.INFO, logger=starting.__name__)
    return lambda: [
        (record.getMessage(), record.since_start_ms)
        for record in caplog.records
        if record.name == starting.__name__
    ]


def test_end_of_a_part_is_logged_and_measured_once(ends):
    metrics = metrics_lib.Metrics(clock_lib.Millis(5_000))
    for now_ms in (5_300, 9_000):
        starting.record_end(
            starting.Part.LOADED, metrics, clock_lib.Millis(now_ms)
        )
    assert ends() == [("start: loaded", 300)]
    text = metrics.render()[0].decode()
    assert 'bilberryroute_start_ms{part="loaded"} 300' in text


def test_part_is_left_out_if_the_start_is_not_known(ends):
    metrics = metrics_lib.Metrics()
    starting.record_end(starting.Part.LOADED, metrics, clock_lib.Millis(5_300))
    assert ends() == []
    assert "start_ms{" not in metrics.render()[0].decode()
