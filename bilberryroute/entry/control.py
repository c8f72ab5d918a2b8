"""Client of the leading replica: proposals, queries and the watch stream."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from collections.abc import Iterable

import grpc
import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute import settings
from bilberryroute import starting
from bilberryroute.entry import board as board_lib
from bilberryroute.entry import call_errors
from bilberryroute.entry import choice as choice_lib
from bilberryroute.entry import connections as connection_lib
from bilberryroute.entry import tries as tries_lib
from bilberryroute.model import commands
from bilberryroute.model import membership
from bilberryroute.model import queries
from bilberryroute.model import wire
from bilberryroute.transport import codec
from bilberryroute.transport import control as methods
from bilberryroute.transport import proposals

CALL_TIMEOUT_MS = clock_lib.Millis(800)
TOTAL_TIMEOUT_MS = clock_lib.Millis(8_000)
RETRY_MIN_MS = 20
RETRY_MAX_MS = 120
WATCH_TIMEOUT_MS = clock_lib.Millis(1_500)
# A leader that is alive sends the first event of a watch at once. Allows for a
# new connection to another region.
PROBE_TIMEOUT_MS = clock_lib.Millis(500)
# A leader sends something every 500 ms to those that watch it.
SILENCE_MS = clock_lib.Millis(700)
REPORT_INTERVAL_MS = clock_lib.Millis(500)
# Ends of a call that waited for the leader, beside the kinds of errors: the
# leader answered or refused, or the caller did not wait for the answer.
ANSWERED = "answered"
LEFT = "left"


class ControlClient(mode.Service):
    """Finds the leading replica and sends RPCs to it.

    All proposals of an entry are idempotent (tickets by number, jobs and
    claims by id), so a proposal whose reply was lost is sent again. A replica
    that did not reply is avoided for a while even if others name it as the
    leader, because they need time to detect that it is frozen. It is asked again
    as soon as anything is heard from it, for the one that was frozen may have
    been this process, or only the connection is dead; the watch finds out.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        board: board_lib.EntryBoard,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__()
        self._cfg = cfg
        self._board = board
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._connections = connection_lib.Connections(clock)
        self._choice = choice_lib.ReplicaChoice(cfg.replicas, board, clock)
        self._watched_leader = ""

    async def on_stop(self) -> None:
        """Closes all connections."""
        await self._connections.close()

    async def propose(
        self,
        command: commands.Command,
        within_ms: clock_lib.Millis = TOTAL_TIMEOUT_MS,
    ) -> commands.Result:
        """Commits a command and returns its result.

        Raises:
          errors.Unavailable: If no leader accepted it; nothing changed.
          errors.CommitUnknown: If it may or may not have been committed.
        """
        payload = proposals.COMMANDS.encode(command)
        answer = await self._call_leader(methods.PROPOSE, payload, within_ms)
        return proposals.RESULTS.decode(answer)

    async def query(
        self,
        query: queries.Query,
        within_ms: clock_lib.Millis = TOTAL_TIMEOUT_MS,
    ) -> queries.Answer:
        """Returns the leader's answer to a query.

        Raises:
          errors.NotFound: If the requested object does not exist.
          errors.Unavailable: If no leader answers.
        """
        payload = methods.QUERIES.encode(query)
        try:
            answer = await self._call_leader(methods.QUERY, payload, within_ms)
        except errors.CommitUnknown as exc:
            error = errors.Unavailable(
                "the leading replica did not answer in time"
            )
            error.log_fields = exc.log_fields
            raise error from exc
        return methods.ANSWERS.decode(answer)

    async def change_members(
        self, change: membership.MembershipChange
    ) -> membership.Members:
        """Applies one membership change and returns the new membership.

        Raises:
          errors.Refused: If the change is unsafe or invalid.
          errors.Unavailable: If no leader accepted it; nothing changed.
          errors.CommitUnknown: If it may or may not have been applied.
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
        tries = tries_lib.Tries()
        began_ms = self._clock.now()
        outcome = LEFT
        try:
            answer = await self._try_leader(method, payload, within_ms, tries)
            outcome = ANSWERED
            return answer
        except (errors.Unavailable, errors.CommitUnknown) as exc:
            outcome = exc.kind
            exc.log_fields = self._log_fields(tries)
            raise
        except errors.BilberryrouteError as exc:
            outcome = ANSWERED
            exc.log_fields = self._log_fields(tries)
            raise
        finally:
            if outcome == ANSWERED:
                self._record_start(starting.Part.FIRST_ANSWER)
            if tries.found_no_leader:
                self._record_wait(outcome, began_ms, tries)

    def _record_wait(
        self, outcome: str, began_ms: int, tries: tries_lib.Tries
    ) -> None:
        """Measures a call that did not find the leader at once."""
        took_ms = self._clock.now() - began_ms
        self._metrics.leader_wait_ms.add({"outcome": outcome}, took_ms)
        if outcome == ANSWERED:
            self.log.info(
                "call waited for the leader",
                extra={"took_ms": took_ms, "tries": tries.rows()},
            )

    def _record_start(self, part: starting.Part) -> None:
        starting.record_end(part, self._metrics, self._clock.now())

    async def _try_leader(
        self,
        method: str,
        payload: bytes,
        within_ms: clock_lib.Millis,
        tries: tries_lib.Tries,
    ) -> bytes:
        deadline = self._clock.now() + within_ms
        may_be_committed = False
        while self._clock.now() < deadline and not self.should_stop:
            address = self._choice.address_to_call()
            try:
                return await self._call_once(
                    address, method, payload, deadline, tries
                )
            except errors.NotLeader as exc:
                self._choice.switch_leader(
                    self._choice.leader_named(exc, address)
                )
            except errors.Overloaded as exc:
                if not may_be_committed:
                    raise
                # An earlier try may be on its way still, and be accepted.
                raise errors.CommitUnknown(
                    "an earlier try has no answer, this one was refused"
                ) from exc
            except errors.CommitUnknown:
                may_be_committed = True
                self._choice.switch_leader(None)
            except errors.Unavailable:
                self._choice.switch_leader(None)
            tries.found_no_leader = True
            self._metrics.retried(f"call_{tries.last_failure}")
            pause_ms = self._rng.randint(RETRY_MIN_MS, RETRY_MAX_MS)
            await asyncio.sleep(clock_lib.seconds(pause_ms))
        if may_be_committed:
            raise errors.CommitUnknown("the leading replica did not answer")
        raise errors.Unavailable(
            "no replica leads at present", retry_after_ms=clock_lib.SECOND
        )

    async def _call_once(
        self,
        address: str,
        method: str,
        payload: bytes,
        deadline: int,
        tries: tries_lib.Tries,
    ) -> bytes:
        began_ms = self._clock.now()
        async with self._connections.use(address) as connection:
            connected = await connection.connect(deadline - began_ms)
            asked_ms = self._clock.now()
            if not connected or asked_ms >= deadline:
                self._record(tries, connection, began_ms, tries_lib.UNREACHED)
                raise errors.Unavailable("the replica cannot be reached")
            timeout_ms = min(CALL_TIMEOUT_MS, deadline - asked_ms)
            call = connection.channel.unary_unary(methods.path(method))
            try:
                answer = await call(
                    payload, timeout=clock_lib.seconds(timeout_ms)
                )
            except grpc.aio.AioRpcError as exc:
                failure = call_errors.failure(exc)
                self._record(tries, connection, began_ms, failure)
                if failure == tries_lib.SILENT:
                    self._handle_timeout(connection, asked_ms)
                raise call_errors.from_rpc(exc) from exc
            self._record_arrival(connection)
        reply = methods.REPLIES.decode(answer)
        if reply.error is not None:
            self._record(
                tries,
                connection,
                began_ms,
                reply.error.kind,
                reply.error.leader_id,
            )
            raise call_errors.from_reply(reply.error)
        return reply.payload

    def _record(
        self,
        tries: tries_lib.Tries,
        connection: connection_lib.Connection,
        began_ms: int,
        failure: str,
        named: str = "",
    ) -> None:
        """Records a try that failed."""
        now = self._clock.now()
        heard_ms = connection.heard_ms
        tries.add(
            tries_lib.Try(
                address=connection.address,
                failure=failure,
                named=named,
                took_ms=now - began_ms,
                connection_age_ms=now - connection.opened_ms,
                silent_ms=now - heard_ms if heard_ms else None,
                channel=connection.channel.get_state().name,
            )
        )

    def _log_fields(self, tries: tries_lib.Tries) -> dict[str, object]:
        """Returns what the log line of a failed call says."""
        seen_ms = self._board.leader_seen_ms.get()
        return {
            "tries": tries.rows(),
            "watched_leader": self._watched_leader,
            "leader_silent_ms": self._clock.now() - seen_ms
            if seen_ms
            else None,
        }

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Sets seeds that the settings name since the start, by address."""
        self._choice.set_seeds(addresses)

    def learn_replica(self, replica_id: str, address: str) -> None:
        """Records a replica that the settings may not name."""
        self._choice.learn(replica_id, address)

    def _handle_timeout(
        self, connection: connection_lib.Connection, began_ms: int
    ) -> None:
        """Suspects a silent replica, and replaces its connection.

        A replica that was heard meanwhile is slow, or had little time left.
        """
        now = self._clock.now()
        silent_ms = now - max(began_ms, connection.heard_ms)
        if silent_ms < SILENCE_MS:
            return
        address = connection.address
        self._choice.suspect(address)
        if self._connections.drop(connection):
            self.log.info(
                "connection is silent; dropped it",
                extra={"address": address, "silent_ms": silent_ms},
            )

    def _record_arrival(self, connection: connection_lib.Connection) -> None:
        self._connections.record_arrival(connection)
        self._choice.record_arrival(connection.address)

    @mode.Service.task
    async def _watch_leader(self) -> None:
        while not self.should_stop:
            # An error ends only this stream; the loop opens another one.
            address = self._choice.address_to_watch()
            leader_id = None
            try:
                await self._watch_once(address)
            except grpc.aio.AioRpcError as exc:
                leader_id = self._leader_named_by(exc, address)
            except errors.MalformedInput as exc:
                self._log_malformed(address, exc)
            except TimeoutError:
                pass
            self._log_leader_lost()
            # A call may have learned of another leader meanwhile.
            if leader_id or self._choice.address_to_watch() == address:
                self._choice.switch_leader(leader_id)
            pause_ms = self._rng.randint(RETRY_MIN_MS, RETRY_MAX_MS)
            await self.sleep(clock_lib.seconds(pause_ms))

    def _leader_named_by(
        self, exc: grpc.aio.AioRpcError, address: str
    ) -> str | None:
        """Returns the leader that the replica named as it ended the watch."""
        try:
            reply = methods.watch_error(exc)
        except errors.MalformedInput as malformed:
            self._log_malformed(address, malformed)
            return None
        error = call_errors.from_reply(reply) if reply is not None else None
        if not isinstance(error, errors.NotLeader):
            return None
        return self._choice.leader_named(error, address)

    def _log_malformed(self, address: str, exc: errors.MalformedInput) -> None:
        self.log.warning("cannot read the watch of %s: %s", address, exc)

    async def _watch_once(self, address: str) -> None:
        async with self._connections.use(address) as connection:
            if not await connection.connect():
                return
            open_stream = connection.channel.stream_stream(
                methods.path(methods.WATCH)
            )
            call = open_stream(self._watch_requests())
            try:
                await self._read_watch(call, connection)
            finally:
                call.cancel()

    async def _read_watch(
        self,
        call: grpc.aio.StreamStreamCall,
        connection: connection_lib.Connection,
    ) -> None:
        while not self.should_stop:
            suspected = self._choice.is_suspected(connection.address)
            timeout_ms = PROBE_TIMEOUT_MS if suspected else WATCH_TIMEOUT_MS
            began_ms = self._clock.now()
            try:
                payload = await asyncio.wait_for(
                    call.read(), clock_lib.seconds(timeout_ms)
                )
            except TimeoutError:
                self._handle_timeout(connection, began_ms)
                raise
            self._record_arrival(connection)
            if payload is grpc.aio.EOF:
                return
            self._apply_event(methods.WATCH_EVENTS.decode(payload))

    async def _watch_requests(self) -> AsyncIterator[bytes]:
        """Yields this entry's revision, on every change and periodically."""
        cell = self._board.configuration
        while not self.should_stop:
            version = cell.version
            request = wire.WatchRequest(
                entry=self._cfg.host, revision=cell.get().revision
            )
            yield codec.encode(request)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    cell.changed(version), clock_lib.seconds(REPORT_INTERVAL_MS)
                )

    def _log_leader_found(self, leader_id: str) -> None:
        if leader_id != self._watched_leader:
            self._record_start(starting.Part.LEADER_HEARD)
            self._watched_leader = leader_id
            self.log.info("hears the leader", extra={"leader": leader_id})

    def _log_leader_lost(self) -> None:
        if self._watched_leader:
            silent_ms = self._clock.now() - self._board.leader_seen_ms.get()
            self.log.info(
                "lost the leader",
                extra={"leader": self._watched_leader, "silent_ms": silent_ms},
            )
            self._watched_leader = ""

    def _apply_event(self, event: wire.WatchEvent) -> None:
        """Applies an event to the board; term and revision never decrease."""
        if event.term < self._board.term.get():
            return
        self._log_leader_found(event.leader_id)
        self._board.term.set(event.term)
        self._board.leader_seen_ms.set(self._clock.now())
        self._choice.learn_group(event.replicas)
        self._board.replicas.set(event.replicas)
        if self._board.leader_id.get() != event.leader_id:
            self._board.leader_id.set(event.leader_id)
        new_configuration = event.configuration
        current = self._board.configuration.get()
        if (
            new_configuration is not None
            and new_configuration.revision > current.revision
        ):
            self._board.configuration.set(new_configuration)
        if event.endpoints is not None:
            self._board.endpoints.set(event.endpoints)
