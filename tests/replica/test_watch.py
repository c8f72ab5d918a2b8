import asyncio
import dataclasses

import grpc
import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import embedded
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import control as client_lib
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.replica import control as control_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.transport import codec
from tests.entry import test_control
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


@pytest.fixture
async def leader():
    """A leading replica that no process's settings name."""
    replica = test_control.FakeReplica()
    await replica.start()
    replica.event = wire.WatchEvent(
        term=1,
        leader_id="r4",
        configuration=None,
        endpoints=None,
        replicas=(wire.ReplicaContact(id="r4", grpc=replica.address),),
    )
    replica.repeat_ms = 100
    yield replica
    await replica.stop()


@pytest.fixture
async def follower(parts, leader, monkeypatch):
    """Returns the address of a real replica that follows the leader."""
    monkeypatch.setattr(parts.leadership, "active", lambda: False)
    monkeypatch.setattr(type(parts.group), "leader_id", "r4")
    monkeypatch.setattr(type(parts.group), "leader_address", leader.address)
    server = grpc.aio.server()
    control_lib.ControlService(parts, query_handler=None).register(server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    yield f"127.0.0.1:{port}"
    await server.stop(None)


async def test_entry_without_callers_finds_a_leader_that_is_no_seed(follower):
    cfg = settings.Settings(
        host="e1",
        failure_domain="apapa",
        roles=(settings.ProcessRole.ENTRY,),
        replicas=(
            settings.ReplicaAddress(id="r1", grpc=follower, datagram=""),
        ),
    )
    env = environment.fake_environment(clock=clock_lib.SystemClock())
    board = board_lib.new_board()
    client = client_lib.ControlClient(
        cfg, board, env.clock, env.rng, metrics_lib.Metrics()
    )
    async with client:
        async with asyncio.timeout(5):
            while not board.leader_seen_ms.get():
                await asyncio.sleep(0.01)
    assert board.leader_id.get() == "r4"
