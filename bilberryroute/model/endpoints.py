"""Announcements of endpoints to the agent on their host."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announcement:
    """One endpoint as it describes itself; renewed like a lease.

    Attributes:
      name: Unique name.
      service: Service that it serves.
      incarnation: Changes with every start of the endpoint.
      address: Where it takes requests, `ip:port`.
      slots: Requests that it runs at once.
      connections: Connections that it accepts at once.
      leaving: True once it takes nothing new.
      running: Ids of the requests that it runs now, if it reports them.
      answers_probes: Whether it serves `GET /requests/{id}` (see
        docs/design/outcomes.md).
    """

    name: str
    service: str
    address: str
    incarnation: str = ""
    slots: int = 8
    connections: int = 60
    leaving: bool = False
    running: tuple[str, ...] | None = None
    answers_probes: bool = False
