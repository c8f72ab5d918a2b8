"""Fills racks one after the other, so that others stay whole for wide gangs.

Answers a pool whose racks all hold a little: a gang that needs most of a rack
then stops runs, waits, or runs on several racks, which takes it a multiple of
its time.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import views


def free_by_rack(
    workers: Iterable[views.WorkerSnapshot],
    available: Mapping[str, batch.Resources],
) -> Mapping[str, int]:
    """Returns the value of what is free in each rack.

    The value is that of `batch.Resources.value_millis`. What is free on workers
    that accept nothing now is not counted: no gang starts there.
    """
    free: collections.Counter[str] = collections.Counter()
    for worker in workers:
        if worker.open:
            free[worker.rack] += max(0, available[worker.ref.name].value_millis)
    return free
