"""Ranks workers by what already runs there, to keep apart what hurts.

Answers images that slow each other down while other workers have room. A rank
orders workers that are otherwise equally good, and never rules one out.
"""

import collections
import enum
from collections.abc import Iterable
from collections.abc import Mapping

from bilberryroute.model import batch
from bilberryroute.scheduling.batch import interference as interference_lib
from bilberryroute.scheduling.batch import views


class Rank(enum.IntEnum):
    """How bad it is to start a unit on a worker; a higher value is worse.

    `UNPROVEN`: the effect on a serving run, or of what is there on a unit that
    serves, isn't known. `HURTS`: one slows down the other. `HURTS_SERVING`: one
    slows down the other, which serves.
    """

    NONE = 0
    UNPROVEN = 1
    HURTS = 2
    HURTS_SERVING = 3


# An image, and whether its runs serve within a target.
_Kind = tuple[str, bool]


def of(
    state: batch.BatchState,
    workers: Iterable[views.WorkerSnapshot],
    interference: interference_lib.Interference,
) -> "NeighbourRanks":
    """Returns the ranks for what is placed on some workers."""
    names: dict[_Kind, set[str]] = collections.defaultdict(set)
    for worker in workers:
        for task_id in state.placed.get(worker.ref.agent, ()):
            record = state.jobs[task_id.job_id]
            if record.task(task_id).worker == worker.ref:
                step = record.content.steps[task_id.step]
                names[_kind(step)].add(worker.ref.name)
    return NeighbourRanks(names, interference)


class NeighbourRanks:
    """Ranks of workers during one planning round."""

    def __init__(
        self,
        workers: dict[_Kind, set[str]],
        interference: interference_lib.Interference,
    ):
        """Starts with the names of the workers on which each kind runs."""
        self._workers = workers
        self._interference = interference
        self._ranks: dict[_Kind, dict[str, Rank]] = {}

    def ranks(self, step: batch.Step) -> Mapping[str, Rank]:
        """Returns the ranks of the workers that aren't equally good."""
        if not step.image:
            return {}
        kind = _kind(step)
        if kind not in self._ranks:
            ranks = self._ranks[kind] = {}
            for other, names in self._workers.items():
                self._raise(ranks, names, kind, other)
        return self._ranks[kind]

    def note_start(self, step: batch.Step, names: Iterable[str]) -> None:
        """Counts tasks that start in this round."""
        started = _kind(step)
        known = self._workers.setdefault(started, set())
        new = set(names) - known
        known |= new
        for kind, ranks in self._ranks.items():
            self._raise(ranks, new, kind, started)

    def _raise(
        self, ranks: dict[str, Rank], names: set[str], kind: _Kind, other: _Kind
    ) -> None:
        """Raises the ranks of workers for one kind, as another runs there."""
        rank = max(self._rank(kind, other), self._rank(other, kind))
        if rank > Rank.NONE:
            for name in names:
                ranks[name] = max(rank, ranks.get(name, rank))

    def _rank(self, victim: _Kind, neighbour: _Kind) -> Rank:
        """Returns how bad it is for one kind to run beside another."""
        image, serves = victim
        if not image or not neighbour[0]:
            return Rank.NONE
        match self._interference.verdict(image, neighbour[0]):
            case interference_lib.Verdict.HURTS:
                return Rank.HURTS_SERVING if serves else Rank.HURTS
            case interference_lib.Verdict.UNKNOWN if serves:
                return Rank.UNPROVEN
            case _:
                return Rank.NONE


def _kind(step: batch.Step) -> _Kind:
    return step.image, step.tail_target_ms > 0
