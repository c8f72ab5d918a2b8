"""Repairs the Raft group without an operator, if the settings allow it.

A new replica becomes a learner when it contacts the leader
(`consensus.founding`). This module promotes it to a voter once it has caught
up and removes the lost replica that it replaces.
"""

import collections
from collections.abc import Sequence

import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import changes
from bilberryroute.consensus import records
from bilberryroute.replica import parts as parts_lib

CHECK_MS = clock_lib.Millis(100)
# An excess voter is removed once it was silent for this long: longer than an
# election, shorter than the time after which a second loss may follow a
# repair (4 s).
LOST_MS = clock_lib.Millis(1_500)


class RepairController(mode.Service):
    """Promotes learners and removes replaced replicas."""

    def __init__(self, parts: parts_lib.ReplicaParts):
        super().__init__()
        self._group = parts.group
        self._leadership = parts.leadership
        self._clock = parts.clock
        self._policy = parts.cfg.group
        self._size = parts.cfg.group.size or len(parts.cfg.replicas)
        self._last_seen_ms: dict[str, int] = {}

    @mode.Service.task
    async def _repair_loop(self) -> None:
        while not self.should_stop and self._policy.repairs_itself:
            await self.sleep(clock_lib.seconds(CHECK_MS))
            if self._leadership.active():
                await self._repair_once()
            else:
                self._last_seen_ms.clear()

    async def _repair_once(self) -> None:
        members = self._group.members()
        change = next_change(members, self._size, self._silent(members))
        if change is None:
            return
        try:
            await self._group.change_members(change)
            self.log.info("membership changed: %s", change)
        except errors.BilberryrouteError as exc:
            # A learner may still be catching up; retried in the next round.
            self.log.debug("membership not changed: %s", exc)

    def _silent(self, members: tuple[records.Member, ...]) -> list[str]:
        """Returns the members that do not answer, the longest silent first."""
        now = self._clock.now()
        for member in members:
            if self._group.hears(member.id):
                self._last_seen_ms[member.id] = now
            self._last_seen_ms.setdefault(member.id, now)
        silent = [
            member.id
            for member in members
            if now - self._last_seen_ms[member.id] >= LOST_MS
        ]
        return sorted(silent, key=self._last_seen_ms.__getitem__)


def next_change(
    members: tuple[records.Member, ...], size: int, silent: Sequence[str]
) -> changes.Change | None:
    """Returns the most urgent membership change, or None.

    A voter is removed only once another one has taken its place, so the group
    keeps its size while nothing can replace the voter.

    Args:
      members: Members of the group.
      size: Desired number of voters.
      silent: Ids of members that have not answered for `LOST_MS`, the longest
        silent first.
    """
    voters = [member for member in members if member.voter]
    replica_ids = collections.Counter(member.replica_id for member in members)
    if len(voters) > size:
        # Prefer a member whose replica id joined again: its data is gone.
        lost = [m for m in voters if m.id in silent]
        lost.sort(
            key=lambda m: (-replica_ids[m.replica_id], silent.index(m.id))
        )
        if lost:
            return changes.Remove(id=lost[0].id)
    kept = [
        m
        for m in voters
        if m.id not in silent and replica_ids[m.replica_id] == 1
    ]
    learners = [m for m in members if not m.voter and m.id not in silent]
    if len(kept) < size and learners:
        return changes.Promote(id=_best_learner(learners, kept).id)
    return None


def _best_learner(
    learners: list[records.Member], voters: list[records.Member]
) -> records.Member:
    """Returns a learner of the failure domain with the fewest voters.

    Spreads the voters, so that the loss of one failure domain leaves a
    majority.
    """
    domains = collections.Counter(v.address.failure_domain for v in voters)
    return min(learners, key=lambda m: domains[m.address.failure_domain])
