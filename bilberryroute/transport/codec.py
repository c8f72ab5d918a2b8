"""Binary form of typed messages: msgpack with validation, by `msgspec`."""

import functools
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

from bilberryroute import errors

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()


class Tagged(msgspec.Struct, frozen=True):
    """Envelope of a message whose type varies.

    Attributes:
      kind: Class name of the body.
      body: The body, not yet decoded.
    """

    kind: str
    body: msgspec.Raw


def encode(message: object) -> bytes:
    """Returns the msgpack form of a data class."""
    return _encoder.encode(message)


class Decoder(Generic[T]):
    """Validating decoder of one type.

    Built with the first message, as no role receives all types.
    """

    def __init__(self, kind: type[T]):
        self._kind = kind

    @functools.cached_property
    def _decoder(self) -> msgspec.msgpack.Decoder:
        return msgspec.msgpack.Decoder(self._kind)

    def decode(self, payload: bytes) -> T:
        """Returns the message.

        Raises:
          errors.MalformedInput: If the payload is not such a message.
        """
        try:
            return self._decoder.decode(payload)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise errors.MalformedInput(f"malformed message: {exc}") from exc


_tagged_decoder = Decoder(Tagged)


class Union:
    """Codec of a closed set of data classes, told apart by class name."""

    def __init__(self, *kinds: type):
        self._decoders = {k.__name__: Decoder(k) for k in kinds}

    def encode(self, message: object) -> bytes:
        """Returns the tagged form of a message of one of the kinds."""
        kind = type(message).__name__
        if kind not in self._decoders:
            raise TypeError(f"{kind} is not a member of this union")
        return _encoder.encode(Tagged(kind, msgspec.Raw(encode(message))))

    def decode(self, payload: bytes) -> Any:
        """Returns the message.

        Raises:
          errors.MalformedInput: If the payload is no message of these kinds.
        """
        tagged = _tagged_decoder.decode(payload)
        decoder = self._decoders.get(tagged.kind)
        if decoder is None:
            raise errors.MalformedInput(f"unknown message {tagged.kind!r}")
        return decoder.decode(bytes(tagged.body))
