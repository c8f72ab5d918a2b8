"""Decides when this replica may act as leader."""

import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.consensus import group as group_lib
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import desired as desired_lib

CHECK_MS = clock_lib.Millis(20)


class Leadership(mode.Service):
    """Begins a term once all entries committed before it are applied."""

    def __init__(
        self,
        board: board_lib.ReplicaBoard,
        group: group_lib.ReplicaGroup,
        desired: desired_lib.DesiredStates,
        clock: clock_lib.Clock,
    ):
        super().__init__()
        self._board = board
        self._group = group
        self._desired = desired
        self._clock = clock

    def active(self) -> bool:
        """Returns whether this replica leads at the moment of the call."""
        if self._board.term.get().number != self._group.term:
            return False
        return self._group.is_leader()

    @mode.Service.task
    async def _follow_elections(self) -> None:
        while not self.should_stop:
            if self._group.is_leader() and not self.active():
                await self._begin_term()
            await self.sleep(clock_lib.seconds(CHECK_MS))

    async def _begin_term(self) -> None:
        term = self._group.term
        try:
            await self._group.read_barrier()
        except errors.BilberryrouteError as exc:
            self.log.warning("term %s did not begin: %s", term, exc)
            return
        if not self._group.is_leader() or self._group.term != term:
            return
        self._desired.reset()
        self._board.drop_reports()
        began = self._clock.now()
        self._board.term.set(board_lib.LeaderTerm(number=term, began=began))
        self.log.info("leading", extra={"term": term})
