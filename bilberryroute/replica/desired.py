"""Desired state of each agent, derived from the replicated state."""

import dataclasses

from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.state import records

_COUNTER_BITS = 20

_WANTED = {
    jobs.JobPhase.RESERVED: "reserved",
    jobs.JobPhase.RUNNING: "running",
    jobs.JobPhase.STOPPING: "stopped",
}


class DesiredStates:
    """Derives and versions the desired state of every agent.

    A version is the log index at which this leader first derived the content,
    followed by a counter for changes within one index. Every term begins with
    an entry of its own, so versions rise across leaders too.
    """

    def __init__(self):
        self._derived_at = (-1, -1)
        self._tasks: dict[str, tuple[wire.DesiredTask, ...]] = {}
        self._current: dict[str, wire.Desired] = {}

    def reset(self) -> None:
        """Forgets all versions, on a change of leader."""
        self._derived_at = (-1, -1)
        self._current.clear()

    def desired(
        self,
        state: records.State,
        index: int,
        agent: str,
        workers: tuple[str, ...],
    ) -> wire.Desired:
        """Returns the agent's whole desired state.

        Args:
          state: Replicated state.
          index: Log index applied.
          agent: The agent's name.
          workers: Names of the workers announced to the agent.
        """
        self._derive_tasks(state)
        fresh = self._derive(state, index << _COUNTER_BITS, workers)
        known = self._current.get(agent)
        if known and dataclasses.replace(fresh, version=known.version) == known:
            return known
        if known and fresh.version <= known.version:
            fresh = dataclasses.replace(fresh, version=known.version + 1)
        self._current[agent] = fresh
        return fresh

    def _derive_tasks(self, state: records.State) -> None:
        stamp = (state.scheduling_index, state.configuration.revision)
        if stamp == self._derived_at:
            return
        self._derived_at = stamp
        by_worker: dict[str, list[wire.DesiredTask]] = {}
        for record in active_records(state):
            for part in record.assignments:
                tasks = by_worker.setdefault(part.worker, [])
                tasks.append(_desired_task(record, part))
        self._tasks = {name: tuple(tasks) for name, tasks in by_worker.items()}

    def _derive(
        self, state: records.State, version: int, workers: tuple[str, ...]
    ) -> wire.Desired:
        cfg = state.configuration
        tasks = [t for name in workers for t in self._tasks.get(name, ())]
        return wire.Desired(
            version=version,
            revision=cfg.revision,
            domains_in_service=tuple(
                sorted(
                    d.name for d in cfg.failure_domains.values() if d.in_service
                )
            ),
            services=tuple(cfg.services[name] for name in sorted(cfg.services)),
            tasks=tuple(tasks),
        )


def active_records(state: records.State) -> list[jobs.JobRecord]:
    """Returns the records of jobs that hold accelerators."""
    ids = {j for held in state.held.values() for j in held.values()}
    return [state.jobs[job_id] for job_id in sorted(ids)]


def _desired_task(
    record: jobs.JobRecord, part: jobs.Assignment
) -> wire.DesiredTask:
    return wire.DesiredTask(
        job_id=record.job.id,
        attempt=record.attempt,
        worker=part.worker,
        accelerators=part.accelerators,
        state=_WANTED[record.phase],
        checkpoint=record.checkpoint,
        progress_ms=record.progress_ms,
    )
