import pytest

from bilberryroute.model import config
from bilberryroute.replica import desired as desired_lib
from bilberryroute.state import records


@pytest.fixture
def state() -> records.ReplicatedState:
    domain = config.FailureDomain(name="apapa")
    cfg = config.Configuration(revision=1, failure_domains={"apapa": domain})
    return records.ReplicatedState(
        index=7, scheduling_index=7, configuration=cfg
    )


def test_version_stays_while_the_content_does(state):
    states = desired_lib.DesiredStates()
    first = states.desired(state, 7, "a1", ("w1",))
    assert states.desired(state, 9, "a1", ("w1",)) == first


def test_version_rises_with_content_even_within_one_index(state):
    states = desired_lib.DesiredStates()
    first = states.desired(state, 7, "a1", ())
    out = config.FailureDomain(name="apapa", in_service=False)
    state.configuration = config.Configuration(
        revision=2, failure_domains={"apapa": out}
    )
    second = states.desired(state, 7, "a1", ())
    assert second.version > first.version
    assert second.domains_in_service == ()


def test_version_of_a_later_term_is_higher(state):
    first = desired_lib.DesiredStates().desired(state, 7, "a1", ())
    later = desired_lib.DesiredStates().desired(state, 8, "a1", ())
    assert later.version > first.version
