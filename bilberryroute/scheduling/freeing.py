"""Plans which jobs stop so that a waiting job gets room, if that pays."""

import collections

from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import estimates
from bilberryroute.scheduling import fitting
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import reclaim
from bilberryroute.scheduling import state as states
from bilberryroute.scheduling import table

_PLANS_WEIGHED = 6
_KIND_WEIGHTS = {
    jobs.JobKind.URGENT: 20,
    jobs.JobKind.PLANNED: 1,
    jobs.JobKind.NIGHTLY: 1,
}


class Freeing:
    """Finds the cheapest jobs to stop, by purpose."""

    def __init__(
        self,
        policy: policies.Policy,
        state: states.State,
        expected: estimates.Estimates,
    ):
        self._policy = policy
        self._state = state
        self._expected = expected

    def own_share(self, entry: table.Entry) -> reclaim.Plan | None:
        """Plans how a job gets its account's guarantee, in place."""
        state = self._state
        account = entry.job.account
        nodes = state.tree.nodes
        share = {
            name: state.guarantees.left(account, name)
            for name in state.guarantees.share(account)
            if name not in entry.failed_on and nodes[name].sound
        }
        room = {name: nodes[name].room - nodes[name].promised for name in share}
        victims = self._victims(share, entry, self._work_lost)
        block = _block(entry, room, share)
        plans = reclaim.plans(state.tree, block, victims)
        return plans[0] if plans else None

    def anywhere(
        self, entry: table.Entry, now_ms: int
    ) -> tuple[reclaim.Plan, int] | None:
        """Plans how a job gets room by stopping whatever is not protected.

        Returns:
          The plan that delays the others least, and that delay: the sum over
          jobs, in milliseconds. None if protected jobs are in the way.
        """
        block = self._open_block(entry, now_ms)
        victims = self._victims(block.share, entry, self._restart_ms)
        plans = reclaim.plans(self._state.tree, block, victims)
        weighed = [
            (plan, self._delay_ms(entry, plan, now_ms))
            for plan in plans[:_PLANS_WEIGHED]
        ]
        return min(weighed, key=lambda each: each[1], default=None)

    def soonest(
        self, entry: table.Entry, now_ms: int
    ) -> tuple[reclaim.Plan, int] | None:
        """Plans where a job could start if nothing is stopped.

        Returns:
          The plan whose jobs should end first, and when, as clock reading.
        """
        block = self._open_block(entry, now_ms)

        def left_ms(other: table.Entry) -> int:
            ran_ms = other.ran_ms(now_ms)
            return self._expected.left_ms(other.job, ran_ms)

        victims = self._victims(block.share, entry, left_ms, protected=True)
        plans = reclaim.plans(self._state.tree, block, victims, at_once=True)
        if not plans:
            return None
        return plans[0], now_ms + plans[0].cost

    def _open_block(self, entry: table.Entry, now_ms: int) -> reclaim.Block:
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
        self, names, owner: table.Entry, cost, protected: bool = False
    ) -> list[reclaim.Victim]:
        """Lists the jobs on some workers that may make way."""
        found: dict[str, reclaim.Victim] = {}
        for name in names:
            for job_id in self._state.tree.nodes[name].held:
                if job_id in found:
                    continue
                entry = self._state.entries[job_id]
                own = entry.protected and _yields(entry, owner)
                if entry.protected and not own and not protected:
                    continue
                stopping = entry.phase == jobs.JobPhase.STOPPING
                found[job_id] = reclaim.Victim(
                    job_id=job_id,
                    units=entry.units,
                    cost=0 if stopping else cost(entry),
                    own=own,
                )
        return list(found.values())

    def _work_lost(self, entry: table.Entry) -> int:
        """Returns what a stop costs, in accelerator-milliseconds.

        The checkpoint keeps all progress, so only the restart is lost. Jobs
        that were stopped before, and urgent ones, cost more.
        """
        weight = _KIND_WEIGHTS[entry.job.kind]
        return entry.width * self._policy.restart_ms * weight * _stops(entry)

    def _restart_ms(self, entry: table.Entry) -> int:
        """Returns by how much a stop delays a job that finds room at once."""
        weight = _KIND_WEIGHTS[entry.job.kind]
        return self._policy.restart_ms * weight * _stops(entry)

    def _delay_ms(self, entry, plan: reclaim.Plan, now_ms: int) -> int:
        """Returns by how much a plan delays its victims, added up.

        Those that fit elsewhere move; the others wait until the job is done.
        """
        runs_ms = self._expected.left_ms(entry.job, entry.progress_ms)
        victims = [self._state.entries[job_id] for job_id in plan.victims]
        taken = collections.Counter(self._state.units(entry, plan.fit))
        delay_ms = 0
        for victim in sorted(victims, key=lambda each: -each.width):
            if victim.phase == jobs.JobPhase.STOPPING:
                continue
            weight = _KIND_WEIGHTS[victim.job.kind]
            delay_ms += self._restart_ms(victim)
            moved = self._elsewhere(victim, victims, taken, now_ms)
            if moved is not None and self._policy.defragmentation:
                taken.update(self._state.units(victim, moved))
            elif self._policy.displacement:
                delay_ms += runs_ms * weight
            else:
                return _NEVER_MS
        return delay_ms

    def _elsewhere(self, victim, victims, taken, now_ms: int):
        """Finds where a victim could go once all victims have stopped."""

        def room(node: capacity.Node) -> int:
            name = node.worker.name
            if node.opens_ms > now_ms or not node.sound:
                return 0
            freed = sum(each.units.get(name, 0) for each in victims)
            kept = node.promised + node.reserved + taken[name]
            return node.room + freed - kept

        return fitting.find(
            self._state.tree, victim.job.shape, victim.need, room
        )


_NEVER_MS = 1 << 62


def _block(entry: table.Entry, room, share) -> reclaim.Block:
    return reclaim.Block(
        shape=entry.job.shape, need=entry.need, room=room, share=share
    )


def _stops(entry: table.Entry) -> int:
    return 1 + entry.stops


def _yields(entry: table.Entry, owner: table.Entry) -> bool:
    """Returns whether a protected job gives way to one of its own account."""
    if entry.job.account != owner.job.account:
        return False
    return states.kind_rank(entry.job.kind) > states.kind_rank(owner.job.kind)
