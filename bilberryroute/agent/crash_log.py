"""Logs the crashes of workers."""

import logging
from collections.abc import Mapping

from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life as life_lib

logger = logging.getLogger(__name__)


def log_crash(
    worker: life_lib.WorkerIncarnation,
    crashed_runs: Mapping[run_plan.RunKey, int | None],
) -> None:
    """Logs each run that a crash of an incarnation ended.

    Args:
      worker: Incarnation that has ended.
      crashed_runs: Its result of `runs_ended_by_crash`.
    """
    ended = crashed_runs.keys() - worker.crashed_runs.keys()
    for key in sorted(ended, key=str):
        logger.info(
            "worker has crashed",
            extra=run_plan.key_fields(key)
            | {
                "worker": worker.announced.name,
                "born": worker.announced.born,
                "down_after_ms": crashed_runs[key],
                "runs": len(ended),
            },
        )
