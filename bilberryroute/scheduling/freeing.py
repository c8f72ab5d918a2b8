"""Plans which running jobs to preempt for a waiting job, and at what cost."""

import collections
import dataclasses

from bilberryroute.model import jobs
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import reclaim
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_MAX_GROUPS = 4
_MAX_PLANS = 3
_DELAY_WEIGHTS = {
    jobs.JobKind.URGENT: 5,
    jobs.JobKind.PLANNED: 1,
    jobs.JobKind.NIGHTLY: 1,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreemptionImpact:
    """What a preemption plan costs its victims.

    Attributes:
      plan: The plan.
      moves: Where victims can restart at once, by job ID.
      delay_ms: Weighted sum of their delays in milliseconds.
    """

    plan: reclaim.PreemptionPlan
    moves: dict[str, fitting.Fit]
    delay_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SearchSpace:
    """The workers considered for a job.

    Attributes:
      request: What the job needs, and the free capacity of each worker.
      groups: Groups of adjacent workers to consider.
    """

    request: reclaim.PlacementRequest
    groups: list[list[str]]


class PreemptionPlanner:
    """Finds the jobs that are cheapest to preempt."""

    def __init__(
        self,
        policy: policies.Policy,
        state: states.SchedulerState,
        estimator: estimates.JobEstimator,
    ):
        self._policy = policy
        self._state = state
        self._estimator = estimator

    def plan_guarantee_reclaim(
        self, entry: table.JobEntry
    ) -> reclaim.PreemptionPlan | None:
        """Plans preemption within the guarantee of the job's account.

        Prefers to preempt jobs without protection and the account's own jobs of
        lower priority. Where these do not suffice, also considers its narrower
        jobs, if the preempted ones fit elsewhere in the guarantee.
        """
        state = self._state
        account = entry.job.account
        nodes = state.tree.nodes
        share = {
            name: state.guarantees.remaining(account, name)
            for name in state.guarantees.share(account)
            if name not in entry.failed_on and nodes[name].guarantee_eligible
        }
        if state.guarantees.total_remaining(
            account
        ) < entry.job.shape.accelerators and (
            not self._has_own_victims(share, entry)
        ):
            return None
        room = {
            name: nodes[name].room - nodes[name].guarantee_reserved
            for name in share
        }
        request = _request(entry, room, share)
        groups = reclaim.adjacency_groups(state.tree, request.shape, share)
        victims = self._victims(share, entry, self._restart_cost)
        plans = reclaim.preemption_plans(state.tree, request, groups, victims)
        if plans:
            return plans[0]
        victims = self._victims(
            share, entry, _squared_width, include_narrower=True
        )
        for plan in reclaim.preemption_plans(
            state.tree, request, groups, victims
        ):
            if self._fits_own_share(entry, plan):
                return plan
        return None

    def _has_own_victims(self, names, requester: table.JobEntry) -> bool:
        """Returns whether the account has jobs of lower priority to preempt."""
        entries = self._state.entries
        return any(
            entries[job_id].protected and _yields_to(entries[job_id], requester)
            for name in names
            for job_id in self._state.tree.nodes[name].allocated
        )

    def _fits_own_share(
        self, entry: table.JobEntry, plan: reclaim.PreemptionPlan
    ) -> bool:
        """Returns whether preempted own jobs fit the rest of the guarantee."""
        state = self._state
        account = entry.job.account
        own = [
            state.entries[job_id]
            for job_id in plan.victims
            if state.entries[job_id].protected
        ]
        left = {
            name: state.guarantees.remaining(account, name)
            for name in state.guarantees.share(account)
        }
        room = collections.Counter(left)
        room.subtract(state.units(entry, plan.fit))
        for victim in own:
            room.update(victim.units)
        for victim in sorted(own, key=lambda each: -each.width):
            fit = fitting.find_in(
                state.tree, victim.job.shape, victim.need, room
            )
            if fit is None:
                return False
            room.subtract(state.units(victim, fit))
        return True

    def search_space(self, entry: table.JobEntry, now_ms: int) -> SearchSpace:
        """Returns the groups of workers with the most capacity for a job."""
        request = self._unguaranteed_request(entry, now_ms)
        groups = reclaim.groups_with_most_room(
            self._state.tree, request, _MAX_GROUPS
        )
        return SearchSpace(request=request, groups=groups)

    def plan_preemption(
        self,
        entry: table.JobEntry,
        search_space: SearchSpace,
        *,
        forced: bool = False,
    ) -> PreemptionImpact | None:
        """Plans capacity for a job by relocating or stopping others.

        Protected jobs may only relocate; others may also wait until the job
        is done.

        Args:
          entry: The job.
          search_space: The workers considered.
          forced: Whether others may be made to wait even if the policy has
            displacement turned off.

        Returns:
          The plan with the least delay for others, or None.
        """
        plans = self._plans(
            entry, search_space, self._restart_ms, concurrent=False
        )
        room = search_space.request.room
        spare = {name: left for name, left in room.items() if left > 0}
        impacts = [
            self._impact(entry, plan, spare, forced)
            for plan in plans[:_MAX_PLANS]
        ]
        possible = [each for each in impacts if each is not None]
        return min(possible, key=lambda each: each.delay_ms, default=None)

    def plan_earliest_start(
        self, entry: table.JobEntry, search_space: SearchSpace, now_ms: int
    ) -> tuple[reclaim.PreemptionPlan, int] | None:
        """Plans where a job could start first without preemption.

        Returns:
          The plan whose jobs are expected to end first, and the time in
          milliseconds by which they are expected to have ended.
        """

        def remaining_ms(other: table.JobEntry) -> int:
            ran_ms = other.ran_ms(now_ms)
            return self._estimator.remaining_ms(other.job, ran_ms)

        plans = self._plans(entry, search_space, remaining_ms, concurrent=True)
        if not plans:
            return None
        return plans[0], now_ms + plans[0].cost

    def _plans(self, entry, search_space: SearchSpace, cost, concurrent: bool):
        """Returns plans for the groups considered, protected jobs included."""
        names = [name for group in search_space.groups for name in group]
        victims = self._victims(names, entry, cost, protected=True)
        return reclaim.preemption_plans(
            self._state.tree,
            search_space.request,
            search_space.groups,
            victims,
            concurrent=concurrent,
        )

    def _unguaranteed_request(
        self, entry: table.JobEntry, now_ms: int
    ) -> reclaim.PlacementRequest:
        """Returns a request that is not limited to a guarantee."""
        room, share = {}, {}
        for name, node in self._state.tree.nodes.items():
            if not node.guarantee_eligible or name in entry.failed_on:
                continue
            if node.available_from_ms > now_ms:
                continue
            room[name] = node.room - node.guarantee_reserved - node.reserved
            share[name] = node.worker.accelerators
        return _request(entry, room, share)

    def _victims(
        self,
        names,
        requester: table.JobEntry,
        cost,
        protected: bool = False,
        include_narrower: bool = False,
    ) -> list[reclaim.PreemptibleJob]:
        """Lists the jobs on some workers that may be preempted.

        Args:
          names: The workers.
          requester: The job that needs the capacity.
          cost: Returns the cost of preempting a job.
          protected: Whether to include all protected jobs.
          include_narrower: Whether to include all narrower jobs of the same
            account.
        """
        found: dict[str, reclaim.PreemptibleJob] = {}
        for name in names:
            for job_id in self._state.tree.nodes[name].allocated:
                if job_id in found:
                    continue
                entry = self._state.entries[job_id]
                narrower = entry.width < requester.job.shape.accelerators
                narrower_of_account = (
                    narrower and entry.job.account == requester.job.account
                )
                own = entry.protected and (
                    (include_narrower and narrower_of_account)
                    or _yields_to(entry, requester)
                )
                if entry.protected and not (own or protected):
                    continue
                stopping = entry.phase == jobs.JobPhase.STOPPING
                found[job_id] = reclaim.PreemptibleJob(
                    job_id=job_id,
                    units=entry.units,
                    cost=0 if stopping else cost(entry),
                    own=own,
                )
        return list(found.values())

    def _restart_cost(self, entry: table.JobEntry) -> int:
        """Returns the cost of preempting a job in accelerator-milliseconds.

        The checkpoint keeps all progress, so only the restart is lost. Jobs
        that were stopped before, and urgent ones, cost more.
        """
        restart_ms = self._restart_ms(entry)
        return entry.width * restart_ms

    def _restart_ms(self, entry: table.JobEntry) -> int:
        """Returns the weighted delay of a job that is stopped and relocated."""
        return (
            self._policy.restart_ms
            * delay_weight(entry)
            * _restart_factor(entry)
        )

    def _impact(
        self,
        entry,
        plan: reclaim.PreemptionPlan,
        spare: dict[str, int],
        forced: bool,
    ) -> PreemptionImpact | None:
        """Returns the impact of a plan, or None if a victim must not wait.

        Victims that fit elsewhere relocate; the others wait until the job is
        done.
        """
        runs_ms = self._estimator.remaining_ms(entry.job, entry.progress_ms)
        victims = [self._state.entries[job_id] for job_id in plan.victims]
        room = collections.Counter(spare)
        for victim in victims:
            room.update(victim.units)
        room.subtract(self._state.units(entry, plan.fit))
        stopping = forced or self._policy.displacement
        moves: dict[str, fitting.Fit] = {}
        delay_ms = 0
        for victim in sorted(victims, key=lambda each: -each.width):
            if victim.phase == jobs.JobPhase.STOPPING:
                continue
            delay_ms += self._restart_ms(victim)
            moved = None
            if self._policy.defragmentation:
                moved = fitting.find_in(
                    self._state.tree, victim.job.shape, victim.need, room
                )
            if moved is not None:
                room.subtract(self._state.units(victim, moved))
                moves[victim.job.id] = moved
            elif _must_not_wait(victim, entry) or not stopping:
                return None
            else:
                delay_ms += runs_ms * delay_weight(victim)
        return PreemptionImpact(plan=plan, moves=moves, delay_ms=delay_ms)


def _request(entry: table.JobEntry, room, share) -> reclaim.PlacementRequest:
    return reclaim.PlacementRequest(
        shape=entry.job.shape, need=entry.need, room=room, share=share
    )


def delay_weight(entry: table.JobEntry) -> int:
    """Returns the weight of a job's delay; that of a planned job is 1."""
    return _DELAY_WEIGHTS[entry.job.kind]


def _squared_width(entry: table.JobEntry) -> int:
    """Returns a cost per job that makes narrow jobs cheaper per accelerator."""
    return entry.width * entry.width


def _must_not_wait(victim: table.JobEntry, entry: table.JobEntry) -> bool:
    """Returns whether a job may be relocated, but not be made to wait."""
    if victim.protected:
        return True
    if states.kind_rank(entry.job.kind) == 0:
        return False
    return victim.overdue or states.kind_rank(victim.job.kind) == 0


def _restart_factor(entry: table.JobEntry) -> int:
    return 1 + entry.stop_count


def _yields_to(entry: table.JobEntry, requester: table.JobEntry) -> bool:
    """Returns whether a job yields to a more urgent one of its account."""
    if entry.job.account != requester.job.account:
        return False
    return states.kind_rank(entry.job.kind) > states.kind_rank(
        requester.job.kind
    )
