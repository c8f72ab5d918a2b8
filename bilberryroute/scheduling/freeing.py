"""Plans which jobs stop so that a waiting job gets room, if that pays."""

import collections
import dataclasses

from bilberryroute.model import jobs
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import reclaim
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_PARTS_WEIGHED = 4
_PLANS_WEIGHED = 3
_KIND_WEIGHTS = {
    jobs.JobKind.URGENT: 5,
    jobs.JobKind.PLANNED: 1,
    jobs.JobKind.NIGHTLY: 1,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a plan does to its victims.

    Attributes:
      moves: Where victims can go at once, by job.
      delay_ms: Sum of their delays in milliseconds.
    """

    plan: reclaim.Plan
    moves: dict[str, fitting.Fit]
    delay_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Survey:
    """Where a job might get room.

    Attributes:
      block: What it needs, and the room on each worker.
      groups: Workers of the parts of the tree that are weighed.
    """

    block: reclaim.Block
    groups: list[list[str]]


class Freeing:
    """Finds the cheapest jobs to stop, by purpose."""

    def __init__(
        self,
        policy: policies.Policy,
        state: states.SchedulerState,
        expected: estimates.JobEstimator,
    ):
        self._policy = policy
        self._state = state
        self._expected = expected

    def own_share(self, entry: table.JobEntry) -> reclaim.Plan | None:
        """Plans how a job gets its account's guarantee, in place.

        If the account's own jobs lie in the way, they move within its share.
        """
        state = self._state
        account = entry.job.account
        nodes = state.tree.nodes
        share = {
            name: state.guarantees.left(account, name)
            for name in state.guarantees.share(account)
            if name not in entry.failed_on and nodes[name].sound
        }
        if state.guarantees.idle(account) < entry.job.shape.accelerators and (
            not self._own_victims(share, entry)
        ):
            return None
        room = {name: nodes[name].room - nodes[name].promised for name in share}
        block = _block(entry, room, share)
        groups = reclaim.parts(state.tree, block.shape, share)
        victims = self._victims(share, entry, self._work_lost)
        plans = reclaim.plans(state.tree, block, groups, victims)
        if plans:
            return plans[0]
        victims = self._victims(share, entry, _narrow_first, whole=True)
        for plan in reclaim.plans(state.tree, block, groups, victims):
            if self._fits_own_share(entry, plan):
                return plan
        return None

    def _own_victims(self, names, owner: table.JobEntry) -> bool:
        """Returns whether jobs of the same account may make way."""
        entries = self._state.entries
        return any(
            entries[job_id].protected and _yields(entries[job_id], owner)
            for name in names
            for job_id in self._state.tree.nodes[name].held
        )

    def _fits_own_share(
        self, entry: table.JobEntry, plan: reclaim.Plan
    ) -> bool:
        """Returns whether own jobs that make way fit the rest of the share."""
        state = self._state
        account = entry.job.account
        own = [
            state.entries[job_id]
            for job_id in plan.victims
            if state.entries[job_id].protected
        ]
        left = {
            name: state.guarantees.left(account, name)
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

    def survey(self, entry: table.JobEntry, now_ms: int) -> Survey:
        """Looks at the parts of the tree where a job might get room."""
        block = self._open_block(entry, now_ms)
        groups = reclaim.roomiest(self._state.tree, block, _PARTS_WEIGHED)
        return Survey(block=block, groups=groups)

    def anywhere(
        self, entry: table.JobEntry, survey: Survey, *, forced: bool = False
    ) -> Outcome | None:
        """Plans how a job gets room by moving or stopping others.

        Protected jobs move only; others may also stop until it is done.

        Args:
          entry: The job.
          survey: Where to look.
          forced: Whether others stop even if the policy displaces none.

        Returns:
          The plan that delays the others least, if there is one.
        """
        plans = self._plans(entry, survey, self._restart_ms, at_once=False)
        room = survey.block.room
        spare = {name: left for name, left in room.items() if left > 0}
        outcomes = [
            self._outcome(entry, plan, spare, forced)
            for plan in plans[:_PLANS_WEIGHED]
        ]
        possible = [each for each in outcomes if each is not None]
        return min(possible, key=lambda each: each.delay_ms, default=None)

    def soonest(
        self, entry: table.JobEntry, survey: Survey, now_ms: int
    ) -> tuple[reclaim.Plan, int] | None:
        """Plans where a job could start if nothing is stopped.

        Returns:
          The plan whose jobs should end first, and when, as clock reading.
        """

        def left_ms(other: table.JobEntry) -> int:
            ran_ms = other.ran_ms(now_ms)
            return self._expected.left_ms(other.job, ran_ms)

        plans = self._plans(entry, survey, left_ms, at_once=True)
        if not plans:
            return None
        return plans[0], now_ms + plans[0].cost

    def _plans(self, entry, survey: Survey, cost, at_once: bool):
        """Returns plans for the parts surveyed, protected jobs included."""
        names = [name for group in survey.groups for name in group]
        victims = self._victims(names, entry, cost, protected=True)
        return reclaim.plans(
            self._state.tree,
            survey.block,
            survey.groups,
            victims,
            at_once=at_once,
        )

    def _open_block(self, entry: table.JobEntry, now_ms: int) -> reclaim.Block:
        """Describes the room that any job may use, beyond guarantees."""
        room, share = {}, {}
        for name, node in self._state.tree.nodes.items():
            if not node.sound or name in entry.failed_on:
                continue
            if node.opens_ms > now_ms:
                continue
            room[name] = node.room - node.promised - node.reserved
            share[name] = node.worker.accelerators
        return _block(entry, room, share)

    def _victims(
        self,
        names,
        owner: table.JobEntry,
        cost,
        protected: bool = False,
        whole: bool = False,
    ) -> list[reclaim.Victim]:
        """Lists the jobs on some workers that may make way.

        Args:
          names: The workers.
          owner: For whom the jobs would make way.
          cost: What stopping one of them costs.
          protected: Whether jobs protected for other accounts count.
          whole: Whether all jobs of the same account count.
        """
        found: dict[str, reclaim.Victim] = {}
        for name in names:
            for job_id in self._state.tree.nodes[name].held:
                if job_id in found:
                    continue
                entry = self._state.entries[job_id]
                narrower = entry.width < owner.job.shape.accelerators
                same = narrower and entry.job.account == owner.job.account
                own = entry.protected and (
                    (whole and same) or _yields(entry, owner)
                )
                if entry.protected and not (own or protected):
                    continue
                stopping = entry.phase == jobs.JobPhase.STOPPING
                found[job_id] = reclaim.Victim(
                    job_id=job_id,
                    units=entry.units,
                    cost=0 if stopping else cost(entry),
                    own=own,
                )
        return list(found.values())

    def _work_lost(self, entry: table.JobEntry) -> int:
        """Returns what a stop costs, in accelerator-milliseconds.

        The checkpoint keeps all progress, so only the restart is lost. Jobs
        that were stopped before, and urgent ones, cost more.
        """
        restart_ms = self._restart_ms(entry)
        return entry.width * restart_ms

    def _restart_ms(self, entry: table.JobEntry) -> int:
        """Returns by how much a stop delays a job that finds room at once."""
        return self._policy.restart_ms * weight(entry) * _stops(entry)

    def _outcome(
        self, entry, plan: reclaim.Plan, spare: dict[str, int], forced: bool
    ) -> Outcome | None:
        """Follows what a plan does to its victims.

        Those that fit elsewhere move; the others wait until the job is done.
        """
        runs_ms = self._expected.left_ms(entry.job, entry.progress_ms)
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
            elif _stays(victim, entry) or not stopping:
                return None
            else:
                delay_ms += runs_ms * weight(victim)
        return Outcome(plan=plan, moves=moves, delay_ms=delay_ms)


def _block(entry: table.JobEntry, room, share) -> reclaim.Block:
    return reclaim.Block(
        shape=entry.job.shape, need=entry.need, room=room, share=share
    )


def weight(entry: table.JobEntry) -> int:
    """Returns what a delay of a job counts, beside that of a planned one."""
    return _KIND_WEIGHTS[entry.job.kind]


def _narrow_first(entry: table.JobEntry) -> int:
    """Returns a cost per accelerator that rises with the width."""
    return entry.width * entry.width


def _stays(victim: table.JobEntry, entry: table.JobEntry) -> bool:
    """Returns whether a job may be moved, but not be made to wait."""
    if victim.protected:
        return True
    if states.kind_rank(entry.job.kind) == 0:
        return False
    return victim.late or states.kind_rank(victim.job.kind) == 0


def _stops(entry: table.JobEntry) -> int:
    return 1 + entry.stops


def _yields(entry: table.JobEntry, owner: table.JobEntry) -> bool:
    """Returns whether a protected job gives way to one of its own account."""
    if entry.job.account != owner.job.account:
        return False
    return states.kind_rank(entry.job.kind) > states.kind_rank(owner.job.kind)
