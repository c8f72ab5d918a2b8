"""State that an agent keeps on one incarnation of its worker."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire

# How long after its sending a call may be carried out. Workers were seen to take
# up to 12 s.
LATE_CALL_MS = clock_lib.Millis(60_000)

# Sequence number of an incarnation that was found before it announced itself;
# lower than any announced one.
UNANNOUNCED = -1


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerIncarnation:
    """One incarnation of the worker, from its start to its end.

    Attributes:
      announced: Last announcement.
      listing: Newest listing, or None before the first.
      progress: Progress by run.
      listing_received_ms: Agent's clock when the newest listing arrived.
      last_answer_ms: Agent's clock at the last answer of any kind.
      silent_since_ms: The same while the worker is silent; None otherwise.
      last_extension_ms: Agent's clock when a call was last sent that extends
        the lease of the runs; it may be carried out without an answer.
      down_since_ms: When connections were first refused; None if accepted.
      unanswered_calls: Number of calls that were not answered.
      explained_calls: How many of those were before the newest listing was asked
        for: the worker was the same afterwards.
      withdrawn: Whether the worker has announced that it ends.
      over: Whether the incarnation has ended, and all its runs with it.
      earlier_runs_barred: Whether the runs meant for earlier incarnations
        are barred here.
      unanswered_starts: Runs of which a start was sent, to this incarnation or
        an earlier one, and not answered, with the agent's clock when it was.
      crashed_runs: Runs of earlier incarnations that a crash has ended, with
        the time from their start until the worker was down, in milliseconds;
        None for those that an earlier process of the agent had started.
    """

    announced: worker_port.BatchWorkerAnnouncement
    listing: worker_port.Listing | None = None
    progress: dict[run_plan.RunKey, run_plan.RunProgress] = dataclasses.field(
        default_factory=dict
    )
    listing_received_ms: int = 0
    last_answer_ms: int = 0
    silent_since_ms: int | None = None
    last_extension_ms: int = 0
    down_since_ms: int | None = None
    unanswered_calls: int = 0
    explained_calls: int = 0
    withdrawn: bool = False
    over: bool = False
    earlier_runs_barred: bool = False
    unanswered_starts: dict[run_plan.RunKey, int] = dataclasses.field(
        default_factory=dict
    )
    crashed_runs: Mapping[run_plan.RunKey, int | None] = dataclasses.field(
        default_factory=dict
    )

    def is_newer(
        self, announcement: worker_port.BatchWorkerAnnouncement
    ) -> bool:
        """Returns whether an announcement is newer than the known one."""
        known = self.announced
        if announcement.born != known.born:
            return announcement.born > known.born
        return announcement.sequence > known.sequence

    @property
    def may_have_restarted(self) -> bool:
        """Whether a call was not answered since the newest listing."""
        return self.unanswered_calls > self.explained_calls

    @property
    def has_announced_itself(self) -> bool:
        """Whether `announced` is of this incarnation, not of an earlier one."""
        return self.announced.sequence != UNANNOUNCED

    def known_capacity(self, now: int, max_age_ms: int) -> batch.Resources:
        """Returns the capacity that the worker has for certain, or none.

        It is unknown until this incarnation has announced itself, as an earlier
        one may have had more, and once its last announcement is too old: later
        ones may have been lost.
        """
        if not self.has_announced_itself:
            return batch.NO_RESOURCES
        if self.worker_clock(now) - self.announced.clock_ms > max_age_ms:
            return batch.NO_RESOURCES
        return self.announced.capacity

    def worker_clock(self, now: int) -> int:
        """Returns a lower bound of the worker's clock at `now`."""
        return self.listing.clock_ms + max(0, now - self.listing_received_ms)

    def progress_of(self, key: run_plan.RunKey) -> run_plan.RunProgress:
        """Returns the progress of a run; creates it if there is none."""
        return self.progress.setdefault(key, run_plan.RunProgress())

    def drop_stale_progress(
        self, desired: Iterable[wire.DesiredRun]
    ) -> Mapping[run_plan.RunKey, run_plan.RunProgress]:
        """Drops what is known of runs that have ended for the leader.

        Args:
          desired: Runs that the leader desires, and it knew of this incarnation.

        Returns:
          What is dropped.
        """
        referenced = {(run.task, run.run) for run in desired}
        self.crashed_runs = {
            key: down_after_ms
            for key, down_after_ms in self.crashed_runs.items()
            if key in referenced
        }
        referenced |= {(run.task, run.run) for run in self.listing.running}
        return {
            key: self.progress.pop(key)
            for key, state in list(self.progress.items())
            if key not in referenced and not state.call_in_flight
        }

    def starts_still_under_way(self, now: int) -> dict[run_plan.RunKey, int]:
        """Returns the unanswered starts that may still be carried out.

        Also by a later incarnation that has the same name.
        """
        return {
            key: sent_ms
            for key, sent_ms in self.unanswered_starts.items()
            if now - sent_ms < LATE_CALL_MS
        }

    def runs_ended_by_crash(
        self, now: int
    ) -> Mapping[run_plan.RunKey, int | None]:
        """Returns the runs that end if a new incarnation takes over now.

        Includes those whose start was not answered: it may have crashed the
        worker. A worker that announced its end has not crashed, but the leader
        may not have committed the crash of an earlier incarnation yet.

        Returns:
          For each run the time from its start until the worker was down, as in
          `crashed_runs`.
        """
        if self.over or self.announced.draining:
            return dict(self.crashed_runs)
        begun = {
            key
            for key, progress in self.progress.items()
            if progress.phase == run_plan.RunPhase.STARTED
            or progress.start_sent_ms is not None
        }
        ended: set[run_plan.RunKey] = set()
        if self.listing is not None:
            begun |= {(run.task, run.run) for run in self.listing.running}
            ended = {(end.task, end.run) for end in self.listing.ends}
        down_ms = now if self.down_since_ms is None else self.down_since_ms
        return dict(self.crashed_runs) | {
            key: self._down_after_ms(key, down_ms) for key in begun - ended
        }

    def _down_after_ms(self, key: run_plan.RunKey, down_ms: int) -> int | None:
        progress = self.progress.get(key)
        if progress is None or progress.start_sent_ms is None:
            return None
        return max(0, down_ms - progress.start_sent_ms)

    @property
    def name(self) -> str:
        """Name that is unique to this incarnation."""
        return incarnation_name(self.announced.name, self.announced.born)

    def ref(self, agent: str) -> batch.WorkerRef:
        """Returns the leader's reference to this incarnation."""
        return batch.WorkerRef(
            agent=agent, name=self.announced.name, born=self.announced.born
        )

    def report(
        self, ends: tuple[wire.EndReport, ...], capacity: batch.Resources
    ) -> wire.WorkerReport:
        """Returns the report to the leader, with these ends and capacity.

        Labels may differ between incarnations, so none are reported until this
        one has announced its own.
        """
        announcement = self.announced
        return wire.WorkerReport(
            name=announcement.name,
            born=announcement.born,
            pool=announcement.pool,
            failure_domain=announcement.failure_domain,
            rack=announcement.rack,
            labels=announcement.labels if self.has_announced_itself else (),
            capacity=capacity,
            draining=announcement.draining,
            remaining_ms=announcement.remaining_ms,
            over=self.over,
            running=() if self.over else self.listing.running,
            ends=ends,
        )


def incarnation_name(name: str, born: int) -> str:
    """Returns a name that is unique to one incarnation of a worker."""
    return f"{name}@{born}"
