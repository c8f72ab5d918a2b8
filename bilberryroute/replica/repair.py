"""Repairs the Raft group without an operator, if the settings allow it.

A new replica becomes a learner when it contacts the leader
(`consensus.founding`). This module promotes it to a voter once it has caught
up and removes the lost replica that it replaces.
"""

import collections

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
        now = self._clock.now()
        members = self._group.members()
        for member in members:
            if self._group.hears(member.id):
                self._last_seen_ms[member.id] = now
            self._last_seen_ms.setdefault(member.id, now)
        silent = {
            m.id for m in members if now - self._last_seen_ms[m.id] >= LOST_MS
        }
        change = next_change(members, self._size, silent)
        if change is None:
            return
        try:
            await self._group.change_members(change)
            self.log.info("membership changed: %s", change)
        except errors.BilberryrouteError as exc:
            # A learner may still be catching up; retried in the next round.
            self.log.debug("membership not changed: %s", exc)


def next_change(
    members: tuple[records.Member, ...], size: int, silent: set[str]
) -> changes.Change | None:
    """Returns the most urgent membership change, or None.

    Args:
      members: Members of the group.
      size: Desired number of voters.
      silent: Ids of members that have not answered for `LOST_MS`.
    """
    voters = [member for member in members if member.voter]
    replica_ids = collections.Counter(member.replica_id for member in members)
    if len(voters) > size:
        # Prefer a member whose replica id joined again: its data is gone.
        lost = [m for m in voters if m.id in silent]
        lost.sort(key=lambda member: -replica_ids[member.replica_id])
        if lost:
            return changes.Remove(id=lost[0].id)
    for member in members:
        if not member.voter and member.id not in silent:
            return changes.Promote(id=member.id)
    return None
