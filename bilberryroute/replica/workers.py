"""Commits when workers join and when they are lost."""

import asyncio

import mode

from bilberryroute import clock as clock_lib
from bilberryroute.model import commands
from bilberryroute.replica import parts as parts_lib

LOST_RENEWALS = 3
SILENT_RETENTION_MS = 10 * clock_lib.MINUTE
CHECK_MS = clock_lib.Millis(250)


class WorkerController(mode.Service):
    """Commits `JoinWorker` for reported, `LoseWorker` for silent workers."""

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
            self._board.drop_silent(self._clock.now() - SILENT_RETENTION_MS)
            worker_commands = [*self._join_commands(), *self._lose_commands()]
            await asyncio.gather(
                *map(self._proposer.try_propose, worker_commands)
            )

    def _join_commands(self) -> list[commands.Command]:
        joined = self._machine.state.workers
        at_ms = self._clock.wall()
        return [
            commands.JoinWorker(worker=worker, at_ms=at_ms)
            for agent in self._board.agents.get().values()
            for worker in agent.renewal.workers
            if joined.get(worker.name) != worker
            and self._is_present(worker.name)
        ]

    def _lose_commands(self) -> list[commands.Command]:
        at_ms = self._clock.wall()
        return [
            commands.LoseWorker(
                name=worker.name, incarnation=worker.incarnation, at_ms=at_ms
            )
            for worker in self._machine.state.workers.values()
            if not self._is_present(worker.name)
        ]

    def _is_present(self, worker: str) -> bool:
        """Returns whether a worker was reported recently enough.

        An agent that reports, but no longer reports a worker, has lost it. A
        silent agent may be restarting or looking for a new leader while its
        tasks continue under their leases, so it gets a longer timeout.
        """
        now = self._clock.now()
        began = self._board.term.get().began
        last_seen = max(self._board.worker_last_seen.get(worker, began), began)
        agent = self._board.agent_of(worker)
        reporting = (
            agent is not None and now - agent.last_seen_ms < self._silence_ms
        )
        timeout_ms = self._silence_ms if reporting else self._agent_grace_ms
        return now - last_seen < timeout_ms
