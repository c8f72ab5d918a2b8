"""Commits typed commands to the replicated log."""

import dataclasses
import logging

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.consensus import group as group_lib
from bilberryroute.model import commands
from bilberryroute.transport import proposals

logger = logging.getLogger(__name__)


class Proposer:
    """Sets the leader's time in commands and commits them."""

    def __init__(
        self,
        group: group_lib.ReplicaGroup,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._group = group
        self._clock = clock
        self._metrics = metrics

    async def propose(self, command: commands.Command) -> commands.Result:
        """Commits a command and returns its result.

        Raises:
          errors.NotLeader: If this replica does not lead; nothing is changed.
          errors.CommitUnknown: If leadership was lost before the commit was
            known.
          errors.StorageError: If the data folder cannot be written.
        """
        stamped = dataclasses.replace(command, at_ms=self._clock.wall())
        payload = proposals.COMMANDS.encode(stamped)
        began = self._clock.now()
        applied = await self._group.propose(payload)
        took_ms = self._clock.now() - began
        kind = type(command).__name__
        self._metrics.commit_ms.add({"kind": kind}, took_ms)
        return applied.result

    async def try_propose(
        self, command: commands.Command
    ) -> commands.Result | None:
        """Like `propose`, but logs a failure and returns None.

        For controllers, which re-evaluate the state in their next round.
        """
        try:
            return await self.propose(command)
        except errors.BilberryrouteError as exc:
            logger.warning("%s was not committed: %s", type(command), exc)
            return None
