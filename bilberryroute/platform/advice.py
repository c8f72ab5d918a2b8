"""Wire form of the advisory service."""

import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.platform import client
from bilberryroute.replica import advice

# The service takes calls in turn, each some milliseconds a worker.
TIMEOUT_MS = clock_lib.Millis(5_000)


class _Answer(msgspec.Struct, rename="camel"):
    """Answer to a call.

    Attributes:
      allowed: Rows of worker and ticket; a ticket permits the step there.
    """

    allowed: list[list[str]] = []
    validity_ms: int = 0


_answers = msgspec.json.Decoder(_Answer)


class AdviceClient(client.PlatformClient):
    """The advisory service of the platform; `replica.advice.Advisor`."""

    def __init__(self, address: str):
        super().__init__()
        self._address = address

    async def advise(
        self, step: batch.TaskId, workers: list[str]
    ) -> advice.Advice:
        """Says on which of the workers a step may run."""
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = {"step": name, "workers": workers}
        answer = await self.post(self._address, "advise", body, TIMEOUT_MS)
        if answer.status != client.OK:
            raise errors.Unavailable(
                f"the advisory service answered {answer.status}"
            )
        return decode(answer.body)


def decode(text: bytes) -> advice.Advice:
    """Returns the permits in an answer.

    Raises:
      errors.MalformedInput: If the answer cannot be read.
    """
    try:
        said = _answers.decode(text)
        permits = dict(said.allowed)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        raise errors.MalformedInput(f"malformed advice: {exc}") from exc
    return advice.Advice(permits=permits, valid_ms=said.validity_ms)
