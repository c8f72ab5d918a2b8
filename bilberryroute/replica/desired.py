"""Desired state of each agent, derived from the replicated state."""

import dataclasses

from bilberryroute.model import batch
from bilberryroute.model import config
from bilberryroute.model import jobs
from bilberryroute.model import wire
from bilberryroute.state import records

_COUNTER_BITS = 20

_TASK_STATE_BY_PHASE = {
    jobs.JobPhase.RESERVED: "reserved",
    jobs.JobPhase.RUNNING: "running",
    jobs.JobPhase.STOPPING: "stopped",
}


class DesiredStates:
    """Derives and versions the desired state of every agent.

    A version consists of the log index at which this leader first derived the
    content and, in its low bits, a counter for changes within one index. Every
    term begins with a log entry of its own, so versions increase across
    leaders, too.
    """

    def __init__(self):
        self._current: dict[str, _CachedState] = {}
        self._shared = _SharedState()

    def reset(self) -> None:
        """Drops all cached versions, on a change of leader."""
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
          index: Last applied log index.
          agent: The agent's name.
          workers: Names of the workers that are announced to the agent.
        """
        input_key = (
            state.scheduling_index,
            state.configuration.revision,
            workers,
        )
        previous = self._current.get(agent)
        if previous is not None and previous.input_key == input_key:
            return previous.desired
        derived = self._derive(state, index << _COUNTER_BITS, agent, workers)
        if previous is not None:
            derived = _versioned(derived, previous.desired)
        self._current[agent] = _CachedState(
            input_key=input_key, desired=derived
        )
        return derived

    def _derive(
        self,
        state: records.ReplicatedState,
        version: int,
        agent: str,
        workers: tuple[str, ...],
    ) -> wire.Desired:
        self._shared = _shared_state(state, self._shared)
        return wire.Desired(
            version=version,
            revision=state.configuration.revision,
            domains_in_service=self._shared.domains_in_service,
            services=self._shared.services,
            tasks=tuple(
                t for name in workers for t in _desired_tasks(state, name)
            ),
            runs=desired_runs(state.batch, agent),
            evacuated=tuple(state.batch.evacuated),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _CachedState:
    """A desired state and the key of the input that it was derived from."""

    input_key: tuple[int, int, tuple[str, ...]]
    desired: wire.Desired


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SharedState:
    """The part that all agents' desired states share at a revision."""

    revision: int = -1
    domains_in_service: tuple[str, ...] = ()
    services: tuple[config.Service, ...] = ()


def _shared_state(
    state: records.ReplicatedState, previous: _SharedState
) -> _SharedState:
    cfg = state.configuration
    if previous.revision == cfg.revision:
        return previous
    domains = cfg.failure_domains.values()
    return _SharedState(
        revision=cfg.revision,
        domains_in_service=tuple(
            sorted(d.name for d in domains if d.in_service)
        ),
        services=tuple(cfg.services[name] for name in sorted(cfg.services)),
    )


def _versioned(derived: wire.Desired, previous: wire.Desired) -> wire.Desired:
    """Keeps the version of unchanged content and raises it for a change."""
    if dataclasses.replace(derived, version=previous.version) == previous:
        return previous
    version = max(derived.version, previous.version + 1)
    return dataclasses.replace(derived, version=version)


def _desired_tasks(
    state: records.ReplicatedState, worker: str
) -> list[wire.DesiredTask]:
    """Returns the desired tasks of one worker, ordered by job id."""
    job_ids = set(state.held.get(worker, {}).values())
    tasks = []
    for job_id in sorted(job_ids):
        record = state.jobs[job_id]
        assignments = [a for a in record.assignments if a.worker == worker]
        tasks += [
            _desired_task(record, assignment) for assignment in assignments
        ]
    return tasks


def desired_runs(
    batch_state: batch.BatchState, agent: str
) -> tuple[wire.DesiredRun, ...]:
    """Returns the desired runs of batch jobs on an agent's workers."""
    return tuple(
        _desired_run(batch_state.jobs[task_id.job_id], task_id)
        for task_id in batch_state.placed.get(agent, ())
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
        need=batch.task_demand(step),
    )


def active_records(state: records.ReplicatedState) -> list[jobs.JobRecord]:
    """Returns the records of jobs that hold accelerators."""
    ids = {
        j
        for jobs_by_index in state.held.values()
        for j in jobs_by_index.values()
    }
    return [state.jobs[job_id] for job_id in sorted(ids)]


def _desired_task(
    record: jobs.JobRecord, assignment: jobs.Assignment
) -> wire.DesiredTask:
    return wire.DesiredTask(
        job_id=record.job.id,
        attempt=record.attempt,
        worker=assignment.worker,
        accelerators=assignment.accelerators,
        state=_TASK_STATE_BY_PHASE[record.phase],
        checkpoint=record.checkpoint,
        progress_ms=record.progress_ms,
    )
