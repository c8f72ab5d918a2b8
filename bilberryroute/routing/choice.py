"""Choice of endpoint: the less loaded of two, own failure domain first."""

import dataclasses
import random
from collections.abc import Collection

from bilberryroute.model import wire

DRAWS_MAX = 4


class IndexedSet:
    """Names with constant-time change and random draw."""

    def __init__(self):
        self._names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._names)

    def add(self, name: str) -> None:
        """Adds a name, if it is not in."""
        if name not in self._index:
            self._index[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Removes a name, if it is in."""
        index = self._index.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index[last] = index

    def draw(self, rng: random.Random, avoid: Collection[str]) -> str | None:
        """Returns a random name, one that is not to be avoided if possible."""
        if not self._names:
            return None
        for _ in range(DRAWS_MAX):
            name = self._names[rng.randrange(len(self._names))]
            if name not in avoid:
                return name
        return next((n for n in self._names if n not in avoid), None)


@dataclasses.dataclass(slots=True)
class _Open:
    """Endpoints of one service that can take a request now."""

    near: IndexedSet = dataclasses.field(default_factory=IndexedSet)
    far: IndexedSet = dataclasses.field(default_factory=IndexedSet)


class EndpointPool:
    """All endpoints that an entry may use, and its own requests on them.

    Args:
      failure_domain: Where the entry runs; endpoints there go first.
    """

    def __init__(self, failure_domain: str):
        self._failure_domain = failure_domain
        self._views: dict[str, wire.EndpointView] = {}
        self._own: dict[str, int] = {}
        self._limits: dict[str, int] = {}
        self._open: dict[str, _Open] = {}

    def update(
        self,
        views: Collection[wire.EndpointView],
        limits: dict[str, int] | None = None,
    ) -> None:
        """Takes a new view of all endpoints.

        Args:
          views: Endpoints that may take work.
          limits: Own requests at once for those that may not use all slots.
        """
        self._views = {view.name: view for view in views}
        self._limits = limits or {}
        self._open = {}
        for name in self._views:
            self._refile(name)

    def get(self, name: str) -> wire.EndpointView | None:
        """Returns an endpoint, or None if it may take no work."""
        return self._views.get(name)

    def names(self, service: str) -> list[str]:
        """Returns the endpoints of a service that may take work."""
        return [n for n, v in self._views.items() if v.service == service]

    def slots(self, service: str) -> int:
        """Returns the slots of all endpoints of a service."""
        return sum(self._views[n].slots for n in self.names(service))

    def own(self, name: str) -> int:
        """Returns how many requests this entry has on an endpoint."""
        return self._own.get(name, 0)

    def request_started(self, name: str) -> None:
        """Counts one request more on an endpoint."""
        self._own[name] = self.own(name) + 1
        self._refile(name)

    def request_ended(self, name: str) -> None:
        """Counts one request less on an endpoint."""
        self._own[name] = self.own(name) - 1
        if self._own[name] == 0:
            del self._own[name]
        self._refile(name)

    def choose(
        self,
        service: str,
        rng: random.Random,
        avoid: Collection[str] = frozenset(),
    ) -> wire.EndpointView | None:
        """Returns the endpoint for one request, or None if all are full."""
        open_ = self._open.get(service)
        if open_ is None:
            return None
        near = self._less_loaded(open_.near, rng, avoid)
        if near is not None and self._load(near) < 1:
            return near
        far = self._less_loaded(open_.far, rng, avoid)
        if near is None or far is None:
            return near or far
        return min(near, far, key=self._load)

    def _less_loaded(
        self, names: IndexedSet, rng: random.Random, avoid: Collection[str]
    ) -> wire.EndpointView | None:
        first = names.draw(rng, avoid)
        if first is None:
            return None
        second = names.draw(rng, avoid)
        return min(self._views[first], self._views[second], key=self._load)

    def _load(self, view: wire.EndpointView) -> float:
        return max(view.in_flight, self.own(view.name)) / view.slots

    def _refile(self, name: str) -> None:
        view = self._views.get(name)
        if view is None:
            return
        open_ = self._open.setdefault(view.service, _Open())
        is_near = view.failure_domain == self._failure_domain
        names = open_.near if is_near else open_.far
        if self.own(name) < self._limits.get(name, view.slots):
            names.add(name)
        else:
            names.discard(name)


def usable(
    views: Collection[wire.EndpointView], domains_out: Collection[str]
) -> list[wire.EndpointView]:
    """Returns the endpoints that may get new work."""
    return [
        view
        for view in views
        if not view.leaving and view.failure_domain not in domains_out
    ]
