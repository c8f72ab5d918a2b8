"""Payloads of any size over a carrier that bounds each message."""

from collections.abc import Iterator

from bilberryroute import errors

FRAGMENT_BYTES = 1_048_576
ASSEMBLED_BYTES = 268_435_456
_LAST = b"\x00"
_MORE = b"\x01"


def split(payload: bytes) -> Iterator[bytes]:
    """Yields the messages that carry a payload."""
    last = max(0, (len(payload) - 1) // FRAGMENT_BYTES)
    for position in range(last + 1):
        start = position * FRAGMENT_BYTES
        mark = _LAST if position == last else _MORE
        yield mark + payload[start : start + FRAGMENT_BYTES]


class Assembler:
    """Puts the messages of one stream together again."""

    def __init__(self):
        self._parts = bytearray()

    def add(self, message: bytes) -> bytes | None:
        """Returns a payload once its last message has come.

        Raises:
          errors.MalformedInput: If the message has no mark, or the payload
            grows beyond all bounds.
        """
        mark, part = message[:1], message[1:]
        if mark not in (_LAST, _MORE):
            raise errors.MalformedInput("a message without a mark")
        if len(self._parts) + len(part) > ASSEMBLED_BYTES:
            raise errors.MalformedInput("a payload without an end")
        self._parts += part
        if mark == _MORE:
            return None
        payload = bytes(self._parts)
        self._parts.clear()
        return payload
