"""Learns which images slow each other down on one worker.

Answers tasks that share a worker's memory bandwidth or caches, which no need in
a request tells: a run beside the wrong neighbour takes longer, and a serving run
misses its latency target, on a worker that has room for both.

The logarithm of a run's rate is its step's level plus its worker's speed minus a
cost for each image beside it. The cost of one image is found by comparing what
differs only in it: segments of one run before and after it came, else runs of one
step, else steps of one image. Costs are found one by one given the others.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Generator
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute.scheduling.batch import interference_fit as fit

# Costs that are expected before anything is known: most pairs don't matter.
PRIOR_DEVIATION = 0.3
# How well a cost is remembered that once hurt: some twenty runs clear it, not
# the few that luck may bring together.
MEMORY_DEVIATION = 0.18
# A pair hurts if it takes a quarter longer with certainty: callers feel less
# than that only in the tail, and the spread of equal tasks hides it.
HURTING_COST = math.log(1.25)
# A pair that hurt is cleared below this cost, so that it doesn't flap.
CLEARED_COST = math.log(1.12)
# Standard errors by which a cost must exceed nothing, as many pairs are tried,
# and by which it must stay below the hurting cost to be called harmless.
CERTAIN_ERRORS = 3.0
HARMLESS_ERRORS = 1.5
# After this time a segment counts half, so that an image whose behaviour
# changed is judged anew within some minutes.
HALF_LIFE_MS = 3 * clock_lib.MINUTE
MIN_FRESHNESS = 0.03
# A verdict that nothing confirmed for so long is dropped: images kept apart
# don't meet, so a changed one would stay blamed.
VERDICT_MS = 30 * clock_lib.MINUTE
# Bounds of the table; the victims seen least recently are dropped.
MAX_VICTIMS = 64
MAX_NEIGHBOURS = 24
MAX_SEGMENTS = 120
# Victims that one update judges, the ones that waited longest first: a pair
# takes a fraction of a millisecond of the leader's core.
MAX_JUDGED = 4


class Verdict(enum.Enum):
    """What is known of an ordered pair of images."""

    UNKNOWN = "unknown"
    HURTS = "hurts"
    HARMLESS = "harmless"


@dataclasses.dataclass(slots=True, kw_only=True)
class Pair:
    """Estimate of how much one image slows down another.

    Attributes:
      cost: Logarithm of how many times longer the victim takes.
      error: Its standard error.
      verdict: What is believed.
      known: Cost when it was last found to hurt.
      at_ms: When both were last seen on one worker, monotonic.
    """

    cost: float = 0.0
    error: float = PRIOR_DEVIATION
    verdict: Verdict = Verdict.UNKNOWN
    known: float = 0.0
    at_ms: int = 0

    @property
    def slowdown(self) -> float:
        """How many times longer the victim takes."""
        return math.exp(self.cost)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A verdict that changed."""

    victim: str
    neighbour: str
    before: Verdict
    pair: Pair


class Interference:
    """Bounded table of estimates by victim and neighbour."""

    def __init__(self):
        self._segments: dict[str, collections.deque[fit.Segment]] = {}
        self._pairs: dict[str, dict[str, Pair]] = {}
        self._changed: dict[str, None] = {}

    def add(self, segment: fit.Segment) -> None:
        """Takes one segment of a run."""
        victim = segment.victim
        segments = self._segments.pop(victim, None)
        if segments is None:
            segments = collections.deque(maxlen=MAX_SEGMENTS)
        self._segments[victim] = segments
        segments.append(segment)
        self._changed[victim] = None
        if len(self._segments) > MAX_VICTIMS:
            oldest = next(iter(self._segments))
            del self._segments[oldest]
            self._pairs.pop(oldest, None)
            self._changed.pop(oldest, None)

    def verdict(self, victim: str, neighbour: str) -> Verdict:
        """Returns what is believed of a pair."""
        pair = self._pairs.get(victim, {}).get(neighbour)
        return Verdict.UNKNOWN if pair is None else pair.verdict

    def pairs(self) -> dict[tuple[str, str], Pair]:
        """Returns all estimates by victim and neighbour."""
        return {
            (victim, neighbour): pair
            for victim, pairs in self._pairs.items()
            for neighbour, pair in pairs.items()
        }

    def update_in_slices(
        self, speeds: Mapping[str, float], now_ms: int
    ) -> Generator[None, None, list[Change]]:
        """Improves the estimates of the victims with new segments.

        Yields after each pair.

        Args:
          speeds: Speed of each worker where it is known, 1 on average.
          now_ms: Monotonic time in milliseconds.

        Returns:
          Verdicts that changed.
        """
        changes = self._forget(now_ms)
        for victim in list(self._changed)[:MAX_JUDGED]:
            del self._changed[victim]
            yield from self._sweep(victim, speeds, now_ms)
            changes += self._judge(victim)
        return changes

    def _forget(self, now_ms: int) -> list[Change]:
        """Drops the pairs that have not met for long."""
        changes = []
        for victim, pairs in self._pairs.items():
            for neighbour, pair in list(pairs.items()):
                if now_ms - pair.at_ms <= VERDICT_MS:
                    continue
                del pairs[neighbour]
                if pair.verdict != Verdict.UNKNOWN:
                    changes.append(_changed(victim, neighbour, pair))
        return changes

    def _sweep(
        self, victim: str, speeds: Mapping[str, float], now_ms: int
    ) -> Generator[None, None, None]:
        """Improves all costs of a victim once, given the others."""
        pairs = self._pairs.setdefault(victim, {})
        segments = [
            segment
            for segment in self._segments[victim]
            if _freshness(segment, now_ms) > MIN_FRESHNESS
        ]
        met = set()
        for segment in segments:
            for name in sorted(segment.neighbours):
                if name in pairs or len(pairs) < MAX_NEIGHBOURS:
                    pair = pairs.setdefault(name, Pair())
                    if segment.at_ms > pair.at_ms:
                        pair.at_ms = segment.at_ms
                        met.add(name)
        rows = [
            fit.Row(
                segment,
                _adjusted(segment, pairs, speeds),
                _freshness(segment, now_ms),
            )
            for segment in segments
        ]
        # Images that always come together share the blame.
        most = max((len(r.segment.neighbours) for r in rows), default=1)
        yield
        explained = fit.confounding(rows)
        yield
        targets = {}
        for name in sorted(met):
            pair = pairs[name]
            weight, cost = fit.compare(rows, name, pair.cost, speeds)
            weight *= 1 - explained.get(name, 0.0)
            hurts = pair.verdict == Verdict.HURTS
            prior = (MEMORY_DEVIATION if hurts else PRIOR_DEVIATION) ** -2
            information = weight + prior
            total = weight * cost + (prior * pair.known if hurts else 0.0)
            targets[name] = (total / information, information)
            yield
        for name, (target, information) in targets.items():
            pair = pairs[name]
            pair.cost += (target - pair.cost) / max(1, most)
            pair.error = information**-0.5

    def _judge(self, victim: str) -> list[Change]:
        changes = []
        for neighbour, pair in self._pairs[victim].items():
            verdict = _verdict(pair)
            if verdict != pair.verdict:
                changes.append(_changed(victim, neighbour, pair, verdict))
                pair.known = pair.cost
        return changes


def _changed(
    victim: str,
    neighbour: str,
    pair: Pair,
    verdict: Verdict = Verdict.UNKNOWN,
) -> Change:
    """Changes the verdict on a pair, and returns the change."""
    before, pair.verdict = pair.verdict, verdict
    return Change(victim=victim, neighbour=neighbour, before=before, pair=pair)


def _adjusted(
    segment: fit.Segment, pairs: Mapping[str, Pair], speeds: Mapping[str, float]
) -> float:
    """Returns a segment's value at average speed, with nothing beside it."""
    costs = sum(pairs[n].cost for n in segment.neighbours if n in pairs)
    return segment.value - math.log(speeds.get(segment.worker, 1.0)) + costs


def _freshness(segment: fit.Segment, now_ms: int) -> float:
    return 0.5 ** ((now_ms - segment.at_ms) / HALF_LIFE_MS)


def _verdict(pair: Pair) -> Verdict:
    if pair.cost + HARMLESS_ERRORS * pair.error < HURTING_COST:
        return Verdict.HARMLESS
    if pair.cost >= HURTING_COST and pair.cost >= CERTAIN_ERRORS * pair.error:
        return Verdict.HURTS
    if pair.verdict == Verdict.HURTS and pair.cost >= CLEARED_COST:
        return Verdict.HURTS
    return Verdict.UNKNOWN
