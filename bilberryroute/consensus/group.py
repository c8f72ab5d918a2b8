"""One replica of the Raft group: connects core, storage and transport."""

import asyncio
import pathlib
import random
from collections.abc import Iterable

import grpc.aio
from mode import Service

from bilberryroute import blackboard
from bilberryroute import clock as clock_lib
from bilberryroute import errors
from bilberryroute import metrics as metrics_lib
from bilberryroute.consensus import changes
from bilberryroute.consensus import config
from bilberryroute.consensus import core as core_lib
from bilberryroute.consensus import files
from bilberryroute.consensus import founding
from bilberryroute.consensus import greeting
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import peers
from bilberryroute.consensus import proposals
from bilberryroute.consensus import records
from bilberryroute.consensus import senders
from bilberryroute.consensus import storage
from bilberryroute.consensus import writer

PROPOSE_TIMEOUT_MS = 3_000
RETAINED_LOG_DIVISOR = 4
REJOIN_INTERVAL_MS = clock_lib.Millis(1_000)
REOPEN_INTERVAL_MS = clock_lib.Millis(1_000)
INTRODUCTION_INTERVAL_MS = clock_lib.Millis(1_000)
# How long a leader that steps down waits for a successor. Allows for some
# round trips between failure domains and a disk that syncs slowly.
HAND_OVER_TIMEOUT_MS = clock_lib.Millis(500)


Applier = config.Applier
GroupConfig = config.GroupConfig
RoleState = config.RoleState


class ReplicaGroup(Service):
    """A replica of the Raft group.

    Attributes:
      role_cell: `RoleState`; updated when role, term or known leader change.
      applied_cell: Index of the last applied entry.
      failure: The error that halted this replica, or None. A replica whose
        disk failed goes on once its data folder can be opened again.
    """

    def __init__(
        self,
        cfg: GroupConfig,
        applier: Applier,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        store: storage.LogStorage | None = None,
    ):
        super().__init__()
        self._cfg = cfg
        self._applier = applier
        self._clock = clock
        self._rng = rng
        self._core: core_lib.Core | None = None
        if store is None:
            folder = files.Files(pathlib.Path(cfg.data_folder))
            store = storage.LogStorage(folder, cfg.log.segment_bytes)
        self._proposals = proposals.Proposals()
        self._batch: list[tuple[bytes, asyncio.Future[proposals.Applied]]] = []
        self._senders = senders.Senders(
            cfg.address.grpc, self._address_of, clock, rng, metrics
        )
        self._writer = writer.Writer(store, self._senders.send)
        self._timer_wakeup = asyncio.Event()
        self.role_cell = blackboard.Cell(
            RoleState(role=messages.Role.FOLLOWER, term=0, leader_id=None)
        )
        self.applied_cell = blackboard.Cell(0)
        self.failure: errors.BilberryrouteError | None = None
        self._initial_state = applier.snapshot()
        self._seeds = frozenset(m.grpc for m in cfg.members)

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the handler for other replicas; call before the server starts."""
        handler = peers.handler(self._on_envelope, self._on_hello, self._clock)
        server.add_generic_rpc_handlers((handler,))

    @property
    def id(self) -> str:
        """Identity of the data folder, or empty until it was opened."""
        return self._core.id if self._core else ""

    @property
    def term(self) -> int:
        """Current term."""
        return self._core.term if self._core else 0

    @property
    def leader_id(self) -> str | None:
        """Replica id of the leader, or None if unknown."""
        return self.role_cell.get().leader_id

    @property
    def leader_address(self) -> str:
        """Address of the leader's gRPC server, or empty if unknown."""
        leader = self._core.leader if self._core else ""
        return (leader and self._senders.address(leader)) or ""

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit_index if self._core else 0

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""
        return self.applied_cell.get()

    def members(self) -> tuple[records.Member, ...]:
        """Returns the members of the latest membership, committed or not."""
        return self._core.membership.members if self._core else ()

    @property
    def membership_version(self) -> int:
        """Number of changes of the group since it was founded."""
        return self._core.membership.version if self._core else 0

    def is_leader(self) -> bool:
        """Returns whether this replica holds the leader lease now."""
        return self._core is not None and self._core.lease_holds(
            self._clock.now()
        )

    def hears(self, member_id: str) -> bool:
        """Returns whether a member acknowledged a recent message.

        The message must have been sent within the last election timeout. A
        replica always counts itself; one that does not lead hears no other.
        """
        if self._core is None or member_id == self._core.id:
            return self._core is not None
        return self._core.hears(member_id, self._clock.now())

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Sets the gRPC addresses at which new processes look for a replica."""
        self._seeds = frozenset(addresses)

    def _new_seeds(self) -> list[str]:
        """Returns the seeds that this replica did not start with."""
        return sorted(self._seeds - {m.grpc for m in self._cfg.members})

    async def read_barrier(self) -> None:
        """Waits until this leader has applied an entry of its own term.

        Raises:
          errors.NotLeader: If this replica does not lead or stops leading
            while it waits.
        """
        while True:
            self._require_running()
            version = self.applied_cell.version
            if not self.is_leader():
                raise errors.NotLeader(self._other_leader())
            if self._core.own_term_committed():
                return
            wait = clock_lib.seconds(self._cfg.timing.raft_heartbeat_ms)
            try:
                await asyncio.wait_for(self.applied_cell.changed(version), wait)
            except TimeoutError:
                continue

    async def propose(
        self, payload: bytes, timeout_ms: int = PROPOSE_TIMEOUT_MS
    ) -> proposals.Applied:
        """Commits a command, applies it and returns its result.

        Raises:
          errors.NotLeader: If this replica does not lead; nothing changed.
          errors.CommitUnknown: If leadership was lost or the timeout expired
            before the outcome was known.
          errors.StorageError: If the data folder failed; nothing changed.
        """
        self._require_running()
        self._core.require_lease(self._clock.now())
        loop = asyncio.get_running_loop()
        if not self._batch:
            loop.call_soon(self._propose_batch)
        future = loop.create_future()
        self._batch.append((payload, future))
        return await self._proposals.outcome(future, timeout_ms)

    async def change_members(
        self,
        change: changes.Change,
        timeout_ms: int = PROPOSE_TIMEOUT_MS,
        after_version: int | None = None,
    ) -> tuple[records.Member, ...]:
        """Adds, promotes or removes one replica; returns all members.

        Args:
          change: The change.
          timeout_ms: How long to wait for the commit, in milliseconds.
          after_version: Version of the membership that the change was decided
            on; None for any.

        Raises:
          errors.NotLeader: If this replica does not lead; nothing changed.
          errors.Overtaken: If the membership has another version.
          errors.Refused: If the change is unsafe or invalid.
          errors.Unavailable: If another change is in progress, or the replica
            to add does not answer.
          errors.CommitUnknown: If leadership was lost or the timeout expired
            before the outcome was known.
        """
        self._require_running()
        if not self.is_leader():
            raise errors.NotLeader(self._other_leader())
        if isinstance(change, changes.AddLearner) and not change.id:
            address = self._cfg.route(change.address.id, change.address.grpc)
            change = await founding.identify(change, address, self._hello())
        now = self._clock.now()
        if after_version not in (None, self.membership_version):
            raise errors.Overtaken(
                f"the group is at version {self.membership_version}, the change"
                f" was decided on version {after_version}"
            )
        membership = changes.apply(self._core, change, now)
        outputs = self._core.change_membership(membership, now)
        await self._commit(outputs, timeout_ms)
        return membership.members

    async def hand_over(self) -> None:
        """Transfers leadership if this replica leads and another is ready."""
        if not self.is_leader() or len(self.members()) == 1:
            return
        self._handle(self._core.hand_over(self._clock.now()))
        try:
            async with asyncio.timeout(clock_lib.seconds(HAND_OVER_TIMEOUT_MS)):
                while not self._other_leader():
                    await self.role_cell.changed(self.role_cell.version)
        except TimeoutError:
            self.log.info("no replica was ready to take over")
        else:
            self.log.info("handed over", extra={"leader": self.leader_id})

    async def on_start(self) -> None:
        """Recovers the log.

        Raises:
          errors.StorageError: If the data folder cannot be used, except for a
            disk that may recover.
        """
        try:
            recovered = await self._writer.open(self._cfg.replica_id)
        except errors.DiskFailing as exc:
            self._fail(exc)
        else:
            self._recover(recovered)

    def _recover(self, recovered: storage.Recovered) -> None:
        """Starts from the content of the data folder."""
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
            locked_ms=recovered.locked_ms,
        )

    async def on_stop(self) -> None:
        """Fails pending proposals and releases the data folder."""
        self._proposals.fail("the replica is stopping")
        self._senders.retain(set())
        await self._writer.close()

    @Service.task
    async def _reopen_after_failure(self) -> None:
        """Opens the data folder again after its disk failed."""
        while not self.should_stop:
            await self.sleep(clock_lib.seconds(REOPEN_INTERVAL_MS))
            if isinstance(self.failure, errors.DiskFailing):
                await self._reopen()

    async def _reopen(self) -> None:
        try:
            recovered = await self._writer.open(self._cfg.replica_id)
        except errors.DiskFailing as exc:
            self.log.debug("the disk still fails: %s", exc)
            return
        # Entries after the snapshot are applied again once they are known to
        # be committed.
        self._applier.restore(self._initial_state)
        self.applied_cell.set(0)
        self._recover(recovered)
        self.failure = None
        self._timer_wakeup.set()
        self.log.info("the data folder works again; the replica goes on")

    @Service.task
    async def _join_group(self) -> None:
        while not self.should_stop and not self._group:
            if self._core is None:
                await self.sleep(clock_lib.seconds(founding.RETRY_MS))
                continue
            membership = await founding.first_membership(
                self._hello(), self._cfg, self._new_seeds()
            )
            if membership is not None and not self._group:
                self._handle(self._core.found(membership, self._clock.now()))
                self._timer_wakeup.set()
                return
            await self.sleep(clock_lib.seconds(founding.RETRY_MS))

    @Service.task
    async def _introduce_to_seeds(self) -> None:
        """Greets the seeds that are no members.

        Hosts without a replica may become seeds. Processes that have just
        started know nothing else, so these hosts have to know the replicas.
        """
        while not self.should_stop and self._cfg.policy.repairs_itself:
            await self.sleep(clock_lib.seconds(INTRODUCTION_INTERVAL_MS))
            if self._group and self.failure is None:
                known = {m.address.grpc for m in self.members()}
                strangers = self._seeds - known - {self._cfg.address.grpc}
                await founding.greet_all(self._hello(), sorted(strangers))

    @Service.task
    async def _rejoin_group(self) -> None:
        """Asks to be admitted again while no leader sends anything.

        A voter that was silent may have been removed. No member answers its
        requests for votes then, so it can't tell this from a long election.
        """
        while not self.should_stop and self._cfg.policy.repairs_itself:
            await self.sleep(clock_lib.seconds(REJOIN_INTERVAL_MS))
            halted = self.failure is not None or not self._group
            if not halted and not self._core.has_leader_contact(
                self._clock.now()
            ):
                await founding.ask_to_rejoin(
                    self._hello(),
                    self._cfg,
                    self._core.membership,
                    self._new_seeds(),
                )

    @Service.task
    async def _run_timer(self) -> None:
        while not self.should_stop:
            self._timer_wakeup.clear()
            if self.failure is not None:
                await self._timer_wakeup.wait()
                continue
            self._handle(self._core.tick(self._clock.now()))
            wait_ms = max(1, self._core.deadline_ms - self._clock.now())
            try:
                await asyncio.wait_for(
                    self._timer_wakeup.wait(), clock_lib.seconds(wait_ms)
                )
            except TimeoutError:
                continue

    @Service.task
    async def _run_writer(self) -> None:
        while not self.should_stop:
            try:
                synced = await self._writer.sync()
            except errors.StorageError as exc:
                if not self.should_stop:
                    self._fail(exc)
                continue
            self._handle(self._core.synced(synced, self._clock.now()))

    def _handle(self, outputs: list[messages.Output]) -> None:
        try:
            for output in outputs:
                self._perform(output)
            self._compact()
        except Exception as exc:
            # The remaining outputs are lost, so the replica must not go on as
            # if they had been handled.
            self._fail(errors.BilberryrouteError(f"replica failed: {exc!r}"))
            raise

    def _perform(self, output: messages.Output) -> None:
        match output:
            case messages.Write():
                self._writer.put(output)
            case messages.Send():
                self._writer.send(output)
            case messages.Apply():
                self._apply(output.entries)
            case messages.Restore():
                self._restore(output.snapshot)
            case messages.RoleChanged():
                self._update_role(output)

    def _address_of(self, member_id: str, learned: str | None) -> str | None:
        return self._cfg.locate(self._core.membership, member_id, learned)

    def _apply(self, entries: tuple[records.Entry, ...]) -> None:
        for entry in entries:
            result = None
            if entry.kind is records.EntryKind.COMMAND:
                result = self._applier.apply(
                    entry.index, entry.term, entry.payload
                )
            else:
                self._senders.retain({m.id for m in self.members()})
            self.applied_cell.set(entry.index)
            self._proposals.resolve(entry, result)

    def _compact(self) -> None:
        if self._core.role is messages.Role.HALTED:
            return
        index = self.applied_index
        bound = self._cfg.log.snapshot_entries
        if index - self._core.log.snapshot.index >= bound:
            payload = self._applier.snapshot()
            self._handle(
                self._core.compact(
                    index, payload, keep=bound // RETAINED_LOG_DIVISOR
                )
            )

    def _restore(self, snapshot: records.Snapshot) -> None:
        self._applier.restore(snapshot.payload)
        self.applied_cell.set(snapshot.index)

    def _update_role(self, change: messages.RoleChanged) -> None:
        leader = records.replica_id(change.leader) or None
        known = self.role_cell.get()
        if (change.role, leader) != (known.role, known.leader_id):
            self.log.info(
                "role: %s",
                change.role,
                extra={"term": change.term, "leader": leader or ""},
            )
        self.role_cell.set(
            RoleState(role=change.role, term=change.term, leader_id=leader)
        )
        self._timer_wakeup.set()
        if change.role is not messages.Role.LEADER:
            self._proposals.fail("leadership was lost")

    def _propose_batch(self) -> None:
        """Proposes all commands of this event loop iteration as one batch."""
        batch, self._batch = self._batch, []
        payloads = [payload for payload, _ in batch]
        try:
            outputs = self._core.propose(payloads, self._clock.now())
        except errors.NotLeader as exc:
            proposals.refuse([future for _, future in batch], exc)
            return
        first = self._core.log.last_index - len(batch) + 1
        for index, (_, future) in enumerate(batch, first):
            self._proposals.add(index, future)
        self._handle(outputs)

    async def _commit(
        self, outputs: list[messages.Output], timeout_ms: int
    ) -> proposals.Applied:
        future = asyncio.get_running_loop().create_future()
        self._proposals.add(self._core.log.last_index, future)
        self._handle(outputs)
        return await self._proposals.outcome(future, timeout_ms)

    def _fail(self, exc: errors.BilberryrouteError) -> None:
        self.failure = exc
        self.log.error("the replica stops acknowledging: %s", exc)
        for output in self._core.halt() if self._core else ():
            self._perform(output)

    def _require_running(self) -> None:
        if self.failure is not None:
            raise self.failure
        if self._core is None:
            raise errors.NotLeader(None)

    def _other_leader(self) -> str | None:
        leader = self.leader_id
        return None if leader == self._cfg.replica_id else leader

    def _on_envelope(self, received: peers.ReceivedEnvelope) -> None:
        if self._core is None:
            return
        self._senders.learn(received.envelope.sender, received.address)
        due_ms = self._core.deadline_ms
        self._handle(self._core.step(received.envelope, self._clock.now()))
        if self._core.deadline_ms < due_ms:
            self._timer_wakeup.set()

    async def _on_hello(self, hello: greeting.Hello) -> greeting.Hello:
        if self._core is None:
            raise errors.Unavailable("the replica is starting")
        if self.is_leader():
            self._admit(hello)
        return self._hello()

    def _admit(self, hello: greeting.Hello) -> None:
        change = founding.welcome(
            self._core.membership,
            hello,
            group=self._group,
            allow_unknown=self._cfg.policy.repairs_itself,
        )
        if change is None:
            return
        now = self._clock.now()
        try:
            membership = changes.apply(self._core, change, now)
            self._handle(self._core.change_membership(membership, now))
        except (errors.Refused, errors.Unavailable) as exc:
            # The replica retries its greeting.
            self.log.info("cannot admit %s yet: %s", hello.id, exc)

    @property
    def _group(self) -> str:
        return self._core.journal.hard_state.group if self._core else ""

    def _hello(self) -> greeting.Hello:
        return founding.hello(
            self._cfg.address, self._core.id, self._group, self.leader_address
        )
