"""Dispatch of requests: endpoint selection, agent calls and health."""

import collections
import dataclasses
import random
from collections.abc import Collection

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import calls
from bilberryroute.entry import forward
from bilberryroute.entry import queues
from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.routing import choice
from bilberryroute.routing import outliers
from bilberryroute.routing import protocol


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchTarget:
    """Endpoint and agent to which a request is dispatched.

    Attributes:
      name: Name of the endpoint.
      incarnation: Expected incarnation of the agent.
      http: HTTP address of the agent.
    """

    name: str
    service: str
    incarnation: str
    http: str


def target_for(view: wire.EndpointView) -> DispatchTarget:
    """Returns the dispatch target of an endpoint as the leader reports it."""
    return DispatchTarget(
        name=view.name,
        service=view.service,
        incarnation=view.incarnation,
        http=view.http,
    )


class RequestDispatcher:
    """Dispatches the requests of one entry to endpoints.

    Attributes:
      agents: Client of the agents.
      clock: Source of time.
      metrics: Metrics of the process.
      ejections_changed: Changes whenever concurrency limits may have changed.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.EntryBoard,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self.agents = forward.AgentClient(cfg.timing, clock, metrics)
        self.clock = clock
        self.metrics = metrics
        self.ejections_changed = blackboard.Cell(None)
        self._cfg = cfg
        self._board = board
        self._rng = rng
        self._pool = choice.EndpointPool(cfg.failure_domain)
        self._outlier_detector = outliers.OutlierDetector()
        self._addresses: dict[str, str] = {}
        self._queues: dict[str, queues.EndpointQueue] = {}

    def refresh(self) -> None:
        """Applies the endpoints and configuration on the blackboard."""
        domains = self._board.configuration.get().failure_domains.values()
        out_of_service = {
            domain.name for domain in domains if not domain.in_service
        }
        for view in self._board.endpoints.get():
            self._addresses[view.agent] = view.http
        views = choice.eligible_endpoints(
            self._board.endpoints.get(), out_of_service
        )
        self._outlier_detector.retain_only([view.name for view in views])
        self._pool.update(views, self._concurrency_limits(views))
        for service, queue in self._queues.items():
            queue.assign_endpoints(service)

    def record_result(self, name: str, reason: str) -> None:
        """Records the result of an attempt; an empty reason is a success."""
        signal = outliers.classify_reason(reason)
        if self._outlier_detector.record(name, signal, self.clock.now()):
            self.refresh()
            self.ejections_changed.touch()

    def next_change_ms(self) -> int | None:
        """Returns the milliseconds until a limit may expire, or None."""
        return self._outlier_detector.next_change_ms(self.clock.now())

    def queue_lengths(self) -> dict[str, int]:
        """Returns the number of queued calls by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def _concurrency_limits(
        self, views: list[wire.EndpointView]
    ) -> dict[str, int]:
        names = collections.defaultdict(list)
        for view in views:
            names[view.service].append(view.name)
        limits = {}
        for service_endpoints in names.values():
            limits |= self._outlier_detector.concurrency_limits(
                service_endpoints, self.clock.now()
            )
        return limits

    async def acquire(
        self,
        call: calls.Call,
        service_config: config.Service,
        avoid: Collection[str] = frozenset(),
    ) -> wire.EndpointView:
        """Waits for an endpoint; the caller must then `run` or `release` it.

        Raises:
          errors.Refused: If none became available in time.
        """
        queue = self._queues.get(call.service)
        if queue is None:
            queue = queues.EndpointQueue(self._pool, self._rng, self.clock)
            self._queues[call.service] = queue
        accounts = self._board.configuration.get().accounts
        if call.account in accounts:
            queue.weights[call.account] = accounts[call.account].weight
        return await queue.acquire(call, service_config, avoid)

    def release(
        self, view: wire.EndpointView | DispatchTarget, run_ms: int = 0
    ) -> None:
        """Releases an endpoint that `acquire` returned.

        Args:
          view: The endpoint.
          run_ms: Run time of the request on it; 0 if it was not sent.
        """
        self._queues[view.service].release(view.service, view.name, run_ms)

    async def run(
        self,
        target: DispatchTarget,
        dispatch: protocol.Dispatch,
        call: calls.Call,
    ) -> forward.Exchange:
        """Runs a request on an acquired endpoint, then releases the endpoint.

        Raises:
          calls.ReplyError: If there was no final reply in time.
        """
        started_ms = self.clock.now()
        try:
            return await self.agents.run(target.http, dispatch, call)
        finally:
            self.release(target, self.clock.now() - started_ms)

    def new_dispatch(
        self,
        call: calls.Call,
        view: wire.EndpointView | DispatchTarget,
        key: str,
        *,
        fresh: bool = True,
    ) -> protocol.Dispatch:
        """Returns the message that dispatches a call to an endpoint."""
        return protocol.Dispatch(
            key=key,
            request_id=call.id,
            attempt=call.attempts,
            account=call.account,
            service=call.service,
            endpoint=view.name,
            incarnation=view.incarnation,
            fresh=fresh,
            term=self._board.term.get(),
            idempotent=call.idempotent,
            time_left_ms=max(1, call.left_ms(self.clock.now())),
            kept_ms=call.retention_ms,
            wait_ms=self._cfg.timing.probe_ms,
            content_type=call.content_type,
        )

    def agent_address(self, agent: str) -> str | None:
        """Returns the last known HTTP address of an agent, or None.

        Addresses are remembered because a newly elected leader reports no
        endpoint until its agent has contacted it, while claims on that agent
        remain in force.
        """
        return self._addresses.get(agent)
