"""Greetings between replicas: who listens at an address."""

from dataclasses import dataclass

import grpc
import grpc.aio

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.transport import codec

SERVICE = "bilberryroute.consensus"
METHOD = "Hello"
TIMEOUT_MS = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """Who a replica is; sent and answered.

    Attributes:
      id: Identity of the data folder.
      group: Group it is bound to, or empty.
      grpc: Address of its gRPC server.
      datagram: Address of its datagram socket.
      failure_domain: Where it runs.
    """

    id: str
    group: str
    grpc: str
    datagram: str
    failure_domain: str = ""


_decoder = codec.Decoder(Hello)


def decode(payload: bytes) -> Hello:
    """Returns a greeting.

    Raises:
      errors.MalformedInput: If the payload is none.
    """
    return _decoder.decode(payload)


async def greet(address: str, own: Hello) -> Hello | None:
    """Returns who listens at an address, or None if nobody answers."""
    async with grpc.aio.insecure_channel(address) as channel:
        call = channel.unary_unary(f"/{SERVICE}/{METHOD}")
        timeout = clock_lib.seconds(TIMEOUT_MS)
        try:
            return decode(await call(codec.encode(own), timeout=timeout))
        except (grpc.RpcError, errors.MalformedInput):
            return None
