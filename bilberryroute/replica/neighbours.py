"""Learns on the leader, from agents' reports, which images hurt each other.

Answers tasks that slow each other down on one worker (see
`scheduling.batch.interference`). What is learned is not replicated: a new leader
learns again from the runs that go on.
"""

import logging
from collections.abc import Generator
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute.model import batch
from bilberryroute.model import wire
from bilberryroute.replica import batch_upkeep
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import turns
from bilberryroute.scheduling.batch import interference as interference_lib
from bilberryroute.scheduling.batch import interference_segments
from bilberryroute.scheduling.batch import placing

# Time between two looks at the reports: a run of a second is seen twice.
OBSERVE_MS = 400
# Time between two estimates, which take some milliseconds in slices.
ESTIMATE_MS = 2 * clock_lib.SECOND
# Runs looked at between two turns of others: a fraction of a millisecond.
SLICE = 64
# Changed verdicts that one update logs at most.
MAX_LOGGED = 8

logger = logging.getLogger(__name__)


class Neighbours:
    """What this replica has learned while it led.

    Attributes:
      interference: Estimates by pair of images. Kept over the terms of other
        leaders, as they age by themselves.
    """

    def __init__(
        self, parts: parts_lib.ReplicaParts, metrics: metrics_lib.Metrics
    ):
        self._parts = parts
        self._clock = parts.clock
        self._metrics = metrics
        self.interference = interference_lib.Interference()
        self._segments = interference_segments.Segments()
        self._term = 0
        self._observed_ms: int | None = None
        self._estimated_ms = parts.clock.now()

    async def update(self, speeds: Mapping[str, float]) -> None:
        """Takes the newest reports, unless the last ones were just taken.

        Args:
          speeds: Speed of each worker where it is known, 1 on average.
        """
        now = self._clock.now()
        term = self._parts.board.term.get().number
        if term != self._term:
            # Runs were not seen while another replica led.
            self._segments = interference_segments.Segments()
            self._term = term
        elif self._observed_ms is not None and (
            now - self._observed_ms < OBSERVE_MS
        ):
            return
        self._observed_ms = now
        goes_on = self._parts.leadership.active
        await turns.run(self._observe(), goes_on, self._clock)
        if now - self._estimated_ms < ESTIMATE_MS:
            return
        self._estimated_ms = now
        slices = self.interference.update_in_slices(speeds, now)
        changes = await turns.run(slices, goes_on, self._clock)
        self._note(changes or [])

    def _observe(self) -> Generator[None, None, None]:
        state = self._parts.machine.state.batch
        count = 0
        for worker in list(self._parts.board.batch_workers.get().values()):
            for seen in _observations(state, worker):
                segment = self._segments.observe(seen)
                if segment is not None:
                    self.interference.add(segment)
            count += len(worker.report.running)
            if count >= SLICE:
                count = 0
                yield
        for segment in self._segments.end_absent():
            self.interference.add(segment)

    def _note(self, changes: list[interference_lib.Change]) -> None:
        hurts = interference_lib.Verdict.HURTS
        changes = [c for c in changes if hurts in (c.before, c.pair.verdict)]
        for number, change in enumerate(changes):
            found = change.pair.verdict == hurts
            self._metrics.interference.inc(
                {"verdict": "hurts" if found else "cleared"}
            )
            if number >= MAX_LOGGED:
                continue
            logger.info(
                "image slows down another"
                if found
                else "image no longer slows down another",
                extra={
                    "image": change.victim,
                    "beside": change.neighbour,
                    "slowdown": round(change.pair.slowdown, 2),
                    "error": round(change.pair.error, 2),
                    "seen_ms_ago": self._clock.now() - change.pair.at_ms,
                },
            )


def _observations(
    state: batch.BatchState, worker: board_lib.BatchWorker
) -> list[interference_segments.Observation]:
    """Returns the runs of one worker that may be slowed down."""
    report = worker.report
    running = []
    for run in report.running:
        record = state.jobs.get(run.task.job_id)
        if record is not None and record.task(run.task) is not None:
            running.append((run, record.content.steps[run.task.step]))
    images = [step.image for _, step in running]
    tails = {(t.task, t.run): t.tail_ms for t in report.tails}
    found = []
    for place, (run, step) in enumerate(running):
        if not _is_comparable(step):
            continue
        ratio = None
        if step.long_running:
            tail_ms = tails.get((run.task, run.run))
            if tail_ms is None or run.percent < batch_upkeep.SERVING_PERCENT:
                continue
            ratio = tail_ms / step.tail_target_ms
        found.append(
            interference_segments.Observation(
                run=(run.task, run.run),
                victim=step.image,
                step=(run.task.job_id, run.task.occurrence, run.task.step),
                worker=report.name,
                neighbours=_others(images, place),
                work=step.estimate_ms * _slowdown(step, report),
                percent=run.percent,
                tail_ratio=ratio,
                at_ms=worker.last_seen_ms,
            )
        )
    return found


def _is_comparable(step: batch.Step) -> bool:
    """Returns whether the progress of a step's runs is their own.

    Fill runs are paced, and members of a gang wait for each other.
    """
    alone = not step.gang or step.count == 1
    judged = not step.long_running or step.tail_target_ms > 0
    return bool(step.image) and alone and judged and not step.fills


def _others(images: list[str], place: int) -> frozenset[str]:
    return frozenset(filter(None, images[:place] + images[place + 1 :]))


def _slowdown(step: batch.Step, report: wire.WorkerReport) -> int:
    is_remote = step.data_rack and step.data_rack != report.rack
    return placing.REMOTE_FACTOR if is_remote else 1
