"""HTTP client of agents, built to survive connections that go silent.

Every exchange is short: an agent that has not finished replies `running` after
`probe_ms`. If no reply arrives within a further `probe_timeout_ms`, the client
abandons the connection and sends the same key again over a new one.
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
REATTACH_ATTEMPTS_MAX = 2
RECENT_REPLY_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """Reply of an agent, with one segment of the answer's body."""

    reply: protocol.AgentReply
    body: bytes

    @property
    def reason(self) -> str:
        """Why the attempt failed; empty if it succeeded."""
        if self.reply.state is not protocol.RequestState.DONE:
            return self.reply.reason
        failed = self.reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        return protocol.Reason.ENDPOINT_ERROR if failed else ""

    def answer(
        self, address: str, dispatch: protocol.Dispatch
    ) -> calls.CallAnswer:
        """Returns the answer; the agent keeps the rest of a long body."""
        return calls.CallAnswer(
            reply=self.reply, body=self.body, address=address, dispatch=dispatch
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LastReply:
    """Time of an agent's last reply, and its incarnation at that time."""

    incarnation: str
    at_ms: int


class AgentClient:
    """Dispatches requests to agents and re-attaches to running ones."""

    def __init__(
        self,
        timing: settings.Timing,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._timing = timing
        self._clock = clock
        self._metrics = metrics
        self._last_replies: dict[str, LastReply] = {}
        self._sessions = sessions.SessionPools(
            drain_ms=timing.probe_ms + timing.probe_timeout_ms
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._sessions.close()

    async def run(
        self, address: str, dispatch: protocol.Dispatch, call: calls.Call
    ) -> Exchange:
        """Runs a key, or attaches to its run, and returns the final reply.

        Raises:
          calls.ReplyError: If there was no final reply in time.
        """
        exchange = await self._send(address, dispatch, call)
        while exchange.reply.state is protocol.RequestState.RUNNING:
            incarnation = exchange.reply.incarnation
            attach = self._new_attach(dispatch, incarnation)
            exchange = await self._send(address, attach, call)
        return exchange

    async def read_segment(
        self,
        address: str,
        dispatch: protocol.Dispatch,
        call: calls.Call,
        first_reply: protocol.AgentReply,
        offset: int,
    ) -> bytes:
        """Returns the next segment of a long answer.

        Raises:
          calls.ReplyError: If the agent no longer keeps the answer or gives no
            reply.
        """
        attach = self._new_attach(dispatch, first_reply.incarnation)
        attach = dataclasses.replace(attach, offset=offset)
        exchange = await self._send(address, attach, call)
        if exchange.reply != first_reply:
            raise calls.ReplyError(
                protocol.Reason.EXPIRED, may_have_arrived=True
            )
        return exchange.body

    def _new_attach(
        self, dispatch: protocol.Dispatch, incarnation: str
    ) -> protocol.Attach:
        return protocol.Attach(
            key=dispatch.key,
            incarnation=incarnation,
            wait_ms=self._timing.probe_ms,
            kept_ms=dispatch.kept_ms,
        )

    async def _send(
        self,
        address: str,
        message: protocol.Dispatch | protocol.Attach,
        call: calls.Call,
    ) -> Exchange:
        body = call.body if isinstance(message, protocol.Dispatch) else b""
        may_have_arrived = isinstance(message, protocol.Attach)
        failures = 0
        while call.left_ms(self._clock.now()) > 0:
            try:
                return await self._exchange(address, message, call, body)
            except calls.ReplyError as exc:
                may_have_arrived = may_have_arrived or exc.may_have_arrived
                failures += 1
                if not exc.may_have_arrived or self._should_give_up(
                    call, failures
                ):
                    raise calls.ReplyError(
                        exc.reason, may_have_arrived=may_have_arrived
                    ) from exc
                self._metrics.retried(f"reattach_{exc.reason}")
        raise calls.ReplyError(
            protocol.Reason.DEADLINE, may_have_arrived=may_have_arrived
        )

    def _should_give_up(self, call: calls.Call, failures: int) -> bool:
        """Returns whether to stop resending to this agent.

        Only an idempotent request may move to another agent.
        """
        return call.idempotent and failures >= REATTACH_ATTEMPTS_MAX

    async def incarnation(self, address: str) -> str:
        """Queries an agent for its current incarnation.

        Raises:
          calls.ReplyError: If it does not reply within `probe_timeout_ms`.
        """
        url = f"http://{address}{protocol.INCARNATION_PATH}"
        timeout = _timeout(self._timing.probe_timeout_ms)
        with self._raise_reply_errors(address):
            session = self._sessions.session(address)
            async with session.get(url, timeout=timeout) as resp:
                exchange = await self._read(resp, "", 0)
        self._record_reply(address, exchange.reply)
        return exchange.reply.incarnation

    def recent_incarnation(self, address: str) -> str | None:
        """Returns an agent's incarnation if it replied very recently."""
        last_reply = self._last_replies.get(address)
        if last_reply is None:
            return None
        age_ms = self._clock.now() - last_reply.at_ms
        return last_reply.incarnation if age_ms <= RECENT_REPLY_MS else None

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
        with self._raise_reply_errors(address):
            async with self._sessions.session(address).post(
                url,
                data=body,
                headers={protocol.DISPATCH_HEADER: protocol.encode(message)},
                timeout=_timeout(total_ms),
            ) as resp:
                exchange = await self._read(resp, message.key, offset)
        self._record_reply(address, exchange.reply)
        return exchange

    @contextlib.contextmanager
    def _raise_reply_errors(self, address: str) -> Iterator[None]:
        try:
            yield
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise calls.ReplyError(
                protocol.Reason.AGENT_UNREACHABLE, may_have_arrived=False
            ) from exc
        except TimeoutError as exc:
            # A fault that silenced this connection may affect the others too.
            self._sessions.retire(address)
            raise calls.ReplyError(
                protocol.Reason.AGENT_SILENT, may_have_arrived=True
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise calls.ReplyError(
                protocol.Reason.AGENT_BROKE, may_have_arrived=True
            ) from exc
        except errors.MalformedInput as exc:
            raise calls.ReplyError(
                protocol.Reason.AGENT_MALFORMED, may_have_arrived=True
            ) from exc

    def _record_reply(self, address: str, reply: protocol.AgentReply) -> None:
        self._last_replies[address] = LastReply(
            incarnation=reply.incarnation, at_ms=self._clock.now()
        )

    async def _read(
        self, resp: aiohttp.ClientResponse, key: str, offset: int
    ) -> Exchange:
        reply = protocol.decode(
            resp.headers.get(protocol.REPLY_HEADER), protocol.AgentReply
        )
        if reply.key != key:
            self._metrics.dropped("mismatched")
            raise errors.MalformedInput("the reply has a different key")
        body = await resp.read()
        if len(body) != min(protocol.SEGMENT_BYTES, reply.length - offset):
            self._metrics.dropped("truncated")
            raise errors.MalformedInput("the answer is truncated")
        return Exchange(reply=reply, body=body)


def _timeout(total_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=clock_lib.seconds(total_ms),
        sock_connect=clock_lib.seconds(CONNECT_TIMEOUT_MS),
    )
