"""Calls to endpoints: one request, one connection, one whole answer.

A connection serves one request only. An answer that arrives late or twice
therefore has no later request to be mistaken for.
"""

import dataclasses

import aiohttp

from bilberryroute import clock as clock_lib
from bilberryroute.model import endpoints
from bilberryroute.routing import protocol

ANSWER_BYTES_MAX = 32 * 1_024 * 1_024
CONNECT_TIMEOUT_MS = 1_000
CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A whole answer of an endpoint."""

    status: int
    content_type: str
    content_encoding: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """No whole answer came.

    Attributes:
      ran: Whether the endpoint may have run the request.
    """

    reason: str
    ran: bool


class EndpointClient:
    """Posts requests to endpoints."""

    def __init__(self):
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        announced: endpoints.Announcement,
        order: protocol.Dispatch,
        body: bytes,
    ) -> Answer | Failure:
        """Returns the endpoint's whole answer, or why there is none."""
        headers = {
            protocol.REQUEST_ID_HEADER: order.request_id,
            protocol.ATTEMPT_HEADER: str(order.attempt),
            protocol.ACCOUNT_HEADER: order.account,
            protocol.DEADLINE_HEADER: str(order.time_left_ms),
            "Content-Type": order.content_type,
        }
        try:
            async with self._opened().post(
                f"http://{announced.address}/",
                data=body,
                headers=headers,
                allow_redirects=False,
                timeout=_timeout(order.time_left_ms),
            ) as resp:
                return await _read(resp, order.request_id)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return Failure(reason="endpoint_unreachable", ran=False)
        except TimeoutError:
            return Failure(reason="endpoint_timeout", ran=True)
        except aiohttp.ClientPayloadError:
            return Failure(reason="endpoint_truncated", ran=True)
        except (aiohttp.ClientError, OSError):
            return Failure(reason="endpoint_broke", ran=True)

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _timeout(time_left_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=clock_lib.seconds(time_left_ms),
        sock_connect=clock_lib.seconds(CONNECT_TIMEOUT_MS),
    )


async def _read(
    resp: aiohttp.ClientResponse, request_id: str
) -> Answer | Failure:
    echoed = resp.headers.get(protocol.REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        return Failure(reason="endpoint_mismatched", ran=True)
    if not _is_framed(resp):
        return Failure(reason="endpoint_unframed", ran=True)
    body = bytearray()
    async for chunk in resp.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > ANSWER_BYTES_MAX:
            return Failure(reason="endpoint_too_long", ran=True)
    return Answer(
        status=resp.status,
        content_type=resp.headers.get("Content-Type", ""),
        content_encoding=resp.headers.get("Content-Encoding", ""),
        body=bytes(body),
    )


def _is_framed(resp: aiohttp.ClientResponse) -> bool:
    chunked = resp.headers.get("Transfer-Encoding", "").lower() == "chunked"
    bodiless = resp.status in (204, 304)
    return chunked or bodiless or "Content-Length" in resp.headers
