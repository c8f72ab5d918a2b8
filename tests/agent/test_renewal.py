import asyncio
import random

import pytest

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import lease_keeper
from bilberryroute.agent import renewal
from bilberryroute.model import wire
from tests.utils import environment
from tests.utils import leader as leader_lib

EPOCH = 1 << 50


@pytest.fixture
def keeper() -> lease_keeper.LeaseKeeper:
    return lease_keeper.LeaseKeeper(
        EPOCH, board_lib.new_board().desired.get(), keep_ms=4_400
    )


def test_lease_counts_from_the_sending_of_the_renewal(keeper):
    echo_ms = keeper.record_renewal(1_000)
    verdict = keeper.accept(leader_lib.grant(echo_ms, lease_ms=2_200))
    assert verdict.lease.expires == 3_200
    assert verdict.lease.left(3_199) == 1
    assert verdict.lease.left(3_200) == 0


def test_grant_that_arrives_out_of_order_does_not_shorten_the_lease(keeper):
    first = keeper.record_renewal(1_000)
    second = keeper.record_renewal(1_700)
    keeper.accept(leader_lib.grant(second))
    verdict = keeper.accept(leader_lib.grant(first))
    assert verdict.lease.expires == 3_900


def test_grant_of_a_lower_term_is_dropped(keeper):
    keeper.accept(leader_lib.grant(keeper.record_renewal(0), term=5))
    verdict = keeper.accept(
        leader_lib.grant(keeper.record_renewal(700), term=4)
    )
    assert verdict == lease_keeper.Dropped(
        reason=lease_keeper.DropReason.LOWER_TERM
    )
    assert keeper.lease.expires == 2_200


def test_echo_of_an_earlier_incarnation_grants_nothing(keeper):
    earlier = lease_keeper.LeaseKeeper(
        EPOCH + random.Random(1).getrandbits(50), keeper.desired, keep_ms=4_400
    )
    keeper.record_renewal(1_000)
    verdict = keeper.accept(leader_lib.grant(earlier.record_renewal(1_000)))
    assert verdict == lease_keeper.Dropped(
        reason=lease_keeper.DropReason.UNKNOWN_ECHO
    )
    assert keeper.lease.expires == 0


def test_echo_of_an_expired_renewal_grants_nothing(keeper):
    old = keeper.record_renewal(0)
    keeper.record_renewal(10_000)
    verdict = keeper.accept(leader_lib.grant(old))
    assert verdict == lease_keeper.Dropped(
        reason=lease_keeper.DropReason.UNKNOWN_ECHO
    )


def test_push_before_the_first_own_grant_is_dropped(keeper):
    push = leader_lib.grant(0, desired=leader_lib.desired_state(7))
    verdict = keeper.accept(push)
    assert verdict == lease_keeper.Dropped(
        reason=lease_keeper.DropReason.PUSH_BEFORE_RENEWAL
    )
    assert keeper.desired.version == 0


def test_push_renews_nothing(keeper):
    keeper.accept(leader_lib.grant(keeper.record_renewal(0)))
    desired = leader_lib.desired_state(7)
    push = leader_lib.grant(0, lease_ms=9_000, desired=desired)
    assert keeper.accept(push) == lease_keeper.Pushed(desired=desired)
    assert keeper.lease.expires == 2_200


def test_lease_for_a_worker_ends_although_renewals_without_it_are_granted(
    keeper,
):
    """The leader counts from the last renewal that reported the worker."""
    for now, names in ((0, {"w1", "w2"}), (700, {"w2"}), (1_400, {"w2"})):
        sent = keeper.record_renewal(now, frozenset(names))
        keeper.accept(leader_lib.grant(sent))
    assert keeper.lease.left_for("w1", 2_199) == 1
    assert keeper.lease.left_for("w1", 2_200) == 0
    assert keeper.lease.left_for("w2", 2_200) == 1_400
    assert keeper.lease.left_for("w3", 0) == 0
    keeper.accept(leader_lib.grant(keeper.record_renewal(2_300)))
    assert set(keeper.lease.workers) == {"w2"}


def test_grant_covers_the_workers_of_the_renewal_it_answers(keeper):
    first = keeper.record_renewal(0, frozenset())
    second = keeper.record_renewal(10, frozenset({"w1"}))
    verdict = keeper.accept(leader_lib.grant(second))
    assert verdict.covered == {"w1"}
    late = keeper.accept(leader_lib.grant(first))
    assert late.covered == {"w1"}


def test_older_version_is_ignored(keeper):
    newer = leader_lib.desired_state(8)
    keeper.accept(leader_lib.grant(keeper.record_renewal(0), desired=newer))
    older = leader_lib.desired_state(7)
    verdict = keeper.accept(
        leader_lib.grant(keeper.record_renewal(1), desired=older)
    )
    assert verdict.desired is None
    assert keeper.desired == newer


def test_revision_never_goes_back_even_in_a_higher_term(keeper):
    newer = leader_lib.desired_state(8, revision=500)
    keeper.accept(leader_lib.grant(keeper.record_renewal(0), desired=newer))
    older = leader_lib.desired_state(9, revision=499)
    verdict = keeper.accept(
        leader_lib.grant(keeper.record_renewal(700), term=2, desired=older)
    )
    assert verdict == lease_keeper.Dropped(
        reason=lease_keeper.DropReason.LOWER_REVISION
    )
    assert keeper.desired == newer
    assert keeper.lease.expires == 2_200


def test_grants_in_any_order_never_lower_term_revision_or_expiry():
    rng = random.Random(4)
    for _ in range(200):
        keeper = lease_keeper.LeaseKeeper(
            EPOCH, board_lib.new_board().desired.get(), keep_ms=100_000
        )
        grants = [
            leader_lib.grant(
                rng.choice((0, keeper.record_renewal(number))),
                term=number // 7,
                desired=leader_lib.desired_state(number, revision=number // 3),
            )
            for number in range(30)
        ]
        rng.shuffle(grants)
        previous = (0, 0, 0)
        for grant in grants:
            keeper.accept(grant)
            present = (
                keeper.term,
                keeper.desired.revision,
                keeper.lease.expires,
            )
            assert all(a >= b for a, b in zip(present, previous, strict=True))
            previous = present


@pytest.fixture
async def leaders():
    group = [leader_lib.StandInLeader(f"r{number}") for number in (1, 2)]
    for leader in group:
        await leader.open()
    yield group
    for leader in group:
        leader.close()


@pytest.fixture
async def service(leaders):
    cfg = settings.Settings(
        host="a1",
        failure_domain="apapa",
        roles=(settings.ProcessRole.AGENT,),
        listen=settings.Listen(datagram="127.0.0.1:0"),
        replicas=tuple(
            settings.ReplicaAddress(
                id=leader.leader_id, grpc="", datagram=leader.address
            )
            for leader in leaders
        ),
        timing=settings.Timing(renewal_ms=150),
    )
    env = environment.fake_environment(clock=clock_lib.SystemClock())
    identity = renewal.AgentIdentity(
        agent="a1", incarnation="i1", failure_domain="apapa"
    )
    service = renewal.RenewalService(
        cfg, env, board_lib.new_board(), identity, metrics_lib.Metrics()
    )
    yield service
    await service.stop()


async def test_lease_and_desired_state_reach_the_board(leaders, service):
    await service.start()
    await leaders[0].until(lambda r: r.desired_version == 1)
    assert service.board.lease.get().left(clock_lib.SystemClock().now())
    assert service.board.desired.get() == leaders[0].desired
    assert list(service.board.services.get()) == ["gang-alloc"]


async def test_push_is_confirmed_at_once(leaders, service):
    await service.start()
    await leaders[0].until(lambda r: r.desired_version == 1)
    leaders[0].push(leader_lib.desired_state(2))
    await leaders[0].until(lambda r: r.desired_version == 2)


async def test_next_replica_is_tried_when_the_leader_is_silent(
    leaders, service
):
    leaders[0].silent = True
    await service.start()
    await leaders[1].until(lambda r: r.term == 1)


async def test_redirection_is_followed(leaders, service):
    leaders[0].lease_ms = 0
    leaders[0].leader_id = "r2"
    await service.start()
    await leaders[1].until(lambda r: r.term == 1)


async def test_local_change_is_reported_at_once(leaders, service):
    await service.start()
    await leaders[0].until(lambda r: r.desired_version == 1)
    report = wire.EndpointReport(
        name="e1", service="gang-alloc", slots=8, in_flight=0
    )
    service.board.endpoints.set({"e1": report})
    await leaders[0].until(lambda r: r.endpoints == (report,))


async def test_load_alone_is_not_reported_at_once(leaders, service):
    await service.start()
    await leaders[0].until(lambda r: r.desired_version == 1)
    sent = service.sent
    for number in range(20):
        report = wire.EndpointReport(
            name="e1", service="gang-alloc", slots=8, in_flight=number
        )
        service.board.endpoints.set({"e1": report})
        await asyncio.sleep(0)
    await leaders[0].until(lambda r: r.endpoints and r.desired_version == 1)
    assert service.sent - sent <= 3


async def test_malformed_datagram_is_counted(leaders, service):
    await service.start()
    service.receive(b"\xc1")
    reason = {"reason": lease_keeper.DropReason.MALFORMED}
    assert service._metrics.drops.get(reason) == 1
