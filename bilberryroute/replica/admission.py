"""Lets the leader refuse jobs that surely can earn nothing any more.

Answers bursts of submissions beyond what the pool can serve. What this leader
remembers of refused jobs is not in the log: a new leader has none of it, and
then takes a job that returns for a new one.
"""

import collections
import logging
from collections.abc import Callable
from collections.abc import Mapping

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.model import batch_commands as batching
from bilberryroute.model import catalog as catalog_model
from bilberryroute.model import commands
from bilberryroute.replica import batch_presence
from bilberryroute.replica import parts as parts_lib
from bilberryroute.scheduling.batch import admission
from bilberryroute.scheduling.batch import demands
from bilberryroute.scheduling.batch import paths as paths_lib
from bilberryroute.scheduling.batch import returns as returns_lib
from bilberryroute.state import batch as batch_rules
from bilberryroute.state import closed_ids

# Host and path of a job.
_JobKey = tuple[str, str]

logger = logging.getLogger(__name__)

# Age up to which the backlog is reused for more submissions: a burst brings many
# within one planning round.
BACKLOG_MS = 200
# Runs of a queue's tasks that must have ended before its jobs may be refused; a
# few runs may all be short.
MIN_MEASURED_RUNS = 8
# Steps of a job beyond which it is accepted: to derive its paths would take long.
MAX_STEPS = 500
# Waiting jobs that all submissions between two counts are compared with. What
# comes then is accepted, so that a flood doesn't hold up leases and elections.
MAX_COMPARED = 10_000
# Refusals that the log explains in one second; the next line counts the others.
LOGGED_PER_S = 20


class Admission:
    """Decides about submissions before this leader proposes them."""

    def __init__(
        self,
        parts: parts_lib.ReplicaParts,
        typical_ms: Callable[[], Mapping[str, int]],
    ):
        """Initializes the decision.

        Args:
          parts: Components of the replica.
          typical_ms: Returns the typical measured duration of a task, by queue.
        """
        self._enabled = parts.cfg.batch.refuse_hopeless
        self._parts = parts
        self._typical_ms = typical_ms
        self._in_flight: collections.Counter[_JobKey] = collections.Counter()
        self._term = 0
        self._paths = paths_lib.PathCache()
        self._backlogs: dict[str, admission.Backlog] = {}
        self._capacities: dict[str, batch.Resources] = {}
        self._counted_ms = 0
        self._compared = 0
        self._measured: collections.Counter[str] = collections.Counter()
        self._returns = returns_lib.Returns()
        self._logged_second = 0
        self._logged = 0
        self._not_logged = 0
        if self._enabled:
            parts.machine.listeners.append(self._on_applied)

    async def propose(self, command: commands.Command) -> commands.Result:
        """Commits an entry's command, unless it is refused for want of room.

        Raises:
          errors.Overloaded: If it submits a job that surely earns nothing; this
            submission is not in the log and never will be.
          errors.BilberryrouteError: As `Proposer.propose` does.
        """
        if not self._enabled or not isinstance(command, batching.SubmitBatch):
            return await self._parts.proposer.propose(command)
        self._begin_term()
        key = _job_key(command.address)
        if key not in self._in_flight:
            self._check(command)
        # No other coroutine runs between the decision and this note. It stays
        # until the command is applied: an outcome that is unknown here may be
        # in the log.
        self._in_flight[key] += 1
        try:
            return await self._parts.proposer.propose(command)
        except (errors.NotLeader, errors.StorageError):
            self._note_landed(key)
            raise

    def _on_applied(
        self, command: commands.Command, result: commands.Result
    ) -> None:
        del result
        match command:
            case batching.SubmitBatch(address=address):
                self._note_landed(_job_key(address))
            case batching.EndRuns(ends=ends):
                for end in ends:
                    record = self._state.jobs.get(end.task.job_id)
                    done = end.outcome == batch.RunOutcome.DONE
                    if record and done and end.run == 1:
                        self._measured[record.queue] += 1

    def _note_landed(self, key: _JobKey) -> None:
        self._in_flight[key] -= 1
        if self._in_flight[key] <= 0:
            del self._in_flight[key]

    @property
    def _state(self) -> batch.BatchState:
        return self._parts.machine.state.batch

    def _check(self, command: batching.SubmitBatch) -> None:
        """Raises `errors.Overloaded` for a job that is refused."""
        authorized = batch_rules.authorize(self._state.catalog, command.address)
        if isinstance(authorized, batching.BatchRefused):
            return
        queue, account = authorized
        job_id = command.address.path.removeprefix(queue.path_prefix)
        wall = self._parts.clock.wall()
        if self._is_exempt(command.content, account, job_id, wall):
            return
        typical_ms = self._typical_ms().get(queue.name)
        if typical_ms is None or self._measured[queue.name] < MIN_MEASURED_RUNS:
            return
        backlog = self._backlog(queue.pool, wall)
        if backlog is None:
            return
        self._compared += len(backlog)
        if self._compared > MAX_COMPARED:
            return
        first_ms = self._returns.first_ms(account, job_id, wall)
        demand = demands.new_demand(
            queue,
            account,
            command.content,
            self._capacities[queue.pool],
            typical_ms,
            wall if first_ms is None else first_ms,
        )
        verdict = backlog.verdict(demand, wall)
        if isinstance(verdict, admission.Accept) or admission.within_guarantee(
            self._state, queue, account, command.content, self._paths
        ):
            backlog.add(demand)
            self._returns.drop(account, job_id)
            return
        retry_after_ms = self._returns.refuse(
            queue.pool, job_id, demand, verdict, wall
        )
        self._log(job_id, queue.name, account, verdict, retry_after_ms)
        self._parts.metrics.refused(f"hopeless_{verdict.reason}")
        raise errors.Overloaded(
            f"the work ahead of the job takes {verdict.start_in_ms} ms at"
            f" least; if it does not start within"
            f" {max(0, verdict.last_start_in_ms)} ms, it ends too late",
            retry_after_ms=retry_after_ms,
        )

    def _is_exempt(
        self, content: batch.Content, account: str, job_id: str, wall: int
    ) -> bool:
        """Returns whether a submission is never refused for want of room.

        The log answers those whose id is taken, and those it refuses itself.
        """
        return (
            job_id in self._state.jobs
            or closed_ids.is_closed(
                self._state.closed_ids, account, job_id, wall
            )
            or len(content.steps) > MAX_STEPS
            or batch.largest_gang(content) > batch_rules.MAX_GANG_TASKS
            or admission.never_refused(content)
        )

    def _begin_term(self) -> None:
        """Drops what is known of an earlier term.

        A term begins once all that may be committed before is applied, so
        nothing that was proposed earlier is in flight any more.
        """
        term = self._parts.board.term.get().number
        if term != self._term:
            self._term = term
            self._in_flight.clear()
            self._backlogs.clear()
            self._returns.clear()
            self._measured.clear()
            self._counted_ms = 0

    def _backlog(self, pool: str, wall: int) -> admission.Backlog | None:
        """Returns the backlog of a pool, or None while too little is known."""
        began = self._parts.board.term.get().began
        settle_ms = (
            batch_presence.PRESENT_RENEWALS * self._parts.cfg.timing.renewal_ms
        )
        if self._parts.clock.now() - began < settle_ms:
            return None
        if not 0 <= wall - self._counted_ms < BACKLOG_MS:
            self._capacities = self._pool_capacities()
            self._paths.retain(self._state)
            self._backlogs = demands.backlogs(
                self._state,
                self._capacities,
                self._typical_ms(),
                wall,
                self._paths,
            )
            self._counted_ms = wall
            self._compared = 0
        return self._backlogs.get(pool)

    def _pool_capacities(self) -> dict[str, batch.Resources]:
        """Returns the most that each pool has had in this term."""
        found: dict[str, batch.Resources] = {}
        for worker in self._parts.board.batch_workers.get().values():
            report = worker.report
            largest = worker.largest_capacity.largest(report.capacity)
            held = found.get(report.pool, batch.NO_RESOURCES)
            found[report.pool] = held.plus(largest)
        return found

    def _log(
        self,
        job_id: str,
        queue: str,
        account: str,
        verdict: admission.Refuse,
        retry_after_ms: int,
    ) -> None:
        second = self._parts.clock.now() // clock_lib.MS_PER_SECOND
        if second != self._logged_second:
            self._logged_second = second
            self._logged = 0
        if self._logged >= LOGGED_PER_S:
            self._not_logged += 1
            return
        self._logged += 1
        logger.info(
            "refused: the job can earn nothing any more",
            extra={
                "job_id": job_id,
                "queue": queue,
                "account": account,
                "reason": verdict.reason,
                "start_in_ms": verdict.start_in_ms,
                "last_start_in_ms": verdict.last_start_in_ms,
                "own_ms": verdict.own_ms,
                "ahead": verdict.ahead,
                "retry_after_ms": retry_after_ms,
                "not_logged": self._not_logged,
            },
        )
        self._not_logged = 0


def _job_key(address: catalog_model.Address) -> _JobKey:
    return (address.host, address.path)
