"""Commands that the leader derives from one planning round."""

from bilberryroute.model import batch_commands as batching
from bilberryroute.replica import batch as batch_lib
from bilberryroute.scheduling.batch import views
from tests.utils import batches


def test_only_stops_for_other_jobs_count_as_room_that_was_made():
    moved = batching.TaskRun(task=batches.task("moved"), run=1)
    preempted = batching.TaskRun(task=batches.task("preempted"), run=1)
    plan = views.BatchPlan(stops=(preempted,))
    assert batch_lib._commands(plan, [moved]) == [
        batching.StopRuns(runs=(moved,), at_ms=0, forced=True),
        batching.StopRuns(runs=(preempted,), at_ms=0),
    ]
