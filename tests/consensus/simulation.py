"""Seeded simulation of a group of cores: network, disks, clocks and faults.

Time, faults, delays and losses are drawn from one random source, so a seed
is a schedule. `Violation` is raised at the step that breaks an invariant.
"""

import collections
import heapq
import itertools
import random
import zlib
from dataclasses import dataclass
from dataclasses import field

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import records

TIMING = settings.Timing(raft_heartbeat_ms=150)
SNAPSHOT_ENTRIES = 8
KEPT_ENTRIES = 2
MAX_DRIFT = 0.04


class Violation(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, text: str) -> None:
    """Raises `Violation` unless the invariant holds."""
    if not holds:
        raise Violation(text)


@dataclass(slots=True)
class Disk:
    """What survives a crash."""

    id: str
    hard_state: records.HardState = records.HardState()
    snapshot: records.Snapshot = records.Snapshot()
    entries: list[records.Entry] = field(default_factory=list)

    def write(self, write: messages.Write) -> None:
        """Applies one write, as replay of the stored log does."""
        if write.hard_state is not None:
            self.hard_state = write.hard_state
        if write.snapshot is not None:
            self.snapshot = write.snapshot
            self.entries = list(write.tail)
        for entry in write.entries:
            while self.entries and self.entries[-1].index >= entry.index:
                self.entries.pop()
            self.entries.append(entry)


class Node:
    """One replica: disk, clock, core and state machine."""

    def __init__(self, name: str, rng: random.Random):
        self.name = name
        self.disk = Disk(f"{name}#0")
        self.rate = 1 + rng.uniform(-MAX_DRIFT, MAX_DRIFT)
        self.offset = rng.randrange(100_000)
        self.core: core_lib.Core | None = None
        self.pending: list[messages.Write] = []
        self.held: list[messages.Send] = []
        self.synced = 0
        self.syncing = False
        self.epoch = 0
        self.incarnation = 0
        self.frozen_until = 0.0
        self.ended_at: float | None = None
        self.timer_at: float | None = None
        self.state = 0
        self.applied = 0

    def local(self, now: float) -> int:
        """Returns this replica's clock reading."""
        return int(self.offset + now * self.rate)

    def global_ms(self, local: int) -> float:
        """Returns when this replica's clock shows a reading."""
        return (local - self.offset) / self.rate


class Observer:
    """Sees everything at once and holds the invariants."""

    def __init__(self):
        self.committed: dict[int, records.Entry] = {}
        self.commit_terms: dict[int, int] = {}
        self.states: dict[int, int] = {}
        self.leaders: dict[int, str] = {}
        self.votes: dict[tuple[str, int], str] = {}
        self.last_committed = 0

    def on_leader(self, node: Node) -> None:
        """One leader a term, and it holds everything committed."""
        core = node.core
        first = self.leaders.setdefault(core.term, core.id)
        require(first == core.id, f"two leaders in term {core.term}")
        before = (i for i, t in self.commit_terms.items() if t < core.term)
        entry = self.committed.get(max(before, default=0))
        if entry is not None:
            held = core.log.term_at(entry.index)
            require(held == entry.term, f"leader lacks committed {entry}")

    def on_commit(self, entry: records.Entry, term: int) -> None:
        """Committed entries never change."""
        first = self.committed.setdefault(entry.index, entry)
        require(first == entry, f"{first} was committed, now {entry}")
        self.commit_terms.setdefault(entry.index, term)
        self.last_committed = max(self.last_committed, entry.index)

    def on_state(self, index: int, state: int) -> None:
        """States after the same entry are equal."""
        first = self.states.setdefault(index, state)
        require(first == state, f"states differ after entry {index}")

    def on_send(self, envelope: messages.Envelope) -> None:
        """A data folder votes once in a term."""
        match envelope.body:
            case messages.VoteReply(pre=False, granted=True, term=term):
                candidate = envelope.receiver
            case messages.VoteRequest(pre=False, term=term):
                candidate = envelope.sender
            case _:
                return
        first = self.votes.setdefault((envelope.sender, term), candidate)
        require(first == candidate, f"{envelope.sender} voted twice in {term}")


class Simulation:
    """A group under one schedule.

    Attributes:
      log: What happened, for the report of a failure.
      early_lock: Whether a replica that starts has locked its data folder as
        soon as its predecessor ended.
    """

    early_lock = False
    amnesia = False  # Whether a lost disk comes back under its old identity.

    def __init__(self, seed: int, size: int = 3, spares: int = 1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.observer = Observer()
        self.events: list[tuple[float, int, object]] = []
        self.log: collections.deque[str] = collections.deque(maxlen=60)
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.rng.choice((0, 0, 0.02, 0.1, 0.3))
        self.duplicates = self.rng.choice((0, 0, 0.05, 0.2))
        self.slowness = self.rng.choice((5, 5, 30, 150))
        self.sync_ms = self.rng.choice((1, 5, 50))
        self.proposed = 0
        self._order = itertools.count()
        names = [f"n{i}" for i in range(size + spares)]
        self.nodes = {name: Node(name, self.rng) for name in names}
        for node in self.nodes.values():
            self.boot(node)
        self._found([self.nodes[name] for name in names[:size]])

    # Running.

    def at(self, delay: float, action) -> None:
        """Has something happen after a delay in milliseconds."""
        due = (self.now + delay, next(self._order), action)
        heapq.heappush(self.events, due)

    def run_until(self, end: float) -> None:
        """Runs all that happens up to a time, checking after each step."""
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
            self.check_leases()
        self.now = end

    def check_leases(self) -> None:
        """At most one replica believes that it may answer as leader."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.core and node.core.role is messages.Role.LEADER
        ]
        if len(leaders) > 1:
            holders = [n.name for n in leaders if self.holds_lease(n)]
            require(len(holders) <= 1, f"leases overlap: {holders}")

    def live(self) -> list[Node]:
        """Returns the replicas that are not down."""
        return [n for n in self.nodes.values() if n.core is not None]

    def holds_lease(self, node: Node) -> bool:
        """Returns whether a replica would answer as leader now."""
        return node.core.lease_holds(node.local(self.now))

    def leader(self) -> Node | None:
        """Returns the replica that may answer, if there is one."""
        return next((n for n in self.live() if self.holds_lease(n)), None)

    # One replica.

    def boot(self, node: Node) -> None:
        """Starts a replica from its disk."""
        disk = node.disk
        log = memory_log.MemoryLog(disk.snapshot, list(disk.entries))
        node.state = int(disk.snapshot.payload or b"0")
        node.applied = disk.snapshot.index
        node.pending, node.held = [], []
        node.synced, node.syncing = 0, False
        node.timer_at = None
        node.core = core_lib.Core(
            identity=disk.id,
            timing=TIMING,
            log=log,
            hard_state=disk.hard_state,
            rng=self.rng,
            now=node.local(self.now),
            locked_ms=self._locked_ms(node),
        )
        self._set_timer(node)

    def _locked_ms(self, node: Node) -> int | None:
        if not self.early_lock or node.ended_at is None:
            return None
        return node.local(node.ended_at)

    def crash(self, node: Node) -> None:
        """Ends a replica; a part of what it was writing survives."""
        survives = self.rng.randint(0, len(node.pending))
        for write in node.pending[:survives]:
            node.disk.write(write)
        node.core = None
        node.ended_at = self.now
        node.epoch += 1

    def lose_disk(self, node: Node) -> None:
        """Empties a replica's folder; it comes back as another one."""
        if node.core is not None:
            self.crash(node)
        node.incarnation += 0 if self.amnesia else 1
        group = node.disk.hard_state.group if self.amnesia else ""
        node.disk = Disk(
            f"{node.name}#{node.incarnation}",
            hard_state=records.HardState(group=group),
        )

    def propose(self, node: Node) -> None:
        """Has a replica propose a new command, if it leads."""
        self.proposed += 1
        payload = b"%d" % self.proposed
        try:
            self._handle(
                node, node.core.propose((payload,), node.local(self.now))
            )
        except errors.NotLeader:
            return

    def hand_over(self, node: Node) -> None:
        """Has a leader hand over."""
        self._handle(node, node.core.hand_over(node.local(self.now)))

    def change(self, node: Node, change: changes.Change) -> bool:
        """Has a leader change the membership; returns whether it did."""
        local = node.local(self.now)
        try:
            membership = changes.apply(node.core, change, local)
            outputs = node.core.change_membership(membership, local)
        except (errors.Refused, errors.Unavailable):
            return False
        self.log.append(f"{self.now:.0f} {node.name} {change}")
        self.memberships.append((node.core.log.membership_index, membership))
        self._handle(node, outputs)
        return True

    def possible_memberships(self) -> list[records.Membership]:
        """Returns the last one committed and all proposed since."""
        committed = self.observer.committed
        last = max(
            (
                index
                for index, membership in self.memberships
                if index in committed
                and committed[index].payload
                == records.encode_membership(membership)
            ),
            default=0,
        )
        return [m for index, m in self.memberships if index >= last]

    def _found(self, founders: list[Node]) -> None:
        membership = records.Membership(
            members=tuple(
                records.Member(id=n.disk.id, address=address_of(n))
                for n in founders
            )
        )
        self.memberships = [(1, membership)]
        first = founders[0]
        outputs = first.core.found(membership, first.local(0))
        self._handle(first, outputs)
        self._finish_sync(first, len(first.pending))

    def _handle(self, node: Node, outputs: list[messages.Output]) -> None:
        for output in outputs:
            match output:
                case messages.Write():
                    node.pending.append(output)
                case messages.Send() if output.after > node.synced:
                    node.held.append(output)
                case messages.Send():
                    self._send(output.envelope)
                case messages.Apply():
                    self._apply(node, output.entries)
                case messages.Restore():
                    node.state = int(output.snapshot.payload)
                    node.applied = output.snapshot.index
                    self.observer.on_state(node.applied, node.state)
                case messages.RoleChanged():
                    self._note_role(node, output)
        self._compact(node)
        self._start_sync(node)
        self._set_timer(node)

    def _apply(self, node: Node, entries: tuple[records.Entry, ...]) -> None:
        for entry in entries:
            require(entry.index == node.applied + 1, "applied out of order")
            self.observer.on_commit(entry, node.core.term)
            node.state = zlib.crc32(b"%d" % node.state + entry.payload)
            node.applied = entry.index
            self.observer.on_state(entry.index, node.state)

    def _compact(self, node: Node) -> None:
        if node.applied - node.core.log.snapshot.index >= SNAPSHOT_ENTRIES:
            payload = b"%d" % node.state
            node.pending += node.core.compact(
                node.applied, payload, KEPT_ENTRIES
            )

    def _note_role(self, node: Node, change: messages.RoleChanged) -> None:
        self.log.append(f"{self.now:.0f} {node.core.id} {change}")
        if change.role is not messages.Role.LEADER:
            return
        self.observer.on_leader(node)
        for other in self.live():
            if other.core.term < change.term:
                held = self.holds_lease(other)
                require(not held, f"{node.name} elected in a lease")

    def _set_timer(self, node: Node) -> None:
        due = max(self.now, node.global_ms(node.core.deadline_ms + 1))
        if node.timer_at is not None and node.timer_at <= due:
            return  # The earlier one sets the next.
        node.timer_at = due
        epoch = node.epoch

        def fire() -> None:
            if node.epoch != epoch or node.timer_at != due:
                return
            if self.now < node.frozen_until:
                self.at(node.frozen_until - self.now, fire)
                return
            node.timer_at = None
            self._handle(node, node.core.tick(node.local(self.now)))

        self.at(due - self.now, fire)

    def _start_sync(self, node: Node) -> None:
        if node.syncing or not node.pending:
            return
        node.syncing = True
        epoch = node.epoch
        count = len(node.pending)

        def finish() -> None:
            if node.epoch != epoch or not node.syncing:
                return
            if self.now < node.frozen_until:
                self.at(node.frozen_until - self.now, finish)
                return
            self._finish_sync(node, count)

        self.at(self.rng.random() * self.sync_ms, finish)

    def _finish_sync(self, node: Node, count: int) -> None:
        done, node.pending = node.pending[:count], node.pending[count:]
        for write in done:
            node.disk.write(write)
        node.synced = done[-1].sequence
        node.syncing = False
        held, node.held = node.held, []
        for output in held:
            if output.after > node.synced:
                node.held.append(output)
            else:
                self._send(output.envelope)
        local = node.local(self.now)
        self._handle(node, node.core.synced(node.synced, local))

    # Network.

    def _send(self, envelope: messages.Envelope) -> None:
        self.observer.on_send(envelope)
        rng = self.rng
        if rng.random() < self.loss:
            return
        for _ in range(2 if rng.random() < self.duplicates else 1):
            delay = rng.random() * self.slowness
            if rng.random() < 0.01:
                delay += rng.random() * 2_000
            self.at(delay, lambda: self._deliver(envelope))

    def _deliver(self, envelope: messages.Envelope) -> None:
        sender = records.replica_id(envelope.sender)
        name = records.replica_id(envelope.receiver)
        node = self.nodes[name]
        if node.core is None or (sender, name) in self.cuts:
            return
        if self.now < node.frozen_until:
            wait = node.frozen_until - self.now
            self.at(wait, lambda: self._deliver(envelope))
            return
        self._handle(node, node.core.step(envelope, node.local(self.now)))


def address_of(node: Node) -> settings.ReplicaAddress:
    """Returns the address of a simulated replica."""
    return settings.ReplicaAddress(id=node.name, grpc=node.name, datagram="")
