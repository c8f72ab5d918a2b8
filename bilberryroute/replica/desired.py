"""Desired state of each agent, derived from the replicated state."""

import dataclasses

from bilberryroute.model import batch
from bilberryroute.model import config
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
        self._current: dict[str, _Derived] = {}
        self._common = _Common()

    def reset(self) -> None:
        """Forgets all versions, on a change of leader."""
        self._current.clear()

    def desired(
        self,
        state: records.ReplicatedState,
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
        stamp = (state.scheduling_index, state.configuration.revision, workers)
        known = self._current.get(agent)
        if known is not None and known.stamp == stamp:
            return known.desired
        fresh = self._derive(state, index << _COUNTER_BITS, agent, workers)
        if known is not None:
            fresh = _versioned(fresh, known.desired)
        self._current[agent] = _Derived(stamp=stamp, desired=fresh)
        return fresh

    def _derive(
        self,
        state: records.ReplicatedState,
        version: int,
        agent: str,
        workers: tuple[str, ...],
    ) -> wire.Desired:
        self._common = _common(state, self._common)
        return wire.Desired(
            version=version,
            revision=state.configuration.revision,
            domains_in_service=self._common.domains_in_service,
            services=self._common.services,
            tasks=tuple(t for name in workers for t in _tasks(state, name)),
            runs=runs_of(state.batch, agent),
            evacuated=tuple(state.batch.evacuated),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Derived:
    """A desired state and what it was derived from."""

    stamp: tuple[int, int, tuple[str, ...]]
    desired: wire.Desired


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Common:
    """What the desired states of all agents share at one revision."""

    revision: int = -1
    domains_in_service: tuple[str, ...] = ()
    services: tuple[config.Service, ...] = ()


def _common(state: records.ReplicatedState, known: _Common) -> _Common:
    cfg = state.configuration
    if known.revision == cfg.revision:
        return known
    domains = cfg.failure_domains.values()
    return _Common(
        revision=cfg.revision,
        domains_in_service=tuple(
            sorted(d.name for d in domains if d.in_service)
        ),
        services=tuple(cfg.services[name] for name in sorted(cfg.services)),
    )


def _versioned(fresh: wire.Desired, known: wire.Desired) -> wire.Desired:
    """Keeps the version of equal content, and raises it for other content."""
    if dataclasses.replace(fresh, version=known.version) == known:
        return known
    version = max(fresh.version, known.version + 1)
    return dataclasses.replace(fresh, version=version)


def _tasks(
    state: records.ReplicatedState, worker: str
) -> list[wire.DesiredTask]:
    """Returns the desired tasks of one worker, in the order of job ids."""
    job_ids = set(state.held.get(worker, {}).values())
    found = []
    for job_id in sorted(job_ids):
        record = state.jobs[job_id]
        parts = [p for p in record.assignments if p.worker == worker]
        found += [_desired_task(record, part) for part in parts]
    return found


def runs_of(held: batch.BatchState, agent: str) -> tuple[wire.DesiredRun, ...]:
    """Returns the runs of batch jobs on one agent's workers."""
    return tuple(
        _desired_run(held.jobs[task_id.job_id], task_id)
        for task_id in held.placed.get(agent, ())
    )


def _desired_run(
    record: batch.BatchRecord, task_id: batch.TaskId
) -> wire.DesiredRun:
    task = record.task(task_id)
    stop = task.state != batch.TaskState.PLACED
    step = record.content.steps[task_id.step]
    return wire.DesiredRun(
        task=task_id,
        run=task.run,
        worker=task.worker,
        stop=stop,
        saved="" if stop else task.resumed,
        permit="" if stop else task.permit,
        tail_target_ms=step.tail_target_ms,
        fills=step.fills,
    )


def active_records(state: records.ReplicatedState) -> list[jobs.JobRecord]:
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
