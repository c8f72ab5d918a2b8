"""One replica of the group: the core, its storage and its carrier joined."""

import asyncio
import concurrent.futures
import pathlib
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

import grpc.aio
from mode import Service

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import files
from bilberryroute.consensus import founding
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers
from bilberryroute.consensus import records
from bilberryroute.consensus import storage

PROPOSE_TIMEOUT_MS = 3_000
KEPT_SHARE = 4


class Applier(Protocol):
    """State machine that the log drives."""

    def apply(self, index: int, term: int, payload: bytes) -> object:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, payload: bytes) -> None:
        """Replaces the whole state."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupConfig:
    """Settings of one replica.

    Attributes:
      replica_id: Which of the members this is.
      members: The replicas that found the group together.
      data_folder: Where all files are kept.
      routes: gRPC address by replica id, in place of the group's own.
    """

    replica_id: str
    members: tuple[settings.ReplicaAddress, ...]
    data_folder: str
    routes: Mapping[str, str] = field(default_factory=dict)
    timing: settings.Timing = settings.Timing()
    log: settings.Log = settings.Log()

    @property
    def address(self) -> settings.ReplicaAddress:
        """Own address.

        Raises:
          errors.SettingsError: If the members don't name this replica.
        """
        for member in self.members:
            if member.id == self.replica_id:
                return member
        raise errors.SettingsError(
            f"replica {self.replica_id!r} is not among the replicas"
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """A command that is committed and applied here."""

    index: int
    term: int
    result: object


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleState:
    """What the role cell holds."""

    role: messages.Role
    term: int
    leader_id: str | None


class ReplicaGroup(Service):
    """Member of the group of replicas.

    Attributes:
      role_cell: `RoleState`; changes with role, term and known leader.
      applied_cell: Index of the last applied entry.
      failure: Why the storage failed, or None.
    """

    def __init__(
        self,
        cfg: GroupConfig,
        applier: Applier,
        clock: clock_lib.Clock,
        rng: random.Random,
        store: storage.LogStorage | None = None,
    ):
        super().__init__()
        self._cfg = cfg
        self._applier = applier
        self._clock = clock
        self._rng = rng
        self._storage = store
        self._core: core_lib.Core | None = None
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=1, thread_name_prefix="log"
        )
        self._writes: list[messages.Write] = []
        self._write_wanted = asyncio.Event()
        self._synced = 0
        self._held: deque[messages.Send] = deque()
        self._proposals: dict[int, tuple[int, asyncio.Future[Applied]]] = {}
        self._peers: dict[str, peers.Peer] = {}
        self._wake_timer = asyncio.Event()
        self.role_cell = blackboard.Cell(
            RoleState(role=messages.Role.FOLLOWER, term=0, leader_id=None)
        )
        self.applied_cell = blackboard.Cell(0)
        self.failure: errors.StorageError | None = None

    # What others may ask.

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the handler for other replicas to a server not yet started."""
        handler = peers.handler(self._on_envelope, self._on_hello)
        server.add_generic_rpc_handlers((handler,))

    @property
    def id(self) -> str:
        """Identity of the data folder."""
        return self._core.id

    @property
    def term(self) -> int:
        """Present term."""
        return self._core.term if self._core else 0

    @property
    def leader_id(self) -> str | None:
        """Replica id of the leader, as far as known."""
        return self.role_cell.get().leader_id

    @property
    def commit_index(self) -> int:
        """Last entry known to be committed."""
        return self._core.commit_index if self._core else 0

    @property
    def applied_index(self) -> int:
        """Last entry applied to the state machine."""
        return self.applied_cell.get()

    def members(self) -> tuple[records.Member, ...]:
        """Returns the latest membership."""
        return self._core.membership.members if self._core else ()

    def is_leader(self) -> bool:
        """Returns whether the leader lease holds at this very moment."""
        return self._core is not None and self._core.lease_holds(
            self._clock.now()
        )

    async def read_barrier(self) -> None:
        """Returns once this leader has applied an entry of its own term.

        Raises:
          errors.NotLeader: If this replica does not lead, now or meanwhile.
        """
        while True:
            self._require_running()
            seen = self.applied_cell.version
            if not self.is_leader():
                raise errors.NotLeader(self._other_leader())
            if self._core.own_term_committed():
                return
            wait = clock_lib.seconds(self._cfg.timing.raft_heartbeat_ms)
            try:
                await asyncio.wait_for(self.applied_cell.changed(seen), wait)
            except TimeoutError:
                continue

    async def propose(
        self, payload: bytes, timeout_ms: int = PROPOSE_TIMEOUT_MS
    ) -> Applied:
        """Commits a command, applies it and returns its result.

        Raises:
          errors.NotLeader: If this replica does not lead; nothing changed.
          errors.CommitUnknown: If leadership or time was lost meanwhile.
          errors.StorageError: If the data folder failed; nothing changed.
        """
        self._require_running()
        outputs = self._core.propose(payload, self._clock.now())
        return await self._commit(outputs, timeout_ms)

    # Service.

    async def on_start(self) -> None:
        """Recovers the log; raises `errors.StorageError` if it cannot."""
        if self._storage is None:
            folder = files.Files(pathlib.Path(self._cfg.data_folder))
            self._storage = storage.LogStorage(
                folder, self._cfg.log.segment_bytes
            )
        recovered = await self._in_thread(
            self._storage.open, self._cfg.replica_id
        )
        log = memory_log.MemoryLog(recovered.snapshot, recovered.entries)
        if log.snapshot.index:
            self._restore(log.snapshot)
        self._core = core_lib.Core(
            identity=recovered.id,
            timing=self._cfg.timing,
            log=log,
            hard_state=recovered.hard_state,
            rng=self._rng,
            now=self._clock.now(),
        )

    async def on_stop(self) -> None:
        """Fails what waits and gives the folder back."""
        self._fail_proposals(errors.CommitUnknown("the replica stops"))
        if self._storage is not None:
            await self._in_thread(self._storage.close)
        self._executor.shutdown(wait=False)

    @Service.task
    async def _found_group(self) -> None:
        own = self._cfg.address
        while not self.should_stop and not self._core.journal.hard_state.group:
            membership = await founding.founders(
                self._hello(), own, self._cfg.members
            )
            if (
                membership is not None
                and not self._core.journal.hard_state.group
            ):
                self._handle(self._core.found(membership, self._clock.now()))
                return
            await self.sleep(clock_lib.seconds(founding.RETRY_MS))

    @Service.task
    async def _run_timer(self) -> None:
        while not self.should_stop:
            now = self._clock.now()
            self._handle(self._core.tick(now))
            wait_ms = max(1, self._core.deadline_ms - self._clock.now())
            self._wake_timer.clear()
            try:
                await asyncio.wait_for(
                    self._wake_timer.wait(), clock_lib.seconds(wait_ms)
                )
            except TimeoutError:
                continue

    @Service.task
    async def _run_writer(self) -> None:
        while not self.should_stop:
            await self._write_wanted.wait()
            self._write_wanted.clear()
            batch = self._writes
            self._writes = []
            if not batch:
                continue
            try:
                await self._in_thread(self._storage.write, batch)
            except errors.StorageError as exc:
                self._fail(exc)
                return
            self._synced = batch[-1].sequence
            self._release()
            self._handle(self._core.synced(self._synced, self._clock.now()))

    # What the core asks for.

    def _handle(self, outputs: list[messages.Output]) -> None:
        for output in outputs:
            match output:
                case messages.Write():
                    self._writes.append(output)
                    self._write_wanted.set()
                case messages.Send() if output.after > self._synced:
                    self._held.append(output)
                case messages.Send():
                    self._send(output.envelope)
                case messages.Apply():
                    self._apply(output.entries)
                case messages.Restore():
                    self._restore(output.snapshot)
                case messages.RoleChanged():
                    self._note_role(output)

    def _release(self) -> None:
        held = self._held
        self._held = deque()
        for output in held:
            if output.after > self._synced:
                self._held.append(output)
            else:
                self._send(output.envelope)

    def _send(self, envelope: messages.Envelope) -> None:
        peer = self._peers.get(envelope.receiver) or self._connect(
            envelope.receiver
        )
        if peer is not None:
            peer.send(envelope)

    def _connect(self, member_id: str) -> peers.Peer | None:
        address = self._address_of(member_id)
        if address is None:
            return None
        peer = peers.Peer(address, self._rng)
        self._peers[member_id] = peer
        self.add_future(peer.run())
        return peer

    def _address_of(self, member_id: str) -> str | None:
        name = records.replica_id(member_id)
        if name in self._cfg.routes:
            return self._cfg.routes[name]
        member = self._core.membership.find(member_id)
        if member is not None:
            return member.address.grpc
        return next((m.grpc for m in self._cfg.members if m.id == name), None)

    def _apply(self, entries: tuple[records.Entry, ...]) -> None:
        for entry in entries:
            result = None
            if entry.kind is records.EntryKind.COMMAND:
                result = self._applier.apply(
                    entry.index, entry.term, entry.payload
                )
            self.applied_cell.set(entry.index)
            self._resolve(entry, result)
        self._compact()

    def _resolve(self, entry: records.Entry, result: object) -> None:
        term, future = self._proposals.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(
                Applied(index=entry.index, term=term, result=result)
            )
        else:
            future.set_exception(errors.CommitUnknown("leadership was lost"))

    def _compact(self) -> None:
        index = self.applied_index
        bound = self._cfg.log.snapshot_entries
        if index - self._core.log.snapshot.index >= bound:
            payload = self._applier.snapshot()
            self._handle(
                self._core.compact(index, payload, keep=bound // KEPT_SHARE)
            )

    def _restore(self, snapshot: records.Snapshot) -> None:
        self._applier.restore(snapshot.payload)
        self.applied_cell.set(snapshot.index)

    def _note_role(self, change: messages.RoleChanged) -> None:
        leader = records.replica_id(change.leader) or None
        self.role_cell.set(
            RoleState(role=change.role, term=change.term, leader_id=leader)
        )
        self._wake_timer.set()
        if change.role is not messages.Role.LEADER:
            self._fail_proposals(errors.CommitUnknown("leadership was lost"))

    # Shared.

    async def _commit(
        self, outputs: list[messages.Output], timeout_ms: int
    ) -> Applied:
        index = self._core.log.last_index
        future = asyncio.get_running_loop().create_future()
        self._proposals[index] = (self._core.term, future)
        self._handle(outputs)
        try:
            async with asyncio.timeout(clock_lib.seconds(timeout_ms)):
                return await future
        except TimeoutError as exc:
            raise errors.CommitUnknown(
                f"not committed within {timeout_ms} ms"
            ) from exc
        finally:
            if self._proposals.get(index, (0, None))[1] is future:
                del self._proposals[index]

    def _fail_proposals(self, exc: errors.BilberryrouteError) -> None:
        proposals = self._proposals
        self._proposals = {}
        for _, future in proposals.values():
            if not future.done():
                future.set_exception(exc)

    def _fail(self, exc: errors.StorageError) -> None:
        self.failure = exc
        self._held.clear()
        self.log.error("storage failed, the replica stops acknowledging")
        self._handle(self._core.halt())

    def _require_running(self) -> None:
        if self.failure is not None:
            raise self.failure
        if self._core is None:
            raise errors.NotLeader(None)

    def _other_leader(self) -> str | None:
        leader = self.leader_id
        return None if leader == self._cfg.replica_id else leader

    def _on_envelope(self, envelope: messages.Envelope) -> None:
        if self._core is None:
            return
        self._handle(self._core.step(envelope, self._clock.now()))

    async def _on_hello(self, hello: peers.Hello) -> peers.Hello:
        del hello
        if self._core is None:
            raise errors.Unavailable("the replica starts")
        return self._hello()

    def _hello(self) -> peers.Hello:
        own = self._cfg.address
        return peers.Hello(
            id=self._core.id,
            group=self._core.journal.hard_state.group,
            grpc=own.grpc,
            datagram=own.datagram,
            failure_domain=own.failure_domain,
        )

    async def _in_thread(self, call, *args):
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, call, *args)
