"""Greetings, with which replicas learn who listens at an address."""

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
    """Identity and addresses of a replica; the request and its reply.

    Attributes:
      id: Identity of the data folder.
      group: Id of the group that its data folder belongs to, or empty.
      grpc: Address of its gRPC server.
      datagram: Address of its datagram socket.
      failure_domain: Failure domain that it runs in.
      leader: Address of the leader's gRPC server, or empty if unknown.
    """

    id: str
    group: str
    grpc: str
    datagram: str
    failure_domain: str = ""
    leader: str = ""


_decoder = codec.Decoder(Hello)


def decode(payload: bytes) -> Hello:
    """Decodes a greeting.

    Raises:
      errors.MalformedInput: If the payload is malformed.
    """
    return _decoder.decode(payload)


async def greet(address: str, own: Hello) -> Hello | None:
    """Greets an address; returns the reply, or None if there is none."""
    async with grpc.aio.insecure_channel(address) as channel:
        call = channel.unary_unary(f"/{SERVICE}/{METHOD}")
        timeout = clock_lib.seconds(TIMEOUT_MS)
        try:
            return decode(await call(codec.encode(own), timeout=timeout))
        except (grpc.RpcError, errors.MalformedInput):
            return None
