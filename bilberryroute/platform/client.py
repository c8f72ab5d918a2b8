"""The one HTTP client for what the platform serves."""

import asyncio
import dataclasses
from collections.abc import Mapping

import aiohttp
import mode
import msgspec

from bilberryroute import clock as clock_lib
from bilberryroute import errors

OK = 200


class PortClosed(errors.Unavailable):
    """Nobody listens at the address."""

    kind = "port_closed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Status and body of an answer."""

    status: int
    body: bytes


class PlatformClient(mode.Service):
    """Connections to the platform's services; others build on it."""

    def __init__(self):
        super().__init__()
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Opens the connection pool."""
        self._session = aiohttp.ClientSession()

    async def on_stop(self) -> None:
        """Closes the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def post(
        self,
        address: str,
        call: str,
        body: object,
        timeout_ms: clock_lib.Millis,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Sends one call and returns its answer, whatever its status.

        Raises:
          PortClosed: If nobody listens at the address.
          errors.Unavailable: If no answer came; the call may be carried out.
        """
        url = f"http://{address}/bilberryroute/{call}"
        sent = {"Content-Type": "application/json", **(headers or {})}
        try:
            async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
                async with self._session.post(
                    url, data=msgspec.json.encode(body), headers=sent
                ) as resp:
                    return Answer(status=resp.status, body=await resp.read())
        except aiohttp.ClientConnectorError as exc:
            if isinstance(exc.os_error, ConnectionRefusedError):
                raise PortClosed(f"{address} refuses connections") from exc
            raise errors.Unavailable(f"{call}: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise errors.Unavailable(f"{call}: {exc!r}") from exc
