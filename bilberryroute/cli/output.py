"""Results on standard output: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import TextIO

import msgspec

_GAP = "  "


class Output:
    """Prints results in the form asked for.

    Attributes:
      as_json: Whether JSON was asked for.
    """

    def __init__(self, stream: TextIO, *, as_json: bool):
        self._stream = stream
        self.as_json = as_json

    def json(self, value: object) -> None:
        """Prints one JSON document, indented."""
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self._stream.write(text.decode() + "\n")

    def fields(self, *pairs: tuple[str, object]) -> None:
        """Prints one `name  value` line for each pair."""
        self._write_aligned((f"{name}:", value) for name, value in pairs)

    def table(
        self, header: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Prints a header and one line for each row."""
        self._write_aligned([[h.upper() for h in header], *rows])

    def line(self, text: str = "") -> None:
        """Prints one line."""
        self._stream.write(text + "\n")

    def _write_aligned(self, rows: Iterable[Sequence[object]]) -> None:
        cells = [[str(value) for value in row] for row in rows]
        widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
        for row in cells:
            padded = (
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            )
            self._stream.write(_GAP.join(padded).rstrip() + "\n")
