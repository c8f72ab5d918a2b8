"""Raft as a deterministic state machine, without clock access or I/O.

Inputs are messages and the current time in milliseconds. Methods that change
the state return the outputs that the caller has to perform, in order.
"""

import random
from collections.abc import Sequence

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import election as election_lib
from bilberryroute.consensus import following as following_lib
from bilberryroute.consensus import journal as journal_lib
from bilberryroute.consensus import leading as leading_lib
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import outbox as outbox_lib
from bilberryroute.consensus import progress
from bilberryroute.consensus import records
from bilberryroute.consensus import silence as silence_lib


class Core:
    """Raft state machine of one replica.

    Attributes:
      id: Identity of this data folder.
      journal: Log, hard state and commit index.
      role: Current role.
      leader: Identity of the leader of this term, or empty.
    """

    def __init__(
        self,
        *,
        identity: str,
        timing: settings.Timing,
        log: memory_log.MemoryLog,
        hard_state: records.HardState,
        rng: random.Random,
        now: int,
        locked_ms: int | None = None,
    ):
        self.id = identity
        self.role = messages.Role.FOLLOWER
        self.leader = ""
        self._timing = timing
        self._stalled = False
        self._outbox = outbox_lib.Outbox()
        self.journal = journal_lib.Journal(log, hard_state, self._outbox.emit)
        self._following = following_lib.Following(self.journal)
        self._leading: leading_lib.Leading | None = None
        self._election = election_lib.Election(
            own_id=identity,
            journal=self.journal,
            timing=timing,
            rng=rng,
            now=now,
            locked_ms=locked_ms,
        )
        self._silence: silence_lib.Silence | None = None
        if self._election.hears_leader(now):
            self._silence = silence_lib.Silence(
                own_id=identity,
                journal=self.journal,
                timing=timing,
                rng=rng,
                now=now,
                until_ms=self._election.quiet_until_ms,
            )

    @property
    def term(self) -> int:
        """Current term."""
        return self.journal.term

    @property
    def log(self) -> memory_log.MemoryLog:
        """Entries and snapshot."""
        return self.journal.log

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self.journal.commit_index

    @property
    def membership(self) -> records.Membership:
        """The latest membership, committed or not."""
        return self.journal.membership

    @property
    def deadline_ms(self) -> int:
        """When `tick` has to be called next."""
        if self._silence is not None:
            return min(self._silence.next_ms, self._timer_ms)
        return self._timer_ms

    @property
    def _timer_ms(self) -> int:
        """When the heartbeat or election timer expires."""
        if self._leading is not None:
            return self._leading.deadline_ms
        return self._election.deadline_ms

    def lease_holds(self, now: int) -> bool:
        """Returns whether no other leader can commit anything yet."""
        return self._leading is not None and self._leading.lease_holds(now)

    def require_lease(self, now: int) -> None:
        """Raises `errors.NotLeader` unless the leader lease holds."""
        if not self.lease_holds(now):
            other = self.leader if self._leading is None else ""
            raise errors.NotLeader(records.replica_id(other) or None)

    def own_term_committed(self) -> bool:
        """Returns whether this leader has committed an entry of its term."""
        return self.log.term_at(self.commit_index) == self.term

    def progress_of(self, member_id: str) -> progress.Progress | None:
        """Returns the replication progress of a peer, or None."""
        if self._leading is None:
            return None
        return self._leading.peers.get(member_id)

    def hears(self, member_id: str, now: int) -> bool:
        """Returns whether a member acknowledged a recent message.

        The message must have been sent within the last election timeout. A
        leader always counts itself; a replica that does not lead hears no one.
        """
        return self._leading is not None and self._leading.hears(member_id, now)

    def has_leader_contact(self, now: int) -> bool:
        """Returns whether it leads a majority, or heard a leader recently."""
        if self._leading is not None:
            return self._leading.has_quorum_contact(now)
        return self._election.hears_leader(now)

    def tick(self, now: int) -> list[messages.Output]:
        """Handles expired election and heartbeat timers."""
        if self.role is not messages.Role.HALTED:
            self._keep_silence(now)
            self._tick(now, stalled=self._was_stalled(now))
        return self._outbox.drain()

    def step(
        self, envelope: messages.Envelope, now: int
    ) -> list[messages.Output]:
        """Handles a message; drops it if meant for another member or group."""
        if self.role is not messages.Role.HALTED and self._accepts(envelope):
            self._dispatch(envelope.sender, envelope.body, now)
        return self._outbox.drain()

    def propose(
        self, payloads: Sequence[bytes], now: int
    ) -> list[messages.Output]:
        """Appends commands; they are the log's last entries on return.

        Raises:
          errors.NotLeader: If this replica does not lead.
        """
        self.require_lease(now)
        for payload in payloads:
            self.journal.append(records.EntryKind.COMMAND, payload)
        self._replicate(now, heartbeat=False)
        return self._outbox.drain()

    def change_membership(
        self, membership: records.Membership, now: int
    ) -> list[messages.Output]:
        """Appends a membership; it is the log's last entry on return.

        Raises:
          errors.NotLeader: If this replica does not lead.
          errors.Unavailable: If it is not yet safe to change.
        """
        self.require_lease(now)
        if not self._may_change_membership():
            raise errors.Unavailable(
                "this term's first entry, or another change of membership,"
                " is not committed yet"
            )
        payload = records.encode_membership(membership)
        self._append(records.EntryKind.MEMBERSHIP, payload, now)
        return self._outbox.drain()

    def synced(self, sequence: int, now: int) -> list[messages.Output]:
        """Marks all writes up to `sequence` as durable."""
        if self.role is not messages.Role.HALTED:
            self.journal.mark_synced(sequence)
            self._count_votes(now)
            self._advance_commit(now)
        return self._outbox.drain()

    def compact(
        self, index: int, payload: bytes, keep: int
    ) -> list[messages.Output]:
        """Takes a snapshot of the state after entry `index`.

        Args:
          index: Last entry applied to the state.
          payload: The state.
          keep: Number of entries before `index` to keep for slow followers.
        """
        self.journal.compact(index, payload, keep)
        return self._outbox.drain()

    def found(
        self, membership: records.Membership, now: int
    ) -> list[messages.Output]:
        """Creates a new group whose id is the identity of this data folder."""
        self.journal.found(self.id, membership)
        self._election.deadline_ms = now
        return self._outbox.drain()

    def hand_over(self, now: int) -> list[messages.Output]:
        """Stops accepting commands and starts a leadership transfer.

        The lease ends at once and for good, so voters may safely elect the
        successor while they still hear from this leader.
        """
        if self._leading is not None:
            self._leading.leave(now)
            self._replicate(now, heartbeat=True)
            self._hand_over_if_ready(now)
        return self._outbox.drain()

    def halt(self) -> list[messages.Output]:
        """Stops this replica for good after a failure."""
        self._leading = None
        self._enter(messages.Role.HALTED, "")
        return self._outbox.drain()

    def _enter(self, role: messages.Role, leader: str) -> None:
        self.role = role
        self.leader = leader
        self._outbox.emit_role(
            messages.RoleChanged(role=role, term=self.term, leader=leader)
        )

    def _become_follower(self, term: int, leader: str, now: int) -> None:
        self._silence = None
        if term > self.term:
            self.journal.set_term(term, "")
        if self._leading is not None:
            self._leading = None
            self._election.reset_election_timer(now)
        self._enter(messages.Role.FOLLOWER, leader)

    def _become_pre_candidate(self, now: int) -> None:
        self._election.schedule_pre_vote_retry(now)
        self._enter(messages.Role.PRE_CANDIDATE, "")
        self._ask_for_votes(now, pre=True)

    def _become_candidate(self, now: int, *, handed_over: bool = False) -> None:
        self.journal.set_term(self.term + 1, self.id)
        self._election.reset_election_timer(now)
        self._enter(messages.Role.CANDIDATE, "")
        self._ask_for_votes(now, pre=False, handed_over=handed_over)

    def _become_leader(self, now: int) -> None:
        self._leading = leading_lib.Leading(
            own_id=self.id,
            journal=self.journal,
            timing=self._timing,
            now=now,
        )
        self._enter(messages.Role.LEADER, self.id)
        self._append(records.EntryKind.NOOP, b"", now)

    def _was_stalled(self, now: int) -> bool:
        """Returns whether this process missed its timer and must read first.

        After a stall, messages that arrived meanwhile are still unread, so the
        silence of the others proves nothing. True at most once in a row.
        """
        late_ms = now - self._timer_ms
        self._stalled = (
            not self._stalled and late_ms >= self._timing.raft_heartbeat_ms
        )
        return self._stalled

    def _keep_silence(self, now: int) -> None:
        """Asks whether a lease may rest on replies of an earlier life."""
        if self._silence is None:
            return
        if self._silence.may_end():
            self._election.end_silence(now)
        elif not self._silence.expired(now):
            for receiver, request in self._silence.ask(now).items():
                self._send(receiver, request)
            return
        held = self._silence.held()
        self._silence = None
        for candidate, request in held.items():
            self._on_vote_request(candidate, request, now)

    def _on_lease_request(
        self, sender: str, req: messages.LeaseRequest
    ) -> None:
        reply = messages.LeaseReply(
            life=req.life,
            leads=self._leading is not None,
            known=silence_lib.known(self.journal, self.leader),
        )
        self._send(sender, reply)
        question = self._silence and self._silence.ask_back(sender)
        if question:
            self._send(sender, question)

    def _on_lease_reply(
        self, sender: str, reply: messages.LeaseReply, now: int
    ) -> None:
        if self._silence is not None:
            self._silence.record(sender, reply)
            self._keep_silence(now)

    def _tick(self, now: int, *, stalled: bool) -> None:
        if self._leading is not None:
            self._tick_leader(now, stalled=stalled)
        elif stalled:
            self._election.schedule_pre_vote_retry(now)
        elif now >= self._election.deadline_ms:
            if self._election.may_campaign():
                self._become_pre_candidate(now)
            else:
                self._election.reset_election_timer(now)

    def _ask_for_votes(
        self, now: int, *, pre: bool, handed_over: bool = False
    ) -> None:
        request = self._election.request(pre=pre, handed_over=handed_over)
        for voter in self.membership.voters:
            if voter != self.id:
                self._send(voter, request, after=self.journal.written)
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        own_vote_durable = self.journal.synced >= self.journal.hard_state_write
        match self.role:
            case messages.Role.PRE_CANDIDATE if self._election.won():
                self._become_candidate(now)
            case messages.Role.CANDIDATE if (
                own_vote_durable and self._election.won()
            ):
                self._become_leader(now)

    def _on_vote_request(
        self, sender: str, req: messages.VoteRequest, now: int
    ) -> None:
        if self.has_leader_contact(now) and not req.handed_over:
            if self._silence is not None:
                self._silence.hold(sender, req)
            return
        if not req.pre and req.term > self.term:
            self._become_follower(req.term, "", now)
        reply = self._election.answer(sender, req, now)
        self._send(sender, reply, after=self.journal.written)

    def _on_vote_reply(
        self, sender: str, reply: messages.VoteReply, now: int
    ) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, "", now)
            return
        awaited = (messages.Role.CANDIDATE, self.term)
        if reply.pre:
            awaited = (messages.Role.PRE_CANDIDATE, self.term + 1)
        if (self.role, reply.term) == awaited:
            self._election.count(sender)
            self._count_votes(now)

    def _on_stand_now(
        self, sender: str, req: messages.StandNow, now: int
    ) -> None:
        follows = self.role is messages.Role.FOLLOWER
        asked = (req.term, sender) == (self.term, self.leader)
        if follows and asked and self._election.may_campaign():
            self._become_candidate(now, handed_over=True)

    def _hand_over_if_ready(self, now: int) -> None:
        successor = self._leading and self._leading.successor(now)
        if successor:
            self._send(successor, messages.StandNow(term=self.term))
            self._become_follower(self.term, "", now)

    def _accept_leader(self, term: int, leader: str, now: int) -> bool:
        """Follows the sender unless its term is stale; returns whether it does."""
        if term < self.term:
            return False
        self._become_follower(term, leader, now)
        self._election.record_leader_contact(now)
        return True

    def _on_append_request(
        self, sender: str, req: messages.AppendRequest, now: int
    ) -> None:
        if self._accept_leader(req.term, sender, now):
            reply, after = self._following.append(req)
        else:
            reply = self._following.refusal(req, 0)
            after = self.journal.hard_state_write
        self._send(sender, reply, after=after)

    def _on_snapshot_chunk(
        self, sender: str, chunk: messages.SnapshotChunk, now: int
    ) -> None:
        if self._accept_leader(chunk.term, sender, now):
            reply = self._following.receive_chunk(chunk)
            after = self.journal.written
        else:
            reply = self._following.refuse_chunk(chunk)
            after = self.journal.hard_state_write
        self._send(sender, reply, after=after)

    def _tick_leader(self, now: int, *, stalled: bool) -> None:
        heard = stalled or self._leading.has_quorum_contact(now)
        if not heard or not self._leading.stays(now):
            self._become_follower(self.term, "", now)
        elif self._leading.heartbeat_due(now):
            self._replicate(now, heartbeat=True)

    def _may_change_membership(self) -> bool:
        if not self.own_term_committed():
            return False
        return self.log.membership_index <= self.commit_index

    def _append(
        self, kind: records.EntryKind, payload: bytes, now: int
    ) -> None:
        self.journal.append(kind, payload)
        self._replicate(now, heartbeat=False)

    def _replicate(self, now: int, *, heartbeat: bool) -> None:
        for receiver, body in self._leading.replicate(now, heartbeat=heartbeat):
            self._send(receiver, body)

    def _on_reply(
        self,
        sender: str,
        reply: messages.AppendReply | messages.SnapshotReply,
        now: int,
    ) -> None:
        if reply.term > self.term:
            self._become_follower(reply.term, "", now)
        if self._leading is None or reply.term < self.term:
            return
        self._leading.handle_reply(sender, reply)
        self._advance_commit(now)
        if self._leading is not None:
            self._replicate(now, heartbeat=False)
            self._hand_over_if_ready(now)

    def _advance_commit(self, now: int) -> None:
        if self._leading is None:
            return
        index = self._leading.match_index()
        # Only entries of the current term are committed by counting replicas;
        # earlier entries are committed indirectly.
        if index > self.commit_index and self._is_own_term(index):
            self.journal.commit_to(index)
            self._leave_if_removed(now)

    def _is_own_term(self, index: int) -> bool:
        return self.log.term_at(index) == self.term

    def _leave_if_removed(self, now: int) -> None:
        removed = self.membership.find(self.id) is None
        if removed and self.log.membership_index <= self.commit_index:
            self._replicate(now, heartbeat=True)
            self._become_follower(self.term, "", now)

    def _accepts(self, envelope: messages.Envelope) -> bool:
        return envelope.receiver == self.id and self.journal.belongs_to(
            envelope.group
        )

    def _dispatch(self, sender: str, body: messages.Message, now: int) -> None:
        match body:
            case messages.VoteRequest():
                self._on_vote_request(sender, body, now)
            case messages.VoteReply():
                self._on_vote_reply(sender, body, now)
            case messages.StandNow():
                self._on_stand_now(sender, body, now)
            case messages.LeaseRequest():
                self._on_lease_request(sender, body)
            case messages.LeaseReply():
                self._on_lease_reply(sender, body, now)
            case messages.AppendRequest():
                self._on_append_request(sender, body, now)
            case messages.SnapshotChunk():
                self._on_snapshot_chunk(sender, body, now)
            case messages.AppendReply() | messages.SnapshotReply():
                self._on_reply(sender, body, now)

    def _send(
        self, receiver: str, body: messages.Message, after: int = 0
    ) -> None:
        envelope = messages.Envelope(
            group=self.journal.hard_state.group,
            sender=self.id,
            receiver=receiver,
            body=body,
        )
        self._outbox.emit(messages.Send(envelope=envelope, after=after))
