"""HTTP client for endpoints, with one connection per request.

Connections are not reused, so a late or duplicate answer cannot be matched to
a later request. While an endpoint processes a request, probes over other
connections ask for its state. They fetch the answer if the first connection is
dead, and the request fails after `PROBES_LOST_MAX` probes in a row without an
answer.
"""

import asyncio
import collections
import contextlib
import dataclasses

import aiohttp

from bilberryroute import clock as clock_lib
from bilberryroute import settings
from bilberryroute.model import endpoints
from bilberryroute.routing import protocol

ANSWER_BYTES_MAX = 32 * 1_024 * 1_024
CONNECT_TIMEOUT_MS = 1_000
CHUNK_BYTES = 65_536
PROBES_LOST_MAX = 3

# Failures after which a probe may still return the answer.
_RECOVERABLE_REASONS = (
    protocol.Reason.ENDPOINT_BROKE,
    protocol.Reason.ENDPOINT_TRUNCATED,
    protocol.Reason.ENDPOINT_MISMATCHED,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointAnswer:
    """A complete answer of an endpoint."""

    status: int
    content_type: str
    content_encoding: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointFailure:
    """No complete answer was received.

    Attributes:
      ran: Whether the endpoint may have run the request.
    """

    reason: str
    ran: bool


class EndpointClient:
    """Posts requests to endpoints and probes their state."""

    def __init__(self, timing: settings.Timing, clock: clock_lib.Clock):
        self._timing = timing
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._connections: collections.Counter[str] = collections.Counter()

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        announced: endpoints.Announcement,
        dispatch: protocol.Dispatch,
        body: bytes,
    ) -> EndpointAnswer | EndpointFailure:
        """Returns the endpoint's complete answer, or why there is none."""
        posting = asyncio.create_task(self._post(announced, dispatch, body))
        try:
            if not announced.answers_probes:
                return await posting
            return await self._wait_and_probe(announced, dispatch, posting)
        finally:
            posting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await posting

    async def _wait_and_probe(
        self,
        announced: endpoints.Announcement,
        dispatch: protocol.Dispatch,
        posting: asyncio.Task[EndpointAnswer | EndpointFailure],
    ) -> EndpointAnswer | EndpointFailure:
        deadline = self._clock.now() + dispatch.time_left_ms
        lost = 0
        while lost < PROBES_LOST_MAX and self._clock.now() < deadline:
            interval = clock_lib.seconds(self._timing.probe_ms)
            await asyncio.wait({posting}, timeout=interval)
            if posting.done() and _is_final(posting.result()):
                return posting.result()
            if self._connections[announced.name] >= announced.connections:
                continue
            probed = await self._probe(announced, dispatch)
            if posting.done() and _is_final(posting.result()):
                return posting.result()
            match probed:
                case EndpointAnswer() | EndpointFailure(ran=False):
                    return probed
                case EndpointFailure():
                    lost += 1
                case None:
                    lost = 0
            if posting.done():
                await asyncio.sleep(interval)
        if posting.done():
            return posting.result()
        return EndpointFailure(reason=protocol.Reason.ENDPOINT_SILENT, ran=True)

    async def _post(
        self,
        announced: endpoints.Announcement,
        dispatch: protocol.Dispatch,
        body: bytes,
    ) -> EndpointAnswer | EndpointFailure:
        headers = _headers(dispatch) | {"Content-Type": dispatch.content_type}
        try:
            with self._connection(announced.name):
                async with self._get_session().post(
                    f"http://{announced.address}/",
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                    timeout=_timeout(dispatch.time_left_ms),
                ) as resp:
                    return await _read_answer(resp, dispatch.request_id)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return EndpointFailure(
                reason=protocol.Reason.ENDPOINT_UNREACHABLE, ran=False
            )
        except TimeoutError:
            return EndpointFailure(
                reason=protocol.Reason.ENDPOINT_TIMEOUT, ran=True
            )
        except aiohttp.ClientPayloadError:
            return EndpointFailure(
                reason=protocol.Reason.ENDPOINT_TRUNCATED, ran=True
            )
        except (aiohttp.ClientError, OSError):
            return EndpointFailure(
                reason=protocol.Reason.ENDPOINT_BROKE, ran=True
            )

    async def _probe(
        self, announced: endpoints.Announcement, dispatch: protocol.Dispatch
    ) -> EndpointAnswer | EndpointFailure | None:
        """Returns the result of a request, or None while it runs."""
        url = f"http://{announced.address}/requests/{dispatch.request_id}"
        try:
            with self._connection(announced.name):
                async with self._get_session().get(
                    url,
                    headers=_headers(dispatch),
                    timeout=_timeout(self._timing.probe_timeout_ms),
                ) as resp:
                    match resp.headers.get(protocol.STATE_HEADER):
                        case protocol.RequestState.RUNNING:
                            return None
                        case protocol.RequestState.DONE:
                            return await _read_answer(resp, dispatch.request_id)
                        case protocol.RequestState.NOT_RUN:
                            return _never_seen(announced, resp)
        except (TimeoutError, aiohttp.ClientError, OSError):
            pass
        return EndpointFailure(reason=protocol.Reason.ENDPOINT_SILENT, ran=True)

    @contextlib.contextmanager
    def _connection(self, name: str):
        self._connections[name] += 1
        try:
            yield
        finally:
            self._connections[name] -= 1
            if not self._connections[name]:
                del self._connections[name]

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _is_final(result: EndpointAnswer | EndpointFailure) -> bool:
    """Returns whether a probe could not improve on this result."""
    if isinstance(result, EndpointAnswer) or not result.ran:
        return True
    return result.reason not in _RECOVERABLE_REASONS


def _never_seen(
    announced: endpoints.Announcement, resp: aiohttp.ClientResponse
) -> EndpointFailure:
    """Returns the failure of a request that the endpoint has never seen.

    Only the incarnation that was called can prove that the request never ran.
    """
    incarnation = resp.headers.get(protocol.INCARNATION_HEADER)
    if announced.incarnation and incarnation == announced.incarnation:
        return EndpointFailure(
            reason=protocol.Reason.ENDPOINT_NEVER_SEEN, ran=False
        )
    return EndpointFailure(reason=protocol.Reason.ENDPOINT_SILENT, ran=True)


def _headers(dispatch: protocol.Dispatch) -> dict[str, str]:
    return {
        protocol.REQUEST_ID_HEADER: dispatch.request_id,
        protocol.RUN_HEADER: dispatch.key,
        protocol.ACCOUNT_HEADER: dispatch.account,
        protocol.DEADLINE_HEADER: str(dispatch.time_left_ms),
    }


def _timeout(total_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=clock_lib.seconds(total_ms),
        sock_connect=clock_lib.seconds(CONNECT_TIMEOUT_MS),
    )


async def _read_answer(
    resp: aiohttp.ClientResponse, request_id: str
) -> EndpointAnswer | EndpointFailure:
    echoed = resp.headers.get(protocol.REQUEST_ID_HEADER, request_id)
    if echoed != request_id:
        return EndpointFailure(
            reason=protocol.Reason.ENDPOINT_MISMATCHED, ran=True
        )
    if not _is_framed(resp):
        return EndpointFailure(
            reason=protocol.Reason.ENDPOINT_UNFRAMED, ran=True
        )
    body = bytearray()
    async for chunk in resp.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > ANSWER_BYTES_MAX:
            return EndpointFailure(
                reason=protocol.Reason.ENDPOINT_TOO_LONG, ran=True
            )
    return EndpointAnswer(
        status=resp.status,
        content_type=resp.headers.get("Content-Type", ""),
        content_encoding=resp.headers.get("Content-Encoding", ""),
        body=bytes(body),
    )


def _is_framed(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether a truncated answer can be detected."""
    chunked = resp.headers.get("Transfer-Encoding", "").lower() == "chunked"
    bodiless = resp.status in (204, 304)
    return chunked or bodiless or "Content-Length" in resp.headers
