"""A failed call to the leader says whom it asked, and why nobody answered."""

import logging

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import batch as batch_lib
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import control as control_lib
from bilberryroute.model import batch
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import control
from bilberryroute.model import queries
from bilberryroute.model import wire
from bilberryroute.transport import codec
from bilberryroute.transport import control as methods
from tests.entry import test_control
from tests.utils import environment
from tests.utils import ports

CLOCK = clock_lib.SystemClock()
WITHIN_MS = clock_lib.Millis(1_500)
PATH = "/plan/5c0e7a21d94b36f8"
ADDRESS = catalog_model.Address(host="h.example", path=PATH, key="")


class Replica(test_control.FakeReplica):
    """A fake replica with one reply to all queries, if it leads.

    Attributes:
      reply: The reply.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.reply = control.Reply(
            payload=methods.ANSWERS.encode(
                queries.BatchView(
                    job_id="5c0e7a21d94b36f8", result=None, begun=True
                )
            )
        )

    async def _propose(self, payload, context):
        answer = await super()._propose(payload, context)
        return answer if self.leader_id else codec.encode(self.reply)


class Site:
    """Replicas and the client of an entry.

    Attributes:
      replicas: The replicas by id.
      metrics: The entry's metrics.
      client: The entry's client.
    """

    def __init__(self, replicas, unreachable=()):
        self.replicas = replicas
        self.metrics = metrics_lib.Metrics()
        addresses = {id: each.address for id, each in replicas.items()}
        addresses |= {id: ports.free_address() for id in unreachable}
        self.addresses = addresses
        cfg = settings.Settings(
            host="e1",
            failure_domain="apapa",
            roles=(settings.ProcessRole.ENTRY,),
            replicas=tuple(
                settings.ReplicaAddress(id=id, grpc=address, datagram="")
                for id, address in addresses.items()
            ),
        )
        env = environment.fake_environment(clock=CLOCK)
        self.control = control_lib.ControlClient(
            cfg, board_lib.new_board(), CLOCK, env.rng, self.metrics
        )
        self.client = batch_lib.BatchClient(
            self.control, cfg.timing, CLOCK, self.metrics
        )

    def rendered(self):
        return self.metrics.render()[0].decode()


@pytest.fixture
async def build():
    """Starts replicas and returns a site of them."""
    sites = []

    async def start(unreachable=(), **replicas):
        for replica in replicas.values():
            await replica.start()
        sites.append(Site(replicas, unreachable))
        return sites[-1]

    yield start
    for site in sites:
        await site.control.on_stop()
        for replica in site.replicas.values():
            await replica.stop()


@pytest.fixture
def lines(caplog):
    """The log lines of the entry's client of batch jobs."""
    caplog.set_level(logging.INFO, logger=batch_lib.__name__)
    return lambda: [r for r in caplog.records if r.name == batch_lib.__name__]


def tries_at(line, address):
    return [each for each in line.tries if each["address"] == address]


async def test_failed_look_up_names_the_silent_leader_and_who_named_it(
    build, lines
):
    site = await build(r1=Replica(silent=True), r2=Replica(leader_id="r1"))
    with pytest.raises(errors.Unavailable):
        await site.client.look_up(ADDRESS, WITHIN_MS)
    (line,) = lines()
    assert line.getMessage().startswith("LookUpBatch failed: ")
    assert line.path == PATH
    assert line.kind == "unavailable"
    assert line.took_ms >= WITHIN_MS
    assert line.watched_leader == ""
    assert line.leader_silent_ms is None
    (silent,) = tries_at(line, site.addresses["r1"])
    assert silent["failure"] == "silent"
    assert silent["times"] == 1
    assert silent["silent_ms"] is None
    assert silent["connection_age_ms"] >= control_lib.CALL_TIMEOUT_MS
    (follower,) = tries_at(line, site.addresses["r2"])
    assert follower["failure"] == "not_leader"
    assert follower["named"] == "r1"
    assert follower["times"] > 1
    assert follower["silent_ms"] < WITHIN_MS


async def test_failed_look_up_tells_unreached_from_silent(build, lines):
    site = await build(unreachable=("r1",))
    with pytest.raises(errors.Unavailable):
        await site.client.look_up(ADDRESS, clock_lib.Millis(300))
    (line,) = lines()
    (unreached,) = line.tries
    assert unreached["failure"] == "unreached"
    assert unreached["channel"] == "TRANSIENT_FAILURE"


async def test_failed_submission_says_the_same(build, lines):
    site = await build(r1=Replica(silent=True))
    content = batch.Content(payload="", steps=())
    with pytest.raises(errors.CommitUnknown):
        await site.client.submit(ADDRESS, content, clock_lib.Millis(300))
    (line,) = lines()
    assert line.getMessage().startswith("SubmitBatch failed: ")
    assert line.path == PATH
    assert [each["failure"] for each in line.tries] == ["silent"]


async def test_failed_look_up_says_which_replica_refused_it(build, lines):
    site = await build(r1=Replica())
    site.replicas["r1"].reply = control.Reply(
        error=control.ErrorReply(
            kind="gone",
            message="there is no such job",
            remedy="",
            leader_id="r1",
            retry_after_ms=None,
        )
    )
    with pytest.raises(errors.Gone):
        await site.client.look_up(ADDRESS, WITHIN_MS)
    (line,) = lines()
    assert line.getMessage() == "LookUpBatch refused: there is no such job"
    assert line.kind == "gone"
    assert [each["address"] for each in line.tries] == [site.addresses["r1"]]
    assert 'look_up_ms_count{outcome="gone"} 1' in site.rendered()
    assert "retries_total{" not in site.rendered()


async def test_look_up_of_an_unknown_queue_is_measured_and_not_logged(
    build, lines
):
    site = await build(r1=Replica())
    site.replicas["r1"].reply = control.Reply(
        error=control.ErrorReply(
            kind="not_found",
            message="no such queue",
            remedy="",
            leader_id="r1",
            retry_after_ms=None,
        )
    )
    with pytest.raises(errors.NotFound):
        await site.client.look_up(ADDRESS, WITHIN_MS)
    assert not lines()
    assert 'look_up_ms_count{outcome="not_found"} 1' in site.rendered()


async def test_line_says_how_long_the_watched_leader_was_silent(build, lines):
    leader = Replica(silent=True)
    leader.event = wire.WatchEvent(
        term=2, leader_id="r1", configuration=None, endpoints=None
    )
    leader.repeat_ms = 100
    site = await build(r1=leader)
    async with site.control:
        while not site.control._watched_leader:
            await site.control.sleep(0.01)
        with pytest.raises(errors.Unavailable):
            await site.client.look_up(ADDRESS, clock_lib.Millis(300))
    (line,) = lines()
    assert line.watched_leader == "r1"
    assert line.leader_silent_ms < WITHIN_MS


async def test_answered_look_up_is_measured_and_not_logged(build, lines):
    site = await build(r1=Replica(leader_id="r2"), r2=Replica())
    view = await site.client.look_up(ADDRESS, WITHIN_MS)
    assert view.begun
    assert not lines()
    assert 'look_up_ms_count{outcome="found"} 1' in site.rendered()
    assert 'retries_total{reason="call_not_leader"} 1' in site.rendered()
