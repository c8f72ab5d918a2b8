"""Relays between processes and replicas, to cut agents or regions off."""

import random

import msgspec

from bilberryroute import settings
from extras import cluster as cluster_lib
from tests.utils import relay

SEED = 4


class AgentWires:
    """One datagram relay from each agent to each replica."""

    def __init__(self) -> None:
        self._relays: dict[tuple[str, str], relay.UdpRelay] = {}

    async def start(self, cluster: cluster_lib.Cluster) -> None:
        """Starts the relays of a system that is not prepared yet."""
        for number in range(len(cluster.layout.agents)):
            for replica in cluster.replicas:
                key = (f"a{number + 1}", replica.id)
                wire = relay.UdpRelay(replica.datagram, random.Random(SEED))
                await wire.start()
                self._relays[key] = wire

    async def stop(self) -> None:
        """Stops all relays."""
        for wire in self._relays.values():
            await wire.stop()

    def seen_by(
        self, name: str, replica: settings.ReplicaAddress
    ) -> settings.ReplicaAddress:
        """Returns the addresses at which a process sees a replica."""
        wire = self._relays.get((name, replica.id))
        if wire is None:
            return replica
        return msgspec.structs.replace(replica, datagram=wire.address)

    def cut(self, agent: str) -> None:
        """Cuts an agent off in both directions."""
        for wire in self._of(agent):
            wire.cut()

    def heal(self, agent: str) -> None:
        """Ends the cut."""
        for wire in self._of(agent):
            wire.heal()

    def _of(self, agent: str) -> list[relay.UdpRelay]:
        return [w for (name, _), w in self._relays.items() if name == agent]


class RegionWires:
    """Relays on every way to a replica that leaves the sender's region.

    Attributes:
      region_of: Region by failure domain.
    """

    def __init__(self, region_of: dict[str, str]) -> None:
        self.region_of = region_of
        self._domains: dict[str, str] = {}
        self._datagram: dict[tuple[str, str], relay.UdpRelay] = {}
        self._grpc: dict[tuple[str, str], relay.TcpRelay] = {}

    async def start(self, cluster: cluster_lib.Cluster) -> None:
        """Starts the relays of a system that is not prepared yet."""
        layout = cluster.layout
        for replica in cluster.replicas:
            self._domains[replica.id] = replica.failure_domain
        for number, name in enumerate(cluster.entries):
            self._domains[name] = layout.domains[number % len(layout.domains)]
        for number, domain in enumerate(layout.agents):
            self._domains[f"a{number + 1}"] = domain
        for name in self._domains:
            for replica in cluster.replicas:
                if self._crosses(name, replica):
                    await self._add(name, replica)

    def _crosses(self, name: str, replica: settings.ReplicaAddress) -> bool:
        there = self.region_of[replica.failure_domain]
        return self.region_of[self._domains[name]] != there

    async def _add(self, name: str, replica: settings.ReplicaAddress) -> None:
        key = (name, replica.id)
        datagram = relay.UdpRelay(replica.datagram, random.Random(SEED))
        grpc = relay.TcpRelay(replica.grpc, random.Random(SEED))
        await datagram.start()
        await grpc.start()
        self._datagram[key] = datagram
        self._grpc[key] = grpc

    async def stop(self) -> None:
        """Stops all relays."""
        for wire in (*self._datagram.values(), *self._grpc.values()):
            await wire.stop()

    def seen_by(
        self, name: str, replica: settings.ReplicaAddress
    ) -> settings.ReplicaAddress:
        """Returns the addresses at which a process sees a replica."""
        key = (name, replica.id)
        if key not in self._grpc:
            return replica
        return msgspec.structs.replace(
            replica,
            grpc=self._grpc[key].address,
            datagram=self._datagram[key].address,
        )

    def cut(self) -> None:
        """Parts the regions in both directions."""
        for wire in (*self._datagram.values(), *self._grpc.values()):
            wire.cut()

    def silence_connections(self) -> None:
        """Swallows all bytes; what is open then stays silent for good."""
        for wire in self._grpc.values():
            wire.forward.swallow = wire.backward.swallow = True

    def heal(self) -> None:
        """Ends all faults; new connections work."""
        for wire in (*self._datagram.values(), *self._grpc.values()):
            wire.heal()
