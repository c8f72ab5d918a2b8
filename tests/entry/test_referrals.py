"""A host without a replica refers everyone who asks it to the leader."""

import asyncio
import contextlib

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.consensus import founding
from bilberryroute.consensus import greeting
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import control as control_lib
from bilberryroute.entry import referrals
from bilberryroute.model import commands
from bilberryroute.model import wire
from bilberryroute.transport import codec
from tests.consensus import test_rejoining
from tests.entry import test_control
from tests.utils import environment
from tests.utils import ports

CLOCK = clock_lib.SystemClock()
LEADER_DATAGRAM = "10.0.0.4:7002"


def _settings(
    host: str, seed: str, listen: settings.Listen | None = None
) -> settings.Settings:
    return settings.Settings(
        host=host,
        failure_domain="apapa",
        roles=(settings.ProcessRole.REPLICA,),
        listen=listen or settings.Listen(),
        replicas=(settings.ReplicaAddress(id="r1", grpc=seed, datagram=""),),
    )


@pytest.fixture
async def leader():
    replica = test_control.FakeReplica()
    await replica.start()
    replica.event = wire.WatchEvent(
        term=2,
        leader_id="r4",
        configuration=None,
        endpoints=None,
        replicas=(
            wire.ReplicaContact(
                id="r4", grpc=replica.address, datagram=LEADER_DATAGRAM
            ),
        ),
    )
    replica.repeat_ms = 100
    yield replica
    await replica.stop()


@pytest.fixture
async def referring(leader):
    """A referring host that has heard of the leader."""
    listen = settings.Listen(
        grpc=ports.free_address(), datagram=ports.free_address()
    )
    env = environment.fake_environment(clock=CLOCK)
    role = referrals.ReferralRole(
        _settings("h1", leader.address, listen), env, metrics_lib.Metrics()
    )
    async with role:
        async with asyncio.timeout(5):
            while not role.board.replicas.get():
                await asyncio.sleep(0.01)
        role.board.leader_id.set("r4")
        yield listen


async def test_client_finds_the_leader_through_it(leader, referring):
    board = board_lib.new_board()
    env = environment.fake_environment(clock=CLOCK)
    client = control_lib.ControlClient(
        _settings("e1", referring.grpc),
        board,
        CLOCK,
        env.rng,
        metrics_lib.Metrics(),
    )
    try:
        result = await client.propose(test_control.COMMAND)
    finally:
        await client.on_stop()
    assert result == commands.Changed(revision=7)
    assert leader.proposals_received == 1


async def test_entry_without_callers_finds_the_leader_through_it(referring):
    board = board_lib.new_board()
    env = environment.fake_environment(clock=CLOCK)
    cfg = _settings("e1", referring.grpc)
    client = control_lib.ControlClient(
        cfg, board, CLOCK, env.rng, metrics_lib.Metrics()
    )
    async with client:
        async with asyncio.timeout(5):
            while not board.leader_seen_ms.get():
                await asyncio.sleep(0.01)
    assert board.leader_id.get() == "r4"


@pytest.fixture
async def other():
    """A replica that names r1 as the leader."""
    replica = test_control.FakeReplica(leader_id="r1")
    await replica.start()
    yield replica
    replica.repeat_ms = 0
    await replica.stop()


async def test_host_that_is_named_as_leader_itself_finds_the_leader(other):
    """A replica led there before, and the others still named it for a while."""
    listen = settings.Listen(
        grpc=ports.free_address(), datagram=ports.free_address()
    )
    cfg = settings.Settings(
        host="h1",
        failure_domain="apapa",
        roles=(settings.ProcessRole.REPLICA,),
        replica_id="r1",
        listen=listen,
        replicas=(
            settings.ReplicaAddress(id="r1", grpc=listen.grpc, datagram=""),
            settings.ReplicaAddress(id="r2", grpc=other.address, datagram=""),
        ),
    )
    env = environment.fake_environment(clock=CLOCK)
    role = referrals.ReferralRole(cfg, env, metrics_lib.Metrics())
    async with role:
        with pytest.raises(errors.Unavailable):
            await role.control.propose(
                test_control.COMMAND, clock_lib.Millis(300)
            )
        other.leader_id = ""
        other.event = wire.WatchEvent(
            term=2, leader_id="r2", configuration=None, endpoints=None
        )
        other.repeat_ms = 100
        async with asyncio.timeout(5):
            while not role.board.leader_seen_ms.get():
                await asyncio.sleep(0.01)
    assert role.board.leader_id.get() == "r2"


async def test_joining_replica_learns_the_leader_and_founds_nothing(
    leader, referring
):
    own = greeting.Hello(id="r9#a", group="", grpc="", datagram="")
    answer = await greeting.greet(referring.grpc, own)
    assert answer.leader == leader.address
    members = (
        settings.ReplicaAddress(id="r9", grpc="", datagram=""),
        settings.ReplicaAddress(id="r99", grpc=referring.grpc, datagram=""),
    )
    assert founding.founders(own, members, [answer]) is None


async def test_agent_is_redirected_without_a_lease(referring):
    renewal = wire.Renewal(
        agent="a1",
        incarnation="i1",
        failure_domain="apapa",
        sent_ms=17,
        term=0,
        desired_version=0,
        revision=0,
        http="",
        draining=False,
        endpoints=(),
        workers=(),
        tasks=(),
    )
    grant = await _exchange(referring.datagram, codec.encode(renewal))
    assert grant.lease_ms == 0
    assert grant.echo_ms == 17
    assert grant.leader_id == "r4"
    assert grant.replicas == {"r4": LEADER_DATAGRAM}


async def test_replica_introduces_itself_to_a_seed_that_is_none(tmp_path):
    """After a restart of all, the seeds may all be hosts without a replica."""
    listen = settings.Listen(
        grpc=ports.free_address(), datagram=ports.free_address()
    )
    env = environment.fake_environment(clock=CLOCK)
    seed = referrals.ReferralRole(
        _settings("h1", listen.grpc, listen), env, metrics_lib.Metrics()
    )
    replica = test_rejoining.Replica("r4", tmp_path)
    async with seed:
        await replica.start((replica.address,))
        replica.group.set_seeds([listen.grpc, replica.address.grpc])
        try:
            async with asyncio.timeout(5):
                while not seed.board.replicas.get():
                    await asyncio.sleep(0.02)
        finally:
            await replica.stop()
    known = wire.ReplicaContact(id="r4", grpc=replica.address.grpc)
    assert seed.board.replicas.get() == (known,)
    assert seed.control._choice.addresses()["r4"] == replica.address.grpc


class _Receiver(asyncio.DatagramProtocol):
    """Keeps the first datagram."""

    def __init__(self):
        self.received = asyncio.get_running_loop().create_future()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        with contextlib.suppress(asyncio.InvalidStateError):
            self.received.set_result(data)


async def _exchange(address: str, payload: bytes) -> wire.Grant:
    """Sends a datagram and returns the grant that answers it."""
    ip, port = address.rsplit(":", 1)
    (
        transport,
        receiver,
    ) = await asyncio.get_running_loop().create_datagram_endpoint(
        _Receiver, remote_addr=(ip, int(port))
    )
    try:
        transport.sendto(b"malformed")
        transport.sendto(payload)
        async with asyncio.timeout(5):
            return codec.Decoder(wire.Grant).decode(await receiver.received)
    finally:
        transport.close()
