"""Wire form of callers' jobs."""

from typing import Annotated

import msgspec

from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import jobs

# States on the wire, by how a job ended.
_RESULTS = {
    jobs.JobResult.DONE: "completed",
    jobs.JobResult.FAILED: "failed",
    jobs.JobResult.REFUSED: "failed",
    jobs.JobResult.CANCELLED: "cancelled",
}


# JSON numbers beyond are not exact, and the log can't hold them.
_MAX_NUMBER = 1 << 53
_Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


class _Step(msgspec.Struct, rename="camel"):
    """One step; a field that is 0, false or empty is left out.

    Attributes:
      cpu: Thousandths of a core.
      gpu: Number of accelerators.
      speculative: Whether copies of a task may run in parallel.
      anti_affinity: Most tasks of the step on one worker.
      target_ms: Bound of the tail latency of tasks that serve.
    """

    count: _Number = 0
    cpu: _Number = 0
    mem_request_mb: _Number = 0
    gpu: _Number = 0
    estimate_ms: _Number = 0
    depends_on: tuple[_Number, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    anti_affinity: _Number = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: _Number = 0
    fills: bool = False
    max_unavailable: _Number = 0


class _Job(msgspec.Struct, rename="camel"):
    """A job as callers submit it.

    Attributes:
      spec: Text handed to every task.
      first_run_ms: Unix time of the first occurrence.
    """

    steps: tuple[_Step, ...]
    spec: str = ""
    run_count: _Number = 0
    first_run_ms: _Number = 0
    interval_ms: _Number = 0


_jobs = msgspec.json.Decoder(_Job)


def decode(body: bytes) -> batch.Content:
    """Decodes the content of a submitted job.

    Raises:
      errors.MalformedInput: If the body is no job.
    """
    try:
        job = _jobs.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.MalformedInput(f"malformed job: {exc}") from exc
    _check(job)
    schedule = None
    if job.run_count > 0:
        schedule = batch.Schedule(
            count=job.run_count,
            first_ms=job.first_run_ms,
            interval_ms=job.interval_ms,
        )
    return batch.Content(
        payload=job.spec,
        steps=tuple(map(_step, job.steps)),
        schedule=schedule,
    )


def _check(job: _Job) -> None:
    if not job.steps:
        raise errors.MalformedInput("the job has no step")
    for number, step in enumerate(job.steps):
        if step.count < 1:
            raise errors.MalformedInput(f"step {number} has no task")
        if any(not 0 <= each < number for each in step.depends_on):
            raise errors.MalformedInput(
                f"step {number} depends on a step that is not before it"
            )
        if min(step.cpu, step.mem_request_mb, step.gpu) < 0:
            raise errors.MalformedInput(f"step {number} asks for less than 0")


def _step(step: _Step) -> batch.Step:
    return batch.Step(
        count=step.count,
        need=batch.Resources(
            cpu_millis=step.cpu,
            memory_mb=step.mem_request_mb,
            accelerators=step.gpu,
        ),
        estimate_ms=step.estimate_ms,
        depends_on=step.depends_on,
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        data_rack=step.data_rack,
        spread_limit=step.anti_affinity,
        copies=step.speculative,
        long_running=step.long_running,
        image=step.image,
        tail_target_ms=step.target_ms,
        fills=step.fills,
        max_unavailable=step.max_unavailable,
    )


def state_of(result: jobs.JobResult | None, *, begun: bool) -> str:
    """Returns the state of a job as callers read it."""
    if result is not None:
        return _RESULTS[result]
    return "running" if begun else "queued"
