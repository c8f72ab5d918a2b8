"""Relays between agents and replicas, to cut an agent off."""

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
