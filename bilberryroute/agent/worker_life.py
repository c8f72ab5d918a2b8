"""One life of the worker beside an agent, as the agent has seen it."""

import dataclasses

from bilberryroute.agent import run_plan
from bilberryroute.agent import worker_port
from bilberryroute.model import batch
from bilberryroute.model import wire


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkerIncarnation:
    """One life of the worker, as far as this agent has seen it.

    Attributes:
      sampled_ms: Own clock when the newest answer came.
      heard_ms: Own clock at the last answer.
      down_since_ms: Since when connections are refused; None if they aren't.
      withdrawn: Whether the worker has said that it ends.
      over: Whether nothing of this life is left.
      barred_before: Whether what earlier lives were ordered is barred here.
    """

    announced: worker_port.BatchWorkerAnnouncement
    listing: worker_port.Listing | None = None
    progress: dict[run_plan.RunKey, run_plan.RunProgress] = dataclasses.field(
        default_factory=dict
    )
    sampled_ms: int = 0
    heard_ms: int = 0
    down_since_ms: int | None = None
    withdrawn: bool = False
    over: bool = False
    earlier_runs_barred: bool = False

    def is_newer(
        self, announcement: worker_port.BatchWorkerAnnouncement
    ) -> bool:
        """Says whether an announcement was not overtaken by another."""
        known = self.announced
        if announcement.born != known.born:
            return announcement.born > known.born
        return announcement.sequence > known.sequence

    def worker_clock(self, now: int) -> int:
        """Returns a reading that the worker's clock has passed already."""
        return self.listing.clock_ms + max(0, now - self.sampled_ms)

    def progress_of(self, key: run_plan.RunKey) -> run_plan.RunProgress:
        """Returns what was done about a run, from now on kept."""
        return self.progress.setdefault(key, run_plan.RunProgress())

    def ref(self, agent: str) -> batch.WorkerRef:
        """Returns how the leader names this life."""
        return batch.WorkerRef(
            agent=agent, name=self.announced.name, born=self.announced.born
        )

    def report(self, ends: tuple[wire.EndReport, ...]) -> wire.WorkerReport:
        """Returns what the leader is told, with these ends."""
        announcement = self.announced
        return wire.WorkerReport(
            name=announcement.name,
            born=announcement.born,
            pool=announcement.pool,
            failure_domain=announcement.failure_domain,
            rack=announcement.rack,
            labels=announcement.labels,
            capacity=announcement.capacity,
            draining=announcement.draining,
            remaining_ms=announcement.remaining_ms,
            over=self.over,
            running=() if self.over else self.listing.running,
            ends=ends,
        )


def incarnation_name(name: str, born: int) -> str:
    """Returns the name of one life of a worker."""
    return f"{name}@{born}"
