"""Serves the queue: who is tried first, and what each is given."""

from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import freeing
from bilberryroute.scheduling import placing
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import queueing
from bilberryroute.scheduling import reclaim
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_WORK_PER_DECISION = 9
_WORK_OF_PLAN = 6
_RECLAIMS_PER_DECISION = 4
_WORKERS_PER_WORK = 200
_RETRY_MS = 30_000
_REPLAN_MS = 5_000
_MOVE_MS = 3_000
_WORKERS_PER_RESERVATION = 20

_URGENT, _LATE, _OTHERS = range(3)


class Dispatcher:
    """Tries waiting jobs in order and decides what they get.

    Attributes:
      unfinished: Whether a bound on the work of one decision was met, so that
        the next one has more to do.
    """

    def __init__(
        self,
        policy: policies.Policy,
        state: states.SchedulerState,
        queue: queueing.Queue,
        expected: estimates.JobEstimator,
    ):
        self._policy = policy
        self._state = state
        self._queue = queue
        self._expected = expected
        self._placer = placing.Placer(policy, state, expected)
        self._freeing = freeing.Freeing(policy, state, expected)
        self._misfits: dict[tuple[str, int], tuple[int, int]] = {}
        self._plans_left = 0
        self.unfinished = False

    def enqueue(self, entry: table.JobEntry) -> None:
        """Adds a job to the queue."""
        rank = entry.job.submitted_ms
        if self._policy.shortest_first:
            rank = self._expected.left_ms(entry.job, entry.progress_ms)
        self._queue.add(entry, rank)

    def serve(self, now_ms: int) -> None:
        """Tries the first job of each lot, in order of score."""
        first = self._most_late(now_ms)
        heads = [
            (self._score(job_id, job_id == first), lot, job_id)
            for lot, job_id in self._queue.heads()
        ]
        heads.sort(key=lambda each: each[0])
        self._work_left = _WORK_PER_DECISION
        self._reclaims_left = _RECLAIMS_PER_DECISION
        self.unfinished = False
        for _, lot, job_id in heads:
            while job_id is not None:
                if not self._serve_one(self._state.entries[job_id], now_ms):
                    break
                job_id = self._queue.head(lot)

    def _most_late(self, now_ms: int) -> str | None:
        """Returns the job that has waited longest of those that are late."""
        late = [
            (self._state.entries[job_id].waits_since_ms, job_id)
            for _, job_id in self._queue.heads()
            if self._is_late(self._state.entries[job_id], now_ms)
        ]
        return min(late)[1] if late else None

    def _score(self, job_id: str, most_late: bool):
        """Returns a job's place in the order; the lowest is tried first.

        Urgent jobs come first, then the one that waited too long.
        """
        entry = self._state.entries[job_id]
        job = entry.job
        if states.kind_rank(job.kind) == 0:
            rank = _URGENT
        else:
            rank = _LATE if most_late else _OTHERS
        value = float(job.submitted_ms)
        if self._policy.shortest_first:
            left_ms = self._expected.left_ms(job, entry.progress_ms)
            width = job.shape.accelerators**self._policy.width_exponent
            value = left_ms * width
        if self._policy.fair_shares:
            value *= 1 + self._over_share(job.account)
        return (rank, value, job.submitted_ms, job.id)

    def _over_share(self, account: str) -> float:
        """Returns an account's use beyond its guarantee over its fair share."""
        accounts = self._state.configuration.accounts
        weights = sum(each.weight for each in accounts.values())
        known = accounts.get(account)
        if known is None or not weights:
            return 0.0
        share = self._state.tree.accelerators * known.weight / weights
        return self._state.beyond[account] / max(1.0, share)

    def _serve_one(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Places a job, or starts to make room for it.

        Returns:
          Whether it was placed.
        """
        if self._placer.place_set_aside(entry):
            return self._placed(entry)
        if self._work_left <= 0:
            self.unfinished = True
        elif self._may_fit("free", entry, now_ms):
            workers = len(self._state.tree.nodes)
            self._work_left -= 1 + workers // _WORKERS_PER_WORK
            if self._placer.place_free(entry, now_ms):
                return self._placed(entry)
            self._note_misfit("free", entry, now_ms)
        aside = self._state.set_asides.get(entry.job.id)
        if aside is None:
            self._make_room(entry, now_ms)
        elif now_ms >= aside.ready_ms:
            self._state.drop_set_aside(entry.job.id)
            if aside.evicts:
                self._evict(entry, now_ms)
            else:
                self._make_room(entry, now_ms)
        return False

    def _placed(self, entry: table.JobEntry) -> bool:
        self._queue.remove(entry.job.id)
        self._state.drop_set_aside(entry.job.id)
        place = decisions.PlaceAttempt(
            job_id=entry.job.id,
            attempt=entry.attempt,
            assignments=entry.assignments,
        )
        self._state.out.append(place)
        return True

    def _make_room(self, entry: table.JobEntry, now_ms: int) -> None:
        """Reclaims the job's guarantee, or else stops others if that pays."""
        if self._policy.preemption and self._may_fit("own", entry, now_ms):
            if self._reclaims_left <= 0:
                self.unfinished = True
                return
            self._reclaims_left -= 1
            if self._reclaim(entry, now_ms):
                return
            self._note_misfit("own", entry, now_ms)
        if not self._may_fit("any", entry, now_ms):
            return
        if self._work_left < _WORK_OF_PLAN:
            self.unfinished = True
            return
        self._work_left -= _WORK_OF_PLAN
        if self._overdue(entry, now_ms):
            self._evict(entry, now_ms)
        elif not self._displace(entry, now_ms):
            self._note_misfit("any", entry, now_ms)

    def _reclaim(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Stops borrowers so that a job gets its account's guarantee."""
        plan = self._freeing.own_share(entry)
        if plan is None:
            return False
        self._carry_out(entry, plan, now_ms, guaranteed=True)
        return True

    def _displace(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Stops others if that delays them less than it gains the job."""
        if not (self._policy.displacement or self._policy.defragmentation):
            return False
        survey = self._freeing.survey(entry, now_ms)
        soonest = self._freeing.soonest(entry, survey, now_ms)
        if soonest is None:
            return False
        gain_ms = (soonest[1] - now_ms) * freeing.weight(entry)
        if gain_ms <= self._policy.restart_ms:
            return False
        found = self._freeing.anywhere(entry, survey)
        if found is None or found.delay_ms >= gain_ms:
            return False
        self._move(entry, found, now_ms)
        return True

    def _move(self, entry, found: freeing.Outcome, now_ms: int) -> None:
        """Carries out a plan and keeps room for the victims that move."""
        self._carry_out(entry, found.plan, now_ms, guaranteed=False)
        for job_id, fit in found.moves.items():
            victim = self._state.entries[job_id]
            aside = states.SetAside(
                fit=fit,
                units=self._state.units(victim, fit),
                guaranteed=False,
                since_ms=now_ms,
                ready_ms=now_ms + _MOVE_MS,
            )
            self._state.set_aside(victim, aside)

    def _is_late(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Returns whether a job has waited longer than it should."""
        waited_ms = now_ms - entry.waits_since_ms
        return (
            self._policy.reservations
            and waited_ms >= self._policy.overdue_after_ms
        )

    def _overdue(self, entry: table.JobEntry, now_ms: int) -> bool:
        """Returns whether others make way for a job by now."""
        if not self._is_late(entry, now_ms):
            return False
        made = sum(
            not aside.guaranteed for aside in self._state.set_asides.values()
        )
        workers = len(self._state.tree.nodes)
        return made <= workers // _WORKERS_PER_RESERVATION

    def _reserve(self, entry: table.JobEntry, now_ms: int) -> None:
        """Sets room aside where it should be free soonest."""
        survey = self._freeing.survey(entry, now_ms)
        found = self._freeing.soonest(entry, survey, now_ms)
        if found is None:
            return
        plan, ready_ms = found
        ready_ms = min(ready_ms, now_ms + self._policy.reservation_ms)
        aside = states.SetAside(
            fit=plan.fit,
            units=self._state.units(entry, plan.fit),
            guaranteed=False,
            since_ms=now_ms,
            ready_ms=ready_ms,
            evicts=True,
        )
        self._state.set_aside(entry, aside)

    def _evict(self, entry: table.JobEntry, now_ms: int) -> None:
        """Stops whatever is not protected so that an overdue job starts.

        Where protected jobs are in the way, sets room aside until they end.
        """
        survey = self._freeing.survey(entry, now_ms)
        found = self._freeing.anywhere(entry, survey, forced=True)
        if found is None:
            self._reserve(entry, now_ms)
        else:
            entry.late = True
            self._move(entry, found, now_ms)

    def _carry_out(
        self, entry, plan: reclaim.Plan, now_ms: int, guaranteed: bool
    ) -> None:
        """Stops the victims and keeps their room for the job."""
        reason = "its room is needed by another job"
        if guaranteed:
            reason = "its room is reclaimed by its owner"
        for job_id in plan.victims:
            victim = self._state.entries[job_id]
            if victim.placed:
                self._state.stop(victim, reason)
        aside = states.SetAside(
            fit=plan.fit,
            units=self._state.units(entry, plan.fit),
            guaranteed=guaranteed,
            since_ms=now_ms,
            ready_ms=now_ms + _RETRY_MS,
        )
        self._state.set_aside(entry, aside)

    def _may_fit(self, where: str, entry: table.JobEntry, now_ms: int) -> bool:
        """Returns whether anything changed since the job last did not fit."""
        key = (where, entry.lot)
        version, at_ms = self._misfits.get(key, (-1, 0))
        changed = version != self._state.version
        if where != "any":
            return changed
        waited_ms = now_ms - at_ms
        return version < 0 or waited_ms >= (
            _REPLAN_MS if changed else _RETRY_MS
        )

    def _note_misfit(self, where, entry: table.JobEntry, now_ms: int) -> None:
        key = (where, entry.lot)
        self._misfits[key] = (self._state.version, now_ms)
