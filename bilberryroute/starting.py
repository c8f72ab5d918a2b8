"""How long the start of a process took, by part."""

import enum
import logging

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib

_log = logging.getLogger(__name__)


class Part(enum.StrEnum):
    """Parts of a start, each named by its end; the last two at an entry."""

    LOADED = "loaded"
    SERVING = "serving"
    LEADER_HEARD = "leader_heard"
    FIRST_ANSWER = "first_answer"


def record_end(
    part: Part, metrics: metrics_lib.Metrics, now_ms: clock_lib.Millis
) -> None:
    """Logs and measures the end of a part; only its first end counts.

    Does nothing in a process that does not know when it began.
    """
    if metrics.began_ms is None or part in metrics.start_parts:
        return
    since_start_ms = now_ms - metrics.began_ms
    metrics.start_parts.add(part)
    metrics.start_ms.set({"part": part}, since_start_ms)
    _log.info("start: %s", part, extra={"since_start_ms": since_start_ms})
