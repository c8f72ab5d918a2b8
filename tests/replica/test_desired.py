import dataclasses

import msgspec
import pytest

from bilberryroute.model import batch
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.replica import desired as desired_lib
from bilberryroute.state import records
from bilberryroute.transport import codec
from tests.utils import batches


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


def test_desired_run_names_its_need_and_a_fill_needs_no_processors():
    log = batches.Log()
    need = batches.task_need(2)
    log.submit("j1", batches.content(batches.step(need=need)))
    log.submit("j2", batches.content(batches.step(need=need, fills=True)))
    log.place(batches.unit("j1"), batches.unit("j2"))
    plain, fill = desired_lib.desired_runs(log.held, "a-w1")
    assert plain.need == need
    assert fill.need == dataclasses.replace(need, cpu_millis=0)


def test_desired_run_of_an_older_replica_names_no_need():
    run = wire.DesiredRun(
        task=batches.task(), run=1, worker=batches.ref(), stop=False
    )
    older = msgspec.to_builtins(run)
    del older["need"]
    decoder = codec.Decoder(wire.DesiredRun)
    assert decoder.decode(codec.encode(older)).need == batch.NO_RESOURCES
