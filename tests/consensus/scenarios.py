"""Schedules written by hand, for what random ones meet too seldom."""

import random

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import records
from tests.consensus import simulation as simulation_lib

require = simulation_lib.require


def _quiet_group(size: int = 3) -> simulation_lib.Simulation:
    simulation = simulation_lib.Simulation(seed=0, size=size, spares=0)
    simulation.loss = simulation.duplicates = 0
    simulation.slowness = simulation.sync_ms = 5
    simulation.run_until(2_000)
    require(simulation.leader() is not None, "no leader")
    return simulation


def _cut_both(simulation, name: str, others: list[str]) -> None:
    simulation.cuts |= {(name, other) for other in others}
    simulation.cuts |= {(other, name) for other in others}


def _followers(simulation) -> list[simulation_lib.Node]:
    leader = simulation.leader()
    return [n for n in simulation.nodes.values() if n is not leader]


def silent_link() -> None:
    """One follower that cannot hear the leader does not unseat it."""
    simulation = _quiet_group()
    leader, term = simulation.leader(), simulation.leader().core.term
    _cut_both(simulation, _followers(simulation)[0].name, [leader.name])
    simulation.run_until(simulation.now + 5_000)
    require(simulation.leader() is leader, "the leader was unseated")
    require(leader.core.term == term, "the term was raised")


def restart_under_lease(down_ms: int = 0, *, early_lock: bool = False) -> None:
    """A follower that restarts does not vote within the leader's lease."""
    simulation = _quiet_group()
    leader = simulation.leader()
    cut, bounced = _followers(simulation)
    _cut_both(simulation, cut.name, [leader.name])
    simulation.run_until(simulation.now + 2_000)
    _cut_both(simulation, leader.name, [bounced.name])
    simulation.early_lock = early_lock
    simulation.crash(bounced)
    simulation.run_until(simulation.now + down_ms)
    simulation.boot(bounced)
    simulation.run_until(simulation.now + 3_000)
    require(simulation.leader() is not leader, "the lease did not end")


def restart_beside_a_leader() -> None:
    """A follower that restarts beside its leader elects nobody else."""
    for offset_ms in range(0, 300, 25):
        simulation = _quiet_group()
        leader, term = simulation.leader(), simulation.leader().core.term
        cut, bounced = _followers(simulation)
        _cut_both(simulation, cut.name, [leader.name])
        simulation.run_until(simulation.now + 2_000 + offset_ms)
        simulation.crash(bounced)
        simulation.boot(bounced)
        simulation.run_until(simulation.now + 2_000)
        require(simulation.leader() is leader, "the leader was unseated")
        require(leader.core.term == term, "the term was raised")


def answers_to_an_earlier_life() -> None:
    """Answers that were late for a restart of all end no later silence."""
    simulation = _quiet_group()
    late: list[messages.Envelope] = []
    send = simulation._send

    def listen(envelope: messages.Envelope) -> None:
        if isinstance(envelope.body, messages.LeaseReply):
            late.append(envelope)
        send(envelope)

    simulation._send = listen
    _restart_all(simulation)
    simulation.run_until(simulation.now + 2_000)
    require(bool(late), "nobody answered")
    simulation._send = send
    leader = simulation.leader()
    cut, bounced = _followers(simulation)
    _cut_both(simulation, cut.name, [leader.name])
    simulation.run_until(simulation.now + 2_000)
    _cut_both(simulation, leader.name, [bounced.name])
    simulation.crash(bounced)
    simulation.boot(bounced)
    simulation.cuts -= {(leader.name, bounced.name)}
    for envelope in late:
        if envelope.receiver == bounced.disk.id:
            simulation._deliver(envelope)
    simulation.cuts.add((leader.name, bounced.name))
    simulation.run_until(simulation.now + 3_000)


def restart_of_all(size: int = 3, last_ms: int = 0) -> None:
    """After a loss of all power nobody waits for a lease of before.

    Args:
      size: Number of voters.
      last_ms: How long the last one takes to come back.
    """
    simulation = _quiet_group(size)
    _restart_all(simulation, last_ms)
    simulation.run_until(simulation.now + 300)
    require(simulation.leader() is not None, "no leader")


def _restart_all(simulation, last_ms: int = 0) -> None:
    """Restarts all replicas, the last one after a while."""
    nodes = list(simulation.nodes.values())
    for node in nodes:
        simulation.crash(node)
    for node in nodes[:-1]:
        simulation.boot(node)
    simulation.run_until(simulation.now + last_ms)
    simulation.boot(nodes[-1])


def isolated_follower_returns() -> None:
    """A follower that was cut off for long does not disturb on return."""
    simulation = _quiet_group()
    leader, term = simulation.leader(), simulation.leader().core.term
    follower, other = _followers(simulation)
    _cut_both(simulation, follower.name, [leader.name, other.name])
    simulation.run_until(simulation.now + 20_000)
    simulation.cuts.clear()
    simulation.run_until(simulation.now + 2_000)
    require(simulation.leader() is leader, "the leader was unseated")
    require(leader.core.term == term, "the term was raised")


def hand_over_is_quick() -> None:
    """A leader that hands over and ends is followed without a timeout."""
    simulation = _quiet_group()
    leader = simulation.leader()
    simulation.hand_over(leader)
    simulation.run_until(simulation.now + 1)
    require(leader.core.role is messages.Role.FOLLOWER, "it leads on")
    simulation.crash(leader)
    simulation.run_until(simulation.now + 100)
    successor = simulation.leader()
    require(successor not in (None, leader), "nobody took over")


def hand_over_waits_for_a_whole_log() -> None:
    """A voter that lacks entries is not asked to lead."""
    simulation = _quiet_group()
    leader = simulation.leader()
    behind, whole = sorted(_followers(simulation), key=lambda n: n.disk.id)
    _cut_both(simulation, behind.name, [leader.name])
    simulation.propose(leader)
    simulation.run_until(simulation.now + 100)
    simulation.hand_over(leader)
    simulation.run_until(simulation.now + 100)
    require(simulation.leader() is whole, "the wrong one took over")


def isolated_leader_steps_down() -> None:
    """A leader that hears no majority knows by itself that it leads no more."""
    simulation = _quiet_group()
    leader = simulation.leader()
    others = [n.name for n in _followers(simulation)]
    _cut_both(simulation, leader.name, others)
    simulation.run_until(simulation.now + 1_500)
    role = leader.core.role
    require(role is not messages.Role.LEADER, "it leads without a majority")


def lost_disks_while_all_are_dark(size: int = 5, lost: int = 2) -> None:
    """Disks are lost right after an entry was accepted, and all lose power."""
    simulation = _quiet_group(size)
    leader = simulation.leader()
    simulation.propose(leader)
    accepted = leader.core.log.last_index
    while simulation.observer.last_committed < accepted:
        simulation.run_until(simulation.now + 1)
    # Of those that hold the entry, as many as possible lose their disks.
    nodes = sorted(simulation.nodes.values(), key=lambda n: -_stored(n))
    for node in nodes:
        simulation.crash(node)
    for node in nodes[:lost]:
        simulation.lose_disk(node)
    for node in nodes:
        simulation.boot(node)
    simulation.run_until(simulation.now + 5_000)
    require(simulation.leader() is not None, "no leader")
    held = simulation.leader().core.log.last_index
    require(held >= accepted, "what was accepted is gone")


def _stored(node: simulation_lib.Node) -> int:
    """Returns the last index on a replica's disk."""
    entries = node.disk.entries
    return entries[-1].index if entries else node.disk.snapshot.index


def _new_leader() -> core_lib.Core:
    """Returns a leader of term 3 with an uncommitted entry of term 2."""
    members = [
        records.Member(
            id=name,
            address=settings.ReplicaAddress(id=name, grpc="", datagram=""),
        )
        for name in ("a", "b", "c", "d", "e")
    ]
    payload = records.encode_membership(
        records.Membership(members=tuple(members))
    )
    membership = records.EntryKind.MEMBERSHIP
    entries = [
        records.Entry(index=1, term=1, kind=membership, payload=payload),
        records.Entry(index=2, term=2, payload=b"old"),
    ]
    core = core_lib.Core(
        identity="a",
        timing=settings.Timing(),
        log=memory_log.MemoryLog(entries=entries),
        hard_state=records.HardState(term=2, vote="a", group="g"),
        rng=random.Random(0),
        now=0,
    )
    heartbeat = messages.AppendRequest(
        term=2, prev_index=2, prev_term=2, entries=(), commit=1, sent_ms=0
    )
    core.step(_to_a("b", heartbeat), 0)
    core.tick(core.deadline_ms)
    for pre, term in ((True, 3), (False, 3)):
        vote = messages.VoteReply(term=term, pre=pre, granted=True)
        for sender in ("b", "c"):
            core.step(_to_a(sender, vote), 5_000)
        core.synced(core.journal.written, 5_000)
    require(core.role is messages.Role.LEADER, "no leader")
    return core


def _to_a(sender: str, body: messages.Message) -> messages.Envelope:
    return messages.Envelope(group="g", sender=sender, receiver="a", body=body)


def _acknowledge(core: core_lib.Core, index: int) -> None:
    reply = messages.AppendReply(
        term=3, success=True, match_index=index, hint_index=0, sent_ms=5_000
    )
    for sender in ("b", "c"):
        core.step(_to_a(sender, reply), 5_000)


def older_term_is_not_counted() -> None:
    """An older term's entry on a majority may yet be overwritten."""
    core = _new_leader()
    _acknowledge(core, 2)
    require(core.commit_index == 1, "committed an older term by counting")
    _acknowledge(core, 3)
    require(core.commit_index == 3, "the own term's entry commits all before")


def change_waits_for_own_term() -> None:
    """A new leader may not know of a change that its predecessor committed."""
    core = _new_leader()
    _acknowledge(core, 2)
    smaller = core.membership.without("e")
    try:
        core.change_membership(smaller, 5_000)
    except errors.Unavailable:
        _acknowledge(core, 3)
        core.change_membership(smaller, 5_000)
        return
    raise simulation_lib.Violation("changed before an own entry committed")


def stale_leader_is_told_of_the_term() -> None:
    """A leader that sends a snapshot learns that its term is over."""
    core = _new_leader()
    chunk = messages.SnapshotChunk(
        term=2,
        index=2,
        snapshot_term=2,
        membership=core.membership,
        offset=0,
        payload=b"",
        done=True,
        sent_ms=0,
    )
    replies = [
        output.envelope.body
        for output in core.step(_to_a("b", chunk), 5_000)
        if isinstance(output, messages.Send)
    ]
    require([r.term for r in replies] == [3], "it was not told")
