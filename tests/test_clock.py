import pytest

from bilberryroute import clock as clock_lib


def test_manual_clock_moves_only_when_told():
    clock = clock_lib.ManualClock(offset=5_000)
    assert clock.now() == 0
    assert clock.advance(250) == 250
    assert clock.wall() == 5_250


def test_manual_clock_refuses_to_go_back():
    with pytest.raises(ValueError, match="does not go back"):
        clock_lib.ManualClock().advance(-1)
