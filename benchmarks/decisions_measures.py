"""What the scheduling benchmark measures of one session."""

import collections
import statistics

from benchmarks import decisions_bound
from benchmarks import decisions_loop as loops
from benchmarks import decisions_workload as workloads
from bilberryroute.model import jobs
from bilberryroute.scheduling import capacity
from bilberryroute.scheduling import decisions
from bilberryroute.scheduling import fitting

OFFSET_MS = 10_000
OUT_GRACE_MS = 3_000
RECLAIM_BOUND_MS = 10_000
MEMORY_MARGIN = 1.3
SETTLED_MS = 10_000
CHECK_EVERY = {True: 1, False: 50}

_NO_NEED = capacity.Need()


class Watcher:
    """Looks at one session from outside, the same for every scheduler."""

    def __init__(self, workload: workloads.Workload, scheduler):
        self._workload = workload
        self._scheduler = scheduler
        self._tree = capacity.CapacityTree()
        for worker in workload.workers:
            self._tree.add_worker(worker)
        self._small = len(workload.workers) <= 10
        self._covered: set[str] = set()
        self._owed_since_ms: dict[str, int] = {}
        self._reclaims_ms: list[int] = []
        self._late: set[str] = set()
        self._last_ms = 0
        self._last = (0, False)
        self._free_ms = 0
        self._unusable_ms = 0
        self._could_ms = 0.0
        self._steps = 0
        self.counts: collections.Counter[str] = collections.Counter()

    def submitted(self, loop: loops.Loop, life: loops.Life) -> None:
        """Notes whether a job's guarantee covers it as it arrives."""
        job = life.submission.job
        if life.submission.impossible or job.kind != jobs.JobKind.URGENT:
            return
        if not self._is_plain(life):
            return
        urgent = [
            other
            for other in loop.active.values()
            if other.submission.job.kind == jobs.JobKind.URGENT
            and other.submission.job.account == job.account
            and not other.submission.impossible
        ]
        if not self._out(loop.clock.now()) and self._covers(
            job.account, urgent
        ):
            self._covered.add(job.id)

    def placed(self, loop: loops.Loop, place: decisions.PlaceAttempt) -> None:
        """Counts placements that are partial or not adjacent."""
        shape = loop.lives[place.job_id].submission.job.shape
        total = 0
        names = []
        for each in place.assignments:
            node = self._tree.nodes[each.worker]
            taken = set(node.free) & set(each.accelerators)
            total += len(taken)
            names.append(node.rack)
            self._tree.allocate_exact(
                each.worker, place.job_id, each.accelerators, len(taken)
            )
        if total != shape.accelerators or len(set(names)) > 1:
            self.counts["partial_gangs"] += 1

    def started(self, loop: loops.Loop, life: loops.Life) -> None:
        """Counts starts in a failure domain that is out of service."""
        out_ms, back_ms = self._workload.out_span_ms
        if not out_ms + OUT_GRACE_MS <= loop.clock.now() < back_ms:
            return
        for each in life.place.assignments:
            worker = self._tree.nodes[each.worker].worker
            if worker.failure_domain == self._workload.domain_out:
                self.counts["out_of_domain_starts"] += 1

    def released(self, loop: loops.Loop, place: decisions.PlaceAttempt) -> None:
        """Frees what an attempt held."""
        for each in place.assignments:
            self._tree.release(each.worker, place.job_id, each.accelerators)

    def watch(self, loop: loops.Loop, changed: bool) -> None:
        """Adds up what held since the last step, and looks anew.

        Args:
          loop: The loop after its decisions.
          changed: Whether anything happened in this step.
        """
        now_ms = loop.clock.now()
        span_ms = now_ms - self._last_ms
        self._add_up(loop, span_ms)
        self._last_ms = now_ms
        self._look_at_debts(loop, now_ms, changed)
        if not changed:
            return
        self._last = self._look(loop)
        self._steps += 1
        check = getattr(self._scheduler, "check", None)
        if check and self._steps % CHECK_EVERY[self._small] == 0:
            self.counts["guarantee_violations"] += len(check())

    def _out(self, now_ms: int) -> bool:
        out_ms, back_ms = self._workload.out_span_ms
        return out_ms <= now_ms < back_ms

    def _add_up(self, loop: loops.Loop, span_ms: int) -> None:
        free, unusable = self._last
        self._free_ms += free * span_ms
        self._unusable_ms += unusable * span_ms
        out_ms, back_ms = self._workload.out_span_ms
        if not out_ms + SETTLED_MS <= self._last_ms < back_ms:
            return
        remaining = decisions_bound.able_accelerators(
            self._workload, self._last_ms
        )
        demand = sum(
            life.submission.job.shape.accelerators
            for life in loop.active.values()
            if not life.submission.impossible
        )
        self._could_ms += min(remaining, demand) * span_ms

    def _look(self, loop: loops.Loop) -> tuple[int, int]:
        """Returns free accelerators, and those the largest job can't use."""
        out = self._out(loop.clock.now())
        since_ms, until_ms = self._workload.failing_span_ms
        fails = since_ms <= loop.clock.now() < until_ms

        def room(node: capacity.Node) -> int:
            worker = node.worker
            gone = out and worker.failure_domain == self._workload.domain_out
            broken = fails and worker.name == self._workload.failing_worker
            return 0 if gone or broken else len(node.free)

        free = sum(room(node) for node in self._tree.nodes.values())
        shapes = [
            life.submission.job.shape
            for life in loop.active.values()
            if life.waits and not life.submission.impossible
        ]
        if not shapes or not free:
            return free, 0
        largest = max(shapes, key=lambda shape: shape.accelerators)
        if largest.accelerators > free:
            return free, 0
        fits = fitting.find(self._tree, largest, _NO_NEED, room)
        return free, 0 if fits else free

    def _covers(self, account: str, lives) -> bool:
        """Returns whether an account's guarantee holds these jobs at once."""
        shapes = self._workload.configuration.accounts[account].guarantees
        blocks = [
            each.accelerators for each in shapes for _ in range(each.copies)
        ]
        return _pack([self._size(life) for life in lives], blocks)

    def _is_plain(self, life: loops.Life) -> bool:
        """Returns whether a job takes no more than its accelerators' share."""
        return self._size(life) == life.submission.job.shape.accelerators

    def _size(self, life: loops.Life) -> int:
        """Returns the room that a job needs, with what it takes beside."""
        job = life.submission.job
        true_mb = int(life.submission.memory_mb * MEMORY_MARGIN)
        declared_mb = job.memory_mb_per_accelerator
        need = capacity.Need(memory_mb=max(true_mb, declared_mb))
        return need.units(self._workload.workers[0], job.shape.accelerators)

    def _look_at_debts(self, loop, now_ms: int, changed: bool) -> None:
        """Counts jobs left waiting although their guarantee covers them."""
        if changed:
            owed = self._owed(loop) if not self._out(now_ms) else set()
            for job_id in self._owed_since_ms.keys() - owed:
                since_ms = self._owed_since_ms.pop(job_id)
                if loop.lives[job_id].place is not None:
                    self._reclaims_ms.append(now_ms - since_ms)
            for job_id in owed:
                self._owed_since_ms.setdefault(job_id, now_ms)
        for job_id, since_ms in self._owed_since_ms.items():
            late = now_ms - since_ms > RECLAIM_BOUND_MS
            if late and job_id not in self._late:
                self._late.add(job_id)
                self.counts["guarantee_violations"] += 1

    def _owed(self, loop: loops.Loop) -> set[str]:
        """Returns waiting jobs that fit their guarantee beside what runs."""
        running = collections.defaultdict(list)
        waiting = []
        for life in loop.active.values():
            if life.place is not None:
                running[life.submission.job.account].append(life)
            elif not life.submission.impossible and self._is_plain(life):
                waiting.append(life)
        return {
            life.submission.job.id
            for life in waiting
            if self._covers(
                life.submission.job.account,
                [life, *running[life.submission.job.account]],
            )
        }

    def measures(self, loop: loops.Loop) -> dict[str, float]:
        """Returns all measures of the session."""
        lives = [
            life
            for life in loop.lives.values()
            if not life.submission.impossible
            and life.submission.cancel_ms is None
        ]
        result = {"jobs_done": sum(each.ended_ms is not None for each in lives)}
        result |= _completion(lives, "", loop.clock.now())
        for kind in jobs.JobKind:
            same = [each for each in lives if each.submission.job.kind == kind]
            result |= _completion(same, f"_{kind}", loop.clock.now())
        bound = decisions_bound.completion_ms(self._workload, OFFSET_MS)
        mean = result["completion_time_ms_mean"]
        result["completion_time_over_bound"] = mean / bound
        starts = [
            _wait(loop.lives[job_id], loop.clock.now())
            for job_id in self._covered
            if loop.lives[job_id].submission.cancel_ms is None
        ]
        result["urgent_start_ms_p99"] = percentile(starts, 99)
        result["urgent_covered"] = len(starts)
        result["fragmentation"] = self._unusable_ms / max(1, self._free_ms)
        result["domain_work_share"] = self._work_share(loop)
        result["reclaim_ms_p99"] = percentile(self._reclaims_ms, 99)
        result["largest_job_wait_ms"] = _largest_wait(lives, loop.clock.now())
        for name in (
            "guarantee_violations",
            "partial_gangs",
            "out_of_domain_starts",
        ):
            result[name] = self.counts[name]
        result["decision_us_p50"] = percentile(loop.decision_us, 50)
        result["decision_us_p99"] = percentile(loop.decision_us, 99)
        return result

    def _work_share(self, loop: loops.Loop) -> float:
        """Returns work kept while the domain is out over what could be."""
        out_ms, back_ms = self._workload.out_span_ms
        since_ms = out_ms + SETTLED_MS
        done_ms = sum(
            max(0, min(end, back_ms) - max(begin, since_ms))
            * life.submission.job.shape.accelerators
            for life in loop.lives.values()
            for begin, end in life.work
        )
        return done_ms / max(1.0, self._could_ms)


def _size(life: loops.Life) -> int:
    return life.submission.job.shape.accelerators


def _pack(sizes: list[int], blocks: list[int]) -> bool:
    """Returns whether all sizes fit into the blocks, largest first."""
    left = sorted(blocks)
    for size in sorted(sizes, reverse=True):
        enough = [block for block in left if block >= size]
        if not enough:
            return False
        left.remove(enough[0])
        left.append(enough[0] - size)
        left.sort()
    return True


def _wait(life: loops.Life, now_ms: int) -> int:
    start_ms = now_ms if life.first_start_ms is None else life.first_start_ms
    return start_ms - life.submission.job.submitted_ms


def _completion(lives, suffix: str, now_ms: int) -> dict[str, float]:
    """Returns mean and p95; what has not ended counts up to now."""
    times = [
        (now_ms if life.ended_ms is None else life.ended_ms)
        - life.submission.job.submitted_ms
        for life in lives
    ]
    return {
        f"completion_time_ms_mean{suffix}": (
            statistics.fmean(times) if times else 0.0
        ),
        f"completion_time_ms_p95{suffix}": percentile(times, 95),
    }


def _largest_wait(lives, now_ms: int) -> int:
    """Returns the longest wait among jobs of the largest size."""
    largest = max(_size(life) for life in lives)
    return max(_wait(life, now_ms) for life in lives if _size(life) == largest)


def percentile(values, percent: int) -> float:
    """Returns a percentile by rank, or 0 of nothing."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return float(ordered[max(0, rank - 1)])
