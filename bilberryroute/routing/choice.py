"""Load balancing: power of two choices, local failure domain first."""

import dataclasses
import random
from collections.abc import Collection

from bilberryroute.model import wire

SAMPLE_ATTEMPTS_MAX = 4


class IndexedSet:
    """Set of names with constant-time updates and random sampling."""

    def __init__(self):
        self._names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Adds a name if it is not in the set."""
        if name not in self._index:
            self._index[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Removes a name if it is in the set."""
        index = self._index.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index[last] = index

    def sample(self, rng: random.Random, avoid: Collection[str]) -> str | None:
        """Returns a random name outside `avoid`, or None if there is none."""
        if not self._names:
            return None
        for _ in range(SAMPLE_ATTEMPTS_MAX):
            name = self._names[rng.randrange(len(self._names))]
            if name not in avoid:
                return name
        return next((n for n in self._names if n not in avoid), None)


@dataclasses.dataclass(slots=True)
class _AvailableEndpoints:
    """Endpoints of one service with free capacity, by locality."""

    local: IndexedSet = dataclasses.field(default_factory=IndexedSet)
    remote: IndexedSet = dataclasses.field(default_factory=IndexedSet)


class EndpointPool:
    """Eligible endpoints and the requests that this entry has on each.

    Args:
      failure_domain: Failure domain of the entry; its endpoints are preferred.
    """

    def __init__(self, failure_domain: str):
        self._failure_domain = failure_domain
        self._views: dict[str, wire.EndpointView] = {}
        self._own_requests: dict[str, int] = {}
        self._concurrency_limits: dict[str, int] = {}
        self._available: dict[str, _AvailableEndpoints] = {}

    def update(
        self,
        views: Collection[wire.EndpointView],
        concurrency_limits: dict[str, int] | None = None,
    ) -> None:
        """Replaces the eligible endpoints and the limits.

        Args:
          views: Endpoints that may receive requests.
          concurrency_limits: Maximum concurrent requests of this entry, for
            endpoints on which it may not use all slots.
        """
        self._views = {view.name: view for view in views}
        self._concurrency_limits = concurrency_limits or {}
        self._available = {}
        for name in self._views:
            self._update_availability(name)

    def get(self, name: str) -> wire.EndpointView | None:
        """Returns an endpoint, or None if it is not eligible."""
        return self._views.get(name)

    def endpoint_names(self, service: str) -> list[str]:
        """Returns the names of the eligible endpoints of a service."""
        return [n for n, v in self._views.items() if v.service == service]

    def slots(self, service: str) -> int:
        """Returns the total slots of the eligible endpoints of a service."""
        return sum(self._views[n].slots for n in self.endpoint_names(service))

    def own_requests(self, name: str) -> int:
        """Returns how many requests this entry is running on an endpoint."""
        return self._own_requests.get(name, 0)

    def request_started(self, name: str) -> None:
        """Increments the request count of an endpoint."""
        self._own_requests[name] = self.own_requests(name) + 1
        self._update_availability(name)

    def request_ended(self, name: str) -> None:
        """Decrements the request count of an endpoint."""
        self._own_requests[name] = self.own_requests(name) - 1
        if self._own_requests[name] == 0:
            del self._own_requests[name]
        self._update_availability(name)

    def choose(
        self,
        service: str,
        rng: random.Random,
        avoid: Collection[str] = frozenset(),
    ) -> wire.EndpointView | None:
        """Selects an endpoint for one request, or None if none is available.

        A local endpoint with a free slot is preferred to any remote endpoint.

        Args:
          service: Name of the service.
          rng: Source of randomness.
          avoid: Names of endpoints that must not be selected.
        """
        available = self._available.get(service)
        if available is None:
            return None
        local = self._less_loaded(available.local, rng, avoid)
        if local is not None and self._load(local) < 1:
            return local
        remote = self._less_loaded(available.remote, rng, avoid)
        if local is None or remote is None:
            return local or remote
        return min(local, remote, key=self._load)

    def _less_loaded(
        self,
        endpoint_names: IndexedSet,
        rng: random.Random,
        avoid: Collection[str],
    ) -> wire.EndpointView | None:
        first = endpoint_names.sample(rng, avoid)
        if first is None:
            return None
        second = endpoint_names.sample(rng, avoid)
        return min(self._views[first], self._views[second], key=self._load)

    def _load(self, view: wire.EndpointView) -> float:
        return max(view.in_flight, self.own_requests(view.name)) / view.slots

    def _update_availability(self, name: str) -> None:
        view = self._views.get(name)
        if view is None:
            return
        available = self._available.setdefault(
            view.service, _AvailableEndpoints()
        )
        is_local = view.failure_domain == self._failure_domain
        endpoint_names = available.local if is_local else available.remote
        if self.own_requests(name) < self._concurrency_limits.get(
            name, view.slots
        ):
            endpoint_names.add(name)
        else:
            endpoint_names.discard(name)


def eligible_endpoints(
    views: Collection[wire.EndpointView], out_of_service: Collection[str]
) -> list[wire.EndpointView]:
    """Returns the endpoints that may receive requests.

    Args:
      views: All endpoints.
      out_of_service: Names of the failure domains that are out of service.
    """
    return [
        view
        for view in views
        if not view.leaving and view.failure_domain not in out_of_service
    ]
