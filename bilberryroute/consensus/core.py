"""Raft as a pure state machine: messages and clock readings in, outputs out.

Every public method takes the clock's reading in milliseconds and returns what
its surroundings have to do, in order. Nothing here reads a clock or does I/O.
"""

import random

from bilberryroute import errors
from bilberryroute import settings
from bilberryroute.consensus import leading
from bilberryroute.consensus import memory_log
from bilberryroute.consensus import messages
from bilberryroute.consensus import progress
from bilberryroute.consensus import records

FOUNDING_TERM = 1


class Core:
    """One replica's part in the group.

    Attributes:
      id: Identity of this data folder.
      log: Entries and snapshot, perhaps ahead of what is durable.
      hard_state: Term, vote and group, perhaps ahead of what is durable.
      role: Present role.
      leader: Identity of the leader of this term, or empty.
      commit_index: Last entry known to be committed.
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
    ):
        self.id = identity
        self.log = log
        self.hard_state = hard_state
        self.role = messages.Role.FOLLOWER
        self.leader = ""
        self.commit_index = log.snapshot.index
        self._timing = timing
        self._rng = rng
        self._outputs: list[messages.Output] = []
        self._written = 0
        self._synced = 0
        self._hard_state_write = 0
        self._durable_index = log.last_index
        self._pending: dict[int, messages.Write] = {}
        self._votes: set[str] = set()
        self._noted_role: messages.RoleChanged | None = None
        self._leading: leading.Leading | None = None
        self._incoming: list[bytes] = []
        self._incoming_index = 0
        # What was answered before a restart is forgotten, so a replica that
        # may have answered a leader grants no vote within that lease.
        fresh = hard_state.term == 0
        self._heard_ms = progress.NEVER_MS if fresh else now
        self._election_ms = now
        if not fresh:
            self._set_election_deadline(now)

    @property
    def term(self) -> int:
        """Present term."""
        return self.hard_state.term

    @property
    def membership(self) -> records.Membership:
        """The latest membership, committed or not."""
        return self.log.membership

    @property
    def deadline_ms(self) -> int:
        """When `tick` has something to do next."""
        if self._leading is not None:
            return self._leading.deadline_ms
        return self._election_ms

    def lease_holds(self, now: int) -> bool:
        """Returns whether no other leader can commit anything yet."""
        if self._leading is None:
            return False
        return now < self._acked_ms(now) + self._timing.leader_lease_ms

    def own_term_committed(self) -> bool:
        """Returns whether this leader has committed an entry of its term."""
        return self.log.term_at(self.commit_index) == self.term

    def tick(self, now: int) -> list[messages.Output]:
        """Acts on the time that has passed."""
        if self.role is messages.Role.HALTED:
            return []
        if self._leading is not None:
            self._tick_leader(now)
        elif now >= self._election_ms:
            self._tick_follower(now)
        return self._drain()

    def step(
        self, envelope: messages.Envelope, now: int
    ) -> list[messages.Output]:
        """Acts on a message; one for another data folder or group is dropped."""
        if self.role is messages.Role.HALTED or not self._accepts(envelope):
            return []
        self._dispatch(envelope, now)
        return self._drain()

    def propose(self, payload: bytes, now: int) -> list[messages.Output]:
        """Appends a command; it is the log's last entry on return.

        Raises:
          errors.NotLeader: If this replica does not lead.
        """
        self._require_leader(now)
        self._append(records.EntryKind.COMMAND, payload, now)
        return self._drain()

    def change_membership(
        self, membership: records.Membership, now: int
    ) -> list[messages.Output]:
        """Appends a membership; it is the log's last entry on return.

        Raises:
          errors.NotLeader: If this replica does not lead.
          errors.Unavailable: If it is not yet safe to change.
        """
        self._require_leader(now)
        if not self._may_change_membership():
            raise errors.Unavailable(
                "another change of membership, or this term's first entry,"
                " is not committed yet"
            )
        payload = records.encode_membership(membership)
        self._append(records.EntryKind.MEMBERSHIP, payload, now)
        return self._drain()

    def synced(self, sequence: int, now: int) -> list[messages.Output]:
        """Notes that all writes up to `sequence` are durable."""
        if self.role is messages.Role.HALTED:
            return []
        self._synced = sequence
        for done in [s for s in self._pending if s <= sequence]:
            self._note_durable(self._pending.pop(done))
        if self.role is messages.Role.CANDIDATE:
            self._count_votes(now)
        if self._leading is not None:
            self._advance_commit(now)
        return self._drain()

    def compact(
        self, index: int, payload: bytes, keep: int
    ) -> list[messages.Output]:
        """Takes a snapshot of the state after entry `index`.

        Args:
          index: Last entry applied to the state.
          payload: The state.
          keep: Entries kept before it for peers that lag a little.
        """
        term = self.log.term_at(index)
        if term is None or index <= self.log.snapshot.index:
            return []
        snapshot = records.Snapshot(
            index=index,
            term=term,
            membership=self.log.membership_at(index),
            payload=payload,
        )
        keep_from = max(self.log.first_index, index - keep)
        self.log.compact(snapshot, keep_from)
        self._write_snapshot(keep_from)
        return self._drain()

    def found(
        self, membership: records.Membership, group: str, now: int
    ) -> list[messages.Output]:
        """Begins a new group with its first membership."""
        entry = records.Entry(
            index=1,
            term=FOUNDING_TERM,
            kind=records.EntryKind.MEMBERSHIP,
            payload=records.encode_membership(membership),
        )
        self._save_hard_state(FOUNDING_TERM, self.id, group=group)
        self._store((entry,))
        self._election_ms = now
        return self._drain()

    def halt(self) -> list[messages.Output]:
        """Takes no further part, after a failed write."""
        self._leading = None
        self.role = messages.Role.HALTED
        self.leader = ""
        self._note_role()
        return self._drain()

    def progress_of(self, member_id: str) -> progress.Progress | None:
        """Returns what the leader knows of a peer, or None."""
        if self._leading is None:
            return None
        return self._leading.peers.get(member_id)

    # Role changes.

    def _become_follower(self, term: int, leader: str, now: int) -> None:
        if term > self.term:
            self._save_hard_state(term, "")
        if self._leading is not None:
            self._set_election_deadline(now)
        self._leading = None
        self.role = messages.Role.FOLLOWER
        self.leader = leader
        self._note_role()

    def _become_pre_candidate(self, now: int) -> None:
        self.role = messages.Role.PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.id}
        self._note_role()
        self._ask_for_votes(now, pre=True)

    def _become_candidate(self, now: int) -> None:
        self._save_hard_state(self.term + 1, self.id)
        self.role = messages.Role.CANDIDATE
        self.leader = ""
        self._votes = {self.id}
        self._note_role()
        self._set_election_deadline(now)
        self._ask_for_votes(now, pre=False)

    def _become_leader(self, now: int) -> None:
        self.role = messages.Role.LEADER
        self.leader = self.id
        self._leading = leading.Leading(
            heartbeat_ms=self._timing.raft_heartbeat_ms, now=now
        )
        self._note_role()
        self._append(records.EntryKind.NOOP, b"", now)

    # Elections.

    def _tick_follower(self, now: int) -> None:
        self._set_election_deadline(now)
        if self.id in self.membership.voters:
            # Others may have heard the leader a little later, so ask again
            # soon: a pre-vote changes nothing.
            heartbeat = self._timing.raft_heartbeat_ms
            self._election_ms = now + heartbeat + self._rng.randrange(heartbeat)
            self._become_pre_candidate(now)

    def _ask_for_votes(self, now: int, *, pre: bool) -> None:
        request = messages.VoteRequest(
            term=self.term + 1 if pre else self.term,
            pre=pre,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
        )
        for voter in self.membership.voters:
            if voter != self.id:
                self._send(voter, request, after=self._written)
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        votes = self._votes.intersection(self.membership.voters)
        if len(votes) < self.membership.quorum:
            return
        match self.role:
            case messages.Role.PRE_CANDIDATE:
                self._become_candidate(now)
            case messages.Role.CANDIDATE if (
                self._synced >= self._hard_state_write
            ):
                self._become_leader(now)

    def _on_vote_request(
        self, sender: str, req: messages.VoteRequest, now: int
    ) -> None:
        if self._hears_leader(now):
            return
        if not req.pre and req.term > self.term:
            self._become_follower(req.term, "", now)
        granted = self._grants(sender, req)
        if granted and not req.pre:
            self._save_hard_state(self.term, sender)
            self._set_election_deadline(now)
        reply = messages.VoteReply(
            term=req.term if granted else self.term,
            pre=req.pre,
            granted=granted,
        )
        self._send(sender, reply, after=self._written)

    def _grants(self, sender: str, req: messages.VoteRequest) -> bool:
        own = (self.log.last_term, self.log.last_index)
        if (req.last_term, req.last_index) < own:
            return False
        if req.pre:
            return req.term > self.term
        return req.term == self.term and self.hard_state.vote in ("", sender)

    def _on_vote_reply(
        self, sender: str, reply: messages.VoteReply, now: int
    ) -> None:
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, "", now)
            return
        expected = (
            (messages.Role.PRE_CANDIDATE, self.term + 1)
            if reply.pre
            else (messages.Role.CANDIDATE, self.term)
        )
        if (self.role, reply.term) == expected:
            self._votes.add(sender)
            self._count_votes(now)

    def _hears_leader(self, now: int) -> bool:
        if self._leading is not None:
            return self._hears_majority(now)
        return now < self._heard_ms + self._timing.election_ms

    # Following.

    def _follow(self, term: int, leader: str, now: int) -> bool:
        """Returns whether a leader's message is of the present term."""
        if term < self.term:
            return False
        if term > self.term or self.leader != leader:
            self._become_follower(term, leader, now)
        self._heard_ms = now
        self._set_election_deadline(now)
        return True

    def _on_append_request(
        self, sender: str, req: messages.AppendRequest, now: int
    ) -> None:
        if not self._follow(req.term, sender, now):
            self._refuse_append(sender, req, 0)
            return
        known = self.log.term_at(req.prev_index)
        if known != req.prev_term and req.prev_index > self.commit_index:
            self._refuse_append(sender, req, self._hint(req))
            return
        if not req.entries:
            self._accept_heartbeat(sender, req)
            return
        self._store(self._unknown_entries(req.entries))
        last = req.entries[-1].index
        self._commit_to(min(req.commit, last))
        self._reply_append(sender, req, last, after=self._written)

    def _accept_heartbeat(
        self, sender: str, req: messages.AppendRequest
    ) -> None:
        self._commit_to(min(req.commit, req.prev_index))
        match = min(req.prev_index, self._durable_index)
        self._reply_append(sender, req, match, after=self._hard_state_write)

    def _hint(self, req: messages.AppendRequest) -> int:
        if req.prev_index > self.log.last_index:
            return self.log.last_index + 1
        # Skip the whole run of entries of the conflicting term.
        conflict = self.log.term_at(req.prev_index)
        index = req.prev_index
        while (
            index > self.commit_index + 1
            and self.log.term_at(index - 1) == conflict
        ):
            index -= 1
        return index

    def _unknown_entries(
        self, entries: tuple[records.Entry, ...]
    ) -> tuple[records.Entry, ...]:
        for position, entry in enumerate(entries):
            if entry.index <= self.commit_index:
                continue
            if self.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def _store(self, entries: tuple[records.Entry, ...]) -> None:
        if not entries:
            return
        self.log.append(entries)
        self._durable_index = min(self._durable_index, entries[0].index - 1)
        self._write(entries=entries)

    def _refuse_append(
        self, sender: str, req: messages.AppendRequest, hint: int
    ) -> None:
        reply = messages.AppendReply(
            term=self.term,
            success=False,
            match_index=0,
            hint_index=hint,
            sent_ms=req.sent_ms,
        )
        self._send(sender, reply, after=self._hard_state_write)

    def _reply_append(
        self, sender: str, req: messages.AppendRequest, match: int, after: int
    ) -> None:
        reply = messages.AppendReply(
            term=self.term,
            success=True,
            match_index=match,
            hint_index=0,
            sent_ms=req.sent_ms,
        )
        self._send(sender, reply, after=after)

    def _on_snapshot_chunk(
        self, sender: str, chunk: messages.SnapshotChunk, now: int
    ) -> None:
        if not self._follow(chunk.term, sender, now):
            return
        offset = self._take_chunk(chunk)
        reply = messages.SnapshotReply(
            term=self.term,
            index=chunk.index,
            offset=offset,
            sent_ms=chunk.sent_ms,
        )
        self._send(sender, reply, after=self._written)

    def _take_chunk(self, chunk: messages.SnapshotChunk) -> int:
        """Returns the next offset wanted, or -1 when the snapshot is held."""
        if chunk.index <= self.commit_index:
            return leading.SNAPSHOT_HELD
        if chunk.index != self._incoming_index or chunk.offset == 0:
            self._incoming_index = chunk.index
            self._incoming = []
        held = sum(map(len, self._incoming))
        if chunk.offset != held:
            return held
        self._incoming.append(chunk.payload)
        if not chunk.done:
            return held + len(chunk.payload)
        self._install(
            records.Snapshot(
                index=chunk.index,
                term=chunk.snapshot_term,
                membership=chunk.membership,
                payload=b"".join(self._incoming),
            )
        )
        return leading.SNAPSHOT_HELD

    def _install(self, snapshot: records.Snapshot) -> None:
        self._incoming = []
        self._incoming_index = 0
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self._durable_index = min(self._durable_index, snapshot.index)
        self._write_snapshot(snapshot.index + 1)
        self._outputs.append(messages.Restore(snapshot=snapshot))

    # Leading.

    def _tick_leader(self, now: int) -> None:
        if not self._hears_majority(now):
            self._become_follower(self.term, "", now)
            return
        if self._leading.heartbeat_due(now):
            self._replicate(now, heartbeat=True)

    def _hears_majority(self, now: int) -> bool:
        since = max(self._acked_ms(now), self._leading.began_ms)
        return now < since + self._timing.election_ms

    def _acked_ms(self, now: int) -> int:
        return self._leading.acked_ms(self.membership, self.id, now)

    def _require_leader(self, now: int) -> None:
        if not self.lease_holds(now):
            leader = records.replica_id(self.leader) or None
            raise errors.NotLeader(leader if self._leading is None else None)

    def _may_change_membership(self) -> bool:
        if not self.own_term_committed():
            return False
        return self.log.membership_index <= self.commit_index

    def _append(
        self, kind: records.EntryKind, payload: bytes, now: int
    ) -> None:
        entry = records.Entry(
            index=self.log.last_index + 1,
            term=self.term,
            kind=kind,
            payload=payload,
        )
        self._store((entry,))
        self._replicate(now, heartbeat=False)

    def _replicate(self, now: int, *, heartbeat: bool) -> None:
        sends = self._leading.replicate(
            self.log, self.membership, self.id, now, heartbeat=heartbeat
        )
        for receiver, body in sends:
            self._send(receiver, body(self.term, self.commit_index))

    def _on_append_reply(
        self, sender: str, reply: messages.AppendReply, now: int
    ) -> None:
        peer = self._peer_for_reply(sender, reply.term, reply.sent_ms, now)
        if peer is None:
            return
        if reply.success:
            peer.accept(reply.match_index)
            self._advance_commit(now)
        else:
            peer.reject(reply.hint_index)
        if self._leading is not None:
            self._replicate(now, heartbeat=False)

    def _on_snapshot_reply(
        self, sender: str, reply: messages.SnapshotReply, now: int
    ) -> None:
        peer = self._peer_for_reply(sender, reply.term, reply.sent_ms, now)
        if peer is None:
            return
        self._leading.on_snapshot_reply(peer, reply)
        self._advance_commit(now)
        if self._leading is not None:
            self._replicate(now, heartbeat=False)

    def _peer_for_reply(
        self, sender: str, term: int, sent_ms: int, now: int
    ) -> progress.Progress | None:
        if term > self.term:
            self._become_follower(term, "", now)
        if self._leading is None or term < self.term:
            return None
        peer = self._leading.peers.get(sender)
        if peer is not None:
            peer.acked_ms = max(peer.acked_ms, sent_ms)
        return peer

    def _advance_commit(self, now: int) -> None:
        index = self._leading.match_index(
            self.membership, self.id, self._durable_index
        )
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self._commit_to(index)
        if self.membership.find(self.id) is None and (
            self.log.membership_index <= self.commit_index
        ):
            self._replicate(now, heartbeat=True)
            self._become_follower(self.term, "", now)

    # Shared.

    def _accepts(self, envelope: messages.Envelope) -> bool:
        if envelope.receiver != self.id or not envelope.group:
            return False
        if not self.hard_state.group:
            self._save_hard_state(
                self.term, self.hard_state.vote, group=envelope.group
            )
        return envelope.group == self.hard_state.group

    def _dispatch(self, envelope: messages.Envelope, now: int) -> None:
        sender = envelope.sender
        match envelope.body:
            case messages.VoteRequest() as body:
                self._on_vote_request(sender, body, now)
            case messages.VoteReply() as body:
                self._on_vote_reply(sender, body, now)
            case messages.AppendRequest() as body:
                self._on_append_request(sender, body, now)
            case messages.AppendReply() as body:
                self._on_append_reply(sender, body, now)
            case messages.SnapshotChunk() as body:
                self._on_snapshot_chunk(sender, body, now)
            case messages.SnapshotReply() as body:
                self._on_snapshot_reply(sender, body, now)

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        self.commit_index = index
        self._outputs.append(messages.Apply(entries=entries))

    def _set_election_deadline(self, now: int) -> None:
        base = self._timing.election_ms
        spread = max(1, base // 2)
        self._election_ms = now + base + self._rng.randrange(spread)

    def _save_hard_state(
        self, term: int, vote: str, group: str | None = None
    ) -> None:
        kept = self.hard_state.group if group is None else group
        state = records.HardState(term=term, vote=vote, group=kept)
        if state != self.hard_state:
            self.hard_state = state
            self._write(hard_state=state)
            self._hard_state_write = self._written

    def _write_snapshot(self, keep_from: int) -> None:
        self._write(
            hard_state=self.hard_state,
            snapshot=self.log.snapshot,
            tail=self.log.between(keep_from, self.log.last_index),
        )
        self._hard_state_write = self._written

    def _write(self, **content: object) -> None:
        self._written += 1
        write = messages.Write(sequence=self._written, **content)
        self._pending[self._written] = write
        self._outputs.append(write)

    def _note_durable(self, write: messages.Write) -> None:
        if write.snapshot is not None:
            self._durable_index = max(self._durable_index, write.snapshot.index)
        entries = write.entries or write.tail
        if entries and self.log.term_at(entries[-1].index) == entries[-1].term:
            self._durable_index = max(self._durable_index, entries[-1].index)

    def _send(
        self, receiver: str, body: messages.Message, after: int = 0
    ) -> None:
        envelope = messages.Envelope(
            group=self.hard_state.group,
            sender=self.id,
            receiver=receiver,
            body=body,
        )
        self._outputs.append(messages.Send(envelope=envelope, after=after))

    def _note_role(self) -> None:
        change = messages.RoleChanged(
            role=self.role, term=self.term, leader=self.leader
        )
        if change != self._noted_role:
            self._noted_role = change
            self._outputs.append(change)

    def _drain(self) -> list[messages.Output]:
        outputs = self._outputs
        self._outputs = []
        return outputs
