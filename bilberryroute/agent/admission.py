"""Admission checks for requests on an agent; does no I/O."""

import dataclasses

from bilberryroute.agent import board as board_lib
from bilberryroute.model import config
from bilberryroute.model import endpoints
from bilberryroute.routing import protocol

# How long an endpoint that announced that it leaves still accepts requests.
LEAVING_NOTICE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRefusal:
    """Why a request was not started.

    Attributes:
      reason: Label of the refusals counter.
    """

    reason: str


def check_start(
    board: board_lib.AgentBoard,
    failure_domain: str,
    endpoint: str,
    now: int,
) -> AdmissionRefusal | None:
    """Returns why no request may start on an endpoint now, or None."""
    if board.lease.get().left(now) == 0:
        return AdmissionRefusal(reason=protocol.Reason.NO_LEASE)
    if failure_domain not in board.desired.get().domains_in_service:
        return AdmissionRefusal(reason=protocol.Reason.DOMAIN_OUT)
    announced = board.announcements.get().get(endpoint)
    if announced is None:
        return AdmissionRefusal(reason=protocol.Reason.ENDPOINT_GONE)
    since = board.leaving.get().get(endpoint, now)
    if announced.leaving and now - since >= LEAVING_NOTICE_MS:
        return AdmissionRefusal(reason=protocol.Reason.ENDPOINT_LEAVING)
    return None


def slots_of(board: board_lib.AgentBoard, endpoint: str) -> int:
    """Returns how many requests an endpoint may run at once."""
    announced = board.announcements.get().get(endpoint)
    if announced is None:
        return 1
    service = service_of(board, announced.service)
    return min(
        announced.slots,
        service.slots_per_endpoint,
        connections_of(board, announced),
    )


def connections_of(
    board: board_lib.AgentBoard, announced: endpoints.Announcement
) -> int:
    """Returns how many connections an endpoint may hold at once."""
    service = service_of(board, announced.service)
    return min(announced.connections, service.connections_per_endpoint)


def service_of(board: board_lib.AgentBoard, name: str) -> config.Service:
    """Returns a service with its limits, or the defaults if unknown."""
    return board.services.get().get(name) or config.Service(name=name)
