"""Framed and checksummed records in a file.

A frame is the payload's length, the payload's checksum and a checksum of the
two, then the payload. With the header checked on its own, a flipped bit in
the length is not taken for a frame that was cut off.
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
      payloads: Payloads of the whole frames, in order.
      size: Bytes up to the end of the last whole frame.
      damaged: Whether what follows is damage and not a write cut short.
    """

    payloads: tuple[bytes, ...]
    size: int
    damaged: bool


def frame(payload: bytes) -> bytes:
    """Returns a payload with its header."""
    fields = _FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _CHECK.pack(zlib.crc32(fields)) + payload


def scan(content: bytes) -> Scan:
    """Reads frames up to the end, the first cut-off one or the first damage."""
    payloads = []
    position = 0
    damaged = False
    view = memoryview(content)
    while len(content) - position >= HEADER_BYTES:
        start = position + HEADER_BYTES
        fields = view[position : position + _FIELDS.size]
        check = view[position + _FIELDS.size : start]
        if _CHECK.unpack(check)[0] != zlib.crc32(fields):
            damaged = any(view[position:])  # Zeros were never written.
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
