"""Repairs the group of replicas without an operator, if settings allow it.

A new replica is taken in when it greets the leader (`consensus.founding`).
Here it is given a vote once it has caught up, and a lost replica that it
replaces is removed.
"""

import collections

import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import changes
from bilberryroute.consensus import records
from bilberryroute.replica import parts as parts_lib

CHECK_MS = clock_lib.Millis(100)
# A voter beyond the wanted number is removed once it was silent for this
# long: above an election, below the time in which a second loss may follow
# a repair (4 s).
LOST_MS = clock_lib.Millis(1_500)


class RepairController(mode.Service):
    """Promotes learners and removes replicas that were replaced."""

    def __init__(self, parts: parts_lib.ReplicaParts):
        super().__init__()
        self._group = parts.group
        self._leadership = parts.leadership
        self._clock = parts.clock
        self._policy = parts.cfg.group
        self._size = parts.cfg.group.size or len(parts.cfg.replicas)
        self._heard: dict[str, int] = {}

    @mode.Service.task
    async def _repair(self) -> None:
        while not self.should_stop and self._policy.repairs_itself:
            await self.sleep(clock_lib.seconds(CHECK_MS))
            if self._leadership.active():
                await self._repair_once()
            else:
                self._heard.clear()

    async def _repair_once(self) -> None:
        now = self._clock.now()
        members = self._group.members()
        for member in members:
            if self._group.hears(member.id):
                self._heard[member.id] = now
            self._heard.setdefault(member.id, now)
        silent = {m.id for m in members if now - self._heard[m.id] >= LOST_MS}
        change = next_change(members, self._size, silent)
        if change is None:
            return
        try:
            await self._group.change_members(change)
            self.log.info("membership changed: %s", change)
        except errors.BilberryrouteError as exc:
            # A learner may still be catching up; the next round tries again.
            self.log.debug("membership not changed: %s", exc)


def next_change(
    members: tuple[records.Member, ...], size: int, silent: set[str]
) -> changes.Change | None:
    """Returns the one change that repairs the group most, or None.

    Args:
      members: The group.
      size: Voters to keep.
      silent: Members that have not answered for a while.
    """
    voters = [member for member in members if member.voter]
    names = collections.Counter(member.replica_id for member in members)
    if len(voters) > size:
        # One whose name came back with an empty folder is gone for certain.
        lost = [m for m in voters if m.id in silent]
        lost.sort(key=lambda member: -names[member.replica_id])
        if lost:
            return changes.Remove(id=lost[0].id)
    for member in members:
        if not member.voter and member.id not in silent:
            return changes.Promote(id=member.id)
    return None
