"""Messages that exceed one datagram, and messages that can't be sent.

The rows of `docs/design/messages.md`.
"""

import asyncio
import dataclasses
import random

import pytest

from bilberryroute import embedded
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.agent import renewal as renewal_lib
from bilberryroute.consensus import fragments
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers
from bilberryroute.consensus import records
from bilberryroute.entry import connections
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import wire
from bilberryroute.replica import leases as lease_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import service as replica_service
from bilberryroute.scheduling.batch import room
from bilberryroute.transport import codec
from bilberryroute.transport import datagrams
from bilberryroute.transport import proposals
from tests.utils import batches
from tests.utils import environment

LOOPBACK = ("127.0.0.1", 0)
# The system refuses to send there without being asked for broadcasts.
BROADCAST = ("255.255.255.255", 9)
LISTED_ENDS = 500
ANSWER_S = 5.0


@pytest.fixture
def metrics():
    return metrics_lib.Metrics()


@pytest.fixture
async def open_socket(metrics):
    """Opens sockets that keep what they receive in `received`."""
    opened = []

    async def open_one():
        received = asyncio.Queue()
        socket = datagrams.DatagramSocket(
            lambda message, sender: received.put_nowait((message, sender)),
            metrics,
        )
        await socket.open(LOOPBACK)
        opened.append(socket)
        socket.received = received
        socket.address = socket._transport.get_extra_info("sockname")
        return socket

    yield open_one
    for socket in opened:
        socket.close()


@pytest.fixture
def parts(tmp_path, monkeypatch) -> parts_lib.ReplicaParts:
    env = environment.fake_environment()
    cfg = embedded.embedded_settings(str(tmp_path))
    parts = parts_lib.build(cfg, env.clock, env.rng, metrics_lib.Metrics())
    monkeypatch.setattr(parts.leadership, "active", lambda: True)
    return parts


@pytest.fixture
def log(parts):
    command_log = batches.Log()
    command_log.machine = parts.machine
    command_log.apply(batching.ApplyCatalog(catalog=batches.catalog(), at_ms=1))
    return command_log


def fill_worker(log, count):
    """Places a job of small tasks on one worker."""
    step = batches.step(count, need=batch.NO_RESOURCES)
    log.submit("0" * 16, batches.content(step))
    log.place(batches.unit("0" * 16, *[batches.ref()] * count))


def incompressible(size):
    return random.Random(size).randbytes(size)


def renewal(runs=0, checkpoint="", ends=0) -> wire.Renewal:
    tasks = [batches.task("0" * 16, index=index) for index in range(runs)]
    report = wire.WorkerReport(
        name="w1",
        born=1,
        pool="pool",
        failure_domain="apapa",
        rack="r1",
        labels=(),
        capacity=batches.task_need(),
        running=tuple(
            wire.RunReport(task=task, run=1, saved=checkpoint) for task in tasks
        ),
        ends=tuple(
            wire.EndReport(
                number=number,
                task=batches.task("1" * 16, index=number),
                run=1,
                outcome=batch.RunOutcome.DONE,
                saved=checkpoint,
            )
            for number in range(ends)
        ),
    )
    return wire.Renewal(
        agent="a-w1",
        incarnation="i1",
        failure_domain="apapa",
        sent_ms=1,
        term=0,
        desired_version=-1,
        revision=0,
        http="127.0.0.1:1",
        draining=False,
        endpoints=(),
        workers=(),
        tasks=(),
        batch=(report,),
    )


async def received(socket):
    async with asyncio.timeout(ANSWER_S):
        return (await socket.received.get())[0]


@pytest.mark.parametrize(
    "size", [1, datagrams.DATAGRAM_BYTES, datagrams.DATAGRAM_BYTES + 1, 500_000]
)
async def test_message_of_any_size_arrives(open_socket, size):
    sender, receiver = await open_socket(), await open_socket()
    message = incompressible(size - 1)
    assert sender.send(b"\x80" + message, receiver.address)
    assert await received(receiver) == b"\x80" + message


@pytest.mark.parametrize("runs", [400, room.MAX_RUNS_PER_WORKER])
async def test_agent_of_a_worker_with_many_runs_is_granted_its_lease(
    parts, log, open_socket, runs
):
    """The answer to its renewal lists all of them."""
    fill_worker(log, runs)
    service = lease_lib.LeaseService(parts)
    await service._socket.open(LOOPBACK)
    agent = await open_socket()
    address = service._socket._transport.get_extra_info("sockname")
    assert agent.send(codec.encode(renewal()), address)
    grant = codec.Decoder(wire.Grant).decode(await received(agent))
    service._socket.close()
    assert grant.lease_ms > 0
    assert len(grant.desired.runs) == runs


async def test_leader_reads_the_renewal_of_a_worker_with_many_runs(
    parts, open_socket
):
    service = lease_lib.LeaseService(parts)
    await service._socket.open(LOOPBACK)
    agent = await open_socket()
    address = service._socket._transport.get_extra_info("sockname")
    whole = renewal(room.MAX_RUNS_PER_WORKER, "0" * 64, LISTED_ENDS)
    assert agent.send(codec.encode(whole), address)
    await received(agent)
    service._socket.close()
    assert parts.board.agents.get()["a-w1"].renewal == whole


class Refusing:
    """Socket that takes messages up to a size."""

    def __init__(self, size):
        self._size = size
        self.sent = []

    def send(self, message, address):
        del address
        fits = len(message) <= self._size
        if fits:
            self.sent.append(message)
        return fits


def test_agent_keeps_its_lease_if_its_desired_state_is_too_large(parts, log):
    fill_worker(log, 400)
    service = lease_lib.LeaseService(parts)
    service._socket = Refusing(10_000)
    service.on_datagram(codec.encode(renewal()), LOOPBACK)
    (message,) = service._socket.sent
    grant = codec.Decoder(wire.Grant).decode(message)
    assert grant.lease_ms > 0
    assert grant.desired is None


def test_renewal_that_is_too_large_goes_without_checkpoints_and_some_ends():
    whole = renewal(400, "0" * 10_000, LISTED_ENDS)
    (report,) = renewal_lib._shortened(whole).batch
    assert len(report.running) == 400
    assert {run.saved for run in report.running} == {""}
    assert len(report.ends) == renewal_lib.SHORT_ENDS


def too_large():
    return incompressible(datagrams.MAX_PARTS * datagrams.DATAGRAM_BYTES)


async def test_message_beyond_the_limit_is_logged_and_counted(
    open_socket, metrics, caplog
):
    sender = await open_socket()
    assert not sender.send(too_large(), sender.address)
    assert "message not sent" in caplog.text
    assert 'reason="datagram_too_large"} 1' in metrics.render()[0].decode()


async def test_datagram_that_the_system_refuses_is_logged_and_counted(
    open_socket, metrics, caplog
):
    sender = await open_socket()
    sender.send(b"\x80", BROADCAST)
    await asyncio.sleep(0.05)
    assert "datagram not sent" in caplog.text
    assert 'reason="datagram_not_sent"} 1' in metrics.render()[0].decode()


async def test_send_on_a_closed_socket_is_logged_and_counted(
    open_socket, metrics, caplog
):
    caplog.set_level("INFO")
    sender = await open_socket()
    sender.close()
    assert not sender.send(b"\x80", LOOPBACK)
    assert "datagram not sent" in caplog.text
    assert 'reason="datagram_socket_closed"} 1' in metrics.render()[0].decode()


@pytest.mark.parametrize(
    "datagram",
    [
        b"\xc1",
        b"\xc1" + bytes(12),
        b"\xc1" + bytes(13),
        b"\xc1" + datagrams._HEADER.pack(1, 0, 1) + b"not compressed",
        b"\xc1" + datagrams._HEADER.pack(1, 3, 2) + b"x",
    ],
)
async def test_malformed_part_is_dropped_and_counted(
    open_socket, metrics, datagram
):
    receiver = await open_socket()
    receiver.datagram_received(datagram, LOOPBACK)
    assert receiver.received.empty()
    assert 'reason="malformed_datagram"} 1' in metrics.render()[0].decode()


def test_lost_part_costs_one_message_only():
    assembler = datagrams.Assembler()
    message = incompressible(100_000)
    first, _ = datagrams.split(message, 1)
    assert assembler.add(first, LOOPBACK) is None
    later = [
        assembler.add(part, LOOPBACK) for part in datagrams.split(message, 2)
    ]
    assert later == [None, message]


def test_parts_of_several_senders_do_not_mix():
    assembler = datagrams.Assembler()
    texts = {
        ("127.0.0.1", port): incompressible(100_000 + port) for port in (1, 2)
    }
    streams = {
        sender: datagrams.split(text, 7) for sender, text in texts.items()
    }
    for sender, stream in streams.items():
        assert assembler.add(stream[1], sender) is None
    for sender, stream in streams.items():
        assert assembler.add(stream[0], sender) == texts[sender]


def test_incomplete_messages_of_many_senders_are_bounded():
    assembler = datagrams.Assembler()
    part = datagrams.split(incompressible(100_000), 1)[0]
    for port in range(1_000):
        assembler.add(part, ("127.0.0.1", port))
    held = sum(each.size for each in assembler._incomplete.values())
    assert held <= datagrams.MAX_HELD_BYTES


def test_message_does_not_unpack_beyond_its_limit():
    bomb = datagrams.zlib.compress(bytes(datagrams.MAX_MESSAGE_BYTES + 1))
    with pytest.raises(errors.MalformedInput):
        datagrams._unpack(bomb)


@pytest.mark.parametrize(
    "options", [connections._CHANNEL_OPTIONS, replica_service._SERVER_OPTIONS]
)
def test_largest_job_may_be_proposed(options):
    """A body of 256 KB holds about so many steps."""
    content = batches.content(*[batches.step()] * 20_000)
    command = batching.SubmitBatch(
        address=batches.address(), content=content, keep_ms=1, at_ms=1
    )
    size = len(proposals.COMMANDS.encode(command))
    assert size < dict(options)["grpc.max_receive_message_length"]
    assert size < fragments.ASSEMBLED_BYTES


def test_message_to_a_replica_that_lags_is_counted(metrics):
    peer = peers.Peer(
        own_address="127.0.0.1:1",
        address="127.0.0.1:2",
        clock=environment.fake_environment().clock,
        rng=random.Random(1),
        metrics=metrics,
    )
    envelope = messages.Envelope(
        group="g",
        sender=records.identity("r1", "1"),
        receiver=records.identity("r2", "2"),
        body=messages.StandNow(term=1),
    )
    for _ in range(peers.QUEUE_MESSAGES + 3):
        peer.send(envelope)
    assert 'reason="peer_queue_full"} 3' in metrics.render()[0].decode()


def test_renewal_without_changes_stays_one_plain_datagram():
    message = codec.encode(dataclasses.replace(renewal(10), draining=True))
    assert datagrams.split(message, 1) == [message]
