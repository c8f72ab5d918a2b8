import asyncio
import dataclasses

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.replica import control as control_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.transport import codec
from tests.utils import environment

EVENTS = codec.Decoder(wire.WatchEvent)
VIEW = wire.EndpointView(
    name="e1",
    service="gang-alloc",
    agent="a1",
    incarnation="1",
    http="127.0.0.1:1",
    failure_domain="apapa",
    slots=8,
    in_flight=0,
    leaving=False,
    healthy=True,
)


@pytest.fixture
def parts(tmp_path, monkeypatch):
    env = environment.fake_environment(clock=clock_lib.SystemClock())
    cfg = embedded.embedded_settings(str(tmp_path))
    built = parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())
    monkeypatch.setattr(built.leadership, "active", lambda: True)
    monkeypatch.setattr(type(built.group), "term", 1)
    monkeypatch.setattr(type(built.group), "members", lambda self: ())
    return built


@pytest.fixture
async def watch(parts):
    async def reports():
        yield codec.encode(wire.WatchRequest(entry="e1", revision=0))
        await asyncio.Event().wait()

    service = control_lib.ControlService(parts, query_handler=None)
    stream = service._watch(reports(), None)
    yield stream
    await stream.aclose()


async def test_change_while_an_event_is_on_its_way_is_sent_next(parts, watch):
    first = EVENTS.decode(await anext(watch))
    assert first.configuration is None
    # The stream is still busy sending; what changes now was not in it.
    state = parts.machine.state
    state.configuration = dataclasses.replace(
        config.Configuration(), revision=1
    )
    parts.board.endpoints.set((VIEW,))
    second = EVENTS.decode(await anext(watch))
    assert second.configuration is not None
    assert second.configuration.revision == 1
    assert second.endpoints == (VIEW,)
