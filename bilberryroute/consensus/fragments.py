"""Splits payloads into messages of bounded size and reassembles them."""

from collections.abc import Iterator

from bilberryroute import errors

FRAGMENT_BYTES = 1_048_576
ASSEMBLED_BYTES = 268_435_456
_LAST = b"\x00"
_MORE = b"\x01"


def split(payload: bytes) -> Iterator[bytes]:
    """Yields the messages for a payload."""
    last = max(0, (len(payload) - 1) // FRAGMENT_BYTES)
    for position in range(last + 1):
        start = position * FRAGMENT_BYTES
        marker = _LAST if position == last else _MORE
        yield marker + payload[start : start + FRAGMENT_BYTES]


class Assembler:
    """Reassembles the payloads of one stream."""

    def __init__(self):
        self._parts = bytearray()

    def add(self, message: bytes) -> bytes | None:
        """Returns the payload if this was its last message, or None.

        Raises:
          errors.MalformedInput: If the message lacks its marker byte, or the
            payload exceeds `ASSEMBLED_BYTES`.
        """
        marker, part = message[:1], message[1:]
        if marker not in (_LAST, _MORE):
            raise errors.MalformedInput("fragment without a marker byte")
        if len(self._parts) + len(part) > ASSEMBLED_BYTES:
            raise errors.MalformedInput(
                f"payload exceeds {ASSEMBLED_BYTES} bytes"
            )
        self._parts += part
        if marker == _MORE:
            return None
        payload = bytes(self._parts)
        self._parts.clear()
        return payload
