"""Records sessions for golden files, without values that differ by run."""

import dataclasses
import json
import pathlib

from tests.requests import fakes

FOLDER = pathlib.Path(__file__).parent / "golden"
RECORDED_HEADERS = (
    "Bilberryroute-Attempts",
    "Bilberryroute-Outcome",
    "Bilberryroute-Request-Id",
    "Content-Type",
    "Retry-After",
)


@dataclasses.dataclass
class Recorder:
    """Records each step of a session as a JSON line.

    Attributes:
      lines: Steps recorded so far.
    """

    stack: object
    lines: list[str] = dataclasses.field(default_factory=list)

    def record(self, step: str, **fields: object) -> None:
        """Records one step."""
        self.lines.append(json.dumps({"step": step} | fields))

    async def send(self, entry: int, request_id: str, **kwargs) -> None:
        """Sends one request and records the response."""
        response = await fakes.send(
            self.stack.session, self.stack.entries[entry], request_id, **kwargs
        )
        headers = {
            k: response.headers[k]
            for k in RECORDED_HEADERS
            if k in response.headers
        }
        self.record(
            "request",
            entry=entry,
            sent={"id": request_id} | _json_values(kwargs),
            status=response.status,
            headers=headers,
            body=response.body.decode(),
            ran=self.stack.run_counts[request_id],
        )

    def check(self, name: str) -> None:
        """Compares the session with its golden file."""
        path = FOLDER / f"{name}.jsonl"
        assert "\n".join(self.lines) + "\n" == path.read_text()


def _json_values(kwargs: dict[str, object]) -> dict[str, object]:
    return {
        name: value.decode() if isinstance(value, bytes) else value
        for name, value in kwargs.items()
    }
