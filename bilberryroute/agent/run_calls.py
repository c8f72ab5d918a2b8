"""Sends starts and stops of runs to the worker and records its answers."""

import logging
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.agent import board as board_lib
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_life as life_lib
from bilberryroute.agent import worker_port
from bilberryroute.model import wire

logger = logging.getLogger(__name__)


class RunCalls:
    """Calls of an agent to one worker at a time, with their log lines."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        board: board_lib.AgentBoard,
        port: worker_port.WorkerPort,
        metrics: metrics_lib.Metrics,
    ):
        self._clock = clock
        self._board = board
        self._port = port
        self._metrics = metrics

    async def start(
        self,
        worker: life_lib.WorkerIncarnation,
        run: wire.DesiredRun,
        until_ms: int,
    ) -> worker_port.StartVerdict | None:
        """Sends one start of a run.

        Args:
          worker: Incarnation on which the run is to start.
          run: The run.
          until_ms: End of the run's lease on the worker's clock.

        Returns:
          The worker's verdict, or None if it did not answer: the run may have
          started.
        """
        key = (run.task, run.run)
        state = worker.progress_of(key)
        fence = self._board.lease.get().term
        fields = run_plan.key_fields(key)
        order = worker_port.StartOrder(
            worker=worker.announced.name,
            task=run.task,
            run=run.run,
            payload=self._board.payloads.get()[run.task.job_id],
            saved=run.saved,
            permit=run.permit,
            until_ms=until_ms,
            fence=fence,
        )
        sent_before_ms = state.start_sent_ms
        state.start_sent_ms = self._clock.now()
        unanswered_before_ms = worker.unanswered_starts.get(key)
        worker.unanswered_starts[key] = state.start_sent_ms
        try:
            answer = await self._port.start_run(worker.announced.address, order)
        except errors.BilberryrouteError as exc:
            worker.unanswered_calls += 1
            worker.unanswered_starts = worker.starts_still_under_way(
                self._clock.now()
            )
            self._metrics.retried("start_unanswered")
            logger.info("start unanswered: %s", exc, extra=fields)
            return None
        if unanswered_before_ms is None:
            worker.unanswered_starts.pop(key, None)
        else:
            worker.unanswered_starts[key] = unanswered_before_ms
        run_plan.apply_start_answer(state, answer, self._clock.now())
        logger.info("start: %s", answer.verdict, extra=fields | {"term": fence})
        if answer.verdict != worker_port.StartVerdict.STARTED:
            # An earlier start without an answer may still be carried out.
            state.start_sent_ms = sent_before_ms
            self._metrics.retried(f"start_{answer.verdict}")
        if (
            answer.verdict == worker_port.StartVerdict.BUSY
            and state.phase == run_plan.RunPhase.REFUSED
        ):
            self._metrics.retried("start_given_up")
            logger.info("start given up: the worker stays busy", extra=fields)
        return answer.verdict

    async def stop(
        self, worker: life_lib.WorkerIncarnation, key: run_plan.RunKey
    ) -> bool:
        """Sends one stop of a run; returns whether the worker confirmed it.

        Logs the first of several stops without an answer, and later their count.
        """
        task, run = key
        state = worker.progress_of(key)
        fields = run_plan.key_fields(key)
        fence = self._board.lease.get().term
        try:
            clock_ms = await self._port.stop_run(
                worker.announced.address, task, run, fence
            )
        except errors.BilberryrouteError as exc:
            self._metrics.retried("stop_unanswered")
            state.unanswered_stops += 1
            if state.unanswered_stops == 1:
                logger.info("stop unanswered: %s", exc, extra=fields)
            return False
        state.phase = run_plan.RunPhase.BARRED
        state.clock_ms = clock_ms
        if state.unanswered_stops:
            fields["unanswered"] = state.unanswered_stops
            state.unanswered_stops = 0
        logger.info("stopped", extra=fields)
        return True


def log_abandoned_stops(
    progress: Mapping[run_plan.RunKey, run_plan.RunProgress],
) -> None:
    """Logs the stops without an answer that are not sent again."""
    for key, state in progress.items():
        if state.unanswered_stops and not state.call_in_flight:
            logger.info(
                "stop no longer sent",
                extra=run_plan.key_fields(key)
                | {"unanswered": state.unanswered_stops},
            )
            state.unanswered_stops = 0
