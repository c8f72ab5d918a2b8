"""Account of what a process holds for its clients.

Load: many clients that send large bodies, stop short of their end or hold
connections open, until memory or descriptors run out. One account covers all
HTTP servers of a process; it decides who is given up and does no I/O.
"""

import collections
import dataclasses
import enum
import math
import os
import resource
from typing import Any

from bilberryroute import clock as clock_lib
from bilberryroute import settings

MB = 1_000_000
# A process without clients takes 60 to 80 MB, and its own work needs room.
OWN_MEMORY_MB = 96
# What is held takes up to twice its size while it is copied or decoded, and the
# allocator keeps part of what was freed.
MEMORY_SHARE = 0.375
# Where nothing bounds the memory, this share of the host's is for clients.
HOST_SHARE = 0.125
MAX_DERIVED_BYTES = 256 * MB
# Ordinary jobs and requests of a few callers at once must still fit.
MIN_BYTES = 16 * MB
# An open connection: parser, task and buffers.
CONNECTION_BYTES = 16_384
# Peers and the disk need the rest of the descriptors.
DESCRIPTOR_SHARE = 0.25
# One server leaves connections to the others, such as those for operators.
SERVER_SHARE = 0.75
# Makes room for several newcomers at once, as choosing costs a pass over all.
KEPT_SHARE = 0.9


class Stage(enum.IntEnum):
    """What a connection holds; the cheapest to lose first."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    COMPLETE = 3


class Reason(enum.StrEnum):
    """Why a connection is closed."""

    BYTES = "client_bytes"
    CONNECTIONS = "client_connections"
    HEAD_TIME = "client_head_time"
    BODY_TIME = "client_body_time"
    ANSWER_TIME = "client_answer_time"
    HEAD_SIZE = "client_head_size"
    AHEAD = "client_requests_ahead"


@dataclasses.dataclass(slots=True, eq=False)
class Holding:
    """What one connection holds.

    Attributes:
      server: Address of the server that accepted it.
      client: IP address of the client.
      stage: What it holds.
      since_ms: When the stage began.
      moved_ms: When bytes last arrived.
      unread_ms: Since when its client has not read answers, or None.
      conn: The connection itself, for the caller.
      bytes: Bytes held, without those of the connection itself.
    """

    server: str
    client: str
    since_ms: clock_lib.Millis
    moved_ms: clock_lib.Millis
    stage: Stage = Stage.IDLE
    unread_ms: clock_lib.Millis | None = None
    conn: Any = None
    bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Bounds of the account.

    Attributes:
      bytes: Bytes held for all clients.
      connections: Connections of all servers.
      server_connections: Connections of one server.
    """

    bytes: int
    connections: int
    server_connections: int


def bounds(limits: settings.Limits) -> Bounds:
    """Returns the bounds that the settings state, or those of the host."""
    held = limits.client_bytes or _derived_bytes(limits.memory_mb)
    descriptors = limits.descriptors or math.inf
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft)
    connections = limits.client_connections or int(
        min(
            descriptors * DESCRIPTOR_SHARE,
            # Half of the bytes are for what the connections carry.
            held / 2 / CONNECTION_BYTES,
        )
    )
    return Bounds(
        bytes=held,
        connections=connections,
        server_connections=math.ceil(connections * SERVER_SHARE),
    )


def _derived_bytes(memory_mb: int) -> int:
    if memory_mb:
        spare = (memory_mb - OWN_MEMORY_MB) * MB * MEMORY_SHARE
    else:
        host = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        spare = min(host * HOST_SHARE, MAX_DERIVED_BYTES)
    return max(MIN_BYTES, int(spare))


class Intake:
    """Counts what connections hold, and chooses which to give up.

    Attributes:
      bounds: The bounds.
      bytes: Bytes held, with those of the connections.
    """

    def __init__(self, limits: settings.Limits):
        self.bounds = bounds(limits)
        self.bytes = 0
        self._limits = limits
        self._holdings: set[Holding] = set()
        self._per_server: collections.Counter[str] = collections.Counter()

    def open(self, holding: Holding) -> None:
        """Adds a connection."""
        self._holdings.add(holding)
        self._per_server[holding.server] += 1
        self.bytes += CONNECTION_BYTES

    def close(self, holding: Holding) -> None:
        """Removes a connection with all that it holds."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self._per_server[holding.server] -= 1
            self.bytes -= holding.bytes + CONNECTION_BYTES

    def charge(self, holding: Holding, size: int) -> None:
        """Adds bytes that a connection holds, or takes them off."""
        if holding in self._holdings:
            holding.bytes += size
            self.bytes += size

    def fits(self, size: int) -> bool:
        """Returns whether so many further bytes can be held now."""
        return self.bytes + size <= self.bounds.bytes

    def too_many(self, newcomer: Holding) -> list[Holding]:
        """Returns what to close so that a new connection may stay.

        The newcomer itself is closed if all others have complete requests.
        """
        server = newcomer.server
        if self._per_server[server] > self.bounds.server_connections:
            among = [h for h in self._holdings if h.server == server]
        elif len(self._holdings) > self.bounds.connections:
            among = list(self._holdings)
        else:
            return []
        per_client = collections.Counter(h.client for h in among)
        victims = [
            h
            for h in among
            if h is not newcomer and h.stage is not Stage.COMPLETE
        ]
        if not victims:
            return [newcomer]
        return [
            min(
                victims,
                key=lambda h: (-per_client[h.client], h.stage, h.since_ms),
            )
        ]

    def too_much(self) -> list[Holding]:
        """Returns what to close so that the bytes held are within the bound.

        Chooses the clients that hold most, and of each what has been
        incomplete for longest. Complete requests are never chosen.
        """
        excess = self.bytes - self.bounds.bytes
        if excess <= 0:
            return []
        excess += int((1 - KEPT_SHARE) * self.bounds.bytes)
        per_client: collections.Counter[str] = collections.Counter()
        for holding in self._holdings:
            per_client[holding.client] += holding.bytes
        victims = []
        for holding in sorted(
            (h for h in self._holdings if h.stage is not Stage.COMPLETE),
            key=lambda h: (-per_client[h.client], h.bytes == 0, h.since_ms),
        ):
            if excess <= 0:
                break
            victims.append(holding)
            excess -= holding.bytes + CONNECTION_BYTES
        return victims

    def overdue(
        self, server: str, now: clock_lib.Millis
    ) -> list[tuple[Holding, Reason]]:
        """Returns the connections of a server whose client is too slow."""
        found = []
        for holding in self._holdings:
            if holding.server == server:
                reason = self._why_overdue(holding, now)
                if reason is not None:
                    found.append((holding, reason))
        return found

    def _why_overdue(
        self, holding: Holding, now: clock_lib.Millis
    ) -> Reason | None:
        limits = self._limits
        if (
            holding.unread_ms is not None
            and now - holding.unread_ms > limits.answer_ms
        ):
            return Reason.ANSWER_TIME
        stage_ms = now - holding.since_ms
        match holding.stage:
            case Stage.HEAD if stage_ms > limits.head_ms:
                return Reason.HEAD_TIME
            case Stage.BODY if (
                stage_ms > limits.body_ms
                or now - holding.moved_ms > limits.body_pause_ms
            ):
                return Reason.BODY_TIME
        return None

    def excuse(self, server: str, duration: int) -> None:
        """Leaves out a time in which this process did not read, in ms."""
        for holding in self._holdings:
            if holding.server == server:
                holding.since_ms = clock_lib.Millis(holding.since_ms + duration)
                holding.moved_ms = clock_lib.Millis(holding.moved_ms + duration)
                if holding.unread_ms is not None:
                    holding.unread_ms = clock_lib.Millis(
                        holding.unread_ms + duration
                    )
