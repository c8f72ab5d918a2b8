"""Counters and gauges of one process, rendered for `/metrics`.

A process creates one `Metrics` and hands it to each of its services.
"""

import math
from collections.abc import Callable

import aioprometheus
from aiohttp import web

from bilberryroute import clock as clock_lib

PREFIX = "bilberryroute"

# From a call within a host to the longest wait that a caller accepts.
LATENCY_BUCKETS_MS = (
    1.0,
    5.0,
    10.0,
    20.0,
    50.0,
    100.0,
    200.0,
    500.0,
    1_000.0,
    3_000.0,
    10_000.0,
    math.inf,
)

Refresher = Callable[["Metrics"], None]


class Metrics:
    """All metrics of one process in one registry.

    Gauges that would cost work on each change are refreshed by the functions
    given to `refresh_with`, which run before each rendering.

    Attributes:
      began_ms: When the process began, or None if that is not known.
      start_parts: Parts of the start that have ended.
      registry: What `/metrics` renders.
      refusals: Refusals, by `reason` (kind of the error).
      retries: Retries, by `reason`.
      waits: Jobs that began to wait for room, by `reason`.
      drops: Messages ignored, by `reason` (late, stale term, mismatched id).
      errors: Errors that are no refusals, by `reason` (kind of the error).
      requests: Requests that ended, by `service` and `outcome`.
      commands: Commands of the replicated log applied here, by `kind` and
        `result`.
      in_flight: Requests being answered, by `service` at an entry and by
        `endpoint` at an agent.
      queue_length: Requests or jobs waiting, by `queue`.
      lease_left_ms: Milliseconds left of a lease, by `lease`.
      log_index: Indexes of the replicated log, by `point` (`committed`,
        `applied`).
      worker_speed: Believed speed of a worker relative to the mean of its
        pool, by `worker` (512 at most).
      leading: 1 while this replica leads under its lease.
      halted: 1 while this replica takes no part in its group, as its disk or
        state machine failed.
      term: Highest term seen.
      revision: Configuration revision in force in this process.
      draining: 1 once the process was asked to leave.
      start_ms: Time from the process's start to the end of a part of it, by
        `part`.
      log_lines_dropped: Log lines dropped as their reader lagged.
      accept_ms: Time of a call that submits a batch job, by `outcome`.
      look_up_ms: Time of a call that asks for the state of a batch job or
        queue, by `outcome`.
      leader_wait_ms: Time of a call that did not find the leader at once, by
        `outcome`.
      first_start_ms: Time from acceptance to the first placement, by `queue`.
      run_ends: Ends of runs that this leader committed, by `outcome`; for lost
        runs that is the cause.
      overdue_runs: Runs that outlasted 95% of their like, by `queue`.
      stops: Runs stopped to make room, by `reason`: `pays` and `guarantee`
        where stops are weighed, else `unweighed`.
      interference: Pairs of images that were found to hurt, or cleared, by
        `verdict`.
      commit_ms: Time from proposal to result, by `kind` of the command.
      round_ms: Time that the planner took for one round.
    """

    def __init__(self, began_ms: clock_lib.Millis | None = None):
        self.began_ms = began_ms
        self.start_parts: set[str] = set()
        self.registry = aioprometheus.Registry()
        self._refreshers: list[Refresher] = []

        self.refusals = self._counter("refusals_total", "Refusals.")
        self.retries = self._counter("retries_total", "Retries.")
        self.waits = self._counter("waits_total", "Jobs that began to wait.")
        self.drops = self._counter("drops_total", "Messages ignored.")
        self.errors = self._counter("errors_total", "Errors.")
        self.requests = self._counter("requests_total", "Requests ended.")
        self.commands = self._counter("commands_total", "Commands applied.")

        self.run_ends = self._counter("run_ends_total", "Runs ended.")
        self.overdue_runs = self._counter(
            "overdue_runs_total", "Runs that outlasted their forecast."
        )
        self.stops = self._counter("stops_total", "Runs stopped for others.")
        self.interference = self._counter(
            "interference_verdicts_total", "Pairs of images judged."
        )

        self.in_flight = self._gauge("in_flight", "Requests being run.")
        self.queue_length = self._gauge("queue_length", "Waiting.")
        self.lease_left_ms = self._gauge("lease_left_ms", "Lease left.")
        self.log_index = self._gauge("log_index", "Replicated log.")
        self.leading = self._gauge("leading", "1 while this replica leads.")
        self.worker_speed = self._gauge("worker_speed", "Believed speed.")
        self.halted = self._gauge("halted", "1 while the disk fails.")
        self.term = self._gauge("term", "Highest term seen.")
        self.revision = self._gauge("revision", "Revision in force.")
        self.draining = self._gauge("draining", "1 while leaving.")
        self.start_ms = self._gauge("start_ms", "From the start to a part.")
        self.log_lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines dropped."
        )

        self.accept_ms = self._histogram("accept_ms", "Acceptance of jobs.")
        self.look_up_ms = self._histogram("look_up_ms", "Look-up of jobs.")
        self.leader_wait_ms = self._histogram(
            "leader_wait_ms", "Calls that did not find the leader at once."
        )
        self.first_start_ms = self._histogram(
            "first_start_ms", "From acceptance to the first placement."
        )
        self.commit_ms = self._histogram("commit_ms", "Commit of a command.")
        self.round_ms = self._histogram("round_ms", "Planning of one round.")

    def refused(self, reason: str) -> None:
        """Counts one refusal."""
        self.refusals.inc({"reason": reason})

    def retried(self, reason: str) -> None:
        """Counts one retry."""
        self.retries.inc({"reason": reason})

    def waited(self, reason: str) -> None:
        """Counts one job that began to wait for room."""
        self.waits.inc({"reason": reason})

    def dropped(self, reason: str) -> None:
        """Counts one ignored message."""
        self.drops.inc({"reason": reason})

    def failed(self, reason: str) -> None:
        """Counts one error that is no refusal."""
        self.errors.inc({"reason": reason})

    def refresh_with(self, refresher: Refresher) -> None:
        """Runs `refresher` before each rendering."""
        self._refreshers.append(refresher)

    def render(self, accept: str = "") -> tuple[bytes, dict[str, str]]:
        """Returns body and headers of one `/metrics` answer."""
        for refresher in self._refreshers:
            refresher(self)
        return aioprometheus.render(self.registry, [accept] if accept else [])

    async def handler(self, req: web.Request) -> web.Response:
        """Answers `GET /metrics`."""
        body, headers = self.render(req.headers.get("Accept", ""))
        return web.Response(body=body, headers=headers)

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"{PREFIX}_{name}", doc, registry=self.registry
        )

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            f"{PREFIX}_{name}",
            doc,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_MS,
        )

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            f"{PREFIX}_{name}", doc, registry=self.registry
        )
