"""Places one waiting job on free or reserved capacity."""

from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_NEVER_MS = 1 << 62


class Placer:
    """Finds capacity for a job and allocates it in the state."""

    def __init__(
        self,
        policy: policies.Policy,
        state: states.SchedulerState,
        estimator: estimates.JobEstimator,
    ):
        self._policy = policy
        self._state = state
        self._estimator = estimator

    def place_free(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Allocates free capacity to a job, its account's guarantee first.

        Returns:
          Whether all of the job's accelerators were allocated.
        """
        fit = self._find_free(entry, now_ms)
        if fit is None:
            return False
        self._state.allocate(entry, fit)
        protected = self._state.protect(entry)
        if not protected and self._policy.rebinding:
            self._rebind_guarantee(entry)
        return True

    def place_reserved(self, entry: table.JobEntry) -> bool:
        """Allocates the capacity reserved for a job once all of it is free."""
        state = self._state
        reservation = state.reservations.get(entry.job.id)
        if reservation is None:
            return False
        if reservation.units != state.units(entry, reservation.fit):
            state.cancel_reservation(entry.job.id)
            return False
        for name, units in reservation.units.items():
            node = state.tree.nodes[name]
            reserved = 0 if reservation.guaranteed else node.guarantee_reserved
            if node.room - reserved < units:
                return False
        state.cancel_reservation(entry.job.id)
        state.allocate(entry, reservation.fit)
        state.protect(entry)
        return True

    def _find_free(self, entry, now_ms: int) -> fitting.Fit | None:
        """Finds free capacity: own guarantee, then unbound, then borrowed."""
        own = self._find_own(entry)
        if own is not None:
            return own
        anywhere = self._find(entry, self._room(entry, now_ms))
        if anywhere is None:
            return None
        unbound = self._find(entry, self._unbound_room(entry, now_ms))
        if unbound is not None or not self._policy.borrowing:
            return unbound
        return anywhere

    def _find(self, entry, room) -> fitting.Fit | None:
        return fitting.find(
            self._state.tree,
            entry.job.shape,
            entry.need,
            room,
            best=self._policy.best_fit,
        )

    def _room(self, entry: table.JobEntry, now_ms: int) -> fitting.RoomFunction:
        """Returns a function that counts a worker's unreserved free capacity.

        With backfill, a job expected to end in time may use reserved capacity.
        """
        job = entry.job
        remaining_ms = self._estimator.remaining_ms(job, entry.progress_ms)
        ends_ms = now_ms + remaining_ms if self._policy.backfill else _NEVER_MS

        def room(node: capacity.Node) -> int:
            if (
                node.available_from_ms > now_ms
                or node.worker.name in entry.failed_on
            ):
                return 0
            if node.probing and not _may_probe(node, entry):
                return 0
            reserved = node.guarantee_reserved
            if node.reserved_from_ms < ends_ms:
                reserved += node.reserved
            return node.room - reserved

        return room

    def _find_own(self, entry: table.JobEntry) -> fitting.Fit | None:
        """Finds free capacity within the guarantee of the job's account."""
        state = self._state
        account = entry.job.account
        room = {}
        for name in state.guarantees.share(account):
            node = state.tree.nodes[name]
            if name not in entry.failed_on and node.guarantee_eligible:
                left = state.guarantees.remaining(account, name)
                room[name] = min(node.room - node.guarantee_reserved, left)
        return fitting.find_in(
            state.tree,
            entry.job.shape,
            entry.need,
            room,
            best=self._policy.best_fit,
        )

    def _unbound_room(
        self, entry: table.JobEntry, now_ms: int
    ) -> fitting.RoomFunction:
        """Returns a function that counts unbound free capacity."""
        free = self._room(entry, now_ms)
        bound = self._state.guarantees.bound
        guaranteed_usage = self._state.guarantees.usage_on

        def room(node: capacity.Node) -> int:
            name = node.worker.name
            others = (
                node.used - guaranteed_usage(name) + node.guarantee_reserved
            )
            unbound = node.worker.accelerators - bound[name] - others
            return min(free(node), unbound)

        return room

    def _rebind_guarantee(self, entry: table.JobEntry) -> None:
        """Rebinds an unused block of the account to where the job runs."""
        if self._state.guarantees.rebind_to(entry.job.account, entry.units):
            self._state.protect(entry)


def _may_probe(node: capacity.Node, entry: table.JobEntry) -> bool:
    """Returns whether a job may probe a worker after its quarantine."""
    if node.allocated or entry.failed_on:
        return False
    return entry.job.shape.accelerators <= node.worker.accelerators
