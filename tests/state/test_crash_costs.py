"""Cost of recording many crashes at once."""

from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from tests.utils import batches

WORKERS = 100


class CountedJobs(dict):
    """Counts how often all jobs are read."""

    reads = 0

    def values(self):
        self.reads += 1
        return super().values()


def test_crash_of_all_workers_reads_all_jobs_once():
    """Every replica applies the command, and serves nobody meanwhile."""
    log = batches.Log()
    for number in range(WORKERS):
        job_id = f"j{number}"
        log.submit(job_id, batches.content())
        log.place(batches.unit(job_id, batches.ref(f"w{number}")))
    log.now += 500
    ends = tuple(
        batching.RunEnd(
            task=batches.task(f"j{number}"),
            run=1,
            outcome=batch.RunOutcome.LOST,
            cause=batch.LossCause.CRASHED,
            down_after_ms=400,
        )
        for number in range(WORKERS)
    )
    log.held.jobs = CountedJobs(log.held.jobs)
    log.apply(batching.EndRuns(ends=ends, at_ms=log.now))
    assert log.held.jobs.reads <= 1
