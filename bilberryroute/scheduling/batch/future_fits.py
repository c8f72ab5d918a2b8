"""When and where a unit that waits is expected to fit near its data or rack."""

import bisect

from bilberryroute.scheduling.batch import placing
from bilberryroute.scheduling.batch import room as room_lib
from bilberryroute.scheduling.batch import views


def earliest(
    unit: views.ReadyUnit,
    resources: room_lib.AvailableResources,
    evacuated: list[str],
) -> views.FutureFit | None:
    """Returns the earliest expected local fit of a unit, or None.

    Bisects the expected ends of runs, as more is free after each.
    """

    def fit(delay_ms: int) -> tuple[str, ...] | None:
        return placing.place(
            unit,
            resources,
            resources.free_after(delay_ms),
            evacuated,
            local_only=True,
        )

    delays_ms = resources.expected_end_times()
    position = bisect.bisect_left(
        delays_ms, True, key=lambda delay_ms: fit(delay_ms) is not None
    )
    if position == len(delays_ms):
        return None
    delay_ms = delays_ms[position]
    return views.FutureFit(delay_ms=delay_ms, names=fit(delay_ms))
