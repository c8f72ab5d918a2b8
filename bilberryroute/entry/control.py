"""Client of the leading replica: proposals, queries and the watch."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import grpc
import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.entry import board as board_lib
from bilberryroute.model import commands
from bilberryroute.model import control
from bilberryroute.model import membership
from bilberryroute.model import queries
from bilberryroute.model import wire
from bilberryroute.state import machine as machine_lib
from bilberryroute.transport import codec
from bilberryroute.transport import control as methods

CALL_TIMEOUT_MS = clock_lib.Millis(800)
TOTAL_TIMEOUT_MS = clock_lib.Millis(8_000)
RETRY_MIN_MS = 20
RETRY_MAX_MS = 120
WATCH_SILENCE_MS = clock_lib.Millis(1_500)
SUSPICION_MS = clock_lib.Millis(3_000)
REPORT_MS = clock_lib.Millis(500)

_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
)


class ControlClient(mode.Service):
    """Finds the leading replica and talks to it.

    All that an entry proposes is idempotent (a ticket by its number, a job and
    a claim by their ids), so a proposal whose answer was lost is sent again.
    A replica that fell silent is left alone for a while, whoever names it as
    the leader: the others take time to notice that it is frozen.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.EntryBoard,
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        super().__init__()
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self._rng = rng
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._turn = 0
        self._learned: dict[str, str] = {}
        self._suspected: dict[str, int] = {}
        self._watched = ""

    async def on_stop(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()

    async def propose(
        self,
        command: commands.Command,
        within_ms: clock_lib.Millis = TOTAL_TIMEOUT_MS,
    ) -> commands.Result:
        """Commits a command and returns its result.

        Raises:
          errors.Unavailable: If no leader took it; nothing changed.
          errors.CommitUnknown: If it may or may not have been committed.
        """
        payload = machine_lib.COMMANDS.encode(command)
        answer = await self._call_leader(methods.PROPOSE, payload, within_ms)
        return machine_lib.RESULTS.decode(answer)

    async def query(
        self,
        query: queries.Query,
        within_ms: clock_lib.Millis = TOTAL_TIMEOUT_MS,
    ) -> queries.Answer:
        """Returns the leader's answer to a query.

        Raises:
          errors.NotFound: If the object asked for does not exist.
          errors.Unavailable: If no leader answers.
        """
        payload = methods.QUERIES.encode(query)
        try:
            answer = await self._call_leader(methods.QUERY, payload, within_ms)
        except errors.CommitUnknown as exc:
            raise errors.Unavailable("the leading replica is silent") from exc
        return methods.ANSWERS.decode(answer)

    async def change_members(
        self, change: membership.Change
    ) -> membership.Members:
        """Makes one change of the group and returns the group after it.

        Raises:
          errors.Refused: If the change is not safe or makes no sense.
          errors.Unavailable: If no leader took it; nothing changed.
          errors.CommitUnknown: If it may or may not have been made.
        """
        payload = methods.MEMBER_CHANGES.encode(change)
        answer = await self._call_leader(methods.CHANGE_MEMBERS, payload)
        return methods.MEMBERS.decode(answer)

    async def _call_leader(
        self,
        method: str,
        payload: bytes,
        within_ms: clock_lib.Millis = TOTAL_TIMEOUT_MS,
    ) -> bytes:
        deadline = self._clock.now() + within_ms
        maybe_done = False
        while (left_ms := deadline - self._clock.now()) > 0:
            timeout_ms = min(CALL_TIMEOUT_MS, left_ms)
            try:
                return await self._call_once(method, payload, timeout_ms)
            except errors.NotLeader as exc:
                self._follow(exc.leader_id)
            except errors.CommitUnknown:
                maybe_done = True
                self._follow(None)
            except errors.Unavailable:
                self._follow(None)
            pause = self._rng.randint(RETRY_MIN_MS, RETRY_MAX_MS)
            await asyncio.sleep(clock_lib.seconds(pause))
        if maybe_done:
            raise errors.CommitUnknown("the leading replica did not answer")
        raise errors.Unavailable(
            "no replica leads at present", retry_after_ms=clock_lib.SECOND
        )

    async def _call_once(
        self, method: str, payload: bytes, timeout_ms: int
    ) -> bytes:
        address = self._leader_address()
        call = self._channel(address).unary_unary(methods.path(method))
        try:
            answer = await call(payload, timeout=clock_lib.seconds(timeout_ms))
        except grpc.aio.AioRpcError as exc:
            if exc.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._suspect(address)
            raise _as_error(exc) from exc
        reply = methods.REPLIES.decode(answer)
        if reply.error is not None:
            raise _typed(reply.error)
        return reply.payload

    def _leader_address(self) -> str:
        """Returns where the leader is believed to be."""
        known = self._addresses()
        leader = known.get(self._board.leader_id.get())
        if leader is not None and not self._is_suspected(leader):
            return leader
        heard = [a for a in known.values() if not self._is_suspected(a)]
        candidates = heard or list(known.values())
        return candidates[self._turn % len(candidates)]

    def _addresses(self) -> dict[str, str]:
        """Returns all replicas known; the settings know better than others."""
        return self._learned | {r.id: r.grpc for r in self._cfg.replicas}

    def _suspect(self, address: str) -> None:
        """Notes that a replica fell silent."""
        self._suspected[address] = self._clock.now() + SUSPICION_MS

    def _is_suspected(self, address: str) -> bool:
        return self._suspected.get(address, 0) > self._clock.now()

    def _follow(self, leader_id: str | None) -> None:
        """Turns to the leader named, or else to the next replica."""
        self._board.leader_id.set(leader_id or "")
        if not leader_id:
            self._turn += 1

    def _channel(self, address: str) -> grpc.aio.Channel:
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
        return self._channels[address]

    @mode.Service.task
    async def _keep_watch(self) -> None:
        while not self.should_stop:
            # Any error ends this watch only; the next one starts afresh.
            with contextlib.suppress(grpc.aio.AioRpcError, TimeoutError):
                await self._watch_once()
            self._note_lost()
            self._follow(None)
            pause = self._rng.randint(RETRY_MIN_MS, RETRY_MAX_MS)
            await self.sleep(clock_lib.seconds(pause))

    async def _watch_once(self) -> None:
        address = self._leader_address()
        call = self._channel(address).stream_stream(
            methods.path(methods.WATCH)
        )(self._reports())
        silence = clock_lib.seconds(WATCH_SILENCE_MS)
        try:
            while not self.should_stop:
                try:
                    payload = await asyncio.wait_for(call.read(), silence)
                except TimeoutError:
                    self._suspect(address)
                    raise
                if payload is grpc.aio.EOF:
                    return
                self._take(methods.WATCH_EVENTS.decode(payload))
        finally:
            call.cancel()

    async def _reports(self) -> AsyncIterator[bytes]:
        """Tells the leader which revision is in force, at once and again."""
        cell = self._board.configuration
        while not self.should_stop:
            seen = cell.version
            report = wire.WatchRequest(
                entry=self._cfg.host, revision=cell.get().revision
            )
            yield codec.encode(report)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    cell.changed(seen), clock_lib.seconds(REPORT_MS)
                )

    def _note_watched(self, leader_id: str) -> None:
        if leader_id != self._watched:
            self._watched = leader_id
            self.log.info("hears the leader", extra={"leader": leader_id})

    def _note_lost(self) -> None:
        if self._watched:
            silent_ms = self._clock.now() - self._board.heard_ms.get()
            self.log.info(
                "lost the leader",
                extra={"leader": self._watched, "silent_ms": silent_ms},
            )
            self._watched = ""

    def _take(self, event: wire.WatchEvent) -> None:
        """Writes an event to the board; nothing steps back."""
        if event.term < self._board.term.get():
            return
        self._note_watched(event.leader_id)
        self._board.term.set(event.term)
        self._board.heard_ms.set(self._clock.now())
        self._learned = {r.id: r.grpc for r in event.replicas}
        if self._board.leader_id.get() != event.leader_id:
            self._board.leader_id.set(event.leader_id)
        fresh = event.configuration
        known = self._board.configuration.get()
        if fresh is not None and fresh.revision > known.revision:
            self._board.configuration.set(fresh)
        if event.endpoints is not None:
            self._board.endpoints.set(event.endpoints)


def _as_error(exc: grpc.aio.AioRpcError) -> errors.BilberryrouteError:
    """Types a transport error by what it says of the proposal's fate."""
    if exc.code() == grpc.StatusCode.UNIMPLEMENTED:
        return errors.Unavailable("the replica does not serve yet")
    if exc.code() == grpc.StatusCode.UNAVAILABLE and _never_sent(exc):
        return errors.Unavailable("the replica cannot be reached")
    return errors.CommitUnknown(f"the replica did not answer: {exc.code()}")


def _never_sent(exc: grpc.aio.AioRpcError) -> bool:
    return "failed to connect" in (exc.details() or "").lower()


def _typed(reply: control.ErrorReply) -> errors.BilberryrouteError:
    if reply.kind == errors.NotLeader.kind:
        return errors.NotLeader(reply.leader_id or None)
    kind = errors.by_kind(reply.kind)
    return kind(
        reply.message, remedy=reply.remedy, retry_after_ms=reply.retry_after_ms
    )
