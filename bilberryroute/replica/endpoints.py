"""Collects the endpoints that agents report, for the watch of entries."""

import mode

from bilberryroute import clock as clock_lib
from bilberryroute.model import wire
from bilberryroute.replica import parts as parts_lib

CHECK_MS = clock_lib.Millis(100)
SILENCE_CHECK_MS = clock_lib.Millis(500)


class EndpointController(mode.Service):
    """Maintains the table of endpoints whose agents have a valid lease."""

    def __init__(self, parts: parts_lib.ReplicaParts):
        super().__init__()
        self._lease_ms = parts.cfg.timing.agent_lease_ms
        self._board = parts.board
        self._leadership = parts.leadership
        self._clock = parts.clock
        self._last_check = (-1, 0)

    @mode.Service.task
    async def _collect(self) -> None:
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(CHECK_MS))
            if self._leadership.active() and self._is_due():
                self._publish()

    def _is_due(self) -> bool:
        """Returns whether a report changed or silent agents must be checked."""
        now = self._clock.now()
        version, checked_ms = self._last_check
        changed = version != self._board.agents.version
        if not changed and now - checked_ms < SILENCE_CHECK_MS:
            return False
        self._last_check = (self._board.agents.version, now)
        return True

    def _publish(self) -> None:
        """Replaces the table if more than the load has changed."""
        table = self._table()
        published = self._board.endpoints.get()
        if list(map(_watched_fields, table)) != list(
            map(_watched_fields, published)
        ):
            self._board.endpoints.set(table)

    def _table(self) -> tuple[wire.EndpointView, ...]:
        now = self._clock.now()
        views = [
            endpoint_view(agent.renewal, report)
            for agent in self._board.agents.get().values()
            if now - agent.last_seen_ms <= self._lease_ms
            for report in agent.renewal.endpoints
        ]
        return tuple(sorted(views, key=lambda v: (v.agent, v.name)))


def endpoint_view(
    renewal: wire.Renewal, report: wire.EndpointReport
) -> wire.EndpointView:
    """Combines an endpoint's report with its agent's data."""
    return wire.EndpointView(
        name=report.name,
        service=report.service,
        agent=renewal.agent,
        incarnation=renewal.incarnation,
        http=renewal.http,
        failure_domain=renewal.failure_domain,
        slots=report.slots,
        in_flight=report.in_flight,
        leaving=report.leaving or renewal.draining,
        healthy=report.healthy,
    )


def _watched_fields(view: wire.EndpointView) -> tuple:
    return (
        view.name,
        view.service,
        view.agent,
        view.incarnation,
        view.http,
        view.slots,
        view.leaving,
        view.healthy,
    )
