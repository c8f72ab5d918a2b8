"""What the scheduler knows: capacity, guarantees, jobs and set-asides."""

import collections
import dataclasses

from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.scheduling import admission
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import guarantees
from bilberryroute.scheduling import table


@dataclasses.dataclass(slots=True, kw_only=True)
class Reservation:
    """Room kept for a job that waits until others have left it.

    Attributes:
      fit: Accelerators by worker that the job will get.
      units: Room by worker, with padding.
      guaranteed: Whether it counts against its account's guarantee.
      since_ms: Clock reading at which it was made.
      ready_ms: Clock reading at which it is expected to be free.
      evicts: Whether jobs still there at that time are stopped.
    """

    fit: fitting.Fit
    units: dict[str, int]
    guaranteed: bool
    since_ms: int
    ready_ms: int = 0
    preempts: bool = False


class SchedulerState:
    """The scheduler's whole state, changed by small steps only.

    Attributes:
      beyond: Room that each account's jobs hold beyond its guarantee.
      out: Decisions taken and not yet returned.
      version: Changes whenever room may have grown anywhere.
      bindings_due: Whether guarantees must be bound anew.
    """

    def __init__(self):
        self.configuration = config.Configuration()
        self.tree = capacity.CapacityTree()
        self.guarantees = guarantees.Guarantees(self.tree)
        self.entries: dict[str, table.JobEntry] = {}
        self.reservations: dict[str, Reservation] = {}
        self.usage_over_guarantee: collections.Counter[str] = (
            collections.Counter()
        )
        self.pending_decisions: list[decisions.Decision] = []
        self.capacity_version = 0
        self.rebinding_due = False
        self._ramp_times_ms: list[int] = []
        self._configured_domains: frozenset[str] = frozenset()

    def mark_capacity_grown(self) -> None:
        """Notes that jobs which did not fit may fit now."""
        self.capacity_version += 1

    def open_workers(self, now_ms: int) -> None:
        """Notes room on workers of a returning domain as they open."""
        later = [at_ms for at_ms in self._ramp_times_ms if at_ms > now_ms]
        if len(later) < len(self._ramp_times_ms):
            self._ramp_times_ms = later
            self.mark_capacity_grown()

    def units(self, entry: table.JobEntry, fit: fitting.Fit) -> dict[str, int]:
        """Returns the room that a placement uses, by worker."""
        need = entry.need
        nodes = self.tree.nodes
        return {
            name: need.units(nodes[name].worker, count)
            for name, count in fit.items()
        }

    def allocate(self, entry: table.JobEntry, fit: fitting.Fit) -> None:
        """Takes the accelerators of a new attempt."""
        entry.units = self.units(entry, fit)
        entry.assignments = tuple(
            jobs.Assignment(
                worker=name,
                accelerators=self.tree.allocate(
                    name, entry.job.id, count, entry.units[name]
                ),
            )
            for name, count in sorted(fit.items())
        )
        entry.attempt += 1
        entry.phase = jobs.JobPhase.RESERVED
        self.usage_over_guarantee[entry.job.account] += entry.width

    def restore_allocation(self, entry: table.JobEntry) -> bool:
        """Takes the accelerators that a restored record names.

        Returns:
          Whether all its workers are known.
        """
        known = [
            each for each in entry.assignments if each.worker in self.tree.nodes
        ]
        fit = {each.worker: len(each.accelerators) for each in known}
        entry.units = self.units(entry, fit)
        for each in known:
            self.tree.allocate_exact(
                each.worker,
                entry.job.id,
                each.accelerators,
                entry.units[each.worker],
            )
        self.usage_over_guarantee[entry.job.account] += entry.width
        return len(known) == len(entry.assignments)

    def release(self, entry: table.JobEntry) -> None:
        """Frees all that an attempt still holds."""
        self.unprotect(entry)
        self.usage_over_guarantee[entry.job.account] -= entry.width
        for each in entry.assignments:
            self.tree.release(each.worker, entry.job.id, each.accelerators)
        entry.assignments = ()
        entry.units = {}
        self.mark_capacity_grown()

    def protect(self, entry: table.JobEntry) -> bool:
        """Counts a job against its guarantee if it lies within it."""
        account = entry.job.account
        if entry.protected or not entry.units:
            return entry.protected
        if self.guarantees.covers(account, entry.units):
            self.guarantees.add_usage(account, entry.units)
            entry.protected = True
            self.usage_over_guarantee[account] -= entry.width
        return entry.protected

    def unprotect(self, entry: table.JobEntry) -> None:
        """Counts a job out of its guarantee."""
        if entry.protected:
            self.guarantees.remove_usage(entry.job.account, entry.units)
            entry.protected = False
            self.usage_over_guarantee[entry.job.account] += entry.width

    def recompute_protection(self) -> None:
        """Protects anew after bindings changed: urgent and long-running first.

        Set-asides under guarantees come before running jobs; those that no
        longer lie within a guarantee are dropped.
        """
        self.guarantees.clear_usage()
        for job_id, reservation in list(self.reservations.items()):
            if reservation.guaranteed and not self._charge_reservation(
                job_id, reservation
            ):
                self._remove_reservation(job_id)
        allocated = [entry for entry in self.entries.values() if entry.units]
        for entry in allocated:
            if entry.protected:
                entry.protected = False
                self.usage_over_guarantee[entry.job.account] += entry.width
        for entry in sorted(allocated, key=_protection_order):
            self.protect(entry)
        self.mark_capacity_grown()

    def _charge_reservation(
        self, job_id: str, reservation: Reservation
    ) -> bool:
        account = self.entries[job_id].job.account
        if not self.guarantees.covers(account, reservation.units):
            return False
        self.guarantees.add_usage(account, reservation.units)
        return True

    def reserve(self, entry: table.JobEntry, reservation: Reservation) -> None:
        """Keeps room for a job that waits, instead of what it had kept."""
        self.cancel_reservation(entry.job.id)
        self.reservations[entry.job.id] = reservation
        if reservation.guaranteed:
            self.guarantees.add_usage(entry.job.account, reservation.units)
        for name, units in reservation.units.items():
            node = self.tree.nodes[name]
            if reservation.guaranteed:
                node.guarantee_reserved += units
            else:
                node.reserved += units
                node.reserved_until_ms = reservation.ready_ms

    def cancel_reservation(self, job_id: str) -> None:
        """Gives up what was kept for a job, if anything was."""
        reservation = self.reservations.get(job_id)
        if reservation is None:
            return
        if reservation.guaranteed:
            account = self.entries[job_id].job.account
            self.guarantees.remove_usage(account, reservation.units)
        self._remove_reservation(job_id)

    def _remove_reservation(self, job_id: str) -> None:
        reservation = self.reservations.pop(job_id)
        for name, units in reservation.units.items():
            node = self.tree.nodes.get(name)
            if node is None:
                continue
            if reservation.guaranteed:
                node.guarantee_reserved -= units
            else:
                node.reserved -= units
                node.reserved_until_ms = 0
        self.mark_capacity_grown()

    def remove_worker(self, name: str) -> list[table.JobEntry]:
        """Removes a worker and returns the jobs that had a member on it."""
        node = self.tree.nodes.get(name)
        if node is None:
            return []
        for job_id in list(self.reservations):
            if name in self.reservations[job_id].units:
                self.cancel_reservation(job_id)
        affected = [self.entries[job_id] for job_id in node.allocated]
        for entry in affected:
            self.unprotect(entry)
            self.usage_over_guarantee[entry.job.account] -= entry.units.pop(
                name
            )
        self.tree.remove_worker(name)
        return affected

    def refresh_service(self, now_ms: int, ramp_ms: int) -> None:
        """Takes over from the configuration which workers are in service.

        Workers that operators bring back open one by one over `ramp_ms`;
        those of a failure domain named for the first time open at once.
        """
        returned: dict[str, list[capacity.Node]] = {}
        for node in self.tree.nodes.values():
            wanted = admission.in_service(self.configuration, node.worker)
            domain = node.worker.failure_domain
            if (
                wanted
                and not node.in_service
                and domain in self._configured_domains
            ):
                returned.setdefault(domain, []).append(node)
            node.in_service = wanted
        for nodes in returned.values():
            for position, node in enumerate(nodes):
                node.available_from_ms = now_ms + ramp_ms * position // len(
                    nodes
                )
                self._ramp_times_ms.append(node.available_from_ms)
        self._configured_domains = frozenset(self.configuration.failure_domains)
        for job_id in list(self.reservations):
            units = self.reservations[job_id].units
            if not all(self.tree.nodes[name].in_service for name in units):
                self.cancel_reservation(job_id)
        self.mark_capacity_grown()

    def stop(
        self, entry: table.JobEntry, reason: str, checkpoint: bool = True
    ) -> None:
        """Decides to stop a placed job and to queue it again."""
        entry.phase = jobs.JobPhase.STOPPING
        self.unprotect(entry)
        stop = decisions.StopAttempt(
            job_id=entry.job.id,
            attempt=entry.attempt,
            reason=reason,
            checkpoint=checkpoint,
            requeue=True,
        )
        self.pending_decisions.append(stop)

    def fail(self, entry: table.JobEntry, reason: str) -> None:
        """Decides to stop a placed job and to end it as failed."""
        entry.phase = jobs.JobPhase.STOPPING
        failure = decisions.Fail(
            job_id=entry.job.id, attempt=entry.attempt, reason=reason
        )
        self.pending_decisions.append(failure)


_KIND_RANK = {
    jobs.JobKind.URGENT: 0,
    jobs.JobKind.PLANNED: 1,
    jobs.JobKind.NIGHTLY: 2,
}


def kind_rank(kind: jobs.JobKind) -> int:
    """Returns how soon a kind is wanted: 0 for the soonest."""
    return _KIND_RANK[kind]


def _protection_order(entry: table.JobEntry):
    return (kind_rank(entry.job.kind), entry.started_ms or 0, entry.job.id)
