"""Puts typed commands into the replicated log."""

import dataclasses
import logging

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import group as group_lib
from bilberryroute.model import commands
from bilberryroute.state import machine as machine_lib

logger = logging.getLogger(__name__)


class Proposer:
    """Stamps commands with the leader's time and commits them."""

    def __init__(self, group: group_lib.ReplicaGroup, clock: clock_lib.Clock):
        self._group = group
        self._clock = clock

    async def propose(self, command: commands.Command) -> commands.Result:
        """Commits a command and returns its result.

        Raises:
          errors.NotLeader: If this replica does not lead; nothing changed.
          errors.CommitUnknown: If leadership was lost on the way.
          errors.StorageError: If the data folder cannot be written.
        """
        stamped = dataclasses.replace(command, at_ms=self._clock.wall())
        payload = machine_lib.COMMANDS.encode(stamped)
        applied = await self._group.propose(payload)
        return applied.result

    async def try_propose(
        self, command: commands.Command
    ) -> commands.Result | None:
        """Like `propose`, but logs a failure and returns None.

        For controllers, which look again at the state in their next round.
        """
        try:
            return await self.propose(command)
        except errors.BilberryrouteError as exc:
            logger.warning("%s was not committed: %s", type(command), exc)
            return None
