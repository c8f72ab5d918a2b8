"""Stand-in for a leading replica: one datagram socket that answers."""

import asyncio
import dataclasses

from bilberryroute.model import config
from bilberryroute.model import wire
from bilberryroute.transport import codec


def desired_state(
    version: int,
    *tasks: wire.DesiredTask,
    revision: int = 1,
    domains: tuple[str, ...] = ("apapa",),
) -> wire.Desired:
    return wire.Desired(
        version=version,
        revision=revision,
        domains_in_service=domains,
        services=(config.Service(name="gang-alloc"),),
        tasks=tasks,
    )


def grant(
    echo_ms: int,
    *,
    term: int = 1,
    lease_ms: int = 2_200,
    leader_id: str = "r1",
    desired: wire.Desired | None = None,
    replicas: dict[str, str] | None = None,
) -> wire.Grant:
    return wire.Grant(
        term=term,
        echo_ms=echo_ms,
        lease_ms=lease_ms,
        leader_id=leader_id,
        replicas=replicas or {},
        desired=desired,
    )


class StandInLeader(asyncio.DatagramProtocol):
    """Answers renewals by what the test sets.

    Attributes:
      renewals: Renewals received, oldest first.
      desired: Desired state sent whenever the agent's version differs.
      lease_ms: Length of the leases granted; 0 grants none.
      silent: Whether renewals are left unanswered.
    """

    def __init__(self, leader_id: str = "r1"):
        self.renewals: list[wire.Renewal] = []
        self.desired = desired_state(1)
        self.lease_ms = 2_200
        self.term = 1
        self.leader_id = leader_id
        self.silent = False
        self.address = ""
        self._decoder = codec.Decoder(wire.Renewal)
        self._received = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        self._peer: tuple[str, int] | None = None

    async def open(self) -> None:
        """Binds a free port and sets `address`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        host, port = self._transport.get_extra_info("sockname")
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Closes the socket."""
        self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answers a renewal, unless it is silent."""
        renewal = self._decoder.decode(data)
        self.renewals.append(renewal)
        self._peer = addr
        self._received.set()
        if self.silent:
            return
        current = renewal.desired_version == self.desired.version
        self.send(
            grant(
                renewal.sent_ms,
                term=self.term,
                lease_ms=self.lease_ms,
                leader_id=self.leader_id,
                desired=None if current or not self.lease_ms else self.desired,
            )
        )

    def send(self, message: wire.Grant) -> None:
        """Sends a grant to the agent heard last."""
        self._transport.sendto(codec.encode(message), self._peer)

    def push(self, desired: wire.Desired) -> None:
        """Sends newer desired state at once, renewing nothing."""
        self.desired = desired
        message = grant(0, term=self.term, lease_ms=0, desired=desired)
        self.send(dataclasses.replace(message, leader_id=self.leader_id))

    async def until(self, accept, timeout_s: float = 10.0) -> wire.Renewal:
        """Returns the first renewal from now on that `accept` approves."""
        seen = len(self.renewals)
        async with asyncio.timeout(timeout_s):
            while True:
                for renewal in self.renewals[seen:]:
                    if accept(renewal):
                        return renewal
                seen = len(self.renewals)
                self._received.clear()
                await self._received.wait()
