"""Commits which workers are present."""

import asyncio

import mode

from bilberryroute import clock as clock_lib
from bilberryroute.model import commands
from bilberryroute.replica import parts as parts_lib

LOST_RENEWALS = 3
FORGOTTEN_MS = 10 * clock_lib.MINUTE
CHECK_MS = clock_lib.Millis(250)


class WorkerController(mode.Service):
    """Turns reports, and their absence, into `JoinWorker` and `LoseWorker`."""

    def __init__(self, parts: parts_lib.ReplicaParts):
        super().__init__()
        self._board = parts.board
        self._leadership = parts.leadership
        self._machine = parts.machine
        self._proposer = parts.proposer
        self._clock = parts.clock
        self._silence_ms = LOST_RENEWALS * parts.cfg.timing.renewal_ms
        self._agent_grace_ms = parts.cfg.timing.task_lease_ms // 2

    @mode.Service.task
    async def _check_presence(self) -> None:
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(CHECK_MS))
            if not self._leadership.active():
                continue
            self._board.forget_silent(self._clock.now() - FORGOTTEN_MS)
            changes = [*self._joined(), *self._lost()]
            await asyncio.gather(*map(self._proposer.try_propose, changes))

    def _joined(self) -> list[commands.Command]:
        known = self._machine.state.workers
        at_ms = self._clock.wall()
        return [
            commands.JoinWorker(worker=worker, at_ms=at_ms)
            for view in self._board.agents.get().values()
            for worker in view.renewal.workers
            if known.get(worker.name) != worker and self._is_fresh(worker.name)
        ]

    def _lost(self) -> list[commands.Command]:
        at_ms = self._clock.wall()
        return [
            commands.LoseWorker(
                name=worker.name, incarnation=worker.incarnation, at_ms=at_ms
            )
            for worker in self._machine.state.workers.values()
            if not self._is_fresh(worker.name)
        ]

    def _is_fresh(self, worker: str) -> bool:
        """Says whether the worker was heard lately.

        An agent that speaks and reports a worker no more has lost it. One that
        is silent may be restarting, or still looking for a new leader, while
        its tasks go on under their leases.
        """
        now = self._clock.now()
        began = self._board.term.get().began
        heard = max(self._board.worker_heard.get(worker, began), began)
        view = self._board.agent_of(worker)
        speaks = view is not None and now - view.heard_ms < self._silence_ms
        bound = self._silence_ms if speaks else self._agent_grace_ms
        return now - heard < bound
