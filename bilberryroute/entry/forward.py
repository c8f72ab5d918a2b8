"""Calls to agents, over connections that may go silent at any moment.

Every exchange is short: an agent that has not finished says `running` after
`probe_ms`. An exchange without a reply within `probe_timeout_ms` beyond that
is abandoned with its connection, and a new connection asks for the same key.
"""

import dataclasses

import aiohttp

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute.entry import calls
from bilberryroute.routing import protocol

CONNECT_TIMEOUT_MS = 1_000
RECONNECTS_MAX = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """One reply of an agent with the answer's body."""

    reply: protocol.Reply
    body: bytes


class AgentClient:
    """Dispatches to agents and re-attaches to what runs there."""

    def __init__(
        self,
        timing: settings.Timing,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def run(
        self, address: str, order: protocol.Dispatch, call: calls.Call
    ) -> Exchange:
        """Has a key run, or joins its run; returns the final reply.

        Raises:
          calls.ReplyError: If the agent could not be asked to the end.
        """
        exchange = await self._ask(address, order, call)
        while exchange.reply.state is protocol.State.RUNNING:
            incarnation = exchange.reply.incarnation
            ask = self._attach(order, incarnation)
            exchange = await self._ask(address, ask, call)
        return exchange

    async def fence(
        self, address: str, order: protocol.Dispatch, call: calls.Call
    ) -> Exchange:
        """Asks once what became of a key; closes it if it was never seen.

        Raises:
          calls.ReplyError: If the agent did not say.
        """
        ask = self._attach(order, order.incarnation)
        ask = dataclasses.replace(ask, fence=True, wait_ms=0)
        return await self._exchange(address, ask, call, b"")

    def _attach(
        self, order: protocol.Dispatch, incarnation: str
    ) -> protocol.Attach:
        return protocol.Attach(
            key=order.key,
            incarnation=incarnation,
            fence=False,
            wait_ms=self._timing.probe_ms,
            kept_ms=order.kept_ms,
        )

    async def _ask(
        self,
        address: str,
        message: protocol.Dispatch | protocol.Attach,
        call: calls.Call,
    ) -> Exchange:
        body = call.body if isinstance(message, protocol.Dispatch) else b""
        sent = isinstance(message, protocol.Attach)
        for failures in range(RECONNECTS_MAX):
            if call.left_ms(self._clock.now()) == 0:
                raise calls.ReplyError("deadline", sent=sent)
            try:
                return await self._exchange(address, message, call, body)
            except calls.ReplyError as exc:
                sent = sent or exc.sent
                if failures + 1 == RECONNECTS_MAX or not exc.sent:
                    raise calls.ReplyError(exc.reason, sent=sent) from exc
                self._metrics.retried(f"reattach_{exc.reason}")
        raise AssertionError("the last failure is raised")

    async def _exchange(
        self,
        address: str,
        message: protocol.Dispatch | protocol.Attach,
        call: calls.Call,
        body: bytes,
    ) -> Exchange:
        url = f"http://{address}{protocol.DISPATCH_PATH}"
        if isinstance(message, protocol.Attach):
            url += f"/{call.id}/attach"
        total_ms = message.wait_ms + self._timing.probe_timeout_ms
        try:
            async with self._opened().post(
                url,
                data=body,
                headers={protocol.DISPATCH_HEADER: protocol.encode(message)},
                timeout=_timeout(total_ms),
            ) as resp:
                return await self._read(resp, message.key)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise calls.ReplyError("agent_unreachable", sent=False) from exc
        except TimeoutError as exc:
            raise calls.ReplyError("agent_silent", sent=True) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise calls.ReplyError("agent_broke", sent=True) from exc
        except errors.MalformedInput as exc:
            raise calls.ReplyError("agent_malformed", sent=True) from exc

    async def _read(self, resp: aiohttp.ClientResponse, key: str) -> Exchange:
        reply = protocol.decode(
            resp.headers.get(protocol.REPLY_HEADER), protocol.Reply
        )
        if reply.key != key:
            self._metrics.dropped("mismatched")
            raise errors.MalformedInput("the reply is to another key")
        body = await resp.read()
        if len(body) != reply.length:
            self._metrics.dropped("truncated")
            raise errors.MalformedInput("the answer is not whole")
        return Exchange(reply=reply, body=body)

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
            )
        return self._session


def _timeout(total_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=clock_lib.seconds(total_ms),
        sock_connect=clock_lib.seconds(CONNECT_TIMEOUT_MS),
    )
