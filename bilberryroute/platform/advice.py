"""Wire form of the advisory service."""

import asyncio

import aiohttp
import mode
import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute.model import batch
from bilberryroute.replica import advice

# The service takes calls in turn, each some milliseconds a worker.
TIMEOUT_MS = clock_lib.Millis(5_000)
OK = 200


class _Answer(msgspec.Struct, rename="camel"):
    """Answer to a call.

    Attributes:
      allowed: Rows of worker and ticket; a ticket permits the step there.
    """

    allowed: list[list[str]] = []
    validity_ms: int = 0


_answers = msgspec.json.Decoder(_Answer)


class AdviceClient(mode.Service):
    """The advisory service of the platform; `replica.advice.Advisor`."""

    def __init__(self, address: str):
        super().__init__()
        self._url = f"http://{address}/bilberryroute/advise"
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession()

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def advise(
        self, step: batch.TaskId, workers: list[str]
    ) -> advice.Advice:
        """Says on which of the workers a step may run."""
        name = f"{step.job_id}.{step.occurrence}.{step.step}"
        body = {"step": name, "workers": workers}
        try:
            async with asyncio.timeout(clock_lib.seconds(TIMEOUT_MS)):
                async with self._session.post(self._url, json=body) as resp:
                    if resp.status != OK:
                        raise errors.Unavailable(
                            f"the advisory service answered {resp.status}"
                        )
                    return decode(await resp.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise errors.Unavailable(f"no advice: {exc!r}") from exc


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
