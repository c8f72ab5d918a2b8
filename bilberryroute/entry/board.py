"""Blackboard of the entry role."""

import dataclasses

from bilberryroute import blackboard
from bilberryroute.model import config
from bilberryroute.model import wire


@dataclasses.dataclass(slots=True)
class EntryBoard:
    """What an entry knows and wants.

    Attributes:
      configuration: Highest configuration seen; never goes back.
      endpoints: All endpoints as the leader last showed them.
      term: Highest term seen.
      leader_id: The leading replica, as far as known.
      draining: True once the process was asked to leave.
      heard_ms: Monotonic instant of the leader's last sign of life; 0 before.
    """

    configuration: blackboard.Cell[config.Configuration]
    endpoints: blackboard.Cell[tuple[wire.EndpointView, ...]]
    term: blackboard.Cell[int]
    leader_id: blackboard.Cell[str]
    draining: blackboard.Cell[bool]
    heard_ms: blackboard.Cell[int]


def new_board() -> EntryBoard:
    """Returns the board of an entry that knows nothing yet."""
    return EntryBoard(
        configuration=blackboard.Cell(config.Configuration()),
        endpoints=blackboard.Cell(()),
        term=blackboard.Cell(0),
        leader_id=blackboard.Cell(""),
        draining=blackboard.Cell(False),
        heard_ms=blackboard.Cell(0),
    )
