"""Checksummed frames in a file.

A frame consists of the payload's length, the payload's checksum, a checksum of
these two fields, and the payload. The header has a checksum of its own so that
a flipped bit in the length is not mistaken for a truncated frame.
"""

import struct
import zlib
from dataclasses import dataclass

_FIELDS = struct.Struct("<II")
_CHECK = struct.Struct("<I")
HEADER_BYTES = _FIELDS.size + _CHECK.size


@dataclass(frozen=True, slots=True, kw_only=True)
class Scan:
    """Frames found in a file.

    Attributes:
      payloads: Payloads of the complete frames, in order.
      size: Length of all complete frames, in bytes.
      damaged: Whether the rest is corrupt rather than a truncated write.
    """

    payloads: tuple[bytes, ...]
    size: int
    damaged: bool


def frame(payload: bytes) -> bytes:
    """Returns a frame with the given payload."""
    fields = _FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _CHECK.pack(zlib.crc32(fields)) + payload


def scan(content: bytes) -> Scan:
    """Reads frames up to the first truncated or corrupt one."""
    payloads = []
    position = 0
    damaged = False
    view = memoryview(content)
    while len(content) - position >= HEADER_BYTES:
        start = position + HEADER_BYTES
        fields = view[position : position + _FIELDS.size]
        check = view[position + _FIELDS.size : start]
        if _CHECK.unpack(check)[0] != zlib.crc32(fields):
            damaged = any(view[position:])  # A crash may leave zeros.
            break
        length, checksum = _FIELDS.unpack(fields)
        payload = bytes(view[start : start + length])
        if len(payload) < length:
            break
        if zlib.crc32(payload) != checksum:
            damaged = True
            break
        payloads.append(payload)
        position = start + length
    return Scan(payloads=tuple(payloads), size=position, damaged=damaged)
