"""Blackboard shared by the services of the entry role."""

import dataclasses

from bilberryroute import blackboard
from bilberryroute.model import config
from bilberryroute.model import wire


@dataclasses.dataclass(slots=True)
class EntryBoard:
    """State shared by the services of an entry.

    Attributes:
      configuration: Latest configuration seen; its revision never decreases.
      endpoints: All endpoints as the leader last reported them.
      term: Highest term seen.
      leader_id: Id of the presumed leader; empty if unknown.
      draining: True once the process was asked to shut down.
      replicas: All replicas as the leader last reported them.
      leader_seen_ms: Monotonic time of the leader's last message; 0 if none.
    """

    configuration: blackboard.Cell[config.Configuration]
    endpoints: blackboard.Cell[tuple[wire.EndpointView, ...]]
    term: blackboard.Cell[int]
    leader_id: blackboard.Cell[str]
    draining: blackboard.Cell[bool]
    replicas: blackboard.Cell[tuple[wire.ReplicaContact, ...]]
    leader_seen_ms: blackboard.Cell[int]


def new_board() -> EntryBoard:
    """Returns an empty blackboard."""
    return EntryBoard(
        configuration=blackboard.Cell(config.Configuration()),
        endpoints=blackboard.Cell(()),
        term=blackboard.Cell(0),
        leader_id=blackboard.Cell(""),
        draining=blackboard.Cell(False),
        replicas=blackboard.Cell(()),
        leader_seen_ms=blackboard.Cell(0),
    )
