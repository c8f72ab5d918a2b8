"""Places queued jobs in order of priority, or frees capacity for them."""

from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import freeing
from bilberryroute.scheduling import placing
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import queueing
from bilberryroute.scheduling import reclaim
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

# Bounds the searches of one dispatch(). A search for free capacity costs 1, and
# 1 more per _WORKERS_PER_COST_UNIT workers; one for preemption _PLAN_COST.
_SEARCH_BUDGET = 9
_PLAN_COST = 6
_RECLAIMS_PER_DECISION = 4
_WORKERS_PER_COST_UNIT = 200
_RETRY_MS = 30_000
_REPLAN_MS = 5_000
_RELOCATION_MS = 3_000
_WORKERS_PER_RESERVATION = 20

_URGENT, _OVERDUE, _OTHERS = range(3)


class JobDispatcher:
    """Tries queued jobs in order of priority.

    Attributes:
      unfinished: Whether the last dispatch() ran out of its search budget or
        reclaim limit, so that the next one has work left.
    """

    def __init__(
        self,
        policy: policies.Policy,
        state: states.SchedulerState,
        queue: queueing.JobQueue,
        estimator: estimates.JobEstimator,
    ):
        self._policy = policy
        self._state = state
        self._queue = queue
        self._estimator = estimator
        self._placer = placing.Placer(policy, state, estimator)
        self._preemption_planner = freeing.PreemptionPlanner(
            policy, state, estimator
        )
        self._misfits: dict[tuple[str, int], tuple[int, int]] = {}
        self._plans_left = 0
        self.unfinished = False

    def enqueue(self, entry: table.JobEntry) -> None:
        """Adds a job to the queue."""
        rank = entry.job.submitted_ms
        if self._policy.shortest_first:
            rank = self._estimator.remaining_ms(entry.job, entry.progress_ms)
        self._queue.add(entry, rank)

    def dispatch(self, now_ms: int) -> None:
        """Tries the first job of each class, lowest score first.

        Each job placed is followed by the next one of its class.
        """
        first = self._longest_overdue(now_ms)
        heads = [
            (self._score(job_id, job_id == first), job_class, job_id)
            for job_class, job_id in self._queue.heads()
        ]
        heads.sort(key=lambda each: each[0])
        self._search_budget = _SEARCH_BUDGET
        self._reclaims_left = _RECLAIMS_PER_DECISION
        self.unfinished = False
        for _, job_class, job_id in heads:
            while job_id is not None:
                if not self._try_job(self._state.entries[job_id], now_ms):
                    break
                job_id = self._queue.head(job_class)

    def _longest_overdue(self, now_ms: int) -> str | None:
        """Returns the overdue job that has waited longest, if any."""
        overdue = [
            (self._state.entries[job_id].waiting_since_ms, job_id)
            for _, job_id in self._queue.heads()
            if self._is_overdue(self._state.entries[job_id], now_ms)
        ]
        return min(overdue)[1] if overdue else None

    def _score(self, job_id: str, longest_overdue: bool):
        """Returns a job's sort key; the lowest is tried first.

        Urgent jobs come first, then the job that is overdue longest.
        """
        entry = self._state.entries[job_id]
        job = entry.job
        if states.kind_rank(job.kind) == 0:
            rank = _URGENT
        else:
            rank = _OVERDUE if longest_overdue else _OTHERS
        value = float(job.submitted_ms)
        if self._policy.shortest_first:
            remaining_ms = self._estimator.remaining_ms(job, entry.progress_ms)
            width = job.shape.accelerators**self._policy.width_exponent
            value = remaining_ms * width
        if self._policy.fair_shares:
            value *= 1 + self._over_fair_share(job.account)
        return (rank, value, job.submitted_ms, job.id)

    def _over_fair_share(self, account: str) -> float:
        """Returns an account's use outside guarantees, over its fair share."""
        accounts = self._state.configuration.accounts
        weights = sum(each.weight for each in accounts.values())
        known = accounts.get(account)
        if known is None or not weights:
            return 0.0
        share = self._state.tree.accelerators * known.weight / weights
        return self._state.usage_over_guarantee[account] / max(1.0, share)

    def _try_job(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Places a job, or else starts to free capacity for it.

        Returns:
          Whether it was placed.
        """
        if self._placer.place_reserved(entry):
            return self._finish_placement(entry)
        if self._search_budget <= 0:
            self.unfinished = True
        elif self._may_fit("free", entry, now_ms):
            workers = len(self._state.tree.nodes)
            self._search_budget -= 1 + workers // _WORKERS_PER_COST_UNIT
            if self._placer.place_free(entry, now_ms):
                return self._finish_placement(entry)
            self._record_misfit("free", entry, now_ms)
        reservation = self._state.reservations.get(entry.job.id)
        if reservation is None:
            self._free_capacity(entry, now_ms)
        elif now_ms >= reservation.ready_ms:
            self._state.cancel_reservation(entry.job.id)
            if reservation.preempts:
                self._preempt_for_overdue(entry, now_ms)
            else:
                self._free_capacity(entry, now_ms)
        return False

    def _finish_placement(self, entry: table.JobEntry) -> bool:
        self._queue.remove(entry.job.id)
        self._state.cancel_reservation(entry.job.id)
        place = decisions.PlaceAttempt(
            job_id=entry.job.id,
            attempt=entry.attempt,
            assignments=entry.assignments,
        )
        self._state.pending_decisions.append(place)
        return True

    def _free_capacity(self, entry: table.JobEntry, now_ms: int) -> None:
        """Reclaims the job's guarantee, or preempts others if worthwhile."""
        if self._policy.preemption and self._may_fit("own", entry, now_ms):
            if self._reclaims_left <= 0:
                self.unfinished = True
                return
            self._reclaims_left -= 1
            if self._reclaim(entry, now_ms):
                return
            self._record_misfit("own", entry, now_ms)
        if not self._may_fit("any", entry, now_ms):
            return
        if self._search_budget < _PLAN_COST:
            self.unfinished = True
            return
        self._search_budget -= _PLAN_COST
        if self._may_preempt(entry, now_ms):
            self._preempt_for_overdue(entry, now_ms)
        elif not self._displace(entry, now_ms):
            self._record_misfit("any", entry, now_ms)

    def _reclaim(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Preempts borrowers of the guarantee of the job's account."""
        plan = self._preemption_planner.plan_guarantee_reclaim(entry)
        if plan is None:
            return False
        self._execute_plan(entry, plan, now_ms, guaranteed=True)
        return True

    def _displace(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Preempts others if that delays them less than it advances the job."""
        if not (self._policy.displacement or self._policy.defragmentation):
            return False
        search_space = self._preemption_planner.search_space(entry, now_ms)
        earliest = self._preemption_planner.plan_earliest_start(
            entry, search_space, now_ms
        )
        if earliest is None:
            return False
        gain_ms = (earliest[1] - now_ms) * freeing.delay_weight(entry)
        if gain_ms <= self._policy.restart_ms:
            return False
        impact = self._preemption_planner.plan_preemption(entry, search_space)
        if impact is None or impact.delay_ms >= gain_ms:
            return False
        self._preempt(entry, impact, now_ms)
        return True

    def _preempt(
        self, entry, impact: freeing.PreemptionImpact, now_ms: int
    ) -> None:
        """Executes a plan and reserves capacity for victims that relocate."""
        self._execute_plan(entry, impact.plan, now_ms, guaranteed=False)
        for job_id, fit in impact.moves.items():
            victim = self._state.entries[job_id]
            reservation = states.Reservation(
                fit=fit,
                units=self._state.units(victim, fit),
                guaranteed=False,
                since_ms=now_ms,
                ready_ms=now_ms + _RELOCATION_MS,
            )
            self._state.reserve(victim, reservation)

    def _is_overdue(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Returns whether a job has waited past the policy's limit."""
        waited_ms = now_ms - entry.waiting_since_ms
        return (
            self._policy.reservations
            and waited_ms >= self._policy.overdue_after_ms
        )

    def _may_preempt(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Returns whether a job is overdue and may preempt others.

        The number of reservations outside guarantees is bounded by the number
        of workers.
        """
        if not self._is_overdue(entry, now_ms):
            return False
        reserved = sum(
            not reservation.guaranteed
            for reservation in self._state.reservations.values()
        )
        workers = len(self._state.tree.nodes)
        return reserved <= workers // _WORKERS_PER_RESERVATION

    def _reserve_earliest(self, entry: table.JobEntry, now_ms: int) -> None:
        """Reserves the capacity that is expected to be free first."""
        search_space = self._preemption_planner.search_space(entry, now_ms)
        earliest = self._preemption_planner.plan_earliest_start(
            entry, search_space, now_ms
        )
        if earliest is None:
            return
        plan, ready_ms = earliest
        ready_ms = min(ready_ms, now_ms + self._policy.reservation_ms)
        reservation = states.Reservation(
            fit=plan.fit,
            units=self._state.units(entry, plan.fit),
            guaranteed=False,
            since_ms=now_ms,
            ready_ms=ready_ms,
            preempts=True,
        )
        self._state.reserve(entry, reservation)

    def _preempt_for_overdue(self, entry: table.JobEntry, now_ms: int) -> None:
        """Preempts unprotected jobs so that an overdue job can start.

        Where protected jobs are in the way, reserves capacity until they end.
        """
        search_space = self._preemption_planner.search_space(entry, now_ms)
        impact = self._preemption_planner.plan_preemption(
            entry, search_space, forced=True
        )
        if impact is None:
            self._reserve_earliest(entry, now_ms)
        else:
            entry.overdue = True
            self._preempt(entry, impact, now_ms)

    def _execute_plan(
        self, entry, plan: reclaim.PreemptionPlan, now_ms: int, guaranteed: bool
    ) -> None:
        """Stops the victims and reserves their capacity for the job."""
        reason = "its room is needed by another job"
        if guaranteed:
            reason = "its room is reclaimed by its owner"
        for job_id in plan.victims:
            victim = self._state.entries[job_id]
            if victim.placed:
                self._state.stop(victim, reason)
        reservation = states.Reservation(
            fit=plan.fit,
            units=self._state.units(entry, plan.fit),
            guaranteed=guaranteed,
            since_ms=now_ms,
            ready_ms=now_ms + _RETRY_MS,
        )
        self._state.reserve(entry, reservation)

    def _may_fit(self, search: str, entry: table.JobEntry, now_ms: int) -> bool:
        """Returns whether a search that failed before is worth repeating.

        The search is "free" for free capacity, "own" for a reclaim of the
        account's guarantee, and "any" for preemption on any worker. The first
        two are repeated if capacity changed; the last after _REPLAN_MS if
        capacity changed, and after _RETRY_MS in any case.
        """
        key = (search, entry.class_number)
        version, at_ms = self._misfits.get(key, (-1, 0))
        changed = version != self._state.capacity_version
        if search != "any":
            return changed
        waited_ms = now_ms - at_ms
        return version < 0 or waited_ms >= (
            _REPLAN_MS if changed else _RETRY_MS
        )

    def _record_misfit(
        self, search, entry: table.JobEntry, now_ms: int
    ) -> None:
        key = (search, entry.class_number)
        self._misfits[key] = (self._state.capacity_version, now_ms)
