"""Records all scheduling decisions of one simulated session of a deployment.

`python -m tests.scheduling.golden` rewrites the files; the tests only read.
"""

import json
import pathlib
import random

from benchmarks import decisions_loop as loops
from benchmarks import decisions_workload as workloads
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import policy as policies
from bilberryroute.scheduling import scheduler

FOLDER = pathlib.Path(__file__).parent / "golden"
DEPLOYMENTS = ("trust", "exchange")
SEED = 11


class Recorder(scheduler.Scheduler):
    """A scheduler that records every decision as one row."""

    def __init__(self):
        super().__init__(policies.Policy(), random.Random(SEED))
        self.rows = []

    def decide(self, now_ms):
        """Makes decisions and records them."""
        decided = super().decide(now_ms)
        self.rows += [[now_ms, *_row(each)] for each in decided]
        return decided


class NoMeasures:
    """Stands in for measures and ignores all calls."""

    def __getattr__(self, name):
        """Returns a method that does nothing."""
        return lambda *args: None


def _row(decision):
    match decision:
        case decisions.PlaceAttempt(job_id=job_id, attempt=attempt):
            accelerators = {
                each.worker: list(each.accelerators)
                for each in decision.assignments
            }
            return ["place", job_id, attempt, accelerators]
        case decisions.StopAttempt(
            job_id=job_id, attempt=attempt, reason=reason
        ):
            return ["stop", job_id, attempt, reason]
        case decisions.Refuse(job_id=job_id, reason=reason):
            return ["refuse", job_id, reason]
        case decisions.Fail(job_id=job_id, attempt=attempt, reason=reason):
            return ["fail", job_id, attempt, reason]


def record(deployment):
    """Runs a session and returns its decisions, one row each."""
    recorder = Recorder()
    workload = workloads.generate(deployment, SEED)
    loops.Loop(workload, recorder, NoMeasures()).run()
    return recorder.rows


def path_of(deployment):
    """Returns the golden file of a deployment."""
    return FOLDER / f"{deployment}.json"


def main():
    """Writes all golden files."""
    FOLDER.mkdir(exist_ok=True)
    for deployment in DEPLOYMENTS:
        rows = ",\n".join(json.dumps(row) for row in record(deployment))
        path_of(deployment).write_text(f"[\n{rows}\n]\n")


if __name__ == "__main__":
    main()
