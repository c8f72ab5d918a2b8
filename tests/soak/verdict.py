"""Judges a run of the soak by what callers, operators and workers saw."""

import collections
import dataclasses
from collections.abc import Iterator

from extras.fakes import journal as journal_lib
from tests.soak import records

# A change of the configuration is in force this long after its answer.
IN_FORCE_MS = 2_000
# Nothing of a job starts later than this after it was shown as completed.
STALE_START_MS = 1_000
# A job may be shown as failed if so many workers crashed under a task of it.
CRASHES_TO_GIVE_UP = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunSpan:
    """One run of a task on one worker.

    Attributes:
      how: How it ended; `dead` with its worker, empty if it goes on.
    """

    task: str
    run: int
    worker: str
    start_ms: int
    end_ms: int | None = None
    how: str = ""

    @property
    def job_id(self) -> str:
        """Returns the id of the task's job."""
        return self.task.split(".")[0]

    def overlaps(self, later: "RunSpan") -> bool:
        """Returns whether a run that began later began before this ended."""
        return self.end_ms is None or later.start_ms < self.end_ms


def spans(journals: dict[str, list[journal_lib.Line]]) -> list[RunSpan]:
    """Returns the runs that the workers carried out, by start."""
    found = []
    for worker, lines in journals.items():
        active: dict[tuple[str, int], RunSpan] = {}
        for line in lines:
            key = (line.subject, line.attempt)
            if line.event == "start":
                active[key] = RunSpan(
                    task=line.subject,
                    run=line.attempt,
                    worker=worker,
                    start_ms=line.monotonic_ms,
                )
            elif line.event == "dead":
                found += _ended(active.values(), line)
                active.clear()
            else:
                found += _ended([active.pop(key)], line)
        found += active.values()
    return sorted(found, key=lambda span: span.start_ms)


def _ended(runs, line: journal_lib.Line) -> list[RunSpan]:
    return [
        dataclasses.replace(run, end_ms=line.monotonic_ms, how=line.event)
        for run in runs
    ]


def violations(
    jobs: list[records.JobRecord],
    config: records.ConfigRecord,
    journals: dict[str, list[journal_lib.Line]],
) -> list[str]:
    """Returns the broken promises of a run, in words."""
    runs = spans(journals)
    by_task = collections.defaultdict(list)
    by_job = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
        by_job[run.job_id].append(run)
    return [
        *_config_violations(config),
        *(text for job in jobs for text in _job(job, by_job[job.job_id])),
        *(text for each in by_task.values() for text in _task(each)),
        *_order_violations(jobs, by_job),
    ]


def _job(job: records.JobRecord, runs: list[RunSpan]) -> Iterator[str]:
    if job.accepted and job.gone:
        yield f"accepted job {job.job_id} was denied {job.gone} times"
    if job.failed and not _may_be_given_up(runs):
        yield f"job {job.job_id} was shown as failed without a cause"
    if job.accepted and job.completed_ms is None and not job.failed:
        yield f"accepted job {job.job_id} was not completed at the end"
    if job.refused and runs:
        yield f"refused job {job.job_id} has run"
    if job.completed_ms is not None:
        for run in runs:
            if run.start_ms > job.completed_ms + STALE_START_MS:
                yield f"{run.task} started after its job was completed"


def _may_be_given_up(runs: list[RunSpan]) -> bool:
    crashes = collections.Counter(r.task for r in runs if r.how == "dead")
    return max(crashes.values(), default=0) >= CRASHES_TO_GIVE_UP


def _task(runs: list[RunSpan]) -> Iterator[str]:
    for position, run in enumerate(runs):
        for later in runs[position + 1 :]:
            if run.run == later.run:
                yield f"run {run.run} of {run.task} started twice"
            elif run.overlaps(later):
                yield (
                    f"{run.task} ran twice at once: run {run.run} on"
                    f" {run.worker}, run {later.run} on {later.worker}"
                )


def _order_violations(
    jobs: list[records.JobRecord], by_job: dict[str, list[RunSpan]]
) -> Iterator[str]:
    for job in jobs:
        steps = job.body["steps"]
        done_ms: dict[str, int] = {}
        for run in by_job[job.job_id]:
            if run.how == "done":
                known = done_ms.get(run.task, run.end_ms)
                done_ms[run.task] = min(known, run.end_ms)
        for run in by_job[job.job_id]:
            step = int(run.task.split(".")[2])
            for earlier in steps[step].get("dependsOn", ()):
                for index in range(steps[earlier]["count"]):
                    task = f"{job.job_id}.0.{earlier}.{index}"
                    if done_ms.get(task, run.start_ms + 1) > run.start_ms:
                        yield f"{run.task} started before {task} was done"


def _config_violations(config: records.ConfigRecord) -> Iterator[str]:
    for read in config.reads:
        due = [
            version
            for version, at_ms in config.acknowledged.items()
            if at_ms + IN_FORCE_MS < read.sent_ms
        ]
        if due and read.version < max(due):
            yield f"configuration {read.version} was read after {max(due)}"
    newest = max(config.acknowledged, default=0)
    if config.final is None:
        yield "the configuration could not be read at the end"
    elif config.final["version"] < newest:
        yield f"configuration {newest} was lost: {config.final['version']}"
    elif config.final != config.sent[config.final["version"]]:
        yield f"configuration {config.final['version']} has other content"
