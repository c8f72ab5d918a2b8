"""Calls to agents, over connections that may go silent at any moment.

Every exchange is short: an agent that has not finished says `running` after
`probe_ms`. An exchange without a reply within `probe_timeout_ms` beyond that
is abandoned with its connection, and a new connection asks for the same key.
"""

import contextlib
import dataclasses
import http
from collections.abc import Iterator

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
CONTACT_RECENT_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """One reply of an agent with a segment of the answer's body."""

    reply: protocol.AgentReply
    body: bytes

    @property
    def reason(self) -> str:
        """Why the attempt failed; empty if it did not."""
        if self.reply.state is not protocol.RequestState.DONE:
            return self.reply.reason
        failed = self.reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        return protocol.Reason.ENDPOINT_ERROR if failed else ""

    def answered(
        self, address: str, order: protocol.Dispatch
    ) -> calls.Answered:
        """Returns the answer, to be read on at the agent if it is long."""
        return calls.Answered(
            reply=self.reply, body=self.body, address=address, order=order
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Contact:
    """When an agent answered last, and as which incarnation."""

    incarnation: str
    at: int


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
        self._contacts: dict[str, Contact] = {}
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
        while exchange.reply.state is protocol.RequestState.RUNNING:
            incarnation = exchange.reply.incarnation
            ask = self._attach(order, incarnation)
            exchange = await self._ask(address, ask, call)
        return exchange

    async def read_on(
        self,
        address: str,
        order: protocol.Dispatch,
        call: calls.Call,
        first: protocol.AgentReply,
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

    async def incarnation(self, address: str) -> str:
        """Returns the incarnation of an agent that answers at once.

        Raises:
          calls.ReplyError: If it does not answer.
        """
        url = f"http://{address}{protocol.INCARNATION_PATH}"
        timeout = _timeout(self._timing.probe_timeout_ms)
        with self._reply_errors(address):
            pool = self._sessions.of(address)
            async with pool.get(url, timeout=timeout) as resp:
                exchange = await self._read(resp, "", 0)
        self._note_contact(address, exchange.reply)
        return exchange.reply.incarnation

    def recent_incarnation(self, address: str) -> str | None:
        """Returns an agent's incarnation if it answered a moment ago."""
        contact = self._contacts.get(address)
        if contact is None:
            return None
        age_ms = self._clock.now() - contact.at
        return contact.incarnation if age_ms <= CONTACT_RECENT_MS else None

    async def _exchange(
        self,
        address: str,
        message: protocol.Dispatch | protocol.Attach,
        call: calls.Call,
        body: bytes,
    ) -> Exchange:
        url = f"http://{address}{protocol.DISPATCH_PATH}"
        offset = 0
        if isinstance(message, protocol.Attach):
            url += f"/{call.id}/attach"
            offset = message.offset
        left_ms = call.left_ms(self._clock.now())
        total_ms = min(left_ms, message.wait_ms + self._timing.probe_timeout_ms)
        with self._reply_errors(address):
            async with self._sessions.of(address).post(
                url,
                data=body,
                headers={protocol.DISPATCH_HEADER: protocol.encode(message)},
                timeout=_timeout(total_ms),
            ) as resp:
                exchange = await self._read(resp, message.key, offset)
        self._note_contact(address, exchange.reply)
        return exchange

    @contextlib.contextmanager
    def _reply_errors(self, address: str) -> Iterator[None]:
        try:
            yield
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

    def _note_contact(self, address: str, reply: protocol.AgentReply) -> None:
        self._contacts[address] = Contact(
            incarnation=reply.incarnation, at=self._clock.now()
        )

    async def _read(
        self, resp: aiohttp.ClientResponse, key: str, offset: int
    ) -> Exchange:
        reply = protocol.decode(
            resp.headers.get(protocol.REPLY_HEADER), protocol.AgentReply
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
