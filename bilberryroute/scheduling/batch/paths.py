"""What the planner derives from a job's content, once for each job.

A job may have thousands of steps, and a round asks for its longest path, widest
step and first steps for each unit that waits.
"""

import functools

from bilberryroute.model import batch


class JobPaths:
    """The steps of one job as a graph; each property is computed once."""

    def __init__(self, content: batch.Content):
        self.content = content

    @functools.cached_property
    def estimated_finish_ms(self) -> list[int]:
        """Finish of each step by the estimates, from the start of the job."""
        return _finish_times(
            [step.estimate_ms for step in self.content.steps], self.content
        )

    @functools.cached_property
    def estimated_length_ms(self) -> int:
        """Length of the longest path by the estimates."""
        return max(self.estimated_finish_ms)

    @functools.cached_property
    def depths(self) -> list[int]:
        """Number of steps on the longest path that ends with each step."""
        return _finish_times([1] * len(self.content.steps), self.content)

    @functools.cached_property
    def depth(self) -> int:
        """Number of steps on the longest path."""
        return max(self.depths)

    @functools.cached_property
    def first_steps(self) -> list[int]:
        """Numbers of the steps that wait for no other."""
        return [
            number
            for number, step in enumerate(self.content.steps)
            if not step.depends_on
        ]

    @functools.cached_property
    def max_accelerators(self) -> int:
        """The most accelerators that any single step uses at once."""
        return max(
            step.count * step.need.accelerators for step in self.content.steps
        )

    @functools.cached_property
    def total_need(self) -> int:
        """Value of what all tasks need, in thousandths of a core."""
        return sum(s.count * s.need.value_millis for s in self.content.steps)

    @functools.cached_property
    def estimated_work(self) -> int:
        """Work by the estimates, in thousandths of a core-millisecond."""
        return sum(
            step.estimate_ms * step.count * step.need.value_millis
            for step in self.content.steps
        )


class PathCache:
    """The paths of the jobs that are stored."""

    def __init__(self):
        self._paths: dict[str, JobPaths] = {}

    def of(self, record: batch.BatchRecord) -> JobPaths:
        """Returns the paths of a job."""
        paths = self._paths.get(record.id)
        if paths is None or paths.content is not record.content:
            paths = self._paths[record.id] = JobPaths(record.content)
        return paths

    def retain(self, state: batch.BatchState) -> None:
        """Drops the jobs that have ended or are not stored any more."""
        for job_id in list(self._paths):
            record = state.jobs.get(job_id)
            if record is None or record.result is not None:
                del self._paths[job_id]


def _finish_times(durations: list[int], content: batch.Content) -> list[int]:
    finish_times: list[int] = []
    for step, duration in zip(content.steps, durations, strict=True):
        start = max((finish_times[each] for each in step.depends_on), default=0)
        finish_times.append(start + duration)
    return finish_times
