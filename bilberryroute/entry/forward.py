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
from bilberryroute.entry import sessions
from bilberryroute.routing import protocol

CONNECT_TIMEOUT_MS = 1_000
REATTACHES_MAX = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """One reply of an agent with a segment of the answer's body."""

    reply: protocol.Reply
    body: bytes

    def answered(
        self, address: str, order: protocol.Dispatch
    ) -> calls.Answered:
        """Returns the answer, to be read on at the agent if it is long."""
        return calls.Answered(
            reply=self.reply, body=self.body, address=address, order=order
        )


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
        self._sessions = sessions.Sessions(
            retired_ms=timing.probe_ms + timing.probe_timeout_ms
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._sessions.close()

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

    async def read_on(
        self,
        address: str,
        order: protocol.Dispatch,
        call: calls.Call,
        first: protocol.Reply,
        offset: int,
    ) -> bytes:
        """Returns the next segment of a long answer.

        Raises:
          calls.ReplyError: If the agent no longer has it or cannot be asked.
        """
        ask = self._attach(order, first.incarnation)
        ask = dataclasses.replace(ask, offset=offset)
        exchange = await self._ask(address, ask, call)
        if exchange.reply != first:
            raise calls.ReplyError(protocol.Reason.EXPIRED, sent=True)
        return exchange.body

    def _attach(
        self, order: protocol.Dispatch, incarnation: str
    ) -> protocol.Attach:
        return protocol.Attach(
            key=order.key,
            incarnation=incarnation,
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
        failures = 0
        while call.left_ms(self._clock.now()) > 0:
            try:
                return await self._exchange(address, message, call, body)
            except calls.ReplyError as exc:
                sent = sent or exc.sent
                failures += 1
                if not exc.sent or self._is_enough(call, failures):
                    raise calls.ReplyError(exc.reason, sent=sent) from exc
                self._metrics.retried(f"reattach_{exc.reason}")
        raise calls.ReplyError(protocol.Reason.DEADLINE, sent=sent)

    def _is_enough(self, call: calls.Call, failures: int) -> bool:
        """Returns whether to turn to another agent, if that is allowed."""
        return call.idempotent and failures >= REATTACHES_MAX

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
        left_ms = call.left_ms(self._clock.now())
        total_ms = min(left_ms, message.wait_ms + self._timing.probe_timeout_ms)
        try:
            async with self._sessions.of(address).post(
                url,
                data=body,
                headers={protocol.DISPATCH_HEADER: protocol.encode(message)},
                timeout=_timeout(total_ms),
            ) as resp:
                offset = getattr(message, "offset", 0)
                return await self._read(resp, message.key, offset)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise calls.ReplyError(
                protocol.Reason.AGENT_UNREACHABLE, sent=False
            ) from exc
        except TimeoutError as exc:
            # Whatever lost track of this connection may have lost others.
            self._sessions.retire(address)
            raise calls.ReplyError(
                protocol.Reason.AGENT_SILENT, sent=True
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise calls.ReplyError(
                protocol.Reason.AGENT_BROKE, sent=True
            ) from exc
        except errors.MalformedInput as exc:
            raise calls.ReplyError(
                protocol.Reason.AGENT_MALFORMED, sent=True
            ) from exc

    async def _read(
        self, resp: aiohttp.ClientResponse, key: str, offset: int
    ) -> Exchange:
        reply = protocol.decode(
            resp.headers.get(protocol.REPLY_HEADER), protocol.Reply
        )
        if reply.key != key:
            self._metrics.dropped("mismatched")
            raise errors.MalformedInput("the reply is to another key")
        body = await resp.read()
        if len(body) != min(protocol.SEGMENT_BYTES, reply.length - offset):
            self._metrics.dropped("truncated")
            raise errors.MalformedInput("the answer is not whole")
        return Exchange(reply=reply, body=body)


def _timeout(total_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=clock_lib.seconds(total_ms),
        sock_connect=clock_lib.seconds(CONNECT_TIMEOUT_MS),
    )
