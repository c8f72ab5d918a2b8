"""Logs when a worker falls silent and when it answers again."""

import logging

from bilberryroute.agent import worker_life as life_lib
from bilberryroute.agent import worker_view

logger = logging.getLogger(__name__)


def log_change(worker: life_lib.WorkerIncarnation, now: int) -> None:
    """Logs once that a worker is silent, and that it answers again.

    The second line says for how long the lease of its runs was extended
    meanwhile, counted from the last answer.

    Args:
      worker: Present incarnation of the worker.
      now: Agent's clock, in milliseconds.
    """
    silent = worker_view.is_silent(worker, now)
    fields = {"worker": worker.announced.name}
    if silent and worker.silent_since_ms is None and not worker.over:
        worker.silent_since_ms = worker.last_answer_ms
        logger.info("worker is silent", extra=fields)
    elif not silent and worker.silent_since_ms is not None:
        since_ms = worker.silent_since_ms
        fields["silent_ms"] = now - since_ms
        fields["extended_ms"] = max(0, worker.last_extension_ms - since_ms)
        worker.silent_since_ms = None
        logger.info("worker answers again", extra=fields)
