"""What ends the silence of a restarted replica early, and what doesn't."""

import random

import pytest

from bilberryroute import settings
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers
from bilberryroute.consensus import records
from bilberryroute.transport import codec

TIMING = settings.Timing()
NOW_MS = 50_000
SOON_MS = NOW_MS + 20
# Voters and learners beside the replica under test, which is "a".
OTHERS = ("b", "c", "d")


def restarted(
    others: tuple[str, ...] = OTHERS, *, vote: str = "b"
) -> core_lib.Core:
    """Returns a restarted replica; of the members, the last is a learner."""
    members = tuple(
        records.Member(
            id=name,
            address=settings.ReplicaAddress(id=name, grpc="", datagram=""),
            voter=name != "d",
        )
        for name in ("a", *others)
    )
    entry = records.Entry(
        index=1,
        term=1,
        kind=records.EntryKind.MEMBERSHIP,
        payload=records.encode_membership(records.Membership(members=members)),
    )
    return core_lib.Core(
        identity="a",
        timing=TIMING,
        log=memory_log.MemoryLog(entries=[entry]),
        hard_state=records.HardState(term=2, vote=vote, group="g"),
        rng=random.Random(0),
        now=NOW_MS,
    )


def sent(outputs: list[messages.Output]) -> list[tuple[str, messages.Message]]:
    """Returns receivers and messages."""
    return [
        (output.envelope.receiver, output.envelope.body)
        for output in outputs
        if isinstance(output, messages.Send)
    ]


def questions(outputs: list[messages.Output]) -> dict[str, int]:
    """Returns the number of the life in each question, by receiver."""
    return {
        receiver: body.life
        for receiver, body in sent(outputs)
        if isinstance(body, messages.LeaseRequest)
    }


def tell(
    core: core_lib.Core, sender: str, body: messages.Message, now: int = SOON_MS
) -> list[messages.Output]:
    """Hands a message to the replica."""
    envelope = messages.Envelope(
        group="g", sender=sender, receiver="a", body=body
    )
    return core.step(envelope, now)


def denial(life: int, *known: str) -> messages.LeaseReply:
    """Returns the answer of a replica that does not lead."""
    return messages.LeaseReply(life=life, leads=False, known=known)


def grants(core: core_lib.Core, now: int = SOON_MS) -> bool:
    """Returns whether the replica grants a pre-vote."""
    request = messages.VoteRequest(term=3, pre=True, last_index=1, last_term=1)
    replies = sent(tell(core, "b", request, now))
    return any(body.granted for _, body in replies)


def test_replica_votes_once_all_have_denied_that_they_lead():
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    assert set(lives) == set(OTHERS)
    for name in OTHERS:
        assert not grants(core)
        tell(core, name, denial(lives[name]))
    assert grants(core)
    assert core.deadline_ms < NOW_MS + TIMING.election_ms


@pytest.mark.parametrize("silent", OTHERS)
def test_whole_silence_is_kept_if_one_does_not_answer(silent):
    """A learner may have been promoted, and lead."""
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    for name in set(OTHERS) - {silent}:
        tell(core, name, denial(lives[name]))
    assert not grants(core, NOW_MS + TIMING.election_ms - 1)
    assert core.role is messages.Role.FOLLOWER
    assert grants(core, NOW_MS + TIMING.election_ms)


@pytest.mark.parametrize("leader", OTHERS)
def test_whole_silence_is_kept_if_one_leads(leader):
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    for name in OTHERS:
        reply = messages.LeaseReply(
            life=lives[name], leads=name == leader, known=()
        )
        tell(core, name, reply)
    assert not grants(core, NOW_MS + TIMING.election_ms - 1)


def test_answers_to_an_earlier_life_count_for_nothing():
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    for name in OTHERS:
        tell(core, name, denial(lives[name] + 1))
    assert not grants(core)


def test_whom_the_answers_name_must_answer_too():
    """The log of a replica that lagged may lack the leader's admission."""
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    for name in OTHERS:
        tell(core, name, denial(lives[name], "a", "b", "e"))
    assert not grants(core)
    core.tick(core.deadline_ms)
    life = questions(core.tick(NOW_MS + TIMING.raft_heartbeat_ms))
    later = core.tick(NOW_MS + 2 * TIMING.raft_heartbeat_ms)
    assert life == {} and set(questions(later)) == {"e"}
    tell(core, "e", denial(lives["b"]))
    assert grants(core)


def test_removed_candidate_that_got_the_vote_must_answer_too():
    core = restarted(vote="x")
    lives = questions(core.tick(NOW_MS))
    assert set(lives) == {*OTHERS, "x"}
    for name in OTHERS:
        tell(core, name, denial(lives[name]))
    assert not grants(core)


def test_replica_that_knows_no_member_keeps_the_whole_silence():
    """A founder may lead it although it has not got any entry yet."""
    core = core_lib.Core(
        identity="a",
        timing=TIMING,
        log=memory_log.MemoryLog(),
        hard_state=records.HardState(term=2, vote="", group="g"),
        rng=random.Random(0),
        now=NOW_MS,
    )
    core.tick(NOW_MS)
    assert not grants(core, NOW_MS + TIMING.election_ms - 1)


def test_leader_heard_in_this_life_is_not_forgotten():
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    heartbeat = messages.AppendRequest(
        term=2, prev_index=1, prev_term=1, entries=(), commit=1, sent_ms=0
    )
    tell(core, "b", heartbeat)
    for name in OTHERS:
        tell(core, name, denial(lives[name]))
    assert not grants(core, SOON_MS + TIMING.election_ms - 1)


def test_request_for_a_vote_is_answered_when_the_silence_ends():
    """The candidate would have to ask again."""
    core = restarted()
    lives = questions(core.tick(NOW_MS))
    assert not grants(core)
    outputs = []
    for name in OTHERS:
        outputs += tell(core, name, denial(lives[name]))
    assert any(
        receiver == "b" and body.granted for receiver, body in sent(outputs)
    )


def test_replica_that_asks_is_asked_back_once():
    core = restarted()
    life = questions(core.tick(NOW_MS))["b"]
    request = messages.LeaseRequest(life=7)
    assert questions(tell(core, "b", request)) == {"b": life}
    assert questions(tell(core, "b", request)) == {}


def test_answer_names_all_that_may_lead():
    core = restarted(vote="x")
    [(receiver, reply), _] = sent(
        tell(core, "b", messages.LeaseRequest(life=7))
    )
    assert receiver == "b"
    assert reply == denial(7, "a", "b", "c", "d", "x")


async def test_group_that_lost_all_power_does_not_wait_for_leases(make_cluster):
    """The silence alone would outlast the fixture's patience."""
    cluster = await make_cluster(3)
    await (await cluster.leader()).propose(b"first")
    for name in list(cluster.groups):
        await cluster.stop_replica(name)
    cluster.timing = settings.Timing(election_ms=30_000)
    for address in cluster.addresses:
        await cluster.start_replica(address.id)
    leader = await cluster.leader()
    assert leader._applier.items == [b"first"]


def test_replicas_of_earlier_releases_read_a_message_that_asks_nothing():
    """They would end the stream at a kind that they don't know."""
    question = messages.Envelope(
        group="g",
        sender="b",
        receiver="a",
        body=messages.LeaseRequest(life=7),
    )
    wire = codec.Decoder(dict).decode(peers.encode(question, "address"))
    earlier = codec.Union(messages.StandNow).decode(wire["body"])
    assert sent(tell(restarted(), "b", earlier)) == []


@pytest.mark.parametrize(
    "body",
    [
        messages.LeaseRequest(life=2**63 - 1),
        denial(2**63 - 1, "a", "b"),
        messages.StandNow(term=3),
    ],
)
def test_messages_cross_the_wire(body):
    envelope = messages.Envelope(group="g", sender="b", receiver="a", body=body)
    batch = codec.encode([peers.encode(envelope, "address")])
    assert [r.envelope for r in peers.decode_batch(batch)] == [envelope]
