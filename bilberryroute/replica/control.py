"""gRPC service for entries: proposals, queries and the watch stream."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import grpc
import mode

from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import changes
from bilberryroute.model import batch_commands
from bilberryroute.model import commands
from bilberryroute.model import control
from bilberryroute.model import membership
from bilberryroute.model import wire
from bilberryroute.replica import board as board_lib
from bilberryroute.replica import parts as parts_lib
from bilberryroute.replica import queries as query_lib
from bilberryroute.transport import codec
from bilberryroute.transport import control as methods
from bilberryroute.transport import proposals

WATCH_KEEPALIVE_MS = clock_lib.Millis(500)

Handler = Callable[[bytes], Awaitable[bytes]]
Proposal = Callable[[commands.Command], Awaitable[commands.Result]]

# Commands that entries may propose; only the leader proposes all others.
ENTRY_COMMANDS = (
    commands.ApplyTicket,
    commands.SubmitJob,
    commands.CancelJobs,
    commands.ClaimRequest,
    batch_commands.ApplyCatalog,
    batch_commands.SetEvacuated,
    batch_commands.SubmitBatch,
    batch_commands.CancelBatch,
)


class ControlService(mode.Service):
    """Serves entries while this replica leads; otherwise names the leader."""

    def __init__(
        self,
        parts: parts_lib.ReplicaParts,
        query_handler: query_lib.QueryHandler,
        propose: Proposal | None = None,
    ):
        """Initializes the service.

        Args:
          parts: Components of the replica.
          query_handler: Answers the queries.
          propose: Commits an allowed command; the proposer's way by default.
        """
        super().__init__()
        self._cfg = parts.cfg
        self._board = parts.board
        self._group = parts.group
        self._leadership = parts.leadership
        self._machine = parts.machine
        self._commit = propose or parts.proposer.propose
        self._query_handler = query_handler
        self._clock = parts.clock

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the methods to a server that is not started yet."""
        handlers = {
            methods.PROPOSE: self._unary(self._propose),
            methods.QUERY: self._unary(self._query),
            methods.CHANGE_MEMBERS: self._unary(self._change_members),
            methods.WATCH: grpc.stream_stream_rpc_method_handler(self._watch),
        }
        handler = grpc.method_handlers_generic_handler(
            methods.SERVICE, handlers
        )
        server.add_generic_rpc_handlers((handler,))

    def _unary(self, handle: Handler) -> grpc.RpcMethodHandler:
        """Returns a method whose reply contains the result or the error."""

        async def answer(
            payload: bytes, context: grpc.aio.ServicerContext
        ) -> bytes:
            del context
            try:
                self._check_leading()
                encoded = await handle(payload)
            except errors.BilberryrouteError as exc:
                return codec.encode(control.Reply(error=self._error(exc)))
            return codec.encode(control.Reply(payload=encoded))

        return grpc.unary_unary_rpc_method_handler(answer)

    async def _propose(self, payload: bytes) -> bytes:
        command = proposals.COMMANDS.decode(payload)
        self._check_allowed(command)
        self._check_possible(command)
        result = await self._commit(command)
        return proposals.RESULTS.encode(result)

    async def _query(self, payload: bytes) -> bytes:
        query = methods.QUERIES.decode(payload)
        return methods.ANSWERS.encode(self._query_handler.answer(query))

    async def _change_members(self, payload: bytes) -> bytes:
        change = methods.MEMBER_CHANGES.decode(payload)
        await self._group.change_members(
            _group_change(change), after_version=change.after_version
        )
        return codec.encode(self._query_handler.members())

    def _check_allowed(self, command: commands.Command) -> None:
        if not isinstance(command, ENTRY_COMMANDS):
            raise errors.Forbidden(
                f"only the leader may propose {type(command).__name__}"
            )

    def _check_possible(self, command: commands.Command) -> None:
        """Raises an error for a new job that no set of workers could run."""
        if not isinstance(command, commands.SubmitJob):
            return
        if command.job.id in self._machine.state.jobs:
            return
        reason = self._query_handler.refusal(command.job)
        if reason:
            raise errors.ImpossibleJob(reason)

    def _check_leading(self) -> None:
        if not self._leadership.active():
            raise self._not_leader()

    def _not_leader(self) -> errors.NotLeader:
        return errors.NotLeader(
            self._group.leader_id, self._group.leader_address
        )

    def _error(self, exc: errors.BilberryrouteError) -> control.ErrorReply:
        return control.ErrorReply(
            kind=exc.kind,
            message=exc.message,
            remedy=exc.remedy,
            leader_id=self._group.leader_id or "",
            retry_after_ms=exc.retry_after_ms,
            leader_address=self._group.leader_address,
        )

    async def _watch(
        self,
        requests: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[bytes]:
        """Streams the configuration and the endpoints on every change.

        Ends with an error that names the leader once this replica does not
        lead: an entry that no caller asks learns it in no other way.
        """
        first = methods.WATCH_REQUESTS.decode(await anext(aiter(requests)))
        reader = asyncio.create_task(self._read_reports(first, requests))
        revision = first.revision
        endpoints_version = -1
        try:
            while self._leadership.active() and not self.should_stop:
                event = self._event(revision, endpoints_version)
                # Read before sending: a change meanwhile is sent next.
                revision = self._machine.state.configuration.revision
                endpoints_version = self._board.endpoints.version
                yield codec.encode(event)
                await self._wait_for_change(revision, endpoints_version)
        finally:
            reader.cancel()
        await methods.end_watch(context, self._error(self._not_leader()))

    def _event(self, revision: int, endpoints_version: int) -> wire.WatchEvent:
        cfg = self._machine.state.configuration
        endpoints_changed = endpoints_version != self._board.endpoints.version
        return wire.WatchEvent(
            term=self._group.term,
            leader_id=self._cfg.replica_id,
            configuration=cfg if cfg.revision != revision else None,
            endpoints=self._board.endpoints.get()
            if endpoints_changed
            else None,
            replicas=tuple(
                wire.ReplicaContact(
                    id=m.replica_id,
                    grpc=m.address.grpc,
                    datagram=m.address.datagram,
                )
                for m in self._group.members()
            ),
        )

    async def _wait_for_change(
        self, revision: int, endpoints_version: int
    ) -> None:
        """Waits for a change, or until a keepalive is due."""
        waiters = [
            asyncio.ensure_future(
                self._board.endpoints.changed(endpoints_version)
            ),
            asyncio.ensure_future(self._wait_for_new_revision(revision)),
        ]
        await asyncio.wait(
            waiters,
            timeout=clock_lib.seconds(WATCH_KEEPALIVE_MS),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for fut in waiters:
            fut.cancel()

    async def _wait_for_new_revision(self, sent: int) -> None:
        while self._machine.state.configuration.revision == sent:
            await self._board.applied.changed(self._board.applied.version)

    async def _read_reports(
        self, first: wire.WatchRequest, requests: AsyncIterator[bytes]
    ) -> None:
        """Records the revisions that the entry reports."""
        self._record_entry(first)
        async for payload in requests:
            self._record_entry(methods.WATCH_REQUESTS.decode(payload))

    def _record_entry(self, report: wire.WatchRequest) -> None:
        entries = self._board.entries.get()
        entries[report.entry] = board_lib.EntryRecord(
            revision=report.revision, last_seen_ms=self._clock.now()
        )
        self._board.entries.touch()


def _group_change(change: membership.MembershipChange) -> changes.Change:
    match change:
        case membership.AddReplica():
            return changes.AddLearner(
                address=settings.ReplicaAddress(
                    id=change.id,
                    grpc=change.grpc,
                    datagram=change.datagram,
                    failure_domain=change.failure_domain,
                )
            )
        case membership.PromoteReplica(id=member_id):
            return changes.Promote(id=member_id)
        case membership.RemoveReplica(id=member_id):
            return changes.Remove(id=member_id)
    raise errors.MalformedInput(f"unknown change {change!r}")
