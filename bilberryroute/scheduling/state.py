"""The scheduler's state: capacity, guarantees, jobs and reservations."""

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
    """Capacity reserved for a waiting job until other jobs have released it.

    Attributes:
      fit: Accelerators by worker that the job will get.
      units: Capacity by worker, with padding.
      guaranteed: Whether it counts against its account's guarantee.
      since_ms: Time at which it was made, in milliseconds.
      ready_ms: Time at which it is expected to be free, in milliseconds.
      preempts: Whether jobs still there at that time may be preempted.
    """

    fit: fitting.Fit
    units: dict[str, int]
    guaranteed: bool
    since_ms: int
    ready_ms: int = 0
    preempts: bool = False


class SchedulerState:
    """The scheduler's whole state, and the operations that keep it consistent.

    Attributes:
      configuration: The configuration in force.
      tree: All workers and their allocations.
      guarantees: Guaranteed blocks and their bindings.
      entries: All jobs that have not ended, by ID.
      reservations: Capacity reserved for waiting jobs, by job ID.
      usage_over_guarantee: Capacity used outside guarantees, by account.
      pending_decisions: Decisions made and not yet returned.
      capacity_version: Increases whenever free capacity may have grown.
      rebinding_due: Whether guarantees must be rebound.
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
        """Records that jobs which did not fit may fit now."""
        self.capacity_version += 1

    def complete_ramp_ups(self, now_ms: int) -> None:
        """Marks capacity as grown once a worker's ramp-up delay has passed."""
        later = [at_ms for at_ms in self._ramp_times_ms if at_ms > now_ms]
        if len(later) < len(self._ramp_times_ms):
            self._ramp_times_ms = later
            self.mark_capacity_grown()

    def units(self, entry: table.JobEntry, fit: fitting.Fit) -> dict[str, int]:
        """Returns the capacity that a placement uses, by worker."""
        need = entry.need
        nodes = self.tree.nodes
        return {
            name: need.units(nodes[name].worker, count)
            for name, count in fit.items()
        }

    def allocate(self, entry: table.JobEntry, fit: fitting.Fit) -> None:
        """Allocates accelerators to a new attempt."""
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
        """Allocates the accelerators that a restored record names.

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
        """Releases all accelerators of an attempt."""
        self.unprotect(entry)
        self.usage_over_guarantee[entry.job.account] -= entry.width
        for each in entry.assignments:
            self.tree.release(each.worker, entry.job.id, each.accelerators)
        entry.assignments = ()
        entry.units = {}
        self.mark_capacity_grown()

    def protect(self, entry: table.JobEntry) -> bool:
        """Charges a job to its account's guarantee if it fits what is left.

        Returns:
          Whether the job is protected.
        """
        account = entry.job.account
        if entry.protected or not entry.units:
            return entry.protected
        if self.guarantees.covers(account, entry.units):
            self.guarantees.add_usage(account, entry.units)
            entry.protected = True
            self.usage_over_guarantee[account] -= entry.width
        return entry.protected

    def unprotect(self, entry: table.JobEntry) -> None:
        """Stops charging a job to its account's guarantee."""
        if entry.protected:
            self.guarantees.remove_usage(entry.job.account, entry.units)
            entry.protected = False
            self.usage_over_guarantee[entry.job.account] += entry.width

    def recompute_protection(self) -> None:
        """Recomputes which jobs are protected after bindings changed.

        Charges reservations under guarantees first and cancels those that no
        longer fit. Then charges jobs with allocations, by the priority of their
        kind and then by their start time.
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
        """Reserves capacity for a job, replacing its old reservation."""
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
                node.reserved_from_ms = reservation.ready_ms

    def cancel_reservation(self, job_id: str) -> None:
        """Cancels the reservation of a job, if it has one."""
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
                node.reserved_from_ms = 0
        self.mark_capacity_grown()

    def remove_worker(self, name: str) -> list[table.JobEntry]:
        """Removes a worker and returns the jobs that had a task on it."""
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

    def refresh_in_service(self, now_ms: int, ramp_ms: int) -> None:
        """Updates which workers are in service from the configuration.

        Workers that operators bring back become available one by one over
        `ramp_ms`; those of a newly configured failure domain do so at once.
        """
        returned: dict[str, list[capacity.Node]] = {}
        for node in self.tree.nodes.values():
            in_service = admission.in_service(self.configuration, node.worker)
            domain = node.worker.failure_domain
            if (
                in_service
                and not node.in_service
                and domain in self._configured_domains
            ):
                returned.setdefault(domain, []).append(node)
            node.in_service = in_service
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
        """Decides to stop a placed job and to requeue it."""
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
        """Decides to end a placed job as failed."""
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
    """Returns the priority of a kind of job; 0 is the highest."""
    return _KIND_RANK[kind]


def _protection_order(entry: table.JobEntry):
    return (kind_rank(entry.job.kind), entry.started_ms or 0, entry.job.id)
