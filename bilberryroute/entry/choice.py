"""Choice of the replica to ask: the leader, as far as it is known."""

from collections.abc import Iterable

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.entry import board as board_lib
from bilberryroute.model import wire

SUSPICION_MS = clock_lib.Millis(3_000)


class ReplicaChoice:
    """Knows where replicas are and which of them to ask.

    The leader is the one that was named last (`leader_id` on the board). A
    replica that was silent is suspected for `SUSPICION_MS`, or until something
    is heard from it.
    """

    def __init__(
        self,
        configured: tuple[settings.ReplicaAddress, ...],
        board: board_lib.EntryBoard,
        clock: clock_lib.Clock,
    ):
        """Initializes the choice.

        Args:
          configured: Replicas that the settings named at the start.
          board: Holds the id of the leader.
          clock: Monotonic clock.
        """
        self._configured = {r.id: r.grpc for r in configured}
        self._board = board
        self._clock = clock
        self._learned: dict[str, str] = {}
        self._seeds: frozenset[str] = frozenset()
        self._suspected_until: dict[str, int] = {}
        self._turn = 0

    def address_to_call(self) -> str:
        """Returns the address of the leader, or of another replica.

        Suspected replicas are used only if all are suspected.
        """
        leader = self._leader_address()
        if leader is not None and not self.is_suspected(leader):
            return leader
        addresses = self.addresses()
        responsive = [a for a in addresses.values() if not self.is_suspected(a)]
        candidates = responsive or list(addresses.values())
        return candidates[self._turn % len(candidates)]

    def address_to_watch(self) -> str:
        """Returns the address of the leader even if it is suspected.

        A watch is how a suspected leader is heard again.
        """
        return self._leader_address() or self.address_to_call()

    def _leader_address(self) -> str | None:
        return self.addresses().get(self._board.leader_id.get())

    def addresses(self) -> dict[str, str]:
        """Returns all addresses by id; those of the settings take precedence."""
        addresses = self._learned | self._configured
        new_seeds = sorted(self._seeds.difference(addresses.values()))
        return addresses | {address: address for address in new_seeds}

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Sets seeds that the settings name since the start, by address."""
        self._seeds = frozenset(addresses)

    def learn(self, replica_id: str, address: str) -> None:
        """Records a replica that the settings may not name."""
        self._learned[replica_id] = address

    def learn_group(self, replicas: tuple[wire.ReplicaContact, ...]) -> None:
        """Records the group as the leader knows it, instead of all learned."""
        self._learned = {r.id: r.grpc for r in replicas}

    def leader_named(self, exc: errors.NotLeader, address: str) -> str | None:
        """Returns the leader that the replica at `address` named, if another.

        Records its address, as the settings may not name it. What refuses and
        names itself does not lead yet or any more, or keeps no replica now;
        others may know better.
        """
        if exc.leader_id and exc.leader_address:
            self.learn(exc.leader_id, exc.leader_address)
        if self.addresses().get(exc.leader_id) == address:
            return None
        return exc.leader_id

    def switch_leader(self, leader_id: str | None) -> None:
        """Switches to the given leader, or to the next replica without one.

        The next replica is also asked while the leader is suspected or its
        address is unknown: it may know better.
        """
        self._board.leader_id.set(leader_id or "")
        leader = self._leader_address()
        if leader is None or self.is_suspected(leader):
            self._turn += 1

    def suspect(self, address: str) -> None:
        """Has calls avoid a replica that was silent."""
        self._suspected_until[address] = self._clock.now() + SUSPICION_MS

    def record_arrival(self, address: str) -> None:
        """Ends the suspicion of a replica that was heard."""
        self._suspected_until.pop(address, None)

    def is_suspected(self, address: str) -> bool:
        """Returns whether calls avoid a replica."""
        return self._suspected_until.get(address, 0) > self._clock.now()
