"""Random faults and operators' commands over a simulated group."""

from bilberryroute.consensus import changes
from bilberryroute.consensus import messages
from bilberryroute.consensus import records
from tests.consensus import simulation as simulation_lib

SCHEDULE_MS = 3_000
CALM_MS = 8_000
_FAULT_EVERY_MS = 120
_PROPOSE_EVERY_MS = 60


class Chaos:
    """Draws faults for a simulation from its own random source."""

    def __init__(
        self, simulation: simulation_lib.Simulation, *, handing_over: bool
    ):
        self.simulation = simulation
        self.handing_over = handing_over
        self.rng = simulation.rng
        self.active = True
        self.actions = self._draw_actions()
        self._schedule(self._fault, _FAULT_EVERY_MS)
        self._schedule(self._propose, _PROPOSE_EVERY_MS)

    def _draw_actions(self) -> list:
        """Returns a mix that leaves some kinds out and favours others."""
        kinds = (
            self.crash,
            self.crash_leader,
            self.bounce,
            self.cut,
            self.isolate,
            self.isolate_leader,
            self.freeze,
            self.freeze_leader,
            self.lose_disk,
            self.restart_all,
            self.change,
        )
        drawn = [a for a in kinds for _ in range(self.rng.choice((0, 1, 4)))]
        if self.handing_over:
            drawn += [self.hand_over] * (1 + len(drawn) // 2)
        return [self.restart] * (1 + len(drawn) // 6) + drawn

    def _schedule(self, action, every_ms: int) -> None:
        if self.active:
            self.simulation.at(self.rng.expovariate(1 / every_ms), action)

    def _fault(self) -> None:
        if self.active:
            action = self.rng.choice(self.actions)
            self.simulation.log.append(
                f"{self.simulation.now:.0f} {action.__name__}"
            )
            action()
        self._schedule(self._fault, _FAULT_EVERY_MS)

    def _propose(self) -> None:
        for node in self.simulation.live():
            frozen = self.simulation.now < node.frozen_until
            if node.core.role is messages.Role.LEADER and not frozen:
                self.simulation.propose(node)
        self._schedule(self._propose, _PROPOSE_EVERY_MS)

    def crash(self) -> None:
        """Ends a random replica."""
        live = self.simulation.live()
        if live:
            self.simulation.crash(self.rng.choice(live))

    def crash_leader(self) -> None:
        """Ends the leader and brings it back soon."""
        leader = self.simulation.leader()
        if leader is not None:
            self.simulation.crash(leader)
            self.simulation.at(
                self.rng.random() * 300, lambda: self._boot(leader)
            )

    def bounce(self) -> None:
        """Ends a random replica and starts it again at once."""
        live = self.simulation.live()
        if live:
            node = self.rng.choice(live)
            self.simulation.crash(node)
            self.simulation.boot(node)

    def restart(self) -> None:
        """Starts a random replica that is down."""
        down = [n for n in self.simulation.nodes.values() if n.core is None]
        if down:
            self.simulation.boot(self.rng.choice(down))

    def restart_all(self) -> None:
        """Ends and starts all replicas within a moment."""
        for node in self.simulation.nodes.values():
            if node.core is not None:
                self.simulation.crash(node)
            self.simulation.at(
                self.rng.random() * 200, lambda n=node: self._boot(n)
            )

    def _boot(self, node: simulation_lib.Node) -> None:
        if node.core is None:
            self.simulation.boot(node)

    def freeze(self) -> None:
        """Stops a random replica for a while; its clock goes on."""
        live = self.simulation.live()
        if live:
            self._freeze(self.rng.choice(live))

    def freeze_leader(self) -> None:
        """Stops the leader for a while; its clock goes on."""
        leader = self.simulation.leader()
        if leader is not None:
            self._freeze(leader)

    def _freeze(self, node: simulation_lib.Node) -> None:
        until = self.simulation.now + self.rng.random() * 2_000
        node.frozen_until = max(node.frozen_until, until)

    def hand_over(self) -> None:
        """Has the leader hand over."""
        leader = self.simulation.leader()
        if leader is not None and self.simulation.now >= leader.frozen_until:
            self.simulation.hand_over(leader)

    def cut(self) -> None:
        """Cuts some directions between replicas for a while."""
        names = list(self.simulation.nodes)
        links = [(a, b) for a in names for b in names if a != b]
        count = self.rng.randint(1, len(links))
        self._cut(set(self.rng.sample(links, count)))

    def isolate_leader(self) -> None:
        """Cuts what the leader sends, receives, or both."""
        leader = self.simulation.leader()
        if leader is not None:
            self._isolate(leader.name)

    def isolate(self) -> None:
        """Cuts what a random replica sends, receives, or both."""
        self._isolate(self.rng.choice(list(self.simulation.nodes)))

    def _isolate(self, name: str) -> None:
        others = [n for n in self.simulation.nodes if n != name]
        away = {(name, n) for n in others}
        back = {(n, name) for n in others}
        self._cut(self.rng.choice((away, back, away | back)))

    def _cut(self, links: set[tuple[str, str]]) -> None:
        cuts = self.simulation.cuts
        cuts |= links
        heal = lambda: cuts.difference_update(links)  # noqa: E731
        self.simulation.at(self.rng.random() * 2_000, heal)

    def lose_disk(self) -> None:
        """Empties a folder, if a majority of every membership stays whole."""
        node = self.rng.choice(list(self.simulation.nodes.values()))
        if self._expendable(node):
            self.simulation.lose_disk(node)

    def _expendable(self, lost: simulation_lib.Node) -> bool:
        if not self.simulation.observer.last_committed:
            return False  # The founder alone knows the group.
        nodes = self.simulation.nodes.values()
        whole = {n.disk.id for n in nodes if n is not lost}
        return all(
            len(whole.intersection(m.voters)) >= m.quorum
            for m in self.simulation.possible_memberships()
        )

    def change(self) -> None:
        """Has the leader add, promote or remove a replica."""
        leader = self.simulation.leader()
        if leader is None or self.simulation.now < leader.frozen_until:
            return
        members = leader.core.membership.members
        ids = {m.id for m in members}
        choices: list[changes.Change] = [
            changes.AddLearner(
                address=simulation_lib.address_of(n), id=n.disk.id
            )
            for n in self.simulation.nodes.values()
            if n.disk.id not in ids
        ]
        choices += [changes.Promote(id=m.id) for m in members if not m.voter]
        choices += [changes.Remove(id=m.id) for m in members]
        change = self.rng.choice(choices)
        if self._recoverable(leader.core.membership, change):
            self.simulation.change(leader, change)

    def _recoverable(
        self, membership: records.Membership, change: changes.Change
    ) -> bool:
        """Returns whether whole folders are a majority after the change."""
        match change:
            case changes.Remove(id=name):
                voters = set(membership.without(name).voters)
            case changes.Promote(id=name):
                voters = {*membership.voters, name}
            case _:
                return True
        whole = {n.disk.id for n in self.simulation.nodes.values()}
        return len(whole & voters) > len(voters) // 2

    def calm(self) -> None:
        """Ends all faults and starts what is down."""
        simulation = self.simulation
        self.active = False
        simulation.cuts.clear()
        simulation.loss = 0
        simulation.duplicates = 0
        simulation.slowness = 5
        for node in simulation.nodes.values():
            if node.core is None:
                simulation.boot(node)


def explore(
    simulation: simulation_lib.Simulation, *, handing_over: bool = False
) -> None:
    """Runs one schedule of faults, then checks that the group recovers.

    Args:
      simulation: A group that has not begun to run.
      handing_over: Whether leaders hand over besides.
    """
    chaos = Chaos(simulation, handing_over=handing_over)
    simulation.run_until(SCHEDULE_MS)
    chaos.calm()
    end = simulation.now + CALM_MS
    while not _recovered(simulation):
        simulation_lib.require(simulation.now < end, "no recovery")
        leader = simulation.leader()
        if leader is not None:
            simulation.propose(leader)
        simulation.run_until(simulation.now + 500)


def _recovered(simulation: simulation_lib.Simulation) -> bool:
    """Returns whether a leader has brought all members to one state."""
    leader = simulation.leader()
    if leader is None or not leader.core.own_term_committed():
        return False
    last = simulation.observer.last_committed
    members = [m.id for m in leader.core.membership.members]
    return all(
        node.applied == last
        for node in simulation.nodes.values()
        if node.disk.id in members
    )
