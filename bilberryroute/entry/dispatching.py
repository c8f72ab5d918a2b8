"""One dispatch: an endpoint from the queue, its agent, and the counting."""

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
class Bound:
    """Where one dispatch goes.

    Attributes:
      name: The endpoint's name.
      incarnation: Incarnation of the agent that is meant.
      http: Address of the agent.
    """

    name: str
    service: str
    incarnation: str
    http: str


def bound_to(view: wire.EndpointView) -> Bound:
    """Returns the way to an endpoint as the leader shows it."""
    return Bound(
        name=view.name,
        service=view.service,
        incarnation=view.incarnation,
        http=view.http,
    )


class Dispatcher:
    """What all runs of requests share within one entry.

    Attributes:
      agents: Calls agents.
      clock: Source of time.
      metrics: Counters of the process.
      ejections: Changes with every ejection.
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
        self.ejections = blackboard.Cell(None)
        self._cfg = cfg
        self._board = board
        self._rng = rng
        self._pool = choice.EndpointPool(cfg.failure_domain)
        self._outliers = outliers.Outliers()
        self._addresses: dict[str, str] = {}
        self._gates: dict[str, queues.Gate] = {}

    def refresh(self) -> None:
        """Takes over the endpoints on the blackboard."""
        domains = self._board.configuration.get().failure_domains.values()
        out = {domain.name for domain in domains if not domain.in_service}
        for view in self._board.endpoints.get():
            self._addresses[view.agent] = view.http
        views = choice.usable(self._board.endpoints.get(), out)
        self._outliers.keep_only([view.name for view in views])
        self._pool.update(views, self._limits(views))
        for service, gate in self._gates.items():
            gate.serve(service)

    def observe(self, name: str, reason: str) -> None:
        """Takes in how an attempt on an endpoint ended."""
        blamed = outliers.blame(reason)
        if self._outliers.observe(name, blamed, self.clock.now()):
            self.refresh()
            self.ejections.touch()

    def next_change(self) -> int | None:
        """Returns the milliseconds until an ejection may end, or None."""
        return self._outliers.next_change(self.clock.now())

    def queue_lengths(self) -> dict[str, int]:
        """Returns how many calls wait, by service."""
        return {service: len(gate) for service, gate in self._gates.items()}

    def _limits(self, views: list[wire.EndpointView]) -> dict[str, int]:
        names = collections.defaultdict(list)
        for view in views:
            names[view.service].append(view.name)
        limits = {}
        for of_service in names.values():
            limits |= self._outliers.limits(of_service, self.clock.now())
        return limits

    async def acquire(
        self,
        call: calls.Call,
        limits: config.Service,
        avoid: Collection[str] = frozenset(),
    ) -> wire.EndpointView:
        """Returns an endpoint; `run` or `release` must follow.

        Raises:
          errors.Refused: If there is none in time.
        """
        gate = self._gates.get(call.service)
        if gate is None:
            gate = queues.Gate(self._pool, self._rng, self.clock)
            self._gates[call.service] = gate
        accounts = self._board.configuration.get().accounts
        if call.account in accounts:
            gate.weights[call.account] = accounts[call.account].weight
        return await gate.acquire(call, limits, avoid)

    def release(self, view: wire.EndpointView | Bound, ran_ms: int = 0) -> None:
        """Gives back an endpoint that `acquire` returned."""
        self._gates[view.service].release(view.service, view.name, ran_ms)

    async def run(
        self, bound: Bound, order: protocol.Dispatch, call: calls.Call
    ) -> forward.Exchange:
        """Runs on an acquired endpoint, which it releases.

        Raises:
          calls.ReplyError: If the agent could not be asked to the end.
        """
        began = self.clock.now()
        try:
            return await self.agents.run(bound.http, order, call)
        finally:
            self.release(bound, self.clock.now() - began)

    def order(
        self,
        call: calls.Call,
        view: wire.EndpointView | Bound,
        key: str,
        *,
        fresh: bool = True,
    ) -> protocol.Dispatch:
        """Returns the dispatch of a call to an endpoint under a key."""
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

    def locate(self, agent: str) -> str | None:
        """Returns the last HTTP address of an agent, if it was ever known.

        A leader that was just elected shows no endpoint until it has heard
        from its agent, and a claim outlives that.
        """
        return self._addresses.get(agent)
